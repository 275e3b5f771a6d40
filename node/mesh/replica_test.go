package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newTestReplica() *replica {
	return &replica{changesRarely: func(key string) bool { return strings.HasPrefix(key, "op/") }}
}

func entry(key string, version uint64) gossip.Entry {
	return gossip.Entry{Key: key, Version: version, Data: []byte("{}")}
}

// TestMissingOrderIsDetectedWhileRegistrationsChange plays two copies, one of which
// lacks an order, while the registrations of both change all the time.
func TestMissingOrderIsDetectedWhileRegistrationsChange(t *testing.T) {
	is := is.New(t)
	has, lacks := newTestReplica(), newTestReplica()
	has.put(start, entry("op/config", 1))
	now := start
	for i := range uint64(10) {
		now = now.Add(100 * time.Millisecond)
		has.put(now, entry("servers/u", i+1))
		lacks.put(now, entry("servers/u", i+1))
	}
	is.True(lacks.rare.differsFrom(now, has.rare.rows.Sum()))
	is.True(!has.rare.differsFrom(now, has.rare.rows.Sum()))
}

func TestRecentChangesAreNotComparedBeforeSettleTime(t *testing.T) {
	is := is.New(t)
	has, lacks := newTestReplica(), newTestReplica()
	lacks.put(start, entry("op/a", 1))
	has.put(start, entry("op/a", 1))
	has.put(start, entry("op/config", 2))
	is.True(!lacks.rare.differsFrom(start.Add(settleTime/2), has.rare.rows.Sum())) // its own latest is as young
	is.True(lacks.rare.differsFrom(start.Add(settleTime), has.rare.rows.Sum()))
}

// TestCompareMakesReplicasEqual exchanges what two random copies lack, as
// instances do, and checks that they hold the same rows and that no version fell.
func TestCompareMakesReplicasEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestReplica(), newTestReplica()
		newest := map[string]uint64{}
		for range rapid.IntRange(0, 30).Draw(t, "rows") {
			key := fmt.Sprint(rapid.SampledFrom([]string{"op/", "servers/", "status/"}).Draw(t, "table"), rapid.IntRange(0, 4).Draw(t, "key"))
			version := rapid.Uint64Range(1, 40).Draw(t, "version")
			rapid.SampledFrom([]*replica{a, b}).Draw(t, "copy").put(start, entry(key, version))
			newest[key] = max(newest[key], version)
		}
		missing, wanted := b.compare(a.digest(true), true)
		for _, e := range missing {
			a.put(start, e)
		}
		for _, key := range wanted {
			if e, ok := a.get(key); ok {
				b.put(start, e)
			}
		}
		for key, version := range newest {
			for _, c := range []*replica{a, b} {
				if e, ok := c.get(key); !ok || e.Version != version {
					t.Fatalf("%s has version %d, the newest is %d", key, e.Version, version)
				}
			}
		}
	})
}

// A fakeFollower is an instance's view of the store in tests.
type fakeFollower struct{ upToDate bool }

func (s fakeFollower) UpToDate() bool          { return s.upToDate }
func (fakeFollower) RemovalsUncertain() bool   { return false }
func (fakeFollower) ChangesRarely(string) bool { return false }
func (fakeFollower) Reread()                   {}

func TestMayLackRegistrations(t *testing.T) {
	tests := []struct {
		name    string
		follows bool
		fresh   bool
		heard   time.Duration // since the last relay
		relayed bool          // the other one follows the store for this one
		want    bool
	}{
		{name: "follows the store without trouble", follows: true, fresh: true, relayed: true},
		{name: "follows the store in vain", follows: true, want: true},
		{name: "hears of changes", heard: time.Second},
		{name: "hears of changes, from the one that it compares with", relayed: true, want: true},
		{name: "hears nothing", heard: 2 * time.Second, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &state{mesh: &Mesh{store: fakeFollower{upToDate: tt.fresh}}, relayReceived: start.Add(-tt.heard)}
			s.mesh.followsStore.Store(tt.follows)
			is.Equal(s.mayLackRegistrations(start, tt.relayed), tt.want)
		})
	}
}

// TestCompareRareRowsIgnoresFrequentRows checks that a comparison of
// operators' rows neither asks for nor offers registrations.
func TestCompareRareRowsIgnoresFrequentRows(t *testing.T) {
	is := is.New(t)
	a, b := newTestReplica(), newTestReplica()
	a.put(start, entry("op/config", 2))
	a.put(start, entry("servers/a", 1))
	b.put(start, entry("op/config", 1))
	b.put(start, entry("servers/b", 1))
	missing, wanted := b.compare(a.digest(false), false)
	is.Equal(len(missing), 0)
	is.Equal(wanted, []string{"op/config"})
}

// TestLowerRankedFollowerStops plays two instances that follow the store in place of
// others, and hear of each other.
func TestLowerRankedFollowerStops(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	later := start.Add(time.Second)
	for i, name := range names {
		s := &state{mesh: &Mesh{self: member.Identity{Instance: name}, store: fakeFollower{upToDate: true}}, relayReceived: start}
		s.mesh.followsStore.Store(true)
		s.recordRelay(later, rank(names[1-i]))
		is.Equal(s.relayReceived == later, i == 1) // the one behind may stop
		s.mesh.followsStore.Store(false)
		s.recordRelay(later, 0)
		is.Equal(s.relayReceived, later) // who does not follow the store hears anybody
	}
	is.Equal(followDelayBehind(followersPerDomain+1)-followDelayBehind(followersPerDomain), followDelayStep)
}
