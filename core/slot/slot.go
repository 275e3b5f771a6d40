// Package slot divides the upstreams' limits among the entry instances.
//
// A slot is the capacity of an upstream for one concurrent request. The limit of
// an upstream is divided among a subset of the instances, chosen by rendezvous
// hashing: half of them from the upstream's own failure domain, so that a domain
// which is cut off can use its own upstreams, and the rest from the others.
// Every instance computes the same division from the same members, without
// messages. Shares then tracks one instance's shares through changes of
// membership and transfers.
//
// Invariant: for one list of members the shares of an upstream add up to its
// limit.
package slot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSubsetSize is the most members among which one limit is divided.
const maxSubsetSize = 16

// A Member is an instance among which limits are divided.
type Member struct {
	ID            string `json:"id"` // unique to one run of the instance
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure-domain"`
}

// Subset returns the members among which an upstream's limit is divided. Their
// order is their rank, by which LimitForRank hands out the remainder.
func Subset(upstream, domain string, members []Member) []Member {
	type ranked struct {
		Member
		score uint64
	}
	var near, far []ranked
	for _, m := range members {
		r := ranked{m, score(upstream, m.ID)}
		if m.FailureDomain == domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	order := func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	}
	slices.SortFunc(near, order)
	slices.SortFunc(far, order)
	n := min(maxSubsetSize, len(members))
	nearCount := min(len(near), max(n/2, n-len(far)))
	subset := make([]Member, 0, n)
	for _, r := range near[:nearCount] {
		subset = append(subset, r.Member)
	}
	for _, r := range far[:n-nearCount] {
		subset = append(subset, r.Member)
	}
	return subset
}

// LimitForRank returns the part of a limit for the member with the given rank
// among n. A rank outside [0, n) gets 0.
func LimitForRank(limit, rank, n int) int {
	if rank < 0 || rank >= n {
		return 0
	}
	part := limit / n
	if rank < limit%n {
		part++
	}
	return part
}

// score returns the rendezvous hash of a member for an upstream.
func score(upstream, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
