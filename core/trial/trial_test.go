package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

var order = Order{Service: "s", To: "v2", Revision: 7, Duration: 24 * time.Second}

var bounds = Bounds{ExposeShare: 0.15, ExposeSlack: 30, SessionTimeout: 5 * time.Second}

// A simulation is a deployment of instances that all receive the same order.
type simulation struct {
	trials []*Trial
	random *rand.Rand
	now    time.Time
	// outcome decides how an attempt on the new version ends.
	outcome     func(at time.Duration, kind string) (failed bool, latency time.Duration)
	eventGap    func(at time.Duration) time.Duration // on the new version; nil for the same as on the old one
	oldEventGap time.Duration                        // largest additional gap on the old version
	attempts    int
	newAttempts int
	badAnswers  int
	afterBad    int // requests to the new version after its 50th bad answer
	pending     []pendingGap
}

// A pendingGap is an average time between events that is known only once the
// events have arrived.
type pendingGap struct {
	at    time.Time
	trial *Trial
	gap   Observation
}

func newSimulation(instances int, seed uint64) *simulation {
	p := &simulation{random: rand.New(rand.NewPCG(seed, seed)), now: start, oldEventGap: 40 * time.Millisecond}
	for range instances {
		t := New(start, order, bounds)
		t.Instances = instances
		p.trials = append(p.trials, t)
	}
	return p
}

// run sends requests for the order's duration, 60 a second in total, and lets
// the instances exchange reports twice a second and check their trials four times.
func (p *simulation) run() {
	const perSecond = 60
	kinds := []string{"draft/small", "draft/large", "tag/small"}
	p.recordBaseline(kinds)
	for i := range int(order.Duration.Seconds()) * perSecond {
		p.now = start.Add(time.Duration(i) * time.Second / perSecond)
		if i%(perSecond/2) == 0 {
			p.exchangeReports()
		}
		if i%(perSecond/4) == 0 {
			p.checkTrials()
		}
		t := p.trials[p.random.IntN(len(p.trials))]
		kind := kinds[p.random.IntN(len(kinds))]
		toNew := t.ChooseNew(p.now, fmt.Sprint("session-", i), "")
		t.CountAttempt(toNew)
		p.attempts++
		o := Observation{New: toNew, Kind: kind, Answered: true, Prompt: true, Duration: time.Duration(50+p.random.IntN(100)) * time.Millisecond}
		if toNew {
			p.newAttempts++
			if p.badAnswers >= 50 {
				p.afterBad++
			}
			o.Failed, o.Duration = p.outcome(p.now.Sub(start), kind)
			if o.Failed {
				p.badAnswers++
			}
		}
		t.RecordOutcome(o)
		gap := Observation{New: toNew, Kind: kind, Duration: p.oldGap()}
		if toNew && p.eventGap != nil {
			gap.Duration = p.eventGap(p.now.Sub(start))
		}
		if kind != "tag/small" { // which has too few events
			p.pending = append(p.pending, pendingGap{at: p.now.Add(o.Duration + sampleEvents*gap.Duration), trial: t, gap: gap})
		}
		p.recordGaps()
	}
}

// recordBaseline records times between events from before the order.
func (p *simulation) recordBaseline(kinds []string) {
	for _, t := range p.trials {
		for _, kind := range kinds {
			for range baselineSamples {
				t.Baseline.Gaps.Record(kind, p.oldGap())
			}
		}
	}
}

func (p *simulation) oldGap() time.Duration {
	return 25*time.Millisecond + time.Duration(p.random.Int64N(int64(p.oldEventGap)))
}

// sampleEvents is the number of events over which the time between them is
// averaged.
const sampleEvents = 8

// recordGaps records the times between events that are known by now.
func (p *simulation) recordGaps() {
	p.pending = slices.DeleteFunc(p.pending, func(g pendingGap) bool {
		if g.at.After(p.now) {
			return false
		}
		if !g.gap.New {
			g.trial.Baseline.Gaps.Record(g.gap.Kind, g.gap.Duration)
		}
		g.trial.RecordEventGap(p.now, g.gap)
		return true
	})
}

func (p *simulation) exchangeReports() {
	for i, t := range p.trials {
		r := t.Report(p.now, 0)
		for j, other := range p.trials {
			if i != j {
				other.LearnReport(p.now, fmt.Sprint(i), r)
			}
		}
	}
	p.checkTrials()
}

