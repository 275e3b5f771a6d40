// Package gossip spreads small keyed values between instances.
//
// A Store holds the newest value of each key. With every message to another
// instance some entries travel along, those that have been sent least first,
// and each is sent a number of times that grows with the logarithm of the
// deployment. Two stores that compare digests find what either is missing.
//
// A Store is owned by one goroutine.
//
// Invariant: the version of a key never falls, and two stores that have seen
// the same entries hold the same values, whatever the order.
package gossip

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// An Entry is one value.
type Entry struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// overheadBytes is the size of an entry in a message beside its key and data.
const overheadBytes = 40

// repeats is how often an entry is sent for each doubling of the deployment.
const repeats = 3

func (e *Entry) size() int { return len(e.Key) + len(e.Data) + overheadBytes }

// newer orders entries of one key.
func newer(a, b *Entry) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return bytes.Compare(a.Data, b.Data) > 0
}

// A Store holds the newest entries. The zero Store is empty and ready to use.
type Store struct {
	// Urgent reports whether an entry goes before all others, so that much news
	// of little weight doesn't delay it; nil means none does.
	Urgent func(key string) bool

	entries map[string]*held
	active  []*held // entries that are still being sent
	sum     uint64  // of the hashes of all keys and versions
}

type held struct {
	Entry
	sent   int
	active bool
	urgent bool
}

// rank is higher for what goes first.
func (h *held) rank() int {
	if h.urgent {
		return 1
	}
	return 0
}

// Put takes an entry and reports whether it was newer than the one held. The
// entry travels with the next messages.
func (s *Store) Put(e Entry) bool {
	h := s.hold(e)
	if h == nil {
		return false
	}
	h.sent = 0
	if !h.active {
		h.active = true
		s.active = append(s.active, h)
	}
	return true
}

// Hold takes an entry that others are told only when they compare digests. It
// reports whether it was newer than the one held.
func (s *Store) Hold(e Entry) bool { return s.hold(e) != nil }

// hold returns nil when the entry is not newer than the one held.
func (s *Store) hold(e Entry) *held {
	if s.entries == nil {
		s.entries = map[string]*held{}
	}
	h := s.entries[e.Key]
	if h != nil && !newer(&e, &h.Entry) {
		return nil
	}
	if h == nil {
		h = &held{urgent: s.Urgent != nil && s.Urgent(e.Key)}
		s.entries[e.Key] = h
	} else {
		s.sum -= hash(&h.Entry)
	}
	h.Entry = e
	s.sum += hash(&e)
	return h
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (Entry, bool) {
	h := s.entries[key]
	if h == nil {
		return Entry{}, false
	}
	return h.Entry, true
}

// Delete forgets a key. It comes back when another instance still spreads it.
func (s *Store) Delete(key string) {
	h := s.entries[key]
	if h == nil {
		return
	}
	s.sum -= hash(&h.Entry)
	delete(s.entries, key)
	h.active = false
	s.active = slices.DeleteFunc(s.active, func(x *held) bool { return x == h })
}

// Len returns the number of keys.
func (s *Store) Len() int { return len(s.entries) }

// Outgoing returns entries for a message of about maxBytes in a deployment of
// the given number of instances, and counts them as sent.
func (s *Store) Outgoing(instances, maxBytes int) []Entry {
	slices.SortStableFunc(s.active, func(a, b *held) int {
		if a.urgent != b.urgent {
			return cmp.Compare(b.rank(), a.rank())
		}
		return cmp.Compare(a.sent, b.sent)
	})
	limit := repeats * bits.Len(uint(instances))
	var out []Entry
	for _, h := range s.active {
		// An entry that is too large travels alone, so that it stops no other.
		if len(out) > 0 && h.size() > maxBytes {
			continue
		}
		maxBytes -= h.size()
		out = append(out, h.Entry)
		h.sent++
		h.active = h.sent < limit
	}
	s.active = slices.DeleteFunc(s.active, func(h *held) bool { return !h.active })
	return out
}

// Sum identifies the content of the store.
func (s *Store) Sum() uint64 { return s.sum }

// Digest returns the version of every key.
func (s *Store) Digest() map[string]uint64 {
	digest := make(map[string]uint64, len(s.entries))
	for key, h := range s.entries {
		digest[key] = h.Version
	}
	return digest
}

// Compare returns the entries that are newer than a digest, and the keys of
// which the digest has newer ones, both sorted by key.
func (s *Store) Compare(digest map[string]uint64) (missing []Entry, wanted []string) {
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if v, ok := digest[key]; !ok || v < s.entries[key].Version {
			missing = append(missing, s.entries[key].Entry)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(digest)) {
		if h := s.entries[key]; h == nil || h.Version < digest[key] {
			wanted = append(wanted, key)
		}
	}
	return missing, wanted
}

// hash mixes well, since the sums of few keys must not be alike.
func hash(e *Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Key)
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], e.Version)
	_, _ = d.Write(version[:])
	return d.Sum64()
}
