package trial

import (
	"slices"
	"time"
)

const (
	// baselineSamples is the number of newest times between events of which the
	// median is taken.
	baselineSamples = 31
	// minBaselineSamples is the number from which on the median is used.
	minBaselineSamples = 11
)

// A Baseline holds the newest times between events of a service's streams, by kind
// of request. It is kept between trials, so that a trial can compare from its
// first answer on. The zero Baseline is empty. It is not safe for concurrent use.
type Baseline struct {
	kinds map[string]*samples
}

// samples are the newest baselineSamples values.
type samples struct {
	values []time.Duration
	next   int // index of the oldest value once all are there
}

// Record adds a time between events.
func (b *Baseline) Record(kind string, gap time.Duration) {
	if b.kinds == nil {
		b.kinds = map[string]*samples{}
	}
	s := b.kinds[kind]
	if s == nil {
		s = &samples{}
		b.kinds[kind] = s
	}
	if len(s.values) < baselineSamples {
		s.values = append(s.values, gap)
		return
	}
	s.values[s.next] = gap
	s.next = (s.next + 1) % baselineSamples
}

// Median returns the median of a kind, and false if there are too few samples.
func (b *Baseline) Median(kind string) (time.Duration, bool) {
	s := b.kinds[kind]
	if s == nil || len(s.values) < minBaselineSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[len(sorted)/2], true
}
