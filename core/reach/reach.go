// Package reach tells whether connections to upstreams fail because of the upstreams or
// because of this instance's network paths to them, and chooses the instances through
// which connections are opened in the latter case.
//
// A connection that cannot be opened says nothing about which of the two is at fault.
// Another instance that has reached the same address since then shows that it is the
// path: new connections take a detour through an instance, until a direct one opens. Where
// this instance has opened none at all since its first failure, and another one has reached
// some upstream, all paths count as lost.
//
// A Table is not safe for concurrent use. Its methods take the current time, never block
// and do no I/O.
//
// Invariants:
//   - a path is detoured only if another instance has reached the upstream after this one
//     failed to;
//   - a direct connection that opens ends the detour of its path, and the loss of all paths.
package reach

import (
	"slices"
	"time"
)

const (
	// minSuspects is the number of failures, at different addresses or in a row at one,
	// from which on other instances are asked.
	minSuspects = 2
	// failureRetention is how long a failure counts if no other follows.
	failureRetention = 5 * time.Second
	// minAskInterval and maxAskInterval bound the time between two questions, which doubles
	// while the answers change nothing.
	minAskInterval = 150 * time.Millisecond
	maxAskInterval = 2 * time.Second
	// detourAskInterval is the time between two questions while connections are detoured:
	// the answers say which instances can open them.
	detourAskInterval = time.Second
	// checkInterval is the time between two checks of direct paths.
	checkInterval = 500 * time.Millisecond
	// maxChecks bounds the paths that are checked at once. While all paths are lost it is
	// one: the first that opens tells of the others.
	maxChecks = 8
	// maxAsked bounds the addresses in a question.
	maxAsked = 64
	// answerRetention is how long an instance counts as able to open connections after it
	// has said so.
	answerRetention = 3 * time.Second
	// reachRetention is how long an instance counts as reaching an address after it has said
	// so: with many addresses not each question has all of them.
	reachRetention = 6 * time.Second
	// maxFailedAddresses is the number of upstreams to which an instance cannot connect in
	// a row, from which on its own paths are doubted.
	maxFailedAddresses = 2
	// avoidTime is how long an instance is left out after it could not be used.
	avoidTime = 2 * time.Second
	// pathRetention is how long an unused path is remembered.
	pathRetention = 2 * time.Minute
)

// A Failure is the way in which a connection could not be opened.
type Failure uint8

// The failures.
const (
	// Silent means that nothing answered in time. Open connections are probably dead, too.
	Silent Failure = iota
	// Refused means that the connection was refused or reset. Open ones may live on.
	Refused
)

// A path is what is known of connections from this instance to one address.
type path struct {
	opened   time.Time // when the last direct connection was opened; zero for never
	failed   time.Time // first failure since opened; zero for none
	last     time.Time // last failure since opened
	failures int       // since opened
	silent   bool      // the last failure was Silent
	detoured bool      // another instance has reached the upstream since failed
	heard    time.Time // when the upstream last answered on a direct connection; zero for never
	checked  time.Time // when the direct path was last checked; zero for never
}

// suspect reports whether the path fails and it is not known why.
func (p *path) suspect(now time.Time) bool {
	return p.failures > 0 && !p.detoured && now.Sub(p.last) < failureRetention
}

// A Table is one instance's view of its paths. The zero Table is ready to use.
type Table struct {
	Domain string // failure domain of this instance

	paths       map[string]*path // by address
	helpers     map[string]*helper
	peers       []Peer
	opened      time.Time // when any direct connection was last opened
	heard       time.Time // when any upstream last answered on a direct connection
	failed      time.Time // first failure since opened; zero for none
	lastFailed  time.Time // last failure
	lost        bool      // all paths are lost
	lostSilent  bool      // the failures that showed it were Silent
	lastAsked   string    // last address of the last question
	asked       time.Time // when Ask last returned a question
	nextAsk     time.Time
	askInterval time.Duration
	nextCheck   time.Time
}

