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

// A simulation holds one key of the table, the attempts for it at several
// instances, and the service that runs the call. Writes may take effect late, be
// lost, or lose their replies; instances die and pause.
type simulation struct {
	now          time.Time
	row          *Record
	version      int
	lateWrites   []func() // writes that are still in transit after their instances stopped waiting
	participants []*participant
	attempts     int
	runs         map[string]int // by attempt identifier
	notRun       map[string]bool
	answers      map[string]bool // bodies that callers received
	takesOver    bool            // attempts take a running record over after UnknownAfter, which breaks the invariant
}

// A participant is an Attempt or an OutcomeWriter with its next step.
type participant struct {
	id      string
	record  Record
	attempt *Attempt
	writer  *OutcomeWriter
	step    Step
	ready   time.Time // when the pause before the step ends
}

func newSimulation() *simulation {
	return &simulation{now: start, runs: map[string]int{}, notRun: map[string]bool{}, answers: map[string]bool{}}
}

func (sim *simulation) beginAttempt() {
	if sim.attempts == 6 {
		return
	}
	sim.attempts++
	id := fmt.Sprintf("attempt-%d", sim.attempts)
	record := NewRecord(id, "fingerprint", sim.now)
	a, step := NewAttempt(record, sim.now)
	sim.participants = append(sim.participants, &participant{id: id, record: record, attempt: a, step: step, ready: sim.now})
}

// apply executes a step on the table.
func (sim *simulation) apply(s Step) Result {
	switch {
	case s.Op == Insert && sim.row != nil, s.Op == Rewrite && (sim.row == nil || s.Version != fmt.Sprint(sim.version)):
		return Result{Status: Exists}
	case s.Op == Read && sim.row == nil:
		return Result{Status: Missing}
	case s.Op == Read:
		return Result{Version: fmt.Sprint(sim.version), Record: *sim.row}
	}
	record := s.Record
	sim.row = &record
	sim.version++
	return Result{Version: fmt.Sprint(sim.version)}
}

