// Package gossip spreads small keyed values between instances.
//
// A Store holds the newest value of each key. Every message to another instance
// carries some entries, those sent the fewest times first. The number of times
// that each is sent grows with the logarithm of the number of instances. Two
// stores find the entries that either lacks by comparing digests.
//
// A Store is not safe for concurrent use.
//
// Invariants:
//   - the version of a key never decreases;
//   - two stores that received the same entries, in whatever order, hold the
//     same values.
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

// An Entry is one version of a key's value.
type Entry struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
	// Urgent makes each instance that learns the entry pass it on at once, and forget it
	// soon afterwards.
	Urgent bool `json:"urgent,omitempty"`
}

// entryOverheadBytes is the size of an encoded entry without its key and data.
const entryOverheadBytes = 40

// sendsPerDoubling is how many more times an entry is sent for each doubling of
// the number of instances.
const sendsPerDoubling = 3

// urgentSends is how many times each instance sends an urgent entry, which it learns of
// at once: all others then miss it with a probability of e^-urgentSends.
const urgentSends = 12

func (e *Entry) size() int { return len(e.Key) + len(e.Data) + entryOverheadBytes }

// newer reports whether a is newer than b, an entry of the same key. Data breaks
// ties between equal versions.
func newer(a, b *Entry) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return bytes.Compare(a.Data, b.Data) > 0
}

// A Store holds the newest entry of each key. The zero Store is empty and ready
// to use.
type Store struct {
	// Urgent reports whether the entry of a key is sent before all others, so that
	// many less important entries do not delay it; nil means none is urgent. Set
	// it before the first entry is stored.
	Urgent func(key string) bool

	entries  map[string]*storedEntry
	active   []*storedEntry // entries that Outgoing still sends
	checksum uint64         // sum of the hashes of all keys and versions, modulo 1<<64
}

type storedEntry struct {
	Entry
	sends   int
	active  bool
	urgent  bool
	retired bool // see Retire
}

// priority is higher for entries that are sent first.
func (stored *storedEntry) priority() int {
	if stored.urgent {
		return 1
	}
	return 0
}

// Put stores an entry if it is newer than the stored one and reports whether it
// was. Outgoing then includes it.
func (s *Store) Put(e Entry) bool {
	stored := s.insert(e)
	if stored == nil {
		return false
	}
	stored.urgent = stored.urgent || e.Urgent
	stored.sends = 0
	if !stored.active {
		stored.active = true
		s.active = append(s.active, stored)
	}
	return true
}

// PutWithoutSending is like Put, but other instances get the entry only when they
// compare digests.
func (s *Store) PutWithoutSending(e Entry) bool { return s.insert(e) != nil }

// insert stores an entry. It returns nil if the entry is not newer than the
// stored one.
func (s *Store) insert(e Entry) *storedEntry {
	if s.entries == nil {
		s.entries = map[string]*storedEntry{}
	}
	stored := s.entries[e.Key]
	if stored != nil && (!newer(&e, &stored.Entry) || stored.retired && e.Version == stored.Version) {
		return nil
	}
	if stored == nil {
		stored = &storedEntry{urgent: s.Urgent != nil && s.Urgent(e.Key)}
		s.entries[e.Key] = stored
	} else {
		s.checksum -= entryHash(&stored.Entry)
	}
	stored.Entry = e
	stored.retired = false
	s.checksum += entryHash(&e)
	return stored
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (Entry, bool) {
	stored := s.entries[key]
	if stored == nil {
		return Entry{}, false
	}
	return stored.Entry, true
}

// DeleteVersion removes a key if it still has the version.
func (s *Store) DeleteVersion(key string, version uint64) {
	if stored := s.entries[key]; stored != nil && stored.Version == version {
		s.Delete(key)
	}
}

// Delete removes a key. It is stored again if another instance still sends it.
func (s *Store) Delete(key string) {
	stored := s.entries[key]
	if stored == nil {
		return
	}
	s.checksum -= entryHash(&stored.Entry)
	delete(s.entries, key)
	stored.active = false
	s.active = slices.DeleteFunc(s.active, func(x *storedEntry) bool { return x == stored })
}

// Retire drops the data of a version of a key and stops sending it. Only a higher version
// replaces it, so that instances which still send the old one do not spread it again.
func (s *Store) Retire(key string, version uint64) {
	stored := s.entries[key]
	if stored == nil || stored.Version != version {
		return
	}
	stored.Data = nil
	stored.retired = true
	stored.active = false
	s.active = slices.DeleteFunc(s.active, func(x *storedEntry) bool { return x == stored })
}

// Len returns the number of keys.
func (s *Store) Len() int { return len(s.entries) }

// Outgoing returns entries for a message of about maxBytes in a deployment of
// the given number of instances, and counts them as sent. Urgent entries come
// first, then those sent the fewest times.
func (s *Store) Outgoing(instances, maxBytes int) []Entry {
	return s.OutgoingCopies(1, instances, maxBytes)
}

// OutgoingCopies is Outgoing for a message that is sent to several instances.
func (s *Store) OutgoingCopies(copies, instances, maxBytes int) []Entry {
	slices.SortStableFunc(s.active, func(a, b *storedEntry) int {
		if a.urgent != b.urgent {
			return cmp.Compare(b.priority(), a.priority())
		}
		return cmp.Compare(a.sends, b.sends)
	})
	var out []Entry
	for _, stored := range s.active {
		// An entry that is too large is sent alone, so that it does not block others.
		if len(out) > 0 && stored.size() > maxBytes {
			continue
		}
		maxBytes -= stored.size()
		out = append(out, stored.Entry)
		stored.sends += copies
		stored.active = stored.sends < stored.maxSends(instances)
	}
	s.active = slices.DeleteFunc(s.active, func(stored *storedEntry) bool { return !stored.active })
	return out
}

// HasUrgent reports whether Outgoing still sends an urgent entry.
func (s *Store) HasUrgent() bool {
	return slices.ContainsFunc(s.active, func(stored *storedEntry) bool { return stored.Urgent })
}

// maxSends returns how many times an instance sends the entry.
func (stored *storedEntry) maxSends(instances int) int {
	if stored.Urgent {
		return urgentSends
	}
	return sendsPerDoubling * bits.Len(uint(instances))
}

// Checksum returns a checksum of the keys and versions in the store. Stores with
// different checksums differ.
func (s *Store) Checksum() uint64 { return s.checksum }

// Digest returns the version of every key.
func (s *Store) Digest() map[string]uint64 {
	digest := make(map[string]uint64, len(s.entries))
	for key, stored := range s.entries {
		digest[key] = stored.Version
	}
	return digest
}

// Compare returns the entries that are newer than in the digest or missing from
// it, and the keys that are newer in the digest or missing here, both sorted by
// key.
func (s *Store) Compare(digest map[string]uint64) (missing []Entry, wanted []string) {
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if v, ok := digest[key]; !ok || v < s.entries[key].Version {
			missing = append(missing, s.entries[key].Entry)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(digest)) {
		if stored := s.entries[key]; stored == nil || stored.Version < digest[key] {
			wanted = append(wanted, key)
		}
	}
	return missing, wanted
}

// entryHash hashes the key and version of an entry. Checksums add up hashes, so
// a weak hash makes the checksums of a few similar keys collide.
func entryHash(e *Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Key)
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], e.Version)
	_, _ = d.Write(version[:])
	return d.Sum64()
}
