package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyanyard/core/window"
)

const (
	// largeWork is the work, in prompt tokens of a service's largest model, from
	// which on a prompt delays those behind it by a good part of the latency
	// objective of an interactive request: 4,000 tokens take about 0.2 s.
	largeWork = 4000
	// workSpan is the time over which the work of large and small prompts is
	// compared.
	workSpan = 8 * time.Second
)

// lanes divide the upstreams of a service between large and small prompts, in
// the proportion of their work, so that interactive requests do not wait behind
// prompts that take long to read. All instances order the upstreams alike, and
// see alike traffic, so that they divide them nearly alike without a word.
type lanes struct {
	large, small window.Counter // work of the newest span
}

func newLanes() lanes {
	return lanes{large: window.Counter{Span: workSpan}, small: window.Counter{Span: workSpan}}
}

// of returns the upstreams for a prompt of the given work. Work of 0 is for
// services without prompts, whose upstreams are not divided.
func (l *lanes) of(now time.Time, us []*upstream, work float64) []*upstream {
	if work <= 0 {
		return us
	}
	large := work >= largeWork
	if large {
		l.large.Add(now, work)
	} else {
		l.small.Add(now, work)
	}
	if len(us) < 2 {
		return us
	}
	inLarge, inSmall := l.large.Sum(now), l.small.Sum(now)
	n := int(math.Round(float64(len(us)) * inLarge / (inLarge + inSmall)))
	n = max(1, min(n, len(us)-1))
	ordered := slices.Clone(us)
	slices.SortFunc(ordered, func(a, b *upstream) int { return cmp.Compare(a.order, b.order) })
	if large {
		return ordered[:n]
	}
	return ordered[n:]
}