func (sim *simulation) pickReady(t *rapid.T) *participant {
	var ready []*participant
	for _, p := range sim.participants {
		if !p.ready.After(sim.now) {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return rapid.SampledFrom(ready).Draw(t, "participant")
}

// stepOnTable executes the next table operation of one participant, possibly
// with a fault.
func (sim *simulation) stepOnTable(t *rapid.T) {
	p := sim.pickReady(t)
	if p == nil || p.step.Op >= RunCall {
		return
	}
	step := p.step
	var r Result
	switch rapid.SampledFrom([]string{"works", "works", "works", "refused", "answer lost", "call lost", "takes effect late"}).Draw(t, "table") {
	case "works":
		r = sim.apply(step)
	case "answer lost":
		sim.apply(step)
		r = Result{Status: Indeterminate}
	case "takes effect late":
		if step.Op != Read {
			sim.lateWrites = append(sim.lateWrites, func() { sim.apply(step) })
		}
		r = Result{Status: Indeterminate}
	default:
		r = Result{Status: Indeterminate}
	}
	sim.advance(p, r)
}

func (sim *simulation) advance(p *participant, r Result) {
	if p.writer != nil {
		p.step = p.writer.Next(r)
	} else {
		p.step = p.attempt.Next(sim.now, r)
		if sim.takesOver && p.step.Op == RefuseUnknown {
			p.step = Step{Op: RunCall, Version: r.Version}
		}
	}
	p.ready = sim.now.Add(p.step.After)
}

// endAttempt carries out the final step of one participant. Its instance may die
// before, during or after it.
func (sim *simulation) endAttempt(t *rapid.T) {
	p := sim.pickReady(t)
	if p == nil || p.step.Op < RunCall {
		return
	}
	sim.remove(p)
	switch p.step.Op {
	case RunCall:
		sim.runCall(t, p)
	case SendStored:
		sim.answers[string(p.step.Record.Answer.Body)] = true
	case GiveUp:
		sim.notRun[p.id] = true
		if rapid.Bool().Draw(t, "dies before it records that it did not run") {
			return
		}
		s, step := NewNotRunWriter(p.record)
		sim.participants = append(sim.participants, &participant{id: p.id, writer: s, step: step, ready: sim.now})
	}
}

func (sim *simulation) runCall(t *rapid.T, p *participant) {
	fate := rapid.SampledFrom([]string{"answered", "refused by the service", "answer of the service lost", "dies before", "dies after"}).Draw(t, "run")
	record := p.record
	switch fate {
	case "dies before":
		return
	case "refused by the service":
		sim.notRun[p.id] = true
		record = record.MarkNotRun()
	case "answered":
		sim.runs[p.id]++
		sim.answers[p.id] = true
		record = record.MarkDone(Answer{Status: 201, Body: []byte(p.id)})
	default:
		sim.runs[p.id]++
		return
	}
	s, step := NewOutcomeWriter(record, p.step.Version)
	sim.participants = append(sim.participants, &participant{id: p.id, writer: s, step: step, ready: sim.now})
}

func (sim *simulation) remove(p *participant) {
	for i := range sim.participants {
		if sim.participants[i] == p {
			sim.participants = append(sim.participants[:i:i], sim.participants[i+1:]...)
			return
		}
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"begin": func(*rapid.T) { sim.beginAttempt() },
		"table": sim.stepOnTable,
		"end":   sim.endAttempt,
		"late write": func(t *rapid.T) {
			if len(sim.lateWrites) == 0 {
				return
			}
			i := rapid.IntRange(0, len(sim.lateWrites)-1).Draw(t, "write")
			do := sim.lateWrites[i]
			sim.lateWrites = append(sim.lateWrites[:i:i], sim.lateWrites[i+1:]...)
			do()
		},
		"time passes": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{100, 300, 2000, 6000, 130_000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// violation describes the invariant that does not hold, or is empty.
func (sim *simulation) violation() string {
	total := 0
	for id, n := range sim.runs {
		total += n
		if sim.notRun[id] {
			return id + " was refused as not run, and has run"
		}
	}
	if total > 1 {
		return fmt.Sprintf("the call has run %d times: %v", total, sim.runs)
	}
	if len(sim.answers) > 1 {
		return fmt.Sprintf("callers got different answers: %v", sim.answers)
	}
	return ""
}

func TestCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		actions := sim.actions()
		actions[""] = func(t *rapid.T) {
			if b := sim.violation(); b != "" {
				t.Fatal(b)
			}
		}
		t.Repeat(actions)
	})
}

// TestSimulationDetectsTakeover checks that violation detects a second run, which
// happens when attempts take over the running record of a paused instance.
func TestSimulationDetectsTakeover(t *testing.T) {
	sim := newSimulation()
	sim.takesOver = true
	sim.beginAttempt()
	first := sim.participants[0]
	sim.advance(first, sim.apply(first.step)) // inserted its record; its instance pauses
	sim.now = sim.now.Add(UnknownAfter)
	sim.beginAttempt()
	second := sim.participants[1]
	sim.advance(second, sim.apply(second.step))
	sim.advance(second, sim.apply(second.step))
	for _, p := range []*participant{first, second} {
		if p.step.Op == RunCall {
			sim.runs[p.id]++
		}
	}
	if sim.violation() == "" {
		t.Fatal("violation did not report the second run")
	}
}

func TestDecide(t *testing.T) {
	record := func(edit func(*Record)) Record {
		r := NewRecord("a", "f", start)
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
		{name: "answered", found: record(func(r *Record) { *r = r.MarkDone(Answer{}) }), want: Replay},
		{name: "not run", found: record(func(r *Record) { r.State = NotRun }), want: Replace},
		{name: "just started", found: record(func(*Record) {}), at: UnknownAfter - 1, want: Wait},
		{name: "running for too long", found: record(func(*Record) {}), at: UnknownAfter, want: Unknown},
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
	seed, err := json.Marshal(NewRecord("a", "f", start).MarkDone(Answer{Status: 201, Body: []byte("x")}))
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
			return // the year can't be encoded as JSON
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
