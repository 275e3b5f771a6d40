package duty

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"banyanyard/core/era"
	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	tick   = 50 * time.Millisecond
	apart  = 3 * time.Second
	length = 50 * time.Second
)

// A fakeStore holds the row. Writes may take effect late.
type fakeStore struct {
	row   Row
	older Row // before the newest write
	late  []lateWrite
}

type lateWrite struct {
	at   time.Duration
	step Step
}

func (s *fakeStore) write(w Step) bool {
	if w.Expect.Number() != s.row.Version.Number() {
		return false
	}
	s.older = s.row
	s.row = Row{Record: w.Record, Version: era.New(0, s.row.Version.Number()+1)}
	return true
}

// An actor is an instance with a steady clock of its own and a call to the store.
type actor struct {
	tenure      Tenure
	offset      time.Duration
	pausedUntil time.Duration
	cutUntil    time.Duration // no call reaches the store
	step        Step
	stepEnds    time.Duration
	result      func(now time.Duration)
	starts      int
	callEnds    []time.Duration
	checked     uint64 // the token of the tick before, 0 for none; see simulation.unchecked
}

func (a *actor) restart() {
	a.starts++
	a.tenure = Tenure{Instance: a.tenure.Instance, Start: fmt.Sprint(a.tenure.Instance, "-", a.starts), Terms: a.tenure.Terms}
	a.step, a.result, a.callEnds, a.checked = Step{}, nil, nil, 0
}

// An act is a call that the platform got.
type act struct {
	at     time.Duration
	holder string
	token  uint64
}

// A simulation plays drawn pauses, kills, cuts, stops and failures of the store, between
// instances that tell each other of the row.
type simulation struct {
	terms Terms
	// unchecked lets holders send without a look at the clock, as if they were paused
	// between the check and the call.
	unchecked bool
	acts      []act
}

func (sim *simulation) run(t *rapid.T) {
	store := &fakeStore{}
	actors := make([]*actor, rapid.IntRange(2, 4).Draw(t, "instances"))
	for i := range actors {
		actors[i] = &actor{offset: time.Duration(i) * time.Hour}
		actors[i].tenure = Tenure{Instance: fmt.Sprint("i", i), Terms: sim.terms}
		actors[i].restart()
	}
	random := rapid.Custom(func(t *rapid.T) int { return int(rapid.Uint32().Draw(t, "n")) })
	state := uint64(random.Draw(t, "seed")) | 1
	draw := func(n int) int { // cheap draws, of which there are many
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % n
	}
	trouble := rapid.IntRange(1, 60).Draw(t, "trouble")
	for now := time.Duration(0); now < length; now += tick {
		for len(store.late) > 0 && store.late[0].at <= now {
			store.write(store.late[0].step)
			store.late = store.late[1:]
		}
		for i, a := range actors {
			sim.disturb(a, now, draw, trouble)
			if now < a.pausedUntil {
				continue
			}
			if other := actors[draw(len(actors))]; draw(20) == 0 && now >= other.pausedUntil {
				a.tenure.Hear(now+a.offset, other.tenure.Row())
			}
			sim.advance(store, a, i, now, draw)
		}
	}
}

// disturb pauses, kills, cuts off or stops an instance now and then.
func (sim *simulation) disturb(a *actor, now time.Duration, draw func(int) int, trouble int) {
	if draw(6000) >= trouble {
		return
	}
	span := time.Duration(draw(12000)) * time.Millisecond
	switch draw(4) {
	case 0:
		a.pausedUntil = now + span
	case 1:
		a.restart()
		a.pausedUntil = now + span/4
	case 2:
		a.cutUntil = now + span
	case 3:
		a.tenure.GiveUp(now + a.offset + span)
	}
}

// advance lets an instance take a step: its answer from the store, a call to the platform
// and its next call to the store.
func (sim *simulation) advance(store *fakeStore, a *actor, rank int, now time.Duration, draw func(int) int) {
	clock := now + a.offset
	if a.result != nil && now >= a.stepEnds {
		a.result(clock)
		a.result = nil
	}
	for len(a.callEnds) > 0 && a.callEnds[0] <= now {
		a.tenure.End()
		a.callEnds = a.callEnds[1:]
	}
	if len(a.callEnds) == 0 && draw(4) == 0 {
		sim.act(a, now, time.Duration(draw(int(sim.terms.Call/time.Millisecond)))*time.Millisecond)
	}
	if a.result != nil {
		return
	}
	if a.step = a.tenure.Next(clock, rank); a.step.Kind != Wait {
		sim.call(store, a, now, draw)
	}
}

// act makes a call to the platform that takes some time to arrive.
func (sim *simulation) act(a *actor, now, takes time.Duration) {
	token, _ := a.tenure.Begin(now+a.offset, sim.terms.Call)
	if token > 0 {
		a.callEnds = append(a.callEnds, now+takes)
	}
	if sim.unchecked {
		token, a.checked = a.checked, token
	}
	if token > 0 {
		sim.acts = append(sim.acts, act{at: now + takes, holder: a.tenure.Instance, token: token})
	}
}

