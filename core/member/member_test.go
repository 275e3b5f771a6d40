package member

import (
	"container/heap"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A cluster is a set of detectors that probe each other over a simulated network.
// Probes and answers carry status updates, as with gossip.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node // by address
	blocked func(a, b *node) bool
	pending deliveryQueue
	sent    int
}

type node struct {
	*Detector
	updates     map[string]*update
	down        bool
	pausedUntil time.Time // neither sends nor answers before this time
}

type update struct {
	Status
	sendsLeft int
}

type delivery struct {
	at      time.Time
	deliver func()
}

type deliveryQueue []delivery

func (q deliveryQueue) Len() int           { return len(q) }
func (q deliveryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q deliveryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newCluster(n int) *cluster {
	c := &cluster{
		now:     time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(1, 2)),
		nodes:   map[string]*node{},
		blocked: func(_, _ *node) bool { return false },
	}
	for i := range n {
		c.startInstance(i, 0)
	}
	c.updateSeeds()
	return c
}

// startInstance starts the instance with index i, replacing its earlier start.
func (c *cluster) startInstance(i, generation int) *node {
	id := Identity{
		ID: fmt.Sprintf("i%03d-%d", i, generation), Instance: fmt.Sprintf("m%03d", i),
		Address: fmt.Sprintf("a%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3),
	}
	n := &node{Detector: New(id, uint64(generation), uint64(i+1000*generation)), updates: map[string]*update{}}
	c.nodes[id.Address] = n
	return n
}

func (c *cluster) updateSeeds() {
	for _, n := range c.nodes {
		var seeds []Seed
		for _, o := range c.nodes {
			seeds = append(seeds, Seed{Instance: o.self.Instance, Address: o.self.Address})
		}
		n.SetSeeds(seeds)
	}
}

func (c *cluster) nodeAt(i int) *node { return c.nodes[fmt.Sprintf("a%03d", i)] }

const tick = 100 * time.Millisecond

// run advances the simulated time by d.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for len(c.pending) > 0 && !c.pending[0].at.After(c.now) {
			heap.Pop(&c.pending).(delivery).deliver()
		}
		for i := range len(c.nodes) {
			n := c.nodeAt(i)
			if n == nil || n.down || c.now.Before(n.pausedUntil) {
				continue
			}
			for _, p := range n.Tick(c.now) {
				c.sendProbe(n, p)
			}
			n.collectChanges(len(c.nodes))
		}
	}
}

func (n *node) collectChanges(instances int) {
	for _, s := range n.Changes() {
		n.updates[s.ID] = &update{Status: s, sendsLeft: 3 * bits.Len(uint(instances))}
	}
}

// nextUpdates returns up to eight status updates and counts them as sent.
func (n *node) nextUpdates() []Status {
	var out []Status
	for id, u := range n.updates {
		if len(out) == 8 {
			break
		}
		out = append(out, u.Status)
		if u.sendsLeft--; u.sendsLeft == 0 {
			delete(n.updates, id)
		}
	}
	return out
}

// updatesFor returns the next updates and the status that the member has to
// refute, if any.
func (n *node) updatesFor(id string) []Status {
	out := n.nextUpdates()
	if s, ok := n.Suspicion(id); ok {
		out = append(out, s)
	}
	return out
}

func (c *cluster) canExchange(a, b *node) bool {
	return b != nil && !b.down && !c.now.Before(b.pausedUntil) && !c.blocked(a, b) && !c.blocked(b, a)
}

func (c *cluster) sendProbe(n *node, p Probe) {
	target := c.nodes[p.Address]
	if len(p.Via) == 0 {
		c.sent++
		c.exchange(n, target, p)
		return
	}
	for _, via := range p.Via {
		c.sent += 2
		if prober := c.nodes[via]; c.canExchange(n, prober) && c.canExchange(prober, target) {
			s := target.Self()
			c.schedule(func() { n.HeardFrom(c.now, s) })
		}
	}
}

func (c *cluster) exchange(n, target *node, p Probe) {
	if !c.canExchange(n, target) {
		if target != nil && target.down {
			c.schedule(func() { n.ProbeFailed(c.now, p.ID) })
		}
		return
	}
	updates := n.updatesFor(p.ID)
	from := n.Self()
	c.schedule(func() {
		answer := target.updatesFor(from.ID)
		target.receive(c.now, updates, from)
		self := target.Self()
		c.sent++
		c.schedule(func() { n.receive(c.now, answer, self) })
	})
}

func (n *node) receive(now time.Time, updates []Status, from Status) {
	n.HeardFrom(now, from)
	for _, s := range updates {
		n.Merge(now, s)
	}
}

