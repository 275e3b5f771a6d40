// Package load adds up how many attempts run at each upstream, and what is asked of each
// service, over the instances of a failure domain.
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
	"time"
)

// retention is how long the sum of a child counts without a newer one: several
// relays, of which each brings one.
const retention = 2 * time.Second

// A Sum is the load of some instances.
type Sum struct {
	Instances int            `json:"instances"`         // number of instances that are added up
	Running   map[string]int `json:"running,omitempty"` // attempts in progress by upstream; those without are omitted
	// Demand is what is asked of the services whose upstreams are ordered.
	Demand map[string]Demand `json:"demand,omitempty"`
}

// Plus returns the sum of two sums.
func (s Sum) Plus(o Sum) Sum {
	total := Sum{Instances: s.Instances + o.Instances, Running: maps.Clone(s.Running), Demand: s.Demand}
	if total.Running == nil {
		total.Running = map[string]int{}
	}
	for id, n := range o.Running {
		total.Running[id] += n
	}
	total.AddDemand(o.Demand)
	return total
}

// A Collector holds the sums of the children of one instance in the trees of all
// roots. The zero Collector is empty.
type Collector struct {
	children map[childKey]childSum
}

type childKey struct{ root, child string }

type childSum struct {
	sum Sum
	at  time.Time
}

// Put stores the sum of a child in the tree of a root.
func (c *Collector) Put(now time.Time, root, child string, s Sum) {
	if c.children == nil {
		c.children = map[childKey]childSum{}
	}
	c.children[childKey{root, child}] = childSum{sum: s, at: now}
}

// Total returns the instance's own load with those of its children in the tree of
// a root.
func (c *Collector) Total(now time.Time, root string, own map[string]int) Sum {
	total := Sum{Instances: 1, Running: own}
	for key, s := range c.children {
		switch {
		case now.Sub(s.at) > retention:
			delete(c.children, key)
		case key.root == root:
			total = total.Plus(s.sum)
		}
	}
	return total
}
