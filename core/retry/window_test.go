package retry

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestWindowBudgetAllowsSlackWithoutRequests(t *testing.T) {
	is := is.New(t)
	b := NewWindowBudget(10 * time.Second)
	is.True(!b.Spend(begin))
	b.Slack = 2
	is.True(b.Spend(begin))
	is.True(b.Spend(begin))
	is.True(!b.Spend(begin))
	is.True(b.Spend(begin.Add(11 * time.Second)))
}

// TestRetriesAcrossInstancesStayWithinRatio checks that the retries of several
// instances, each with its part of the slack, together stay within the ratio of
// all requests over every span.
func TestRetriesAcrossInstancesStayWithinRatio(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.5
		slack = 12.0
		// counted bounds how long a counter counts an event, since it counts its
		// oldest bucket whole.
		counted = span + span/10
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		budgets := make([]*WindowBudget, n)
		for i := range budgets {
			budgets[i] = NewWindowBudget(span)
			budgets[i].Ratio = ratio
			budgets[i].Slack = slack / float64(n)
		}
		var requests, retries []time.Time
		now := begin
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Spend(now) {
				retries = append(retries, now)
			}
			within := func(events []time.Time, span time.Duration) (n int) {
				for _, at := range events {
					if now.Sub(at) < span {
						n++
					}
				}
				return n
			}
			// The oldest retry in the span may have been allowed by requests that
			// are older by as long as a counter counts them.
			if got, most := within(retries, span), ratio*float64(within(requests, 2*counted))+slack; float64(got) > most {
				t.Fatalf("%d retries within %v, more than the %v allowed", got, span, most)
			}
		}
	})
}
