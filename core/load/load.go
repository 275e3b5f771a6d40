// Package load adds up how many attempts run at each upstream, how much prompt they have
// yet to read and how fast the upstream is, and what is asked of each service, over the
// instances of a failure domain.
//
// In a large deployment each instance runs at most one or two attempts at any
// upstream, so its own counts do not show which upstreams are busy. Instances
// therefore send sums along the trees of package relay: each one adds its own counts
// to the latest sums of its children, and the root tells all the total.
//
// A Collector is owned by one goroutine. Its methods take the current time and
// never block.
package load

import (
	"maps"
	"math"
	"time"

	"banyanyard/core/capacity"
)

// retention is how long the sum of a child counts without a newer one: several
// relays, of which each brings one.
const retention = 2 * time.Second

// paceRetention is the same for what the sum says of the pace of upstreams. That changes
// slowly and is not part of each sum.
const paceRetention = 8 * time.Second

// UnreadUnit is the number of prompt tokens in which sums count unread prompts.
const UnreadUnit = 100.0

// A Sum is the load of some instances.
type Sum struct {
	Instances int `json:"instances"` // number of instances that are added up
	// Age is how old the sum is, on average over the instances.
	Age     time.Duration  `json:"age,omitempty"`
	Running map[string]int `json:"running,omitempty"` // attempts in progress by upstream; those without are omitted
	// Unread is the prompt work that attempts in progress have yet to read, in
	// UnreadUnit, by upstream. Upstreams without are omitted.
	Unread map[string]int `json:"unread,omitempty"`
	// Use is the recent use of organisations, as in admission.Shares.
	Use map[string]int `json:"use,omitempty"`
	// Demand is what is asked of the services whose upstreams are ordered.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Pace is evidence of how fast upstreams are. It is nil in sums that are not about it.
	Pace map[string]Pace `json:"pace,omitempty"`
}

// A Pace is a capacity.Evidence in units of 1/paceUnit: weight, sum and squares.
type Pace [3]int

const paceUnit = 10

// NewPace encodes evidence.
func NewPace(e capacity.Evidence) Pace {
	encode := func(x float64) int { return int(math.Round(x * paceUnit)) }
	return Pace{encode(e.Weight), encode(e.Sum), encode(e.Squares)}
}

// Evidence decodes it.
func (p Pace) Evidence() capacity.Evidence {
	return capacity.Evidence{Weight: float64(p[0]) / paceUnit, Sum: float64(p[1]) / paceUnit, Squares: float64(p[2]) / paceUnit}
}

// Plus returns the sum of two sums.
func (s Sum) Plus(o Sum) Sum {
	if n := s.Instances + o.Instances; n > 0 {
		s.Age = (s.Age*time.Duration(s.Instances) + o.Age*time.Duration(o.Instances)) / time.Duration(n)
	}
	s.Instances += o.Instances
	s.Running = plus(s.Running, o.Running, func(a, b int) int { return a + b })
	s.Unread = plus(s.Unread, o.Unread, func(a, b int) int { return a + b })
	s.Use = plus(s.Use, o.Use, func(a, b int) int { return a + b })
	s.Pace = plus(s.Pace, o.Pace, func(a, b Pace) Pace { return Pace{a[0] + b[0], a[1] + b[1], a[2] + b[2]} })
	s.AddDemand(o.Demand)
	return s
}

// plus adds up two maps by key. It is nil if both are.
func plus[T any](a, b map[string]T, add func(a, b T) T) map[string]T {
	if len(b) == 0 {
		return a
	}
	total := maps.Clone(a)
	if total == nil {
		total = make(map[string]T, len(b))
	}
	for id, n := range b {
		total[id] = add(total[id], n)
	}
	return total
}

// A Collector holds the sums of the children of one instance in the trees of all
// roots. The zero Collector is empty.
type Collector struct {
	children map[childKey]childSum
}

type childKey struct{ root, child string }

type childSum struct {
	sum    Sum
	at     time.Time
	paceAt time.Time
}

// Put stores the sum of a child in the tree of a root. If it is not about the pace of
// upstreams, what the child said of that before holds on for a while.
func (c *Collector) Put(now time.Time, root, child string, s Sum) {
	if c.children == nil {
		c.children = map[childKey]childSum{}
	}
	key := childKey{root, child}
	earlier := c.children[key]
	stored := childSum{sum: s, at: now, paceAt: now}
	if s.Pace == nil && now.Sub(earlier.paceAt) <= paceRetention {
		stored.sum.Pace, stored.paceAt = earlier.sum.Pace, earlier.paceAt
	}
	c.children[key] = stored
}

// Total returns the instance's own load with those of its children in the tree of
// a root. It is about the pace of upstreams if the own load is.
func (c *Collector) Total(now time.Time, root string, own Sum) Sum {
	total := own
	total.Instances = 1
	for key, s := range c.children {
		switch {
		case now.Sub(s.at) > retention:
			delete(c.children, key)
		case key.root == root:
			if own.Pace == nil {
				s.sum.Pace = nil
			}
			s.sum.Age += now.Sub(s.at)
			total = total.Plus(s.sum)
		}
	}
	return total
}
