package node

import (
	"math/rand/v2"
	"slices"

	"banyanyard/core/member"
	"banyanyard/core/slot"
)

// members is an immutable view of this and the other instances, for requests
// and background work.
type members struct {
	self          member.Status
	live          []member.Status // live and not leaving; other failure domains first
	actingOnEpoch []member.Status // those of live that act on an epoch and so may have shares
}

func newMembers(self member.Status, all []member.Status, shares *slot.Shares) *members {
	m := &members{self: self}
	for _, s := range all {
		if s.State != member.Live {
			continue
		}
		m.live = append(m.live, s)
		if shares.ActingEpoch(s.ID) > 0 {
			m.actingOnEpoch = append(m.actingOnEpoch, s)
		}
	}
	slices.SortStableFunc(m.live, func(a, b member.Status) int {
		return boolToInt(a.FailureDomain == self.FailureDomain) - boolToInt(b.FailureDomain == self.FailureDomain)
	})
	return m
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addressesWithShares returns the addresses of up to n random live members that
// may have shares. m may be nil.
func (m *members) addressesWithShares(n int) []string {
	if m == nil {
		return nil
	}
	return randomAddresses(m.actingOnEpoch, n)
}

// liveAddresses returns the addresses of up to n random live members. m may be
// nil.
func (m *members) liveAddresses(n int) []string {
	if m == nil {
		return nil
	}
	return randomAddresses(m.live, n)
}

func randomAddresses(from []member.Status, n int) []string {
	addresses := make([]string, 0, len(from))
	for _, s := range from {
		addresses = append(addresses, s.Address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// replicaHolders returns up to n live members that keep copies of this
// instance's charges. The order of preference is fixed for an instance; members
// of different failure domains are preferred. m may be nil.
func (m *members) replicaHolders(n int) []member.Status {
	if m == nil {
		return nil
	}
	ranked := slices.Clone(m.live)
	slices.SortFunc(ranked, func(a, b member.Status) int {
		x, y := hash64(m.self.ID+a.ID), hash64(m.self.ID+b.ID)
		if x < y {
			return -1
		}
		return 1
	})
	var chosen []member.Status
	used := map[string]bool{m.self.FailureDomain: true}
	for _, s := range ranked {
		if len(chosen) < n && !used[s.FailureDomain] {
			used[s.FailureDomain] = true
			chosen = append(chosen, s)
		}
	}
	for _, s := range ranked {
		if len(chosen) < n && !slices.ContainsFunc(chosen, func(c member.Status) bool { return c.ID == s.ID }) {
			chosen = append(chosen, s)
		}
	}
	return chosen
}
