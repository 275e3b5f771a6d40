package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/era"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

// A rolloutGroup is a group of instances with one record and an order that is under way.
// Messages between them take time, and those of an isolated instance are lost.
type rolloutGroup struct {
	coordinators []*RolloutCoordinator

	mu       sync.Mutex
	random   *rand.Rand    // guarded by mu
	isolated int           // index of the instance whose messages are lost; -1 for none; guarded by mu
	refused  int           // index of the instance whose writes the store refuses; -1 for none; guarded by mu
	silenced bool          // what is published is lost; guarded by mu
	record   RolloutRecord // guarded by mu
}

const (
	groupOrderDuration = 24 * time.Second
	maxGroupDelay      = 300 * time.Millisecond // of a message
)

func newRolloutGroup(t *testing.T, instances int, seed uint64) *rolloutGroup {
	return newBoundedRolloutGroup(t, instances, seed, 0)
}

// newBoundedRolloutGroup returns a group whose instances have a slack in the bound on
// exposure.
func newBoundedRolloutGroup(t *testing.T, instances int, seed uint64, exposeSlack float64) *rolloutGroup {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(4 * maxGroupDelay) // what is under way ends
	})
	g := &rolloutGroup{random: rand.New(rand.NewPCG(seed, 41)), isolated: -1, refused: -1}
	var members []member.Status
	for i := range instances {
		members = append(members, member.Status{Identity: member.Identity{Instance: fmt.Sprint(i), Address: fmt.Sprint(i)}})
	}
	for i := range instances {
		r := newTestRouter(2)
		t.Cleanup(r.Log.Close)
		r.Bounds.Trial.ExposeSlack = exposeSlack
		r.configuredAt = time.Now().Add(-time.Minute)
		r.WithFleet(func(now time.Time, f *placement.Fleet) {
			f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "new", FailureDomain: "d0", Version: "v2", Slots: 4})
		})
		c := &RolloutCoordinator{Router: r, Records: groupMember{group: g, index: i}, Peers: groupMember{group: g, index: i}, Instance: fmt.Sprint(i)}
		c.SetMembers(members)
		r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: groupOrderDuration})
		g.coordinators = append(g.coordinators, c)
	}
	for _, c := range g.coordinators {
		go c.Run(ctx)
	}
	return g
}

func (g *rolloutGroup) delay() time.Duration { return g.upTo(maxGroupDelay) }

// upTo returns a random time below a maximum.
func (g *rolloutGroup) upTo(maximum time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(maximum)))
}

// pickInstance returns the index of a random instance.
func (g *rolloutGroup) pickInstance() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(len(g.coordinators))
}

// set changes the group.
func (g *rolloutGroup) set(change func(g *rolloutGroup)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

// currentRecord returns the record.
func (g *rolloutGroup) currentRecord() RolloutRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record
}

// loses reports whether a message between two instances is lost.
func (g *rolloutGroup) loses(from, to int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return from == g.isolated || to == g.isolated
}

// WriteHistory implements RecordStore.
func (groupMember) WriteHistory(context.Context, string, []trial.VersionRecord, era.Version) error {
	return nil
}

// Write implements RecordStore.
func (m groupMember) Write(_ context.Context, service string, r RolloutRecord, _ []trial.VersionRecord) error {
	g := m.group
	time.Sleep(g.delay())
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.index == g.refused {
		return errors.New("refused")
	}
	if g.record.Version != r.Version {
		return errors.New("another version is stored")
	}
	r.Version++
	g.record = r
	for _, c := range g.coordinators {
		delay := time.Duration(g.random.Int64N(int64(maxGroupDelay)))
		time.AfterFunc(delay, func() { c.ApplyRecord(service, r) })
	}
	return nil
}

// stop stops the trial of one instance, as its evidence does.
func (g *rolloutGroup) stop(instance int) {
	r := g.coordinators[instance].Router
	r.AdoptTrialState("s", "v2", trial.Stopped, "test")
	select {
	case r.trialNews <- struct{}{}:
	default:
	}
}

