package rollout

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	_ "banyanyard/core/seeded"
	"banyanyard/core/tally"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func TestJoinKeepsStopAndLaterStep(t *testing.T) {
	state := rapid.Custom(func(t *rapid.T) State {
		s := State{Segment: rapid.IntRange(0, 5).Draw(t, "segment"), Done: rapid.Bool().Draw(t, "done")}
		if rapid.Bool().Draw(t, "stopped") {
			s.Stopped = "why"
		}
		return s
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := state.Draw(t, "a"), state.Draw(t, "b")
		j := Join(a, b)
		if j.Version() != Join(b, a).Version() || (a.Stopped != "" || b.Stopped != "") && j.Stopped == "" || j.Segment < min(a.Segment, b.Segment) {
			t.Fatalf("join of %+v and %+v is %+v", a, b, j)
		}
	})
}

func TestAdvance(t *testing.T) {
	good := func(n int) Evidence {
		return Evidence{New: Arm{Errors: tally.Counts{Good: n}}, Old: Arm{Errors: tally.Counts{Good: 1000}}}
	}
	tests := []struct {
		name     string
		state    State
		evidence Evidence
		after    time.Duration
		hold     bool
		want     State // Since is not compared
	}{
		{name: "too little evidence", evidence: good(MinStepRequests - 1), after: time.Hour},
		{name: "too early", evidence: good(MinStepRequests), after: time.Second},
		{name: "next step", evidence: good(MinStepRequests), after: time.Hour, want: State{Step: 1, Segment: 1}},
		{name: "holds while instances are not visible", evidence: good(MinStepRequests), after: time.Hour, hold: true},
		{name: "next round", state: State{Step: 2, Segment: 2}, evidence: good(MinRoundRequests), after: time.Hour, want: State{Step: 2, Segment: 3, Rounds: 1}},
		{name: "done", state: State{Step: 2, Segment: 4, Rounds: 2}, evidence: good(MinRoundRequests), after: time.Hour, want: State{Step: 2, Segment: 5, Rounds: 3, Done: true}},
		{name: "stopped is final", state: State{Stopped: "x"}, evidence: good(MinRoundRequests), after: time.Hour, want: State{Stopped: "x"}},
		{name: "stops while instances are not visible", evidence: Evidence{New: Arm{Errors: tally.Counts{Bad: 10}}}, hold: true, want: State{Stopped: "errors: 10 of 10 with the new version, 0 of 0 with the old"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := Advance(tt.state, tt.evidence, 3, tt.state.Since.Add(tt.after), tt.hold)
			got.Since = tt.want.Since
			is.Equal(got, tt.want)
		})
	}
}

// A version has probabilities of bad outcomes. That of errors may change at the
// last step.
type version struct {
	errors, slow, insufficient float64
	lastStepErrors             float64 // probability of errors in the last step; 0 if it does not change
}

// A simulation is a roll-out over several instances, which learn each other's
// evidence with a delay.
type simulation struct {
	instances     int
	evidenceDelay int // number of requests, of all sessions, until evidence is known
	random        *rand.Rand
	gates         []Gate
	state         State
	known         Evidence
	inFlight      []outcome
	badExposure   int // requests sent to the new version while it was bad
	proven        int // good answers in earlier segments
	sent          int // requests of all sessions
	now           time.Time
}

type outcome struct {
	at       int
	instance int
	segment  int
	evidence Evidence
	answered bool
	isNew    bool
}

var shares = []int{1, 5, 25, 50, 100}

const (
	perSecond  = 50 // requests to a deployment of the present size
	ratedOfTen = 4  // answers rated out of ten
)

func newSimulation(seed uint64, instances int) *simulation {
	return &simulation{instances: instances, evidenceDelay: 2 * perSecond, random: rand.New(rand.NewPCG(seed, seed)), gates: make([]Gate, instances), state: State{Since: start}, now: start}
}

// run simulates requests until the roll-out ends or n have been sent.
func (s *simulation) run(old, next version, n int) {
	for s.sent = 0; s.sent < n && s.state.Stopped == "" && !s.state.Done; s.sent++ {
		s.now = s.now.Add(time.Second / perSecond)
		s.learn()
		i := s.random.IntN(s.instances)
		isNew := s.random.IntN(100) < s.state.SharePercent(shares) && s.gates[i].Admit(IsPilot(i), max(s.proven, s.known.New.Errors.Good))
		v := old
		if isNew {
			v = next
			atLast := s.state.Step == len(shares)-1
			if next.lastStepErrors == 0 || atLast {
				s.badExposure++
			}
			if next.lastStepErrors > 0 && atLast {
				v.errors = next.lastStepErrors
			}
		}
		s.inFlight = append(s.inFlight, s.outcome(v, i, isNew))
	}
}

func (s *simulation) outcome(v version, instance int, isNew bool) outcome {
	o := outcome{at: s.sent + s.evidenceDelay, instance: instance, segment: s.state.Segment, isNew: isNew}
	failed := s.random.Float64() < v.errors
	o.answered = !failed
	a := Arm{Errors: countsOf(failed)}
	if !failed {
		a.Latency = countsOf(s.random.Float64() < v.slow)
		if s.random.IntN(10) < ratedOfTen {
			a.Ratings = countsOf(s.random.Float64() < v.insufficient)
		}
	}
	if isNew {
		o.evidence.New = a
	} else {
		o.evidence.Old = a
	}
	return o
}

