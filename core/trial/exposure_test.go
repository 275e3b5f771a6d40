package trial

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reportingGroup is a group of instances, of which the first collects the reports of the
// others. Each reports at times of its own, and its reports take time.
type reportingGroup struct {
	random  *rand.Rand
	trials  []*Trial
	phases  []time.Duration
	pending [][]delayedReport // by instance
}

type delayedReport struct {
	due    time.Time
	report Report
}

const (
	reportingStep  = 10 * time.Millisecond
	maxReportDelay = 200 * time.Millisecond
)

func newReportingGroup(instances int, seed uint64) *reportingGroup {
	g := &reportingGroup{random: rand.New(rand.NewPCG(seed, 3)), pending: make([][]delayedReport, instances)}
	for i := range instances {
		tr := New(start, order, bounds)
		tr.Instances, tr.Rank = instances, i
		g.trials = append(g.trials, tr)
		g.phases = append(g.phases, time.Duration(g.random.Int64N(int64(500*time.Millisecond))).Truncate(reportingStep))
	}
	return g
}

// request sends a request through any instance.
func (g *reportingGroup) request(now time.Time) {
	tr := g.trials[g.random.IntN(len(g.trials))]
	toNew := tr.ChooseNew(now, "", fmt.Sprint(g.random.Uint64()))
	tr.CountAttempt(toNew)
	tr.RecordOutcome(Observation{New: toNew, Kind: "k", Answered: true})
}

// report sends the report of an instance that is due, and delivers those that have arrived.
func (g *reportingGroup) report(at time.Duration, i int) {
	now, tr, collector := start.Add(at), g.trials[i], g.trials[0]
	interval := 500 * time.Millisecond
	if tr.Moved(now) {
		interval /= 2
	}
	if (at+g.phases[i])%interval == 0 {
		due := now.Add(time.Duration(g.random.Int64N(int64(maxReportDelay))))
		g.pending[i] = append(g.pending[i], delayedReport{due: due, report: tr.Report(now, 0)})
	}
	for len(g.pending[i]) > 0 && !now.Before(g.pending[i][0].due) {
		collector.LearnReport(now, fmt.Sprint(i), g.pending[i][0].report)
		tr.LearnSummary(now, collector.Summary(now))
		g.pending[i] = g.pending[i][1:]
	}
}

// run sends the given number of requests per second until the order's deadline.
func (g *reportingGroup) run(perSecond int) {
	for at := time.Duration(0); at < order.Duration; at += reportingStep {
		if g.random.IntN(int(time.Second/reportingStep)) < perSecond {
			g.request(start.Add(at))
		}
		for i := 1; i < len(g.trials); i++ {
			g.report(at, i)
		}
		if (at+g.phases[0])%(250*time.Millisecond) == 0 {
			g.trials[0].GiveUp(start.Add(at))
		}
	}
}

// TestSteadyTrafficIsNotStoppedAfterMove guards against good versions that are stopped since
// requests of the other instances become known in steps, by reports that come at any time.
func TestSteadyTrafficIsNotStoppedAfterMove(t *testing.T) {
	for _, perSecond := range []int{25, 50, 90} {
		for seed := range uint64(100) {
			is := is.New(t)
			g := newReportingGroup(3, seed)
			g.run(perSecond)
			state, why := g.trials[0].State()
			is.Equal(why, "")
			is.Equal(state, Running)
			is.True(g.trials[0].Moved(start.Add(order.Duration)))
		}
	}
}

// TestMoveLeavesRoomForStreams lets streams on the old version last beyond the deadline: the
// bound covers them too, so that the trial can be completed in time.
func TestMoveLeavesRoomForStreams(t *testing.T) {
	tests := []struct {
		name    string
		running int
	}{
		{name: "none"},
		{name: "some", running: 60},
		{name: "many", running: 120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := New(start, order, bounds)
			at := time.Duration(0)
			for ; at < order.Duration-600*time.Millisecond; at += reportingStep { // 100 requests a second
				now := start.Add(at)
				toNew := tr.ChooseNew(now, "", fmt.Sprint(at))
				tr.CountAttempt(toNew)
				tr.RecordOutcome(Observation{New: toNew, Kind: "k", Answered: true})
				tr.Report(now, tt.running)
			}
			is.Equal(tr.CompletionBlocker(start.Add(at), tt.running, Others{}), "")
			exposure := tr.TotalExposure()
			is.True(float64(exposure.New+tt.running) <= bounds.ExposeShare*float64(exposure.All+tt.running)+bounds.ExposeSlack)
		})
	}
}
