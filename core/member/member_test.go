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

// A cluster is detectors that probe each other over a simulated network, with
// statuses carried by probes as gossip does.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node // by address
	parted  func(a, b *node) bool
	pending queue
	sent    int
}

type node struct {
	*Detector
	news  map[string]*rumour
	down  bool
	until time.Time // paused until
}

type rumour struct {
	Status
	left int
}

type delivery struct {
	at time.Time
	do func()
}

type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newCluster(n int) *cluster {
	c := &cluster{
		now:    time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(1, 2)),
		nodes:  map[string]*node{},
		parted: func(_, _ *node) bool { return false },
	}
	for i := range n {
		c.start(i, 0)
	}
	c.list()
	return c
}

// start starts the instance at an address anew.
func (c *cluster) start(i, generation int) *node {
	id := Identity{
		ID: fmt.Sprintf("i%03d-%d", i, generation), Instance: fmt.Sprintf("m%03d", i),
		Address: fmt.Sprintf("a%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3),
	}
	n := &node{Detector: New(id, uint64(generation), uint64(i+1000*generation)), news: map[string]*rumour{}}
	c.nodes[id.Address] = n
	return n
}

func (c *cluster) list() {
	for _, n := range c.nodes {
		var seeds []Seed
		for _, o := range c.nodes {
			seeds = append(seeds, Seed{Instance: o.self.Instance, Address: o.self.Address})
		}
		n.Seed(seeds)
	}
}

func (c *cluster) at(i int) *node { return c.nodes[fmt.Sprintf("a%03d", i)] }

const tick = 100 * time.Millisecond

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for len(c.pending) > 0 && !c.pending[0].at.After(c.now) {
			heap.Pop(&c.pending).(delivery).do()
		}
		for i := range len(c.nodes) {
			n := c.at(i)
			if n == nil || n.down || c.now.Before(n.until) {
				continue
			}
			for _, a := range n.Tick(c.now) {
				c.probe(n, a)
			}
			n.gather(len(c.nodes))
		}
	}
}

func (n *node) gather(size int) {
	for _, s := range n.Changes() {
		n.news[s.ID] = &rumour{Status: s, left: 3 * bits.Len(uint(size))}
	}
}

// carry returns up to eight rumours.
func (n *node) carry() []Status {
	var out []Status
	for id, r := range n.news {
		if len(out) == 8 {
			break
		}
		out = append(out, r.Status)
		if r.left--; r.left == 0 {
			delete(n.news, id)
		}
	}
	return out
}

// carryTo returns rumours and what the member has to refute.
func (n *node) carryTo(id string) []Status {
	out := n.carry()
	if s, ok := n.Doubts(id); ok {
		out = append(out, s)
	}
	return out
}

func (c *cluster) reach(a, b *node) bool {
	return b != nil && !b.down && !c.now.Before(b.until) && !c.parted(a, b) && !c.parted(b, a)
}

func (c *cluster) probe(n *node, a Action) {
	target := c.nodes[a.Address]
	if len(a.Via) == 0 {
		c.sent++
		c.exchange(n, target, a)
		return
	}
	for _, via := range a.Via {
		c.sent += 2
		if helper := c.nodes[via]; c.reach(n, helper) && c.reach(helper, target) {
			s := target.Self()
			c.later(func() { n.Answered(c.now, s) })
		}
	}
}

func (c *cluster) exchange(n, target *node, a Action) {
	if !c.reach(n, target) {
		if target != nil && target.down {
			c.later(func() { n.Failed(c.now, a.ID) })
		}
		return
	}
	carried := n.carryTo(a.ID)
	from := n.Self()
	c.later(func() {
		answer := target.carryTo(from.ID)
		target.heard(c.now, carried, from)
		self := target.Self()
		c.sent++
		c.later(func() { n.heard(c.now, answer, self) })
	})
}

func (n *node) heard(now time.Time, carried []Status, from Status) {
	n.Answered(now, from)
	for _, s := range carried {
		n.Merge(now, s)
	}
}

func (c *cluster) later(do func()) {
	heap.Push(&c.pending, delivery{at: c.now.Add(time.Millisecond), do: do})
}

// sees reports in how many views of running instances the identity has the
// state.
func (c *cluster) sees(id string, s State) (views, running int) {
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
	if views, running := c.sees(id, s); views != running {
		t.Fatalf("%d of %d instances see %s as %s", views, running, id, s)
	}
}

func TestInstancesFindEachOtherByTheList(t *testing.T) {
	c := newCluster(7)
	c.run(10 * time.Second)
	for i := range 7 {
		c.wantAll(t, c.at(i).self.ID, Live)
	}
}

func TestCrashIsNoticedWithinSeconds(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.at(3).down = true
	c.run(8 * time.Second)
	c.wantAll(t, "i003-0", Gone)
}

func TestPlannedLeaveIsKnownWithinSeconds(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.at(2).Leave()
	c.run(4 * time.Second)
	c.wantAll(t, "i002-0", Leaving)
}

func TestPausedInstanceComesBack(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.at(4).until = c.now.Add(10 * time.Second)
	c.run(9 * time.Second)
	c.wantAll(t, "i004-0", Gone)
	c.run(12 * time.Second)
	c.wantAll(t, "i004-0", Live)
}

func TestNewStartAtTheSameAddressReplacesTheOld(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.start(5, 1)
	c.list()
	c.run(8 * time.Second)
	c.wantAll(t, "i005-1", Live)
	c.wantAll(t, "i005-0", Gone)
}

func TestDomainCutOffAndBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(9)
	c.run(20 * time.Second)
	c.parted = func(a, b *node) bool { return (a.self.FailureDomain == "d0") != (b.self.FailureDomain == "d0") }
	c.run(20 * time.Second)
	near, _ := c.at(0).Get("i003-0")
	far, _ := c.at(0).Get("i001-0")
	is.Equal(near.State, Live)
	is.Equal(far.State, Gone)
	c.parted = func(_, _ *node) bool { return false }
	before := c.sent
	c.run(30 * time.Second)
	for i := range 9 {
		c.wantAll(t, c.at(i).self.ID, Live)
	}
	// No storm: a probe and its answer for each instance and second, twice that
	// for gone members and suspicions.
	is.True(c.sent-before <= 9*30*4)
}

// TestOneWayCutDoesNotEndAMember cuts what one pair sends in one direction. The
// others still reach both, so that indirect probes keep them live.
func TestOneWayCutDoesNotEndAMember(t *testing.T) {
	c := newCluster(7)
	c.run(15 * time.Second)
	c.parted = func(a, b *node) bool { return a == c.at(0) && b == c.at(1) }
	c.run(30 * time.Second)
	c.wantAll(t, "i000-0", Live)
	c.wantAll(t, "i001-0", Live)
}

// BenchmarkProbes reports the messages that an instance sends and answers in a
// second, which must not grow with the members.
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