func countsOf(bad bool) tally.Counts {
	if bad {
		return tally.Counts{Bad: 1}
	}
	return tally.Counts{Good: 1}
}

// learn adds the outcomes that are known by now to the evidence, and advances
// the roll-out.
func (s *simulation) learn() {
	for len(s.inFlight) > 0 && s.inFlight[0].at <= s.sent {
		o := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if o.isNew {
			s.gates[o.instance].Finish(o.answered)
		}
		s.known.Old = s.known.Old.Plus(o.evidence.Old)
		if o.segment == s.state.Segment {
			s.known.New = s.known.New.Plus(o.evidence.New)
		}
	}
	next, changed := Advance(s.state, s.known, len(shares), s.now, false)
	if changed && next.Segment != s.state.Segment {
		s.proven = max(s.proven, s.known.New.Errors.Good)
		s.known.New = Arm{}
	}
	s.state = next
}

// fixedStepExposure returns the number of requests that reach a bad version in
// a roll-out with fixed steps of ten minutes, where an operator stops it at the
// end of the step from which it is bad.
func fixedStepExposure(seed uint64, badFrom int) int {
	const stepRequests = perSecond * 10 * 60
	r := rand.New(rand.NewPCG(seed, seed))
	reached := 0
	for range stepRequests {
		if r.IntN(100) < shares[badFrom] {
			reached++
		}
	}
	return reached
}

var oldVersion = version{errors: 0.005, slow: 0.03, insufficient: 0.08}

var badVersions = []struct {
	name    string
	version version
	bound   int // largest allowed number of requests that reach it; 0 for no requirement
	badFrom int // step from which it is bad
}{
	{name: "always fails", version: version{errors: 1}, bound: 20},
	{name: "fails one in five", version: version{errors: 0.2, slow: 0.03, insufficient: 0.08}, bound: 150},
	{name: "insufficient answers without errors", version: version{errors: 0.005, slow: 0.03, insufficient: 0.35}},
	{name: "slow", version: version{errors: 0.005, slow: 0.5, insufficient: 0.08}},
	{name: "errors from the last step on", version: version{errors: 0.005, slow: 0.03, insufficient: 0.08, lastStepErrors: 0.5}, badFrom: len(shares) - 1},
}

const maxRequests = 200_000

func TestExposureToBadVersions(t *testing.T) {
	for _, bad := range badVersions {
		for seed := uint64(1); seed <= 20; seed++ {
			tr := newSimulation(seed, 7)
			tr.run(oldVersion, bad.version, maxRequests)
			if tr.state.Stopped == "" {
				t.Errorf("%s, seed %d: not stopped after %d requests", bad.name, seed, tr.sent)
			}
			if bad.bound > 0 && tr.badExposure > bad.bound {
				t.Errorf("%s, seed %d: %d requests reached the version, more than %d", bad.name, seed, tr.badExposure, bad.bound)
			}
		}
	}
}

// TestFalseStops simulates 1,000 roll-outs of a version as good as the old one.
// At most one in a hundred may be stopped.
func TestFalseStops(t *testing.T) {
	is := is.New(t)
	const simulations = 1000
	ends := make(chan State, simulations)
	var workers sync.WaitGroup
	for worker := range uint64(8) {
		workers.Go(func() {
			for seed := worker + 1; seed <= simulations; seed += 8 {
				tr := newSimulation(seed, 7)
				tr.run(oldVersion, oldVersion, maxRequests)
				ends <- tr.state
			}
		})
	}
	workers.Wait()
	close(ends)
	stopped := 0
	for s := range ends {
		if s.Stopped != "" {
			stopped++
		} else {
			is.True(s.Done)
		}
	}
	t.Logf("%d of %d good versions were stopped", stopped, simulations)
	if stopped > simulations/100 {
		t.Errorf("%d of %d good versions were stopped", stopped, simulations)
	}
}

// BenchmarkMeasureExposure reports the requests that reach each bad version
// before it is stopped, the number that a roll-out with fixed steps of ten
// minutes lets through, and the duration of the roll-out of a good version.
func BenchmarkMeasureExposure(b *testing.B) {
	for _, bad := range badVersions {
		b.Run(fmt.Sprint(bad.name), func(b *testing.B) {
			reached, fixed, n := 0, 0, 0
			for b.Loop() {
				n++
				tr := newSimulation(uint64(n), 7)
				tr.run(oldVersion, bad.version, maxRequests)
				reached += tr.badExposure
				fixed += fixedStepExposure(uint64(n), bad.badFrom)
			}
			b.ReportMetric(float64(reached)/float64(n), "requests")
			b.ReportMetric(float64(fixed)/float64(n), "with-fixed-steps")
		})
	}
	b.Run("good", func(b *testing.B) {
		var minutes float64
		n := 0
		for b.Loop() {
			n++
			tr := newSimulation(uint64(n), 7)
			tr.run(oldVersion, oldVersion, maxRequests)
			minutes += tr.now.Sub(start).Minutes()
		}
		b.ReportMetric(minutes/float64(n), "minutes")
	})
}
