package exchange

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

// slowPeers are a PeerClient whose collectors take a time to answer. It counts the reports.
type slowPeers struct {
	groupMember
	delay   time.Duration
	reports chan string // the addresses that they were sent to
	ended   chan string // the addresses that have answered
}

func (p *slowPeers) Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	p.reports <- address
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
		return gossip.Entry{}, ctx.Err()
	}
	p.ended <- address
	return p.groupMember.Report(ctx, address, e)
}

// runSlowly runs a group in which the first instance's reports are answered late, and returns
// them.
func runSlowly(t *testing.T, delay, duration time.Duration) *slowPeers {
	g := newRolloutGroup(t, 5, 1)
	p := &slowPeers{groupMember: groupMember{group: g}, delay: delay, reports: make(chan string, 1000), ended: make(chan string, 1000)}
	g.coordinators[0].Peers = p
	time.Sleep(duration)
	return p
}

// TestBusyCollectorIsNotSentMoreReports guards against an instance that falls behind with reports and is sent more all the while.
func TestBusyCollectorIsNotSentMoreReports(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := runSlowly(t, delay, groupOrderDuration/2)
				is.True(len(p.reports)-len(p.ended) <= collectorCount)
				is.True(len(p.reports) > collectorCount) // and it goes on
			})
		})
	}
}

// TestReportsArePacedOnceTheTrafficHasMoved guards against instances that report more often than there is news, all at the same time.
func TestReportsArePacedOnceTheTrafficHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRolloutGroup(t, 5, 1)
		g.set(func(g *rolloutGroup) { g.isolated = 4 }) // so that the order is not completed
		p := &slowPeers{groupMember: groupMember{group: g}, reports: make(chan string, 1000), ended: make(chan string, 1000)}
		g.coordinators[0].Peers = p
		time.Sleep(groupOrderDuration + time.Second)
		is.Equal(g.currentRecord().State, trial.Running)
		before := len(p.reports)
		time.Sleep(5 * time.Second)
		is.True(len(p.reports)-before <= 5*2*collectorCount) // two a second to each
	})
}

// TestStopIsReportedWhileReportIsUnderWay guards against a completion that is recorded because the news of a stop waited for the answer to a report.
func TestStopIsReportedWhileReportIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := runSlowly(t, 5*time.Second, groupOrderDuration/2)
		before := len(p.reports)
		is.True(before > len(p.ended))
		p.group.stop(0)
		time.Sleep(10 * time.Millisecond)
		is.Equal(len(p.reports)-before, collectorCount)
	})
}

// TestReportsGoToLargeInstances guards against small instances that spend their processor time on collecting reports.
func TestReportsGoToLargeInstances(t *testing.T) {
	large := map[string]float64{"a": 0.2, "b": 0.8, "c": 0.2, "d": 0.8, "e": 0.2}
	tests := []struct {
		name       string
		instance   string
		capacities map[string]float64
		rank       int
		collectors []string // nil for those by hashing alone
	}{
		{name: "small instance", instance: "c", capacities: large, rank: -1, collectors: []string{"b", "d"}},
		{name: "large instance", instance: "b", capacities: large, rank: 0, collectors: []string{"d"}},
		{name: "an instance of an earlier release", instance: "c", capacities: map[string]float64{"a": 0.2, "b": 0.8, "c": 0.2, "d": 0.8, "e": 0}},
		{name: "all of an earlier release", instance: "c", capacities: map[string]float64{"a": 0, "b": 0, "c": 0, "d": 0, "e": 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(1)
			defer r.Log.Close()
			c := &RolloutCoordinator{Router: r, Instance: tt.instance}
			var members []member.Status
			for name, capacity := range tt.capacities {
				members = append(members, member.Status{Identity: member.Identity{Instance: name, Address: name, Capacity: capacity}})
			}
			c.SetMembers(members)
			rank, collectors := c.rankInstances("s")
			is.Equal(len(collectors), collectorCount)
			if tt.collectors == nil {
				for _, name := range collectors {
					for _, other := range []string{"a", "b", "d", "e"} {
						is.True(slices.Contains(collectors, other) || rendezvousWeight("s", name) > rendezvousWeight("s", other))
					}
				}
				return
			}
			for _, name := range tt.collectors {
				is.True(slices.Contains(collectors, name))
			}
			is.True(rank >= tt.rank && (tt.capacities[tt.instance] == 0.8) == (rank < 2))
		})
	}
}
