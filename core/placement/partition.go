package placement

import (
	"cmp"
	"slices"
	"time"

	"banyanyard/core/window"
)

const (
	// largePromptWork is the prefill work, in prompt tokens of a service's
	// largest model, from which a prompt counts as large. 4,000 tokens take about
	// 0.2 s, a large part of the latency objective of interactive requests queued
	// behind it.
	largePromptWork = 4000
	// partitionWindow is the sliding window over which the work of large and
	// small prompts is compared.
	partitionWindow = 8 * time.Second
)

// A promptPartition divides the upstreams of a service between large and small
// prompts, in proportion to their work, so that interactive requests do not
// wait behind prompts with a long prefill. All instances order the upstreams
// the same way and see similar traffic, so their partitions nearly agree
// without coordination.
type promptPartition struct {
	largeSum, smallSum window.Counter // prefill work in the newest partitionWindow
}

func newPromptPartition() promptPartition {
	return promptPartition{largeSum: window.Counter{Span: partitionWindow}, smallSum: window.Counter{Span: partitionWindow}}
}

// upstreamsFor records the work of a prompt and returns the upstreams among us
// that may serve it. Services without prompts pass 0; their upstreams are not
// divided.
func (p *promptPartition) upstreamsFor(now time.Time, us []*upstream, work float64) []*upstream {
	if work <= 0 {
		return us
	}
	return p.divide(now, us, work >= largePromptWork, work, func(*upstream) float64 { return 1 })
}

// divide records the work of a prompt, in any unit, and returns the part of the upstreams for
// prompts of its size. The parts are in proportion to the work by what the upstreams can do.
func (p *promptPartition) divide(now time.Time, us []*upstream, large bool, work float64, capacity func(*upstream) float64) []*upstream {
	if large {
		p.largeSum.Add(now, work)
	} else {
		p.smallSum.Add(now, work)
	}
	if len(us) < 2 {
		return us
	}
	ordered := slices.Clone(us)
	slices.SortFunc(ordered, func(a, b *upstream) int { return cmp.Compare(a.partitionRank, b.partitionRank) })
	inLarge, inSmall := p.largeSum.Sum(now), p.smallSum.Sum(now)
	left := float64(len(us)) * mean(us, capacity) * inLarge / (inLarge + inSmall)
	n := 0
	for ; n < len(ordered) && left >= capacity(ordered[n])/2; n++ {
		left -= capacity(ordered[n])
	}
	n = max(1, min(n, len(us)-1))
	if large {
		return ordered[:n]
	}
	return ordered[n:]
}
