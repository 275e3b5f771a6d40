package storeclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func TestZeroEstimate(t *testing.T) {
	is := is.New(t)
	var e Estimate
	e.ObserveAtLeast(start, time.Hour)
	_, known := e.AtLeast(start)
	is.True(!known)
	_, known = e.Earliest(time.Hour)
	is.True(!known)
}

// TestBoundsHold checks both bounds for calls that take any time.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		offset := ms("offset", 1e6)
		shown := func(at time.Time) time.Duration { return at.Sub(start) + offset }
		var e Estimate
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "calls") {
			now = now.Add(ms("pause", 5000))
			sent := now
			told := sent.Add(ms("there", 2000))
			now = told.Add(ms("back", 2000))
			e.Observe(sent, now, shown(told))
			at := now.Add(ms("later", 5000))
			reached, _ := e.AtLeast(at)
			earliest, _ := e.Earliest(shown(at))
			if reached > shown(at) || earliest.After(at) {
				t.Fatalf("the store shows %v at %v; AtLeast %v, Earliest %v", shown(at), at, reached, earliest)
			}
		}
	})
}

func TestClocksThatPart(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	tests := []struct {
		name string
		told float64 // seconds that the store tells 10 s later, in a call of 0.1 s
		want float64 // seconds at which it showed that at the earliest
	}{
		{name: "in step", told: 110, want: 10},
		{name: "this instance was suspended", told: 125, want: 10},
		{name: "the store has begun anew", told: 1, want: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var e Estimate
			e.Observe(start, start.Add(second(0.1)), second(100))
			e.Observe(start.Add(second(10)), start.Add(second(10.1)), second(tt.told))
			at, known := e.Earliest(second(tt.told))
			is.True(known)
			is.Equal(at.Sub(start).Round(100*time.Millisecond), second(tt.want))
		})
	}
}

func TestAnotherInstanceTellsOfSuspension(t *testing.T) {
	is := is.New(t)
	var e Estimate
	e.Observe(start, start, 100*time.Second)
	now := start.Add(time.Second)
	e.ObserveAtLeast(now, 90*time.Second) // an old message
	at, _ := e.Earliest(101 * time.Second)
	is.Equal(at, now)
	e.ObserveAtLeast(now, 108*time.Second) // 7 s that this instance has not counted
	at, _ = e.Earliest(108 * time.Second)
	is.Equal(at, now)
}
