package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUncertainFor(t *testing.T) {
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		silence time.Duration // of the store, from start on
		at      time.Duration // after its end
		want    time.Duration
	}{
		{name: "no outage"},
		{name: "too short for a registration to lapse", silence: MinLapse},
		{name: "just after an outage", silence: 4 * time.Second, want: Grace},
		{name: "later", silence: 4 * time.Second, at: 2 * time.Second, want: Grace - 2*time.Second},
		{name: "when all have registered again", silence: 4 * time.Second, at: Grace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var tracker Tracker
			for elapsed := time.Duration(0); elapsed <= tt.silence; elapsed += 100 * time.Millisecond {
				tracker.Observe(start.Add(elapsed), start)
			}
			now := start.Add(tt.silence + tt.at)
			tracker.Observe(now, now)
			is.Equal(tracker.UncertainFor(now), tt.want)
		})
	}
}
