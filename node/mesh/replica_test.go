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

// TestMissingOrderIsDetectedWhileRegistrationsChange checks that an instance
// notices a missing order although registrations change all the time: their
// checksums then hardly ever match, and none stays unchanged for settleTime.
func TestMissingOrderIsDetectedWhileRegistrationsChange(t *testing.T) {
	is := is.New(t)
	complete, incomplete := newTestReplica(), newTestReplica()
	complete.put(start, entry("op/config", 1))
	now := start
	for i := range uint64(10) {
		now = now.Add(100 * time.Millisecond)
		complete.put(now, entry("servers/u", i+1))
		incomplete.put(now, entry("servers/u", i+1))
	}
	is.True(incomplete.rare.differsFrom(now, complete.rare.rows.Checksum()))
	is.True(!complete.rare.differsFrom(now, complete.rare.rows.Checksum()))
}

func TestRecentChangesAreNotComparedBeforeSettleTime(t *testing.T) {
	is := is.New(t)
	complete, incomplete := newTestReplica(), newTestReplica()
	incomplete.put(start, entry("op/a", 1))
	complete.put(start, entry("op/a", 1))
	complete.put(start, entry("op/config", 2))
	is.True(!incomplete.rare.differsFrom(start.Add(settleTime/2), complete.rare.rows.Checksum())) // its own latest change is as recent
	is.True(incomplete.rare.differsFrom(start.Add(settleTime), complete.rare.rows.Checksum()))
}

// TestCompareMakesReplicasEqual exchanges the rows that two random replicas lack, as
// instances do, and checks that both then hold the newest version of every row.
func TestCompareMakesReplicasEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestReplica(), newTestReplica()
		newest := map[string]uint64{}
		for range rapid.IntRange(0, 30).Draw(t, "rows") {
			key := fmt.Sprint(rapid.SampledFrom([]string{"op/", "servers/", "status/"}).Draw(t, "table"), rapid.IntRange(0, 4).Draw(t, "key"))
			version := rapid.Uint64Range(1, 40).Draw(t, "version")
			rapid.SampledFrom([]*replica{a, b}).Draw(t, "replica").put(start, entry(key, version))
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
			for _, r := range []*replica{a, b} {
				if e, ok := r.get(key); !ok || e.Version != version {
					t.Fatalf("%s has version %d, want the newest version %d", key, e.Version, version)
				}
			}
		}
	})
}

// A fakeFollower is a StoreFollower with a fixed state.
type fakeFollower struct{ upToDate bool }

func (f fakeFollower) UpToDate() bool                          { return f.upToDate }
func (fakeFollower) RemovalsUncertainFor() time.Duration       { return 0 }
func (fakeFollower) ChangesRarely(key string) bool             { return strings.HasPrefix(key, "op/") }
func (fakeFollower) Reread()                                   {}
func (fakeFollower) AsOf() time.Time                           { return time.Time{} }
func (fakeFollower) StoreTime(time.Time) (time.Duration, bool) { return 0, false }
func (fakeFollower) LocalTime(_ time.Time, _, _ time.Duration) (time.Time, bool) {
	return time.Time{}, false
}
func (fakeFollower) Recheck() {}

func TestMayLackRegistrations(t *testing.T) {
	tests := []struct {
		name        string
		follows     bool
		followsAll  bool // registrations too
		upToDate    bool
		sinceRelay  time.Duration // time since a relay was received
		peerFollows bool          // the other instance follows the store for this one
		want        bool
	}{
		{name: "follows the store and is up to date", follows: true, followsAll: true, upToDate: true, peerFollows: true},
		{name: "follows the store but is not up to date", follows: true, followsAll: true, want: true},
		{name: "follows only the operators' table", follows: true, upToDate: true, peerFollows: true, want: true},
		{name: "follows only the operators' table, receives relays", follows: true, upToDate: true, sinceRelay: time.Second},
		{name: "receives relays", sinceRelay: time.Second},
		{name: "receives relays from the instance that it compares with", peerFollows: true, want: true},
		{name: "receives no relays", sinceRelay: 2 * time.Second, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &state{mesh: &Mesh{store: fakeFollower{upToDate: tt.upToDate}}, relayedAsOf: start.Add(-tt.sinceRelay)}
			s.mesh.followsStore.Store(tt.follows)
			s.mesh.followsAll.Store(tt.followsAll)
			is.Equal(s.mayLackRegistrations(start, tt.peerFollows), tt.want)
		})
	}
}

// TestCompareRareRowsIgnoresFrequentRows checks that a comparison of the rows that
// change rarely neither requests nor offers registrations.
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

// TestLowerRankedFollowerStops checks that, of two instances that follow the store
// in place of others and receive each other's relays, only the one with the lower
// rank may stop.
func TestLowerRankedFollowerStops(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	later := start.Add(time.Second)
	for i, name := range names {
		s := &state{mesh: &Mesh{self: member.Identity{Instance: name}, store: fakeFollower{upToDate: true}}, relayedAsOf: start}
		s.mesh.followsStore.Store(true)
		s.recordRelay(later, rank(names[1-i]))
		is.Equal(s.relayedAsOf == later, i == 1) // only the lower-ranked one may stop
		s.mesh.followsStore.Store(false)
		s.recordRelay(later, 0)
		is.Equal(s.relayedAsOf, later) // an instance that does not follow the store accepts relays from any
	}
	is.Equal(followDelayBehind(followersPerDomain+1)-followDelayBehind(followersPerDomain), followDelayStep)
}
