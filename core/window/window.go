// Package window counts events over a sliding span of time.
package window

import "time"

// buckets is the number of parts that a span is counted in. The oldest part is
// counted whole, so that a sum is never too low.
const buckets = 20

// A Counter counts the events of the newest Span. Set Span before its first
// use.
type Counter struct {
	Span time.Duration

	counts [buckets + 1]float64
	origin time.Time // of the first use; steps of the time of day don't matter
	newest int64     // number of the newest bucket, counted from begin
	sum    float64
}

// Add counts n events at now.
func (c *Counter) Add(now time.Time, n float64) {
	c.advance(now)
	c.counts[c.newest%(buckets+1)] += n
	c.sum += n
}

// Sum returns the events of the span that ends at now, and of up to one
// twentieth of a span before it.
func (c *Counter) Sum(now time.Time) float64 {
	c.advance(now)
	return c.sum
}

func (c *Counter) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	number := int64(now.Sub(c.origin) / (c.Span / buckets))
	if number-c.newest > buckets {
		c.counts = [buckets + 1]float64{}
		c.newest = number
		c.sum = 0
		return
	}
	for c.newest < number {
		c.newest++
		slot := &c.counts[c.newest%(buckets+1)]
		c.sum -= *slot
		*slot = 0
	}
}
