package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// A Peer is another instance through which connections can be opened.
type Peer struct {
	ID            string // of its start
	Instance      string
	Address       string // IP:port for calls
	Tunnel        string // IP:port for tunnels
	FailureDomain string
	Leaving       bool // it stops soon, and is used if no other can be
}

// helper is what a peer has answered.
type helper struct {
	Peer
	answered time.Time
	fit      bool
	tunnels  int                  // that it served then
	started  int                  // tunnels opened through it since
	reaches  map[string]time.Time // when it last said that it had reached an address
	avoid    time.Time            // it is left out until then
	refuses  map[string]time.Time // it is left out for an address until then
	failed   map[string]bool      // addresses that it could not connect to since it last did to any
}

// usable reports whether connections to an address can be opened through the helper.
func (h *helper) usable(now time.Time, address string) bool {
	return h.fit && now.Sub(h.answered) < answerRetention && !now.Before(h.avoid) && !now.Before(h.refuses[address])
}

// reachesNow reports whether it has reached an address lately.
func (h *helper) reachesNow(now time.Time, address string) bool {
	at, ok := h.reaches[address]
	return ok && now.Sub(at) < reachRetention
}

func (t *Table) helper(p Peer) *helper {
	if t.helpers == nil {
		t.helpers = map[string]*helper{}
	}
	h := t.helpers[p.ID]
	if h == nil {
		h = &helper{reaches: map[string]time.Time{}, refuses: map[string]time.Time{}, failed: map[string]bool{}}
		t.helpers[p.ID] = h
	}
	h.Peer = p
	return h
}

// nearSlack is the number of tunnels by which an instance of this failure domain may
// exceed one of another.
const nearSlack = 8

// Choose returns the instance through which to open a connection to an address, and false if
// none is known to be able to. Those go first that have reached the address. Of two that are
// chosen at random, the one with fewer tunnels gets it, of this failure domain unless those
// have many more.
func (t *Table) Choose(now time.Time, random *rand.Rand, address string) (Peer, bool) {
	near, far := splitByDomain(t.candidates(now, address), t.Domain)
	best := lessLoadedOfTwo(random, near)
	if other := lessLoadedOfTwo(random, far); best == nil || other != nil && other.load()+nearSlack < best.load() {
		best = other
	}
	if best == nil {
		t.askSoon()
		return Peer{}, false
	}
	best.started++
	return best.Peer, true
}

// candidates returns the helpers through which a connection to an address may be opened: without
// those that stop if there are others, and those that have reached it if there are any.
func (t *Table) candidates(now time.Time, address string) []*helper {
	var all []*helper
	for _, h := range t.helpers {
		if h.usable(now, address) {
			all = append(all, h)
		}
	}
	all = preferHelpers(all, func(h *helper) bool { return !h.Leaving })
	if t.lost {
		return all
	}
	return preferHelpers(all, func(h *helper) bool { return h.reachesNow(now, address) })
}

// preferHelpers returns the helpers that satisfy ok, or all if none does.
func preferHelpers(all []*helper, ok func(*helper) bool) []*helper {
	var preferred []*helper
	for _, h := range all {
		if ok(h) {
			preferred = append(preferred, h)
		}
	}
	if len(preferred) == 0 {
		return all
	}
	return preferred
}

// splitByDomain returns the helpers of a failure domain and the others.
func splitByDomain(helpers []*helper, domain string) (near, far []*helper) {
	for _, h := range helpers {
		if h.FailureDomain == domain {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return near, far
}

// load returns the estimated number of tunnels that the helper serves.
func (h *helper) load() int { return h.tunnels + h.started }

// lessLoadedOfTwo returns the less loaded of two random helpers, or nil if there are none.
func lessLoadedOfTwo(random *rand.Rand, helpers []*helper) *helper {
	if len(helpers) == 0 {
		return nil
	}
	// The order in a map is not reproducible.
	slices.SortFunc(helpers, func(a, b *helper) int { return cmp.Compare(a.ID, b.ID) })
	best := helpers[random.IntN(len(helpers))]
	if other := helpers[random.IntN(len(helpers))]; other.load() < best.load() {
		best = other
	}
	return best
}

// Avoid records that an instance cannot be used for a while: it could not be reached, or
// serves nobody.
func (t *Table) Avoid(now time.Time, id string) {
	if h := t.helpers[id]; h != nil {
		h.avoid = now.Add(avoidTime)
		t.askSoon()
	}
}

// AvoidFor records that an instance refused to connect to an address.
func (t *Table) AvoidFor(now time.Time, id, address string) {
	h := t.helpers[id]
	if h == nil {
		return
	}
	for a, until := range h.refuses {
		if !now.Before(until) {
			delete(h.refuses, a)
		}
	}
	h.refuses[address] = now.Add(avoidTime)
}

// RecordTunnelOpened records that an instance has connected to an upstream for this one.
func (t *Table) RecordTunnelOpened(id string) {
	if h := t.helpers[id]; h != nil {
		clear(h.failed)
	}
}

// RecordTunnelFailed records that an instance could not connect to an address for this one. It
// reports whether the instance is left out from now on, as it probably has lost its own paths.
func (t *Table) RecordTunnelFailed(now time.Time, id, address string) bool {
	h := t.helpers[id]
	if h == nil {
		return false
	}
	h.failed[address] = true
	if len(h.failed) < maxFailedAddresses {
		return false
	}
	clear(h.failed)
	t.Avoid(now, id)
	return true
}
