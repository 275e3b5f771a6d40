package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"banyanyard/core/retry"
)

// initialBudgetRequests is the number of requests that a new budget counts as
// already seen, so that the first failures after a start can be retried.
const initialBudgetRequests = 50

// retryBudgets holds the retry budgets per organisation and upstream. It is safe
// for concurrent use.
type retryBudgets struct {
	mu            sync.Mutex
	organisations map[string]*retry.Budget // guarded by mu
	upstreams     map[string]*retry.Budget // guarded by mu
	random        *rand.Rand               // guarded by mu
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{
		organisations: map[string]*retry.Budget{},
		upstreams:     map[string]*retry.Budget{},
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// recordRequest adds one request to the budget of an organisation.
func (r *retryBudgets) recordRequest(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	budgetOf(r.organisations, organisation).RecordRequest()
}

// recordSent adds one request to the budget of an upstream.
func (r *retryBudgets) recordSent(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	budgetOf(r.upstreams, upstream).RecordRequest()
}

// spend takes one retry from the budgets of the organisation and of the upstream
// that failed, and reports whether both allowed it. This bounds the load that
// retries add to either.
func (r *retryBudgets) spend(organisation, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Spend(budgetOf(r.organisations, organisation), budgetOf(r.upstreams, upstream))
}

func (r *retryBudgets) delay(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Delay(r.random, attempt)
}

// backOff spends one retry and waits for its delay. It reports whether another
// attempt may follow. attempts is the number of attempts made so far.
func (n *Node) backOff(ctx context.Context, organisation, failed string, attempts int) bool {
	if !n.retryBudgets.spend(organisation, failed) {
		return false
	}
	n.metrics.retries.WithLabelValues(organisation).Inc()
	sleepContext(ctx, n.retryBudgets.delay(attempts))
	return ctx.Err() == nil
}

// budgetOf returns the budget of name, which it creates if there is none.
func budgetOf(budgets map[string]*retry.Budget, name string) *retry.Budget {
	b := budgets[name]
	if b == nil {
		b = &retry.Budget{}
		for range initialBudgetRequests {
			b.RecordRequest()
		}
		budgets[name] = b
	}
	return b
}
