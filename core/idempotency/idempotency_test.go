package idempotency

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// A world is one key of the table, the attempts for it at several instances,
// and the service that runs the call. Writes may take effect late, be lost, or
// lose their answers; instances die and pause.
type world struct {
	now      time.Time
	row      *Record
	version  int
	late     []func() // writes on their way, whose instances no longer wait
	machines []*machine
	made     int
	runs     map[string]int // by attempt
	notRun   map[string]bool
	answers  map[string]bool // bodies that callers got
	unsafe   bool            // attempts take a running record over after its patience
}

// A machine is an attempt or a settlement with its next step.
type machine struct {
	id         string
	record     Record
	attempt    *Attempt
	settlement *Settlement
	step       Step
	ready      time.Time // when the step's pause is over
}

func newWorld() *world {
	return &world{now: start, runs: map[string]int{}, notRun: map[string]bool{}, answers: map[string]bool{}}
}

func (w *world) begin() {
	if w.made == 6 {
		return
	}
	w.made++
	id := fmt.Sprintf("attempt-%d", w.made)
	record := New(id, "fingerprint", w.now)
	a, step := Begin(record, w.now)
	w.machines = append(w.machines, &machine{id: id, record: record, attempt: a, step: step, ready: w.now})
}

// apply carries out a write in the table.
func (w *world) apply(s Step) Result {
	switch {
	case s.Op == Insert && w.row != nil, s.Op == Rewrite && (w.row == nil || s.Version != fmt.Sprint(w.version)):
		return Result{Status: Exists}
	case s.Op == Read && w.row == nil:
		return Result{Status: Missing}
	case s.Op == Read:
		return Result{Version: fmt.Sprint(w.version), Record: *w.row}
	}
	record := s.Record
	w.row = &record
	w.version++
	return Result{Version: fmt.Sprint(w.version)}
}

