package gossip

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestStoresConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Version: rapid.Uint64Range(0, 3).Draw(t, "version"),
				Data:    json.RawMessage(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "data")),
			}
		})).Draw(t, "entries")
		var a, b Store
		for _, e := range entries {
			a.Put(e)
		}
		for _, i := range rand.New(rand.NewPCG(uint64(len(entries)), 1)).Perm(len(entries)) {
			b.Put(entries[i])
		}
		if a.Checksum() != b.Checksum() || fmt.Sprint(a.Digest()) != fmt.Sprint(b.Digest()) {
			t.Fatalf("stores differ: digests %v and %v", a.Digest(), b.Digest())
		}
		if missing, wanted := a.Compare(b.Digest()); len(missing)+len(wanted) > 0 {
			t.Fatalf("Compare of equal stores: missing %v, wanted %v", missing, wanted)
		}
	})
}

// With a weak hash these stores had the same checksum, so that their digests were
// never compared and they kept different entries.
func TestChecksumsOfPermutedVersionsDiffer(t *testing.T) {
	is := is.New(t)
	checksums := map[uint64]bool{}
	for raised := range 3 {
		var s Store
		for i := range 3 {
			version := uint64(3)
			if i == raised {
				version = 4
			}
			s.Put(Entry{Key: fmt.Sprintf("epoch/entry-%d", i), Version: version})
		}
		checksums[s.Checksum()] = true
	}
	is.Equal(len(checksums), 3)
}

func TestLargeEntryDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	var s Store
	s.Put(Entry{Key: "large", Version: 1, Data: make([]byte, 5000)})
	s.Put(Entry{Key: "small", Version: 1})
	got := map[string]bool{}
	for range 3 {
		for _, e := range s.Outgoing(3, 1200) {
			got[e.Key] = true
		}
	}
	is.True(got["large"] && got["small"])
}

func TestUrgentEntriesAreSentFirst(t *testing.T) {
	is := is.New(t)
	s := Store{Urgent: func(key string) bool { return key == "head" }}
	for i := range 1000 {
		s.Put(Entry{Key: fmt.Sprintf("evidence/%d", i), Version: 1})
	}
	s.Put(Entry{Key: "head", Version: 1})
	for range sendsPerDoubling * 2 {
		is.Equal(s.Outgoing(3, 1200)[0].Key, "head")
	}
}

func TestEntriesAreSentALimitedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	var s Store
	s.Put(Entry{Key: "a", Version: 1})
	sends := 0
	for range 100 {
		sends += len(s.Outgoing(390, 1200))
	}
	is.Equal(sends, sendsPerDoubling*9)
}

// BenchmarkSpread reports the rounds until all instances have a new entry, when
// each exchanges entries with one random instance per round.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{7, 50, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			total := 0
			for b.Loop() {
				total += roundsToSpread(n, random)
			}
			b.ReportMetric(float64(total)/float64(b.N), "rounds")
		})
	}
}

func roundsToSpread(n int, random *rand.Rand) int {
	stores := make([]Store, n)
	stores[0].Put(Entry{Key: "head", Version: 2})
	for round := 1; ; round++ {
		for i := range stores {
			other := random.IntN(n)
			for _, e := range stores[i].Outgoing(n, 1200) {
				stores[other].Put(e)
			}
			for _, e := range stores[other].Outgoing(n, 1200) {
				stores[i].Put(e)
			}
		}
		holders := 0
		for i := range stores {
			if _, ok := stores[i].Get("head"); ok {
				holders++
			}
		}
		if holders == n || round == 100 {
			return round
		}
	}
}

// TestRetiredEntryIsNotSpreadAgain checks that an entry which an instance has retired does
// not come back from one that still sends it, while a newer version does.
func TestRetiredEntryIsNotSpreadAgain(t *testing.T) {
	is := is.New(t)
	var s Store
	old := Entry{Key: "k", Version: 1, Data: []byte(`"old"`)}
	is.True(s.Put(old))
	s.Retire("k", 2) // another version
	is.Equal(len(s.Outgoing(3, 1000)), 1)
	s.Retire("k", 1)
	is.True(!s.Put(old))
	is.Equal(len(s.Outgoing(3, 1000)), 0)
	is.True(s.Put(Entry{Key: "k", Version: 2, Data: []byte(`"new"`)}))
	is.Equal(len(s.Outgoing(3, 1000)), 1)
	s.DeleteVersion("k", 1)
	is.Equal(s.Len(), 1)
	s.DeleteVersion("k", 2)
	is.Equal(s.Len(), 0)
}

// TestUrgentEntryReachesAllWithFewSends spreads urgent entries among 300 instances, each of
// which pushes to six others while it has some to send.
func TestUrgentEntryReachesAllWithFewSends(t *testing.T) {
	is := is.New(t)
	const instances, fanout, entries = 300, 6, 5
	random := rand.New(rand.NewPCG(1, 2))
	stores := make([]Store, instances)
	sends := 0
	var pushing []int
	learn := func(i int, e Entry) {
		if stores[i].Put(e) {
			pushing = append(pushing, i)
		}
	}
	for n := range entries {
		learn(random.IntN(instances), Entry{Key: fmt.Sprint("k", n), Version: 1, Urgent: true})
		for len(pushing) > 0 {
			i := pushing[0]
			pushing = pushing[1:]
			if !stores[i].HasUrgent() {
				continue
			}
			pushing = append(pushing, i)
			out := stores[i].OutgoingCopies(fanout, instances, 10000)
			for range fanout {
				to := random.IntN(instances)
				for _, e := range out {
					sends++
					learn(to, e)
				}
			}
		}
	}
	for i := range stores {
		is.Equal(stores[i].Len(), entries)
	}
	is.True(sends <= urgentSends*instances*entries)
}