func (c *cluster) schedule(deliver func()) {
	heap.Push(&c.pending, delivery{at: c.now.Add(time.Millisecond), deliver: deliver})
}

// countViews returns how many of the other running instances see the identity in
// the state, and how many there are.
func (c *cluster) countViews(id string, s State) (views, running int) {
	for _, n := range c.nodes {
		if n.down || n.self.ID == id {
			continue
		}
		running++
		if got, ok := n.Get(id); ok && got.State == s {
			views++
		}
	}
	return views, running
}

func (c *cluster) wantAll(t *testing.T, id string, s State) {
	t.Helper()
	if views, running := c.countViews(id, s); views != running {
		t.Fatalf("%d of %d instances see %s as %s", views, running, id, s)
	}
}

func TestInstancesDiscoverEachOtherFromSeeds(t *testing.T) {
	c := newCluster(7)
	c.run(10 * time.Second)
	for i := range 7 {
		c.wantAll(t, c.nodeAt(i).self.ID, Live)
	}
}

func TestCrashedInstanceIsGone(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.nodeAt(3).down = true
	c.run(8 * time.Second)
	c.wantAll(t, "i003-0", Gone)
}

func TestLeavingStateSpreads(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.nodeAt(2).MarkLeaving()
	c.run(4 * time.Second)
	c.wantAll(t, "i002-0", Leaving)
}

func TestPausedInstanceIsLiveAgain(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.nodeAt(4).pausedUntil = c.now.Add(10 * time.Second)
	c.run(9 * time.Second)
	c.wantAll(t, "i004-0", Gone)
	c.run(12 * time.Second)
	c.wantAll(t, "i004-0", Live)
}

func TestRestartAtSameAddressReplacesInstance(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.startInstance(5, 1)
	c.updateSeeds()
	c.run(8 * time.Second)
	c.wantAll(t, "i005-1", Live)
	c.wantAll(t, "i005-0", Gone)
}

func TestPartitionedDomainRejoins(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.run(20 * time.Second)
	c.blocked = func(a, b *node) bool { return (a.self.FailureDomain == "d0") != (b.self.FailureDomain == "d0") }
	c.run(20 * time.Second)
	inDomain, _ := c.nodeAt(0).Get("i003-0")
	outside, _ := c.nodeAt(0).Get("i001-0")
	is.Equal(inDomain.State, Live)
	is.Equal(outside.State, Gone)
	c.blocked = func(_, _ *node) bool { return false }
	before := c.sent
	c.run(30 * time.Second)
	for i := range 9 {
		c.wantAll(t, c.nodeAt(i).self.ID, Live)
	}
	// Rejoining must not cause a message storm: allow a probe and its answer per
	// instance and second, and as much again for gone members and suspicions.
	is.True(c.sent-before <= 9*30*4)
}

// One instance cannot send to another. The others still reach both, so that
// indirect probes must keep both live.
func TestOneWayPartitionKeepsMembersLive(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.blocked = func(a, b *node) bool { return a == c.nodeAt(0) && b == c.nodeAt(1) }
	c.run(30 * time.Second)
	c.wantAll(t, "i000-0", Live)
	c.wantAll(t, "i001-0", Live)
}

// BenchmarkProbes reports the messages that an instance sends and answers per
// second, which must not grow with the number of members.
func BenchmarkProbes(b *testing.B) {
	for _, n := range []int{7, 50, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perSecond float64
			for b.Loop() {
				c := newCluster(n)
				c.run(30 * time.Second)
				before := c.sent
				c.run(20 * time.Second)
				perSecond = float64(c.sent-before) / float64(n) / 20
			}
			b.ReportMetric(perSecond, "msg/s/instance")
		})
	}
}

// TestAddressForTunnelsIsAdopted guards against members that are never connected through, because
// an instance of an earlier release, which does not know the address, told of them first.
func TestAddressForTunnelsIsAdopted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := New(Identity{ID: "a", Instance: "a", Address: "1"}, 1, 1)
	full := Status{Identity: Identity{ID: "b", Instance: "b", Address: "2", TunnelAddress: "3", Capacity: 0.8}, Incarnation: 7}
	partial := full
	partial.TunnelAddress, partial.Capacity = "", 0
	is.True(d.Merge(now, partial))
	is.True(d.Merge(now, full))
	is.True(!d.Merge(now, partial))
	is.True(!d.Merge(now, full))
	known, _ := d.Get("b")
	is.Equal(known.TunnelAddress, "3")
	is.Equal(known.Capacity, 0.8)
}
