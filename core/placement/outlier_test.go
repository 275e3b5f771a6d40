package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// playFailing lets upstreams of a service of five fail for a time, at ten requests a second, and
// returns the share of requests that fail in the second half.
func playFailing(f *Fleet, begin time.Time, period time.Duration, fails func(id string) bool) float64 {
	const interval = 100 * time.Millisecond
	failed, all := 0, 0
	for now := begin; now.Before(begin.Add(period)); now = now.Add(interval) {
		s, _ := f.Pick(now, Criteria{Service: "s"})
		outcome := Completed
		if fails(s.Upstream.ID) {
			outcome = Failed
		}
		f.Release(now, s, outcome)
		if now.Sub(begin) >= period/2 {
			all++
			if outcome == Failed {
				failed++
			}
		}
	}
	return float64(failed) / float64(all)
}

// TestMostUpstreamsFail guards against requests that go to upstreams which fail at once and
// so look free: the sound ones are found though most of the service fails.
func TestMostUpstreamsFail(t *testing.T) {
	tests := []struct {
		name  string
		fails func(id string) bool
		most  float64 // share of requests that may fail
	}{
		{name: "one of five", fails: func(id string) bool { return id == "u0" }, most: 0.05},
		{name: "three of five", fails: func(id string) bool { return id < "u3" }, most: 0.1},
		{name: "four of five", fails: func(id string) bool { return id < "u4" }, most: 0.15},
		{name: "all", fails: func(string) bool { return true }, most: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			failed := playFailing(newFleet(5), start, 20*time.Second, tt.fails)
			t.Logf("%.2f of the requests fail", failed)
			is.True(failed <= tt.most)
		})
	}
}

// TestOutlierThatRecoversIsUsedAgain guards against an upstream that is left out for good,
// because its record does not change while it gets nothing.
func TestOutlierThatRecoversIsUsedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	playFailing(f, start, 10*time.Second, func(id string) bool { return id == "u0" })
	later := start.Add(10 * time.Second)
	before := f.byID["u0"].totalAttempts
	playFailing(f, later, 30*time.Second, func(string) bool { return false })
	is.True(f.byID["u0"].totalAttempts-before >= 10) // of 300, 60 if they were shared evenly all the time
}
