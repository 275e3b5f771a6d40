package window

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestSumCoversSpan compares a counter with the exact number of events: the sum
// must include all events of the span, and none older than the span and two
// buckets.
func TestSumCoversSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Counter{Span: time.Second}
		now := start
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "event") {
				c.Add(now, 1)
				events = append(events, now)
			}
			inSpan, inLongerSpan := 0.0, 0.0
			for _, at := range events {
				if now.Sub(at) < time.Second {
					inSpan++
				}
				if now.Sub(at) < time.Second+2*time.Second/buckets {
					inLongerSpan++
				}
			}
			if sum := c.Sum(now); sum < inSpan || sum > inLongerSpan {
				t.Fatalf("the sum is %v, want at least %v (events in the span) and at most %v (events in the span and two buckets)", sum, inSpan, inLongerSpan)
			}
		}
	})
}

func TestSumIsZeroAfterLongPause(t *testing.T) {
	is := is.New(t)
	c := Counter{Span: time.Second}
	c.Add(start, 5)
	is.Equal(c.Sum(start.Add(time.Hour)), 0.0)
}
