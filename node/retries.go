package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"banyanyard/core/retry"
)

// initialRequests is the traffic that a new budget counts as already seen, so
// that the first failures after a start can be retried.
const initialRequests = 50

// retries guards the retry budgets.
type retries struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget // guarded by mu; by organisation
	random  *rand.Rand               // guarded by mu
}

func newRetries() *retries {
	return &retries{budgets: map[string]*retry.Budget{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// request earns the share of one request.
func (r *retries) request(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(organisation).Request()
}

// allow takes one retry from the organisation's budget.
func (r *retries) allow(organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Spend(r.budget(organisation))
}

func (r *retries) delay(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Delay(r.random, attempt)
}

// budget returns the budget of an organisation. Its caller holds mu.
func (r *retries) budget(organisation string) *retry.Budget {
	b := r.budgets[organisation]
	if b == nil {
		b = &retry.Budget{}
		for range initialRequests {
			b.Request()
		}
		r.budgets[organisation] = b
	}
	return b
}