func (p *simulation) checkTrials() {
	for _, t := range p.trials {
		t.GiveUp(p.now)
		if s, why := t.State(); s == Stopped {
			for _, other := range p.trials {
				other.AdoptState(Stopped, why)
			}
		}
	}
}

func goodOutcome(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
	return func(time.Duration, string) (bool, time.Duration) {
		return false, time.Duration(50+r.IntN(100)) * time.Millisecond
	}
}

func constantGap(gap time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return gap }
}

func TestGoodVersionGetsAllTraffic(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		p := newSimulation(7, seed)
		p.outcome = goodOutcome(p.random)
		p.run()
		for _, tr := range p.trials {
			state, _ := tr.State()
			is.Equal(state, Running)
			is.True(tr.Moved(p.now))
		}
	}
}

// TestGoodVersionWithColdPromptCaches simulates a good version whose upstreams
// have no prompts cached: once the traffic moves, a sixth of its first tokens
// is late. That alone must not stop the trial.
func TestGoodVersionWithColdPromptCaches(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		p := newSimulation(7, seed)
		p.outcome = func(at time.Duration, _ string) (bool, time.Duration) {
			if at > order.Duration/2 && p.random.Float64() < 0.17 {
				return false, 600 * time.Millisecond
			}
			return false, 100 * time.Millisecond
		}
		p.run()
		for _, tr := range p.trials {
			state, why := tr.State()
			is.Equal(state, Running)
			is.Equal(why, "")
		}
	}
}

// TestBadVersionIsStopped simulates different faults of the new version. It
// must get at most 15% of all requests plus 30, and none later than 5 s after
// its 50th bad answer.
func TestBadVersionIsStopped(t *testing.T) {
	tests := []struct {
		name     string
		outcome  func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration)
		eventGap func(at time.Duration) time.Duration
		// oldEventGap is the largest additional gap on the old version.
		oldEventGap time.Duration
	}{
		{name: "slow streams", outcome: goodOutcome, eventGap: constantGap(110 * time.Millisecond)},
		// The old version's upstreams are loaded, the new one's are not until the
		// traffic moves.
		{name: "streams slow for their load", outcome: goodOutcome, oldEventGap: 90 * time.Millisecond, eventGap: func(at time.Duration) time.Duration {
			if at < order.Duration*6/10 {
				return 85 * time.Millisecond
			}
			return 250 * time.Millisecond
		}},
		{name: "errors", outcome: func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(time.Duration, string) (bool, time.Duration) {
				return r.Float64() < 0.35, 80 * time.Millisecond
			}
		}},
		{name: "errors in one kind of request", outcome: func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(_ time.Duration, kind string) (bool, time.Duration) {
				return kind == "tag/small" && r.Float64() < 0.5, 80 * time.Millisecond
			}
		}},
		{name: "errors that begin after 3 s", outcome: func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(at time.Duration, _ string) (bool, time.Duration) {
				return at > 3*time.Second && r.Float64() < 0.5, 80 * time.Millisecond
			}
		}},
		{name: "errors that begin when the traffic moves", outcome: func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(at time.Duration, _ string) (bool, time.Duration) {
				return at > 12400*time.Millisecond && r.Float64() < 0.5, 80 * time.Millisecond
			}
		}},
		{name: "some answers slow", outcome: func(r *rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(time.Duration, string) (bool, time.Duration) {
				if r.Float64() < 0.45 {
					return false, 800 * time.Millisecond
				}
				return false, 100 * time.Millisecond
			}
		}},
		{name: "all answers slow", outcome: func(*rand.Rand) func(time.Duration, string) (bool, time.Duration) {
			return func(time.Duration, string) (bool, time.Duration) { return false, 800 * time.Millisecond }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(50) {
				p := newSimulation(7, seed)
				p.outcome = tt.outcome(p.random)
				p.eventGap = tt.eventGap
				if tt.oldEventGap > 0 {
					p.oldEventGap = tt.oldEventGap
				}
				p.run()
				for _, tr := range p.trials {
					state, why := tr.State()
					is.Equal(state, Stopped)
					is.True(why != "")
				}
				is.True(float64(p.newAttempts) <= 0.15*float64(p.attempts)+30)
				is.True(p.afterBad <= 5) // sent before the next exchange of reports, at most 0.5 s later
			}
		})
	}
}

