// Package relay decides how a message spreads from one instance to the others of
// its failure domain.
//
// The members form a tree for each root, so that no instance sends more than Fanout
// copies, however many there are. The trees of two roots are independent: an
// instance that is below a failed one in one tree is usually not in the other.
//
// All instances compute the trees from the members they know. While these differ,
// a message may reach an instance twice or not at all.
//
// Invariant: among instances that know the same members, the tree of a root
// contains each member other than the root exactly once.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Fanout is the number of instances that each one sends a message to.
	Fanout = 6
	// MaxHops bounds the instances that forward a message, in case the members that
	// they know differ. It suffices for more than a thousand instances.
	MaxHops = 5
)

// Children returns the members to which self forwards a message of the root. The
// members include neither gone ones nor duplicates; self and root need not be
// among them.
func Children(root, self string, members []string) []string {
	order := treeOrder(root, members)
	first := 0
	if self != root {
		at := slices.Index(order, self)
		if at < 0 {
			return nil
		}
		first = Fanout * (at + 1)
	}
	if first >= len(order) {
		return nil
	}
	return order[first:min(first+Fanout, len(order))]
}

// treeOrder returns the members in the order in which they are in the tree, level
// by level, without the root.
func treeOrder(root string, members []string) []string {
	type position struct {
		hash   uint64
		member string
	}
	positions := make([]position, 0, len(members))
	for _, m := range members {
		if m != root {
			positions = append(positions, position{xxhash.Sum64String(root + "\x00" + m), m})
		}
	}
	slices.SortFunc(positions, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member, b.member))
	})
	order := make([]string, len(positions))
	for i, p := range positions {
		order[i] = p.member
	}
	return order
}
