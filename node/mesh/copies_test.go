package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"banyanyard/core/gossip"
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
	is.True(lacks.lacks(now, has.rares.rows.Sum(), has.often.rows.Sum()))
	is.True(!has.lacks(now, has.rares.rows.Sum(), has.often.rows.Sum()))
}

func TestFreshChangesAreGivenTime(t *testing.T) {
	is := is.New(t)
	has, lacks := newCopies(), newCopies()
	lacks.hold(start, entry("op/a", 1))
	has.hold(start, entry("op/a", 1))
	has.hold(start, entry("op/config", 2))
	is.True(!lacks.lacks(start.Add(settleTime/2), has.rares.rows.Sum(), 0)) // its own latest is as young
	is.True(lacks.lacks(start.Add(settleTime), has.rares.rows.Sum(), 0))
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
		missing, wanted := b.compare(a.digest())
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
