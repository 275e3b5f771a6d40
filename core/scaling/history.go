package scaling

import (
	"slices"
	"time"
)

const (
	// bucketsPerStart is the number of buckets in the start time of an upstream.
	bucketsPerStart = 8
	// minBucket is the shortest span of a bucket: reports come about twice a second.
	minBucket = time.Second
	// maxBuckets bounds a history.
	maxBuckets = 64
)

// A bucket sums up the samples of a span of time.
type bucket struct {
	begin     time.Time
	sum, peak float64
	samples   int
}

func (b *bucket) mean() float64 { return b.sum / float64(b.samples) }

// A history keeps what was sampled lately, oldest first.
type history struct {
	buckets []bucket
	since   time.Time // first sample
}

// add adds a sample to the bucket of its time.
func (h *history) add(now time.Time, span time.Duration, value float64) {
	if len(h.buckets) == 0 {
		h.since = now
	}
	if n := len(h.buckets); n == 0 || now.Sub(h.buckets[n-1].begin) >= span {
		h.buckets = append(h.buckets, bucket{begin: now})
		h.buckets = h.buckets[max(0, len(h.buckets)-maxBuckets):]
	}
	last := &h.buckets[len(h.buckets)-1]
	last.sum += value
	last.samples++
	last.peak = max(last.peak, value)
}

// covers reports whether samples go back for a span.
func (h *history) covers(now time.Time, span time.Duration) bool {
	return len(h.buckets) > 0 && now.Sub(h.since) >= span
}

// median returns the median of the buckets that begin in the span before a time. Load
// that lasted for less than half of the span does not change it.
func (h *history) median(until time.Time, span time.Duration) float64 {
	var means []float64
	for i := range h.buckets {
		if b := &h.buckets[i]; !b.begin.After(until) && until.Sub(b.begin) < span {
			means = append(means, b.mean())
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// peak returns the highest sample of the buckets that begin in the span before now.
func (h *history) peak(now time.Time, span time.Duration) float64 {
	highest := 0.0
	for i := range h.buckets {
		if now.Sub(h.buckets[i].begin) < span {
			highest = max(highest, h.buckets[i].peak)
		}
	}
	return highest
}

// bucketSpan returns the span of a bucket for a start time.
func bucketSpan(start time.Duration) time.Duration { return max(minBucket, start/bucketsPerStart) }