// call carries out a call to the store, or lets it fail before or after it took effect.
func (sim *simulation) call(store *fakeStore, a *actor, now time.Duration, draw func(int) int) {
	step := a.step
	a.stepEnds = now + time.Duration(draw(400))*time.Millisecond
	fail := func(clock time.Duration) { a.tenure.Fail(clock, step) }
	chance := draw(20)
	switch {
	case now < a.cutUntil || chance == 0:
		a.result, a.stepEnds = fail, now+1500*time.Millisecond
	case step.Kind == Read:
		row := store.row
		if chance == 1 {
			row = store.older
		}
		a.result = func(clock time.Duration) { a.tenure.LearnRow(clock, row) }
	case chance == 1:
		store.late = append(store.late, lateWrite{at: now + time.Duration(1000+draw(5000))*time.Millisecond, step: step})
		a.result, a.stepEnds = fail, now+1500*time.Millisecond
	case !store.write(step):
		a.result = func(time.Duration) { a.tenure.Conflict() }
	case chance < 4:
		a.result, a.stepEnds = fail, now+1500*time.Millisecond
	default:
		version := store.row.Version
		a.result = func(clock time.Duration) { a.tenure.Written(clock, step, version) }
	}
}

// check returns what is wrong about the calls in the order in which the platform got them.
func (sim *simulation) check() error {
	sortActs(sim.acts)
	holders := map[uint64]string{}
	last := map[string]time.Duration{}
	newest := act{}
	for _, one := range sim.acts {
		if h, ok := holders[one.token]; ok && h != one.holder {
			return fmt.Errorf("%s and %s sent token %d", h, one.holder, one.token)
		}
		holders[one.token] = one.holder
		if one.token < newest.token {
			return fmt.Errorf("token %d at %v after %d at %v", one.token, one.at, newest.token, newest.at)
		}
		if before, ok := last[one.holder]; ok && newest.holder != one.holder && one.at-before < apart {
			return fmt.Errorf("%s acted at %v and, after %s, at %v", one.holder, before, newest.holder, one.at)
		}
		last[one.holder] = one.at
		newest = one
	}
	return nil
}

func sortActs(acts []act) {
	for i := 1; i < len(acts); i++ {
		for j := i; j > 0 && acts[j].at < acts[j-1].at; j-- {
			acts[j], acts[j-1] = acts[j-1], acts[j]
		}
	}
}

func TestOneHolderAtATime(t *testing.T) {
	acts, holders := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := simulation{terms: NewTerms(apart)}
		sim.run(t)
		if err := sim.check(); err != nil {
			t.Fatal(err)
		}
		acts += len(sim.acts)
		for i, one := range sim.acts {
			if i == 0 || one.token != sim.acts[i-1].token {
				holders++
			}
		}
	})
	t.Logf("%d calls, %d tenures", acts, holders)
	is.New(t).True(holders > 1000) // the schedules change the holder
}

// TestCheckNoticesGuardsRemoved plays the same schedules without one of the guards.
func TestCheckNoticesGuardsRemoved(t *testing.T) {
	eager := NewTerms(apart)
	eager.Margin = -eager.Lease / 2
	tests := []struct {
		name string
		sim  simulation
	}{
		{name: "successors don't wait for the lease", sim: simulation{terms: eager}},
		{name: "holders don't look at the clock before a call", sim: simulation{terms: NewTerms(apart), unchecked: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := 0
			for seed := range 300 {
				rapid.Custom(func(t *rapid.T) int {
					sim := tt.sim
					sim.run(t)
					if sim.check() != nil {
						broken++
					}
					return 0
				}).Example(seed)
			}
			is.New(t).True(broken > 0)
		})
	}
}

func TestTakeOver(t *testing.T) {
	terms := NewTerms(apart)
	held := Record{Holder: "a", Start: "a-1", Number: 4}
	tests := []struct {
		name   string
		row    Row
		takeAt time.Duration
		token  uint64 // 0 for the version of the write
	}{
		{name: "never held", row: Row{}, takeAt: 0},
		{name: "held", row: Row{Record: held, Version: era.New(0, 7)}, takeAt: terms.Lease + terms.Margin},
		{name: "released", row: Row{Record: Record{Holder: "a", Released: true}, Version: era.New(0, 7)}, takeAt: 0},
		{name: "released, held by this instance shortly before", row: Row{Record: Record{Holder: "a", Released: true, Before: []string{"b"}}, Version: era.New(0, 7)}, takeAt: terms.Lease + terms.Margin},
		{name: "missing in a store that came back from a copy", row: Row{Version: era.New(1, 0)}, takeAt: terms.Lease + terms.Margin},
		{name: "own, in a store that came back from a copy", row: Row{Record: Record{Holder: "b", Start: "b-1"}, Version: era.New(1, 7)}, takeAt: terms.Lease + terms.Margin, token: uint64(era.New(1, 7))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := Tenure{Instance: "b", Start: "b-1", Terms: terms}
			is.Equal(b.Next(0, 0).Kind, Read)
			b.LearnRow(0, tt.row)
			for now := time.Duration(0); now < tt.takeAt; now += tick {
				is.True(b.Next(now, 0).Kind != Write)
			}
			step := b.Next(tt.takeAt, 0)
			is.Equal(step.Kind, Write)
			b.Written(tt.takeAt+tick, step, era.New(tt.row.Version.Era(), 9))
			token, ok := b.Begin(tt.takeAt+tick, terms.Call)
			is.True(ok)
			is.Equal(token, cmp.Or(tt.token, uint64(era.New(tt.row.Version.Era(), 9))))
			is.True(!b.Holds(tt.takeAt+terms.Lease-terms.Call+1, terms.Call)) // the lease counts from when the write was begun
		})
	}
}