func (w *world) pick(t *rapid.T) *machine {
	var ready []*machine
	for _, m := range w.machines {
		if !m.ready.After(w.now) {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return rapid.SampledFrom(ready).Draw(t, "machine")
}

// table lets one machine do its next step on the table, with a fault or none.
func (w *world) table(t *rapid.T) {
	m := w.pick(t)
	if m == nil || m.step.Op >= RunCall {
		return
	}
	step := m.step
	var r Result
	switch rapid.SampledFrom([]string{"works", "works", "works", "refused", "answer lost", "call lost", "takes effect late"}).Draw(t, "table") {
	case "works":
		r = w.apply(step)
	case "answer lost":
		w.apply(step)
		r = Result{Status: Unclear}
	case "takes effect late":
		if step.Op != Read {
			w.late = append(w.late, func() { w.apply(step) })
		}
		r = Result{Status: Unclear}
	default:
		r = Result{Status: Unclear}
	}
	w.next(m, r)
}

func (w *world) next(m *machine, r Result) {
	if m.settlement != nil {
		m.step = m.settlement.Next(r)
	} else {
		m.step = m.attempt.Next(w.now, r)
		if w.unsafe && m.step.Op == Lost {
			m.step = Step{Op: RunCall, Version: r.Version}
		}
	}
	m.ready = w.now.Add(m.step.After)
}

// end carries out the decision of a machine, with its instance dying before,
// during or after.
func (w *world) end(t *rapid.T) {
	m := w.pick(t)
	if m == nil || m.step.Op < RunCall {
		return
	}
	w.remove(m)
	switch m.step.Op {
	case RunCall:
		w.run(t, m)
	case SendBack:
		w.answers[string(m.step.Record.Answer.Body)] = true
	case GiveUp:
		w.notRun[m.id] = true
		if rapid.Bool().Draw(t, "dies before it withdraws") {
			return
		}
		s, step := Withdraw(m.record)
		w.machines = append(w.machines, &machine{id: m.id, settlement: s, step: step, ready: w.now})
	}
}

func (w *world) run(t *rapid.T, m *machine) {
	fate := rapid.SampledFrom([]string{"answered", "refused by the service", "answer of the service lost", "dies before", "dies after"}).Draw(t, "run")
	record := m.record
	switch fate {
	case "dies before":
		return
	case "refused by the service":
		w.notRun[m.id] = true
		record = record.Abandon()
	case "answered":
		w.runs[m.id]++
		w.answers[m.id] = true
		record = record.Finish(Answer{Status: 201, Body: []byte(m.id)})
	default:
		w.runs[m.id]++
		return
	}
	s, step := Settle(record, m.step.Version)
	w.machines = append(w.machines, &machine{id: m.id, settlement: s, step: step, ready: w.now})
}

func (w *world) remove(m *machine) {
	for i := range w.machines {
		if w.machines[i] == m {
			w.machines = append(w.machines[:i:i], w.machines[i+1:]...)
			return
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"begin": func(*rapid.T) { w.begin() },
		"table": w.table,
		"end":   w.end,
		"late write": func(t *rapid.T) {
			if len(w.late) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.late)-1).Draw(t, "write")
			do := w.late[i]
			w.late = append(w.late[:i:i], w.late[i+1:]...)
			do()
		},
		"time passes": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{100, 300, 2000, 6000, 130_000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// broken returns which invariant does not hold.
func (w *world) broken() string {
	total := 0
	for id, n := range w.runs {
		total += n
		if w.notRun[id] {
			return id + " was refused as not run, and has run"
		}
	}
	if total > 1 {
		return fmt.Sprintf("the call has run %d times: %v", total, w.runs)
	}
	if len(w.answers) > 1 {
		return fmt.Sprintf("callers got different answers: %v", w.answers)
	}
	return ""
}

func TestCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		actions := w.actions()
		actions[""] = func(t *rapid.T) {
			if b := w.broken(); b != "" {
				t.Fatal(b)
			}
		}
		t.Repeat(actions)
	})
}

// TestCheckCatchesTakeover proves that the check above can fail: attempts that
// take over a record whose holder is silent run a call twice.
func TestCheckCatchesTakeover(t *testing.T) {
	w := newWorld()
	w.unsafe = true
	w.begin()
	first := w.machines[0]
	w.next(first, w.apply(first.step)) // claimed; the holder pauses
	w.now = w.now.Add(Patience)
	w.begin()
	second := w.machines[1]
	w.next(second, w.apply(second.step))
	w.next(second, w.apply(second.step))
	for _, m := range []*machine{first, second} {
		if m.step.Op == RunCall {
			w.runs[m.id]++
		}
	}
	if w.broken() == "" {
		t.Fatal("the check missed a second run")
	}
}

func TestDecisions(t *testing.T) {
	record := func(edit func(*Record)) Record {
		r := New("a", "f", start)
		edit(&r)
		return r
	}
	tests := []struct {
		name  string
		found Record
		at    time.Duration
		want  Decision
	}{
		{name: "own record", found: record(func(r *Record) { r.Attempt = "b" }), want: Run},
		{name: "another call", found: record(func(r *Record) { r.Fingerprint = "g" }), want: Mismatch},
		{name: "answered", found: record(func(r *Record) { *r = r.Finish(Answer{}) }), want: Replay},
		{name: "not run", found: record(func(r *Record) { r.State = NotRun }), want: Replace},
		{name: "just begun", found: record(func(*Record) {}), at: Patience - 1, want: Wait},
		{name: "silent", found: record(func(*Record) {}), at: Patience, want: Unknown},
		{name: "expired", found: record(func(r *Record) { r.Fingerprint = "g" }), at: Retention, want: Replace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Decide(tt.found, "b", "f", start.Add(tt.at)), tt.want)
		})
	}
}

func FuzzRecord(f *testing.F) {
	seed, err := json.Marshal(New("a", "f", start).Finish(Answer{Status: 201, Body: []byte("x")}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		Decide(r, "b", "f", start)
		again, err := json.Marshal(r)
		if err != nil {
			return // a year that JSON can't hold
		}
		var same Record
		if err := json.Unmarshal(again, &same); err != nil {
			t.Fatalf("%s is stored as %s, which can't be read: %v", data, again, err)
		}
		twice, err := json.Marshal(same)
		if err != nil || string(twice) != string(again) {
			t.Fatalf("%s is stored as %s and then as %s", data, again, twice)
		}
	})
}
