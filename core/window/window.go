// Package window counts events over a sliding span of time.
package window

import "time"

// buckets is the number of buckets that a span is divided into. One more is
// kept and counted whole, so that a sum is never too low.
const buckets = 20

// A Counter counts the events of the newest Span. Set Span before the first
// use; it must be at least 20 ns. A Counter is not safe for concurrent use.
type Counter struct {
	Span time.Duration

	counts [buckets + 1]float64 // ring buffer; bucket n is at index n%(buckets+1)
	origin time.Time            // time of the first use; its monotonic reading makes wall clock steps harmless
	newest int64                // number of the newest bucket, counted from origin
	sum    float64              // of counts
}

// Add counts n events at now.
func (c *Counter) Add(now time.Time, n float64) {
	c.advance(now)
	c.counts[c.newest%(buckets+1)] += n
	c.sum += n
}

// Sum returns the number of events in the span that ends at now, including
// those of up to one twentieth of a span before it.
func (c *Counter) Sum(now time.Time) float64 {
	c.advance(now)
	return c.sum
}

// advance makes the bucket of now the newest one and clears the buckets that
// drop out of the span.
func (c *Counter) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	bucket := int64(now.Sub(c.origin) / (c.Span / buckets))
	if bucket-c.newest > buckets {
		c.counts = [buckets + 1]float64{}
		c.newest = bucket
		c.sum = 0
		return
	}
	for c.newest < bucket {
		c.newest++
		oldest := &c.counts[c.newest%(buckets+1)]
		c.sum -= *oldest
		*oldest = 0
	}
}
