package trial

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecordOfStopWaitsForSessions guards against an order that ends, so that the next one
// may come, while sessions are still on the version that was stopped.
func TestRecordOfStopWaitsForSessions(t *testing.T) {
	const stop = 4 * time.Second // since the order
	tests := []struct {
		name     string
		duration time.Duration
		prepare  func(t *Trial, at time.Time)
		running  int           // attempts on the new version
		want     time.Duration // from the stop until it may be recorded
	}{
		{name: "no sessions", prepare: func(*Trial, time.Time) {}, want: stopReportTime},
		{name: "own session", prepare: func(t *Trial, at time.Time) { t.RecordSessionOnNew(at) }, want: 5 * time.Second},
		{name: "own session, some time before", prepare: func(t *Trial, at time.Time) { t.RecordSessionOnNew(at.Add(-2 * time.Second)) }, want: 3 * time.Second},
		{name: "reported session", prepare: func(t *Trial, at time.Time) { t.LearnReport(at, "i1", Report{To: "v2", SessionsFor: 2 * time.Second}) }, want: 2 * time.Second},
		{name: "session in a summary", prepare: func(t *Trial, at time.Time) { t.LearnSummary(at, Summary{To: "v2", SessionsFor: 2 * time.Second}) }, want: 2 * time.Second},
		{name: "of a request that runs on", prepare: func(t *Trial, at time.Time) { t.RecordSessionOnNew(at.Add(-5 * time.Second)) }, running: 1, want: 60*time.Second - stop - stopRecordMargin},
		{name: "request without a session", prepare: func(*Trial, time.Time) {}, running: 1, want: stopReportTime},
		{name: "deadline", duration: 6 * time.Second, prepare: func(t *Trial, at time.Time) { t.RecordSessionOnNew(at) }, want: 6*time.Second - stop - stopRecordMargin},
		{name: "recorded before", prepare: func(t *Trial, at time.Time) { t.RecordSessionOnNew(at); t.FollowRecord(Stopped) }, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.duration == 0 {
				tt.duration = time.Minute
			}
			began := time.Now()
			tr := New(began, Order{Service: "s", To: "v2", Revision: 1, Duration: tt.duration}, Bounds{ExposeShare: 0.15, SessionTimeout: 5 * time.Second})
			at := began.Add(stop)
			tr.AdoptState(Stopped, "test")
			tt.prepare(tr, at)
			const step = 100 * time.Millisecond
			waited := time.Duration(0)
			for !tr.MayRecordStop(at.Add(waited), tt.running) {
				waited += step
			}
			is.True(waited >= tt.want && waited < tt.want+step)
		})
	}
}

// TestSessionsAreNotEchoed lets two instances exchange reports and summaries with a delay: a
// session that one of them had must not seem to last longer each time.
func TestSessionsAreNotEchoed(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	order := Order{Service: "s", To: "v2", Revision: 1, Duration: time.Minute}
	a, b := New(began, order, Bounds{SessionTimeout: 5 * time.Second}), New(began, order, Bounds{SessionTimeout: 5 * time.Second})
	a.AdoptState(Stopped, "test")
	b.AdoptState(Stopped, "test")
	a.RecordSessionOnNew(began)
	const delay = 100 * time.Millisecond
	now := began
	for {
		first, second := a.MayRecordStop(now, 0), b.MayRecordStop(now, 0)
		if first && second {
			break
		}
		fromA, fromB := a.Report(now, 0), b.Report(now, 0)
		toA, toB := b.Summary(now), a.Summary(now)
		later := now.Add(delay)
		a.LearnReport(later, "b", fromB)
		b.LearnReport(later, "a", fromA)
		a.LearnSummary(later, toA)
		b.LearnSummary(later, toB)
		now = later
	}
	is.True(now.Sub(began) <= 5*time.Second+4*delay)
}
