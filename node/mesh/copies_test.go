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

func newCopies() *copies {
	return &copies{rare: func(key string) bool { return strings.HasPrefix(key, "op/") }}
}

func entry(key string, version uint64) gossip.Entry {
	return gossip.Entry{Key: key, Version: version, Data: []byte("{}")}
}

// TestMissingOrderShowsWhileRegistrationsChange plays two copies, one of which
// lacks an order, while the registrations of both change all the time.
func TestMissingOrderShowsWhileRegistrationsChange(t *testing.T) {
	is := is.New(t)
	has, lacks := newCopies(), newCopies()
	has.hold(start, entry("op/config", 1))
	now := start
	for i := range uint64(10) {
		now = now.Add(100 * time.Millisecond)
		has.hold(now, entry("servers/u", i+1))
		lacks.hold(now, entry("servers/u", i+1))
	}
	is.True(lacks.rares.differs(now, has.rares.rows.Checksum()))
	is.True(!has.rares.differs(now, has.rares.rows.Checksum()))
}

func TestFreshChangesAreGivenTime(t *testing.T) {
	is := is.New(t)
	has, lacks := newCopies(), newCopies()
	lacks.hold(start, entry("op/a", 1))
	has.hold(start, entry("op/a", 1))
	has.hold(start, entry("op/config", 2))
	is.True(!lacks.rares.differs(start.Add(settleTime/2), has.rares.rows.Checksum())) // its own latest is as young
	is.True(lacks.rares.differs(start.Add(settleTime), has.rares.rows.Checksum()))
}

// TestComparingMakesCopiesEqual exchanges what two random copies lack, as
// instances do, and checks that they hold the same rows and that no version fell.
func TestComparingMakesCopiesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newCopies(), newCopies()
		newest := map[string]uint64{}
		for range rapid.IntRange(0, 30).Draw(t, "rows") {
			key := fmt.Sprint(rapid.SampledFrom([]string{"op/", "servers/", "status/"}).Draw(t, "table"), rapid.IntRange(0, 4).Draw(t, "key"))
			version := rapid.Uint64Range(1, 40).Draw(t, "version")
			rapid.SampledFrom([]*copies{a, b}).Draw(t, "copy").hold(start, entry(key, version))
			newest[key] = max(newest[key], version)
		}
		missing, wanted := b.compare(a.digest(true), true)
		for _, e := range missing {
			a.hold(start, e)
		}
		for _, key := range wanted {
			if e, ok := a.get(key); ok {
				b.hold(start, e)
			}
		}
		for key, version := range newest {
			for _, c := range []*copies{a, b} {
				if e, ok := c.get(key); !ok || e.Version != version {
					t.Fatalf("%s has version %d, the newest is %d", key, e.Version, version)
				}
			}
		}
	})
}

// A source is an instance's view of the store in tests.
type source struct{ fresh bool }

func (s source) Fresh() bool    { return s.fresh }
func (source) Doubtful() bool   { return false }
func (source) Rare(string) bool { return false }
func (source) Reread()          {}

func TestWhoComparesRegistrations(t *testing.T) {
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
			s := &state{mesh: &Mesh{source: source{fresh: tt.fresh}}, heardFresh: start.Add(-tt.heard)}
			s.mesh.follows.Store(tt.follows)
			is.Equal(s.lacksRegistrations(start, tt.relayed), tt.want)
		})
	}
}

// TestComparingOperatorsRowsLeavesOthersAlone checks that a comparison of
// operators' rows neither asks for nor offers registrations.
func TestComparingOperatorsRowsLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	a, b := newCopies(), newCopies()
	a.hold(start, entry("op/config", 2))
	a.hold(start, entry("servers/a", 1))
	b.hold(start, entry("op/config", 1))
	b.hold(start, entry("servers/b", 1))
	missing, wanted := b.compare(a.digest(false), false)
	is.Equal(len(missing), 0)
	is.Equal(wanted, []string{"op/config"})
}

// TestOneOfTwoTakesOver plays two instances that follow the store in place of
// others, and hear of each other.
func TestOneOfTwoTakesOver(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	later := start.Add(time.Second)
	for i, name := range names {
		s := &state{mesh: &Mesh{self: member.Identity{Instance: name}, source: source{fresh: true}}, heardFresh: start}
		s.mesh.follows.Store(true)
		s.heardRows(later, rank(names[1-i]))
		is.Equal(s.heardFresh == later, i == 1) // the one behind may stop
		s.mesh.follows.Store(false)
		s.heardRows(later, 0)
		is.Equal(s.heardFresh, later) // who does not follow the store hears anybody
	}
	is.Equal(patience(followers+1)-patience(followers), takeOver)
}
