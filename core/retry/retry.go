// Package retry bounds repeated attempts.
//
// A Budget earns a share of a token with each request and spends one with each
// retry, so that retries stay a fixed share of the traffic however many
// requests fail. It is owned by one goroutine or guarded by its owner's mutex.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// earnedPerRequest is the share of a retry that each request earns.
	earnedPerRequest = 0.1
	// maxTokens bounds the burst of retries after quiet traffic.
	maxTokens = 10
)

// A Budget limits the retries of one organisation or upstream. The zero Budget
// allows no retry until requests earn some.
type Budget struct {
	tokens float64 // between 0 and maxTokens
}

// Request earns the share of one request.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+earnedPerRequest, maxTokens)
}

// Spend takes one retry from every budget, or none when any of them is empty.
func Spend(budgets ...*Budget) bool {
	for _, b := range budgets {
		if b.tokens < 1 {
			return false
		}
	}
	for _, b := range budgets {
		b.tokens--
	}
	return true
}

// The bounds of the delay before a retry.
const (
	baseDelay = 20 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Delay returns a random time to wait before the given retry, counted from 1.
// Its upper bound doubles with each retry.
func Delay(r *rand.Rand, attempt int) time.Duration {
	limit := baseDelay << min(attempt, 10)
	limit = min(limit, maxDelay)
	return time.Duration(r.Int64N(int64(limit)))
}
