package mesh

import (
	"time"

	"banyanyard/core/gossip"
)

// replica are an instance's replica of the store's rows. Those that change often,
// the registrations, are kept apart from the others: while many change, the sums
// of two instances hardly ever agree, which must not hide that one of them lacks
// an order of the operators.
type replica struct {
	changesRarely func(key string) bool // set once
	rare          rowSet
	frequent      rowSet
}

// A rowSet is some of the rows.
type rowSet struct {
	rows       gossip.Store
	lastChange time.Time
}

func (c *replica) setOf(key string) *rowSet {
	if c.changesRarely(key) {
		return &c.rare
	}
	return &c.frequent
}

// put takes a row and reports whether it was newer than the one held.
func (c *replica) put(now time.Time, e gossip.Entry) bool {
	p := c.setOf(e.Key)
	if !p.rows.Hold(e) {
		return false
	}
	p.lastChange = now
	return true
}

func (c *replica) get(key string) (gossip.Entry, bool) { return c.setOf(key).rows.Get(key) }

// differsFrom reports whether another instance, whose sum is given, has other rows
// than this one, and has had the time to hear of its latest.
func (p *rowSet) differsFrom(now time.Time, sum uint64) bool {
	return p.rows.Sum() != sum && now.Sub(p.lastChange) >= settleTime
}

// digest returns the versions of operators' rows, or of all.
func (c *replica) digest(all bool) map[string]uint64 {
	digest := c.rare.rows.Digest()
	if !all {
		return digest
	}
	for key, version := range c.frequent.rows.Digest() {
		digest[key] = version
	}
	return digest
}

// compare returns the rows that are newer than a digest, and the keys of which
// the digest has newer ones. Unless all is set, the digest has operators' rows
// only, and only these are compared.
func (c *replica) compare(digest map[string]uint64, all bool) (missing []gossip.Entry, wanted []string) {
	rares, often := map[string]uint64{}, map[string]uint64{}
	for key, version := range digest {
		if c.changesRarely(key) {
			rares[key] = version
		} else {
			often[key] = version
		}
	}
	missing, wanted = c.rare.rows.Compare(rares)
	if !all {
		return missing, wanted
	}
	more, moreWanted := c.frequent.rows.Compare(often)
	return append(missing, more...), append(wanted, moreWanted...)
}
