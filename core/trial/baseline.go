package trial

import (
	"slices"
	"time"
)

const (
	// baselineSamples is the number of newest times of which the median is taken.
	baselineSamples = 31
	// minBaselineSamples is the number from which on the median is used.
	minBaselineSamples = 11
)

// A Baseline holds the newest times on a service's old version. It is kept between
// trials, so that a trial can compare from its first answer on. The zero Baseline is
// empty. It is not safe for concurrent use.
type Baseline struct {
	Gaps      Samples // between events of streams
	Durations Samples // of answers to requests without a prompt
}

// Samples are the newest times by kind of request. The zero Samples are empty.
type Samples struct {
	kinds map[string]*samples
}

// samples are the newest baselineSamples values.
type samples struct {
	values []time.Duration
	next   int // index of the oldest value once all are there
}

// Record adds a time.
func (b *Samples) Record(kind string, d time.Duration) {
	if b.kinds == nil {
		b.kinds = map[string]*samples{}
	}
	s := b.kinds[kind]
	if s == nil {
		s = &samples{}
		b.kinds[kind] = s
	}
	if len(s.values) < baselineSamples {
		s.values = append(s.values, d)
		return
	}
	s.values[s.next] = d
	s.next = (s.next + 1) % baselineSamples
}

// Median returns the median of a kind, and false if there are too few samples.
func (b *Samples) Median(kind string) (time.Duration, bool) {
	s := b.kinds[kind]
	if s == nil || len(s.values) < minBaselineSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[len(sorted)/2], true
}
