package retry

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestRatioKeepsItsSlackBeforeAnyRequest(t *testing.T) {
	is := is.New(t)
	r := NewRatio(10 * time.Second)
	is.True(!r.Spend(begin))
	r.Slack = 2
	is.True(r.Spend(begin))
	is.True(r.Spend(begin))
	is.True(!r.Spend(begin))
	is.True(r.Spend(begin.Add(11 * time.Second)))
}

// TestRepeatsOfAllInstancesStayAShareOfTheRequests runs several instances, each
// with its part of the slack, and checks the sum over every span.
func TestRepeatsOfAllInstancesStayAShareOfTheRequests(t *testing.T) {
	const (
		span  = 10 * time.Second
		share = 0.5
		slack = 12.0
		// counted is how much longer than the span a counter may look back.
		counted = span + span/10
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		ratios := make([]*Ratio, n)
		for i := range ratios {
			ratios[i] = NewRatio(span)
			ratios[i].Share = share
			ratios[i].Slack = slack / float64(n)
		}
		var requests, repeats []time.Time
		now := begin
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			r := ratios[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				r.Request(now)
				requests = append(requests, now)
			} else if r.Spend(now) {
				repeats = append(repeats, now)
			}
			within := func(events []time.Time, span time.Duration) (n int) {
				for _, at := range events {
					if now.Sub(at) < span {
						n++
					}
				}
				return n
			}
			// Requests that a counter still sees may be up to a span older than
			// the oldest repeat.
			if got, most := within(repeats, span), share*float64(within(requests, 2*counted))+slack; float64(got) > most {
				t.Fatalf("%d repeats in %v, more than %v", got, span, most)
			}
		}
	})
}
