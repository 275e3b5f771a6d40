// Package slot deals an upstream's limit to the entry instances.
//
// Every instance computes the same deal from the same list of members, without
// messages.
//
// Invariant: for one list of members the shares of an upstream add up to its
// limit.
package slot

import "github.com/cespare/xxhash/v2"

// Deal returns how many of the upstream's limit belong to self. Members that
// rank higher in the rendezvous hash of the upstream get the remainder. An
// instance that is not a member gets none.
func Deal(upstream string, limit int, members []string, self string) int {
	rank, found := 0, false
	own := score(upstream, self)
	for _, m := range members {
		if m == self {
			found = true
			continue
		}
		if s := score(upstream, m); s > own || s == own && m < self {
			rank++
		}
	}
	if !found {
		return 0
	}
	share := limit / len(members)
	if rank < limit%len(members) {
		share++
	}
	return share
}

func score(upstream, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