// A groupMember is the PeerClient and the RecordStore of one instance.
type groupMember struct {
	group *rolloutGroup
	index int
}

func (m groupMember) Publish(_ context.Context, e gossip.Entry, _ bool) {
	silenced := false
	m.group.set(func(g *rolloutGroup) { silenced = g.silenced })
	for i, c := range m.group.coordinators {
		if i != m.index && !silenced && !m.group.loses(m.index, i) {
			time.AfterFunc(m.group.delay(), func() { c.HandleEntry(e) })
		}
	}
}

func (m groupMember) Report(_ context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	to := slices.IndexFunc(m.group.coordinators, func(c *RolloutCoordinator) bool { return c.Instance == address })
	if m.group.loses(m.index, to) {
		return gossip.Entry{}, errors.New("lost")
	}
	time.Sleep(m.group.delay())
	if to < 0 {
		return gossip.Entry{}, errors.New("no such instance")
	}
	return m.group.coordinators[to].HandleReport(e), nil
}

// TestRecordDecidesBetweenStopAndCompletion lets an instance stop a trial about when others
// record its completion. All instances end in the state of the record, since a record of
// the completion ends the old version.
func TestRecordDecidesBetweenStopAndCompletion(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRolloutGroup(t, 5, seed)
			time.Sleep(groupOrderDuration - 2*time.Second + g.upTo(3*time.Second))
			stopper := 0
			if seed%2 == 0 {
				stopper = g.pickInstance()
				g.set(func(g *rolloutGroup) { g.isolated = stopper })
			}
			g.stop(stopper)
			time.Sleep(10 * time.Second)
			state := g.currentRecord().State
			is.True(state != trial.Running)
			for _, c := range g.coordinators {
				is.Equal(trialState(c.Router, "s"), state.String())
				slot, _ := c.Router.pick(&Request{Service: "s"}, placement.Criteria{Service: "s"}, &versionChoice{})
				is.Equal(slot.Upstream.Version == "v2", state == trial.Completed)
			}
		})
	}
}

// TestStopBeforeCompletionWins stops a trial at one instance before the completion could be
// recorded: also if its gossip is lost, it is not completed.
func TestStopBeforeCompletionWins(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRolloutGroup(t, 5, seed)
			g.set(func(g *rolloutGroup) { g.silenced = true })
			time.Sleep(groupOrderDuration - time.Second - maxGroupDelay)
			g.stop(g.pickInstance())
			time.Sleep(10 * time.Second)
			is.Equal(g.currentRecord().State, trial.Stopped)
		})
	}
}

// TestCompletionIsRecordedInTimeDespiteRefusals lets the store refuse the writes of one
// instance.
func TestCompletionIsRecordedInTimeDespiteRefusals(t *testing.T) {
	for refused := range 5 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRolloutGroup(t, 5, uint64(refused))
			g.set(func(g *rolloutGroup) { g.refused = refused })
			time.Sleep(groupOrderDuration)
			is.Equal(g.currentRecord().State, trial.Completed)
		})
	}
}

// TestRecordOfAnotherOrderIsNotFollowed gives instances a record that is older than the known one.
func TestRecordOfAnotherOrderIsNotFollowed(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	defer r.Log.Close()
	c := &RolloutCoordinator{Router: r, Instance: "i0"}
	r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
	c.ApplyRecord("s", RolloutRecord{State: trial.Stopped, To: "v2", Revision: 7, Version: 10})
	c.ApplyRecord("s", RolloutRecord{State: trial.Completed, To: "v2", Revision: 3, Version: 5})
	is.Equal(trialState(r, "s"), "stopped")
	c.ApplyRecord("s", RolloutRecord{State: trial.Completed, To: "v3", Revision: 9, Version: 11})
	is.Equal(trialState(r, "s"), "stopped")
}
