// Package capacity learns how fast each upstream is, relative to its peers.
//
// The load it answers: upstreams of one service differ in speed, some for good and some
// by turns, and streams in equal number leave the slow ones behind. What an answer takes
// also depends on the request and on the streams beside it. It is therefore compared with
// the answers of its class only, which are of the same kind and met about the same load.
//
// In a large deployment an instance seldom sees an upstream. Evidence is a sum that can be
// added up over instances, so that all judge by what all have seen.
//
// A Meter never blocks and takes the time as an argument. Its owner's mutex guards it.
package capacity

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which an observation counts half. It is long against the
	// time for which an upstream is slow by turns.
	halfLife = 10 * time.Second
	// maxRatio bounds how much slower or faster than its class a single answer can count.
	maxRatio = 4.0
	// priorDeviation is the standard deviation of the logarithm of the slowness of
	// upstreams before anything is known of them.
	priorDeviation = 0.35
	// minDeviation is the least deviation between the answers of one upstream that is
	// assumed, as few of them may agree by chance.
	minDeviation = 0.3
	// maxSlowness bounds a slowness, and its reciprocal.
	maxSlowness = 3.0
	// classWeight is the least weight of the newest answer in the average of its class.
	classWeight = 0.02
	// maxClasses and maxUpstreams bound what is remembered.
	maxClasses   = 256
	maxUpstreams = 4096
)

// A Class is a group of answers that take equally long at equally fast upstreams.
type Class struct {
	Kind string // such as the route, the model and what was measured
	Load int    // logarithm to base 2 of the load that it met, rounded down; see LoadClass
}

// LoadClass returns the load of a Class.
func LoadClass(load float64) int { return int(math.Log2(1 + max(0, load))) }

// Evidence is what has been observed of an upstream: sums, of which those of several
// instances add up. The zero Evidence says nothing.
type Evidence struct {
	Weight  float64 // answers, the older ones counted less
	Sum     float64 // of the logarithms of their ratios to their classes
	Squares float64 // of the same
}

// Plus returns the sum of two pieces of evidence.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{Weight: e.Weight + o.Weight, Sum: e.Sum + o.Sum, Squares: e.Squares + o.Squares}
}

func (e Evidence) scaled(factor float64) Evidence {
	return Evidence{Weight: e.Weight * factor, Sum: e.Sum * factor, Squares: e.Squares * factor}
}

// Slowness returns how many times as long as a typical peer the upstream takes. It is 1
// without evidence. The more its answers differ among each other, the more of them it
// takes: an upstream that is slow by turns is not taken for one that is slow for good.
func (e Evidence) Slowness() float64 {
	if e.Weight <= 0 {
		return 1
	}
	mean := e.Sum / e.Weight
	variance := max(minDeviation*minDeviation, e.Squares/e.Weight-mean*mean)
	believed := e.Sum / (e.Weight + variance/(priorDeviation*priorDeviation))
	return min(maxSlowness, max(1/maxSlowness, math.Exp(believed)))
}

// A Meter collects one instance's evidence. The zero Meter has none and is ready to use.
type Meter struct {
	classes   map[Class]*average
	upstreams map[string]*record
}

type average struct {
	mean    float64 // of the logarithms of seconds
	samples int
}

type record struct {
	evidence Evidence
	at       time.Time // up to which the evidence has decayed
}

// Record adds an answer of a class that took a time at an upstream.
func (m *Meter) Record(now time.Time, upstream string, c Class, took time.Duration) {
	if took <= 0 {
		return
	}
	class := m.class(c)
	if class == nil {
		return
	}
	log := math.Log(took.Seconds())
	if class.samples > 0 {
		bound := math.Log(maxRatio)
		ratio := min(bound, max(-bound, log-class.mean))
		if r := m.upstream(now, upstream); r != nil {
			r.evidence = r.evidence.Plus(Evidence{Weight: 1, Sum: ratio, Squares: ratio * ratio})
		}
		log = class.mean + ratio
	}
	class.samples++
	class.mean += max(classWeight, 1/float64(class.samples)) * (log - class.mean)
}

func (m *Meter) class(c Class) *average {
	a := m.classes[c]
	if a == nil && len(m.classes) < maxClasses {
		if m.classes == nil {
			m.classes = map[Class]*average{}
		}
		a = &average{}
		m.classes[c] = a
	}
	return a
}

// upstream returns the record of an upstream, decayed to now.
func (m *Meter) upstream(now time.Time, id string) *record {
	r := m.upstreams[id]
	switch {
	case r != nil:
		r.decay(now)
	case len(m.upstreams) < maxUpstreams:
		if m.upstreams == nil {
			m.upstreams = map[string]*record{}
		}
		r = &record{at: now}
		m.upstreams[id] = r
	}
	return r
}

func (r *record) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		r.evidence = r.evidence.scaled(math.Exp2(-age.Seconds() / halfLife.Seconds()))
		r.at = now
	}
}

// Evidence returns this instance's evidence of an upstream.
func (m *Meter) Evidence(now time.Time, upstream string) Evidence {
	r := m.upstreams[upstream]
	if r == nil {
		return Evidence{}
	}
	r.decay(now)
	return r.evidence
}

// Forget drops what was observed of an upstream, such as one that has restarted.
func (m *Meter) Forget(upstream string) { delete(m.upstreams, upstream) }