func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	for i := range 200 {
		session := fmt.Sprint("session-", i)
		tr := New(start, order, bounds)
		tr.RecordOldSession("old-"+session, start)
		is.True(!tr.ChooseNew(start.Add(time.Second), "old-"+session, "")) // used the old version before the order
		first := tr.ChooseNew(start.Add(time.Second), session, "")
		is.Equal(tr.ChooseNew(start.Add(4*time.Second), session, ""), first)
		tr.RecordOutcome(Observation{New: true, Kind: "k"})
		if first {
			is.True(tr.ChooseNew(start.Add(8*time.Second), session, "")) // stays on the new version
		}
	}
}

// TestAnswersThatNobodyWaitedForCountAsSlow checks that a version whose answers come after
// the callers' deadline is stopped.
func TestAnswersThatNobodyWaitedForCountAsSlow(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		want     State
	}{
		{name: "waited for long", duration: time.Second, want: Stopped},
		{name: "caller left at once", duration: 20 * time.Millisecond, want: Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := New(start, order, bounds)
			for range 50 {
				tr.Baseline.Durations.Record("k", 40*time.Millisecond)
				tr.RecordOutcome(Observation{Kind: "k", Answered: true, Duration: 40 * time.Millisecond})
			}
			for range 20 {
				tr.RecordOutcome(Observation{New: true, Kind: "k", Unfinished: true, Duration: tt.duration})
			}
			state, _ := tr.State()
			is.Equal(state, tt.want)
		})
	}
}

// TestCompletionWaitsForEvidence checks that a version that turns bad once the traffic has
// moved is not recorded as completed.
func TestCompletionWaitsForEvidence(t *testing.T) {
	tests := []struct {
		name   string
		failed int // of 50 answers after the move
		at     time.Duration
		want   bool
	}{
		{name: "good, time is left", at: 21 * time.Second},
		{name: "good, at the end", at: 23500 * time.Millisecond, want: true},
		{name: "fails now and then, at the end", failed: 6, at: 23500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := New(start, order, bounds)
			tr.LearnSummary(start, Summary{To: "v2", Good: 1, MoveAt: 20 * time.Second})
			is.True(tr.Moved(start.Add(20 * time.Second)))
			for range 200 {
				tr.RecordOutcome(Observation{Kind: "k", Answered: true})
			}
			for i := range 50 {
				tr.RecordOutcome(Observation{New: true, Kind: "k", Answered: true, Failed: i%8 == 0 && i/8 < tt.failed})
			}
			is.Equal(tr.MayComplete(start.Add(tt.at)), tt.want)
		})
	}
}

// TestFailuresBesideFailingKindAreSeen checks that a version which fails more often in each
// kind of request is not completed where one kind fails by itself.
func TestFailuresBesideFailingKindAreSeen(t *testing.T) {
	type outcomes struct {
		kind                     string
		newBad, new, oldBad, old int
	}
	tests := []struct {
		name  string
		kinds []outcomes
		want  bool // it may be completed
	}{
		{name: "more in each kind", kinds: []outcomes{{"reads", 9, 25, 61, 244}, {"holds", 4, 38, 4, 460}, {"looks", 2, 14, 0, 58}, {"tests", 1, 1, 28, 28}}},
		{name: "as on the old version", kinds: []outcomes{{"reads", 6, 25, 61, 244}, {"holds", 0, 38, 4, 460}, {"looks", 0, 14, 0, 58}, {"tests", 1, 1, 28, 28}}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := New(start, order, bounds)
			tr.LearnSummary(start, Summary{To: "v2", Good: 1, MoveAt: 20 * time.Second})
			is.True(tr.Moved(start.Add(20 * time.Second)))
			for _, k := range tt.kinds {
				for i := range k.old {
					tr.RecordOutcome(Observation{Kind: k.kind, Answered: true, Failed: i < k.oldBad})
				}
				for i := range k.new {
					tr.RecordOutcome(Observation{New: true, Kind: k.kind, Answered: true, Failed: i >= k.new-k.newBad})
				}
			}
			is.Equal(tr.MayComplete(start.Add(23500*time.Millisecond)), tt.want)
		})
	}
}

