package node

import (
	"context"
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
	mu            sync.Mutex
	organisations map[string]*retry.Budget // guarded by mu
	upstreams     map[string]*retry.Budget // guarded by mu
	random        *rand.Rand               // guarded by mu
}

func newRetries() *retries {
	return &retries{
		organisations: map[string]*retry.Budget{},
		upstreams:     map[string]*retry.Budget{},
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// request earns the share of one request of an organisation.
func (r *retries) request(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget(r.organisations, organisation).RecordRequest()
}

// sent earns the share of one request that is sent to an upstream.
func (r *retries) sent(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget(r.upstreams, upstream).RecordRequest()
}

// allow takes one retry from the budgets of the organisation and of the
// upstream that failed, so that neither adds more than its share to the load.
func (r *retries) allow(organisation, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Spend(budget(r.organisations, organisation), budget(r.upstreams, upstream))
}

func (r *retries) delay(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Delay(r.random, attempt)
}

// backOff takes a retry from the budgets and waits before it. It reports whether
// another attempt follows.
func (n *Node) backOff(ctx context.Context, organisation, failed string, attempts int) bool {
	if !n.retries.allow(organisation, failed) {
		return false
	}
	n.metrics.retries.WithLabelValues(organisation).Inc()
	pause(ctx, n.retries.delay(attempts))
	return ctx.Err() == nil
}

// budget returns a budget, and makes it where there is none.
func budget(budgets map[string]*retry.Budget, name string) *retry.Budget {
	b := budgets[name]
	if b == nil {
		b = &retry.Budget{}
		for range initialRequests {
			b.RecordRequest()
		}
		budgets[name] = b
	}
	return b
}
