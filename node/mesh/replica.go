package mesh

import (
	"time"

	"banyanyard/core/gossip"
)

// A replica is an instance's copy of the rows of the platform's store. Rows that
// change often, the registrations, are kept apart from the others: while many of
// them change, the checksums of two instances hardly ever match, which must not
// hide that one of them lacks an order of the operators.
type replica struct {
	changesRarely func(key string) bool // set before use and not changed
	rare          rowSet
	frequent      rowSet
}

// A rowSet is a set of rows that is compared as a whole.
type rowSet struct {
	rows       gossip.Store
	lastChange time.Time // when a newer row was last put
}

func (r *replica) setOf(key string) *rowSet {
	if r.changesRarely(key) {
		return &r.rare
	}
	return &r.frequent
}

// put stores a row if it is newer than the one held, and reports whether it is.
func (r *replica) put(now time.Time, e gossip.Entry) bool {
	set := r.setOf(e.Key)
	if !set.rows.PutWithoutSending(e) {
		return false
	}
	set.lastChange = now
	return true
}

func (r *replica) get(key string) (gossip.Entry, bool) { return r.setOf(key).rows.Get(key) }

// differsFrom reports whether an instance with the given checksum has other rows,
// and the latest change here is old enough to have reached it.
func (s *rowSet) differsFrom(now time.Time, checksum uint64) bool {
	return s.rows.Checksum() != checksum && now.Sub(s.lastChange) >= settleTime
}

// digest returns the versions of the rows that change rarely, or of all rows.
func (r *replica) digest(all bool) map[string]uint64 {
	digest := r.rare.rows.Digest()
	if !all {
		return digest
	}
	for key, version := range r.frequent.rows.Digest() {
		digest[key] = version
	}
	return digest
}

// compare returns the rows that are newer than those in a digest, and the keys of
// which the digest has newer versions. If all is false, the digest has only rows
// that change rarely, and only these are compared.
func (r *replica) compare(digest map[string]uint64, all bool) (missing []gossip.Entry, wanted []string) {
	rareDigest, frequentDigest := map[string]uint64{}, map[string]uint64{}
	for key, version := range digest {
		if r.changesRarely(key) {
			rareDigest[key] = version
		} else {
			frequentDigest[key] = version
		}
	}
	missing, wanted = r.rare.rows.Compare(rareDigest)
	if !all {
		return missing, wanted
	}
	more, moreWanted := r.frequent.rows.Compare(frequentDigest)
	return append(missing, more...), append(wanted, moreWanted...)
}