func (t *Table) path(address string) *path {
	if t.paths == nil {
		t.paths = map[string]*path{}
	}
	p := t.paths[address]
	if p == nil {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

// SetPeers replaces the other instances that live.
func (t *Table) SetPeers(peers []Peer) {
	if slices.ContainsFunc(peers, func(p Peer) bool { return !t.Knows(p.ID) }) {
		t.askSoon()
	}
	t.peers = slices.Clone(peers)
	for _, p := range peers {
		if h := t.helpers[p.ID]; h != nil {
			h.Peer = p
		}
	}
	known := map[string]bool{}
	for _, p := range peers {
		known[p.ID] = true
	}
	for id := range t.helpers {
		if !known[id] {
			delete(t.helpers, id)
		}
	}
}

// Knows reports whether an instance is one of the peers, by the ID of its start.
func (t *Table) Knows(id string) bool {
	return slices.ContainsFunc(t.peers, func(p Peer) bool { return p.ID == id })
}

// RecordOpened records that a direct connection was opened. It reports whether a detour
// ends by that.
func (t *Table) RecordOpened(now time.Time, address string) bool {
	p := t.path(address)
	ended := p.detoured || t.lost
	*p = path{opened: now, heard: now}
	t.opened, t.heard, t.failed = now, now, time.Time{}
	t.lost = false
	return ended
}

// RecordHeard records that an upstream has answered on a direct connection, which may have
// been opened long ago. That says nothing about new ones of this instance while they fail.
func (t *Table) RecordHeard(now time.Time, address string) {
	t.path(address).heard = now
	t.heard = now
}

// RecordFailed records that a direct connection could not be opened.
func (t *Table) RecordFailed(now time.Time, address string, f Failure) {
	p := t.path(address)
	if p.failures == 0 || !p.detoured && now.Sub(p.last) >= failureRetention {
		p.failed, p.failures = now, 0
		if !t.lost {
			t.askSoon() // otherwise it would change nothing
		}
	}
	p.last = now
	p.failures++
	p.silent = f == Silent
	if t.failed.IsZero() || now.Sub(t.lastFailed) >= failureRetention {
		t.failed = now
	}
	t.lastFailed = now
}

// suspects returns the addresses whose paths fail for an unknown reason, sorted.
func (t *Table) suspects(now time.Time) []string {
	var addresses []string
	for address, p := range t.paths {
		if p.suspect(now) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Detours reports whether any path is detoured.
func (t *Table) Detours() bool {
	if t.lost {
		return true
	}
	for _, p := range t.paths {
		if p.detoured {
			return true
		}
	}
	return false
}

// Detoured reports whether new connections to an address take a detour, and whether open
// ones are probably dead.
func (t *Table) Detoured(address string) (detoured, silent bool) {
	if p := t.paths[address]; p != nil && p.detoured {
		return true, p.silent
	}
	return t.lost, t.lostSilent
}

// Next returns when Ask or Checks are due next, unless something is recorded before; false
// if they are not.
func (t *Table) Next(now time.Time) (next time.Time, ok bool) {
	if t.Detours() {
		next, ok = t.nextCheck, true
	}
	if t.asks(now) && (!ok || t.nextAsk.Before(next)) {
		next, ok = t.nextAsk, true
	}
	return next, ok
}

// Expire forgets paths that have not been used for long.
func (t *Table) Expire(now time.Time) {
	for address, p := range t.paths {
		if now.Sub(p.heard) > pathRetention && now.Sub(p.last) > pathRetention {
			delete(t.paths, address)
		}
	}
}

// concludeLoss concludes that all paths are lost, if enough of them fail, and reports whether
// they are.
func (t *Table) concludeLoss(now time.Time) bool {
	failing, silent := t.failing(now)
	t.lost = failing >= minSuspects
	t.lostSilent = 2*silent > failing
	return t.lost
}

// Doubtful reports whether several paths fail, or any is detoured, so that a connection that
// breaks may tell of its path rather than of its upstream.
func (t *Table) Doubtful(now time.Time) bool {
	failing, _ := t.failing(now)
	return failing >= minSuspects || t.Detours()
}

// failing returns the number of paths that fail since a direct connection was last opened, and
// how many of them are silent.
func (t *Table) failing(now time.Time) (failing, silent int) {
	if t.failed.IsZero() {
		return 0, 0
	}
	for _, p := range t.paths {
		if p.failures == 0 || p.failed.Before(t.failed) || now.Sub(p.last) >= failureRetention {
			continue
		}
		failing++
		if p.silent {
			silent++
		}
	}
	return failing, silent
}

// Checks returns those of the addresses in use whose direct paths are to be checked now, by
// opening a connection: those first that were checked longest ago, and of these the ones that
// answered last.
func (t *Table) Checks(now time.Time, addresses []string) []string {
	if now.Before(t.nextCheck) || !t.Detours() {
		return nil
	}
	t.nextCheck = now.Add(checkInterval)
	limit := maxChecks
	if t.lost {
		limit = 1
	}
	due := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool {
		detoured, _ := t.Detoured(a)
		return !detoured
	})
	slices.Sort(due)
	slices.SortStableFunc(due, func(a, b string) int {
		p, q := t.path(a), t.path(b)
		if c := p.checked.Compare(q.checked); c != 0 {
			return c
		}
		return q.heard.Compare(p.heard)
	})
	due = due[:min(len(due), limit)]
	for _, address := range due {
		t.path(address).checked = now
	}
	return due
}
