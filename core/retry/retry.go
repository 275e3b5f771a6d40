// Package retry limits retries, so that they stay a fixed share of the traffic
// however many requests fail.
//
// A Budget is a token bucket: each request adds a fraction of a token and each
// retry spends one. A WindowBudget compares the counts of retries and requests
// over a sliding window. Neither is safe for concurrent use; the owner guards
// them with a mutex or uses them from one goroutine.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// tokensPerRequest is the fraction of a retry that each request adds.
	tokensPerRequest = 0.1
	// maxTokens bounds the burst of retries after a time with few retries.
	maxTokens = 10
)

// A Budget limits the retries of one organisation or upstream. The zero Budget
// allows no retry until requests have added a whole token.
type Budget struct {
	tokens float64 // between 0 and maxTokens
}

// RecordRequest adds the tokens of one request.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// Spend takes the token of one retry from every budget and returns true, or
// takes none and returns false if any budget has less than one.
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

// The delay before a retry is bounded by baseDelay, doubled with each retry up
// to maxDelay.
const (
	baseDelay = 20 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Delay returns a random time to wait before a retry. The attempts are counted
// from 1; the upper bound doubles with each, from 2*baseDelay to maxDelay.
func Delay(r *rand.Rand, attempt int) time.Duration {
	limit := baseDelay << min(attempt, 10)
	limit = min(limit, maxDelay)
	return time.Duration(r.Int64N(int64(limit)))
}