func TestStoppedStateIsFinal(t *testing.T) {
	is := is.New(t)
	tr := New(start, order, bounds)
	is.True(tr.AdoptState(Stopped, "bad"))
	is.True(!tr.AdoptState(Completed, ""))
	is.True(!tr.ChooseNew(start.Add(23*time.Second), "s", ""))
	is.Equal(tr.Share(start.Add(23*time.Second)), 0.0)
}

// TestOldVersionDrained checks the conditions for recording a trial as
// completed: no instance sends requests to the old version, and none is in
// flight there.
func TestOldVersionDrained(t *testing.T) {
	moved := start.Add(20 * time.Second)
	tests := []struct {
		name    string
		running int
		report  Report
		want    bool
	}{
		{name: "drained", report: Report{To: "v2", OldRunning: 0}, want: true},
		{name: "one in flight at this instance", running: 1, report: Report{To: "v2", OldRunning: 0}},
		{name: "one in flight at another instance", report: Report{To: "v2", OldRunning: 1}},
		{name: "another instance has not moved", report: Report{To: "v2", OldRunning: -1}},
		{name: "another instance has not reported on this order", report: Report{To: "v3", OldRunning: 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := New(start, order, bounds)
			for range 10 {
				tr.RecordOutcome(Observation{New: true, Kind: "k"})
			}
			tr.LearnReport(start, "other", tt.report)
			for at := start; at.Before(moved); at = at.Add(time.Second) {
				tr.Share(at) // as for each request
			}
			is.Equal(tr.OldVersionDrained(moved, tt.running, []string{"other"}), tt.want)
		})
	}
}

func TestLateStartAdoptsEarliestStartTime(t *testing.T) {
	is := is.New(t)
	tr := New(start, order, bounds)
	tr.LearnReport(start, "other", Report{To: "v2", Elapsed: 20 * time.Second, OldRunning: 0})
	is.Equal(tr.StartTime(), start.Add(-20*time.Second))
}

// A clientSession is one of the sessions of
// TestSessionsKeepTheirVersionAcrossInstances.
type clientSession struct {
	id       string
	onNew    bool
	lastSeen time.Time
}

// request sends one request of the session to a trial and reports whether the
// version chosen violates the session rules: the new version after the old one
// in the first half of the order's duration, or the old version after the new
// one.
func (p *simulation) request(s *clientSession, tr *Trial) (forbidden bool) {
	if p.now.Before(start) {
		tr.RecordOldSession(s.id, p.now)
		s.lastSeen = p.now
		return false
	}
	toNew := tr.ChooseNew(p.now, s.id, "")
	tr.CountAttempt(toNew)
	tr.RecordOutcome(Observation{New: toNew, Kind: "k", Duration: time.Millisecond})
	joined := toNew && !s.onNew && p.now.Sub(start) < order.Duration/2
	left := !toNew && s.onNew
	forbidden = p.now.Sub(s.lastSeen) < bounds.SessionTimeout && (joined || left)
	s.onNew = toNew
	s.lastSeen = p.now
	return forbidden
}

// TestSessionsKeepTheirVersionAcrossInstances simulates sessions whose requests
// reach instances at random, also before the order. A quarter of the requests
// continue a session of the last three seconds. Up to three violations per run
// are allowed.
func TestSessionsKeepTheirVersionAcrossInstances(t *testing.T) {
	is := is.New(t)
	const perSecond = 57
	total := 0
	for seed := range uint64(30) {
		p := newSimulation(7, seed)
		var open []*clientSession
		forbidden := 0
		for i := range 30 * perSecond {
			p.now = start.Add(-6*time.Second + time.Duration(i)*time.Second/perSecond)
			if i%(perSecond/2) == 0 {
				p.exchangeReports()
			}
			for len(open) > 0 && p.now.Sub(open[0].lastSeen) > 3*time.Second {
				open = open[1:]
			}
			s := &clientSession{id: fmt.Sprint("session-", seed, "-", i), lastSeen: p.now.Add(-bounds.SessionTimeout)}
			if len(open) > 0 && p.random.Float64() < 0.25 {
				s = open[p.random.IntN(len(open))]
			} else {
				open = append(open, s)
			}
			if p.request(s, p.trials[p.random.IntN(len(p.trials))]) {
				forbidden++
			}
		}
		total += forbidden
		is.True(forbidden <= 3)
		is.True(p.trials[0].goodAnswers() >= 5)
	}
	is.True(total <= 3) // over all runs, since instances learn of each other's sessions
}
