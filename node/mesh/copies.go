package mesh

import (
	"time"

	"banyanyard/core/gossip"
)

// copies are an instance's copies of the store's rows. Those that change often,
// the registrations, are kept apart from the others: while many change, the sums
// of two instances hardly ever agree, which must not hide that one of them lacks
// an order of the operators.
type copies struct {
	rare  func(key string) bool // set once
	rares part
	often part
}

// A part is some of the rows.
type part struct {
	rows    gossip.Store
	changed time.Time
}

func (c *copies) of(key string) *part {
	if c.rare(key) {
		return &c.rares
	}
	return &c.often
}

// hold takes a row and reports whether it was newer than the one held.
func (c *copies) hold(now time.Time, e gossip.Entry) bool {
	p := c.of(e.Key)
	if !p.rows.PutWithoutSending(e) {
		return false
	}
	p.changed = now
	return true
}

func (c *copies) get(key string) (gossip.Entry, bool) { return c.of(key).rows.Get(key) }

// differs reports whether another instance, whose sum is given, has other rows
// than this one, and has had the time to hear of its latest.
func (p *part) differs(now time.Time, sum uint64) bool {
	return p.rows.Checksum() != sum && now.Sub(p.changed) >= settleTime
}

// digest returns the versions of operators' rows, or of all.
func (c *copies) digest(all bool) map[string]uint64 {
	digest := c.rares.rows.Digest()
	if !all {
		return digest
	}
	for key, version := range c.often.rows.Digest() {
		digest[key] = version
	}
	return digest
}

// compare returns the rows that are newer than a digest, and the keys of which
// the digest has newer ones. Unless all is set, the digest has operators' rows
// only, and only these are compared.
func (c *copies) compare(digest map[string]uint64, all bool) (missing []gossip.Entry, wanted []string) {
	rares, often := map[string]uint64{}, map[string]uint64{}
	for key, version := range digest {
		if c.rare(key) {
			rares[key] = version
		} else {
			often[key] = version
		}
	}
	missing, wanted = c.rares.rows.Compare(rares)
	if !all {
		return missing, wanted
	}
	more, moreWanted := c.often.rows.Compare(often)
	return append(missing, more...), append(wanted, moreWanted...)
}
