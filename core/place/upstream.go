package place

import (
	"time"

	"banyanyard/core/window"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPause and longestPause bound how long an upstream that could not be
	// reached is left alone. The pause doubles with each further failure.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second
	// fullPause is how long an upstream that refused a request is avoided.
	fullPause = 100 * time.Millisecond
	// rateWeight is the weight of the newest outcome in an error rate.
	rateWeight = 0.15
	// suspectRate and suspectFactor say when an upstream is avoided: its error
	// rate is above both the first figure and that of its service times the
	// second.
	suspectRate   = 0.25
	suspectFactor = 2.0
	// suspectSamples is the least number of outcomes for that.
	suspectSamples = 3
)

// An upstream is a registered upstream and what this instance has seen of it.
type upstream struct {
	Upstream

	order     uint64    // place among all upstreams, the same at all instances
	goneAt    time.Time // takes no new work from then on; zero while registered
	coldUntil time.Time
	sent      window.Counter // requests to it in the newest second

	sentAll   int // attempts so far
	running   int // attempts of this instance
	failures  int // attempts that could not reach it, one after another
	downUntil time.Time
	fullUntil time.Time
	errors    rate
}

func newColdCounter() window.Counter { return window.Counter{Span: time.Second} }

func (u *upstream) gone(now time.Time) bool { return !u.goneAt.IsZero() && !now.Before(u.goneAt) }

func (u *upstream) down(now time.Time) bool { return now.Before(u.downUntil) }

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

func (u *upstream) suspect(s *service) bool {
	return u.errors.n >= suspectSamples && u.errors.value > suspectRate && u.errors.value > suspectFactor*s.errors.value
}

// unreachable notes that no connection could be opened, or that one was reset
// before an answer.
func (u *upstream) unreachable(now time.Time) {
	u.downUntil = now.Add(min(firstPause<<min(u.failures, 8), longestPause))
	u.failures++
}

// A rate is a moving average of failures.
type rate struct {
	value float64
	n     int // outcomes so far
}

func (r *rate) note(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	r.n++
	r.value += max(rateWeight, 1/float64(r.n)) * (x - r.value)
}

// score orders candidates for a key by rendezvous hashing: all instances agree
// on the order, and it changes only for the candidates that come or go.
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
