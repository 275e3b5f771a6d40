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
	"cmp"
	"math/rand/v2"
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
	heard    time.Time // when the upstream last answered on a direct connection; zero for never
	checked  time.Time // when the direct path was last checked; zero for never
	failed   time.Time // first failure since then; zero for none
	last     time.Time // last failure since then
	failures int       // since then
	silent   bool      // the last failure was Silent
	detoured bool      // another instance has reached the upstream since failed
}

// suspect reports whether the path fails and it is not known why.
func (p *path) suspect(now time.Time) bool {
	return p.failures > 0 && !p.detoured && now.Sub(p.last) < failureRetention
}

// A Peer is another instance through which connections can be opened.
type Peer struct {
	ID            string // of its start
	Instance      string
	Address       string // IP:port for calls
	Tunnel        string // IP:port for tunnels
	FailureDomain string
	Leaving       bool // it stops soon, and is used if no other can be
}

// A Question asks other instances which addresses they have reached.
type Question struct {
	Addresses []string  `json:"addresses"`
	At        time.Time `json:"-"` // when it was asked; ages in the answer are from some time after it
}

// An Answer is what an instance has seen itself: when it last opened a direct connection, or
// got an answer on one while it can open others. Ages are negative for never.
type Answer struct {
	Reached    []time.Duration `json:"reached"`     // since each address of the question was reached
	AnyReached time.Duration   `json:"any-reached"` // since any upstream was reached
	Lost       bool            `json:"lost"`        // it has lost its own paths, or cannot tell
	Tunnels    int             `json:"tunnels"`     // that it serves
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

// A Table is one instance's view of its paths. The zero Table is ready to use.
type Table struct {
	Domain string // failure domain of this instance

	paths       map[string]*path // by address
	helpers     map[string]*helper
	peers       []Peer
	opened      time.Time // when any direct connection was last opened
	heard       time.Time // when any upstream last answered on a direct connection
	failed      time.Time // first failure since then; zero for none
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

// askSoon makes a question due as soon as the minimum time since the last one has passed.
func (t *Table) askSoon() {
	t.askInterval = 0
	if soon := t.asked.Add(minAskInterval); soon.Before(t.nextAsk) {
		t.nextAsk = soon
	}
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

// Lost reports whether all paths are lost.
func (t *Table) Lost() bool { return t.lost }

// Detoured reports whether new connections to an address take a detour, and whether open
// ones are probably dead.
func (t *Table) Detoured(address string) (detoured, silent bool) {
	if p := t.paths[address]; p != nil && p.detoured {
		return true, p.silent
	}
	return t.lost, t.lostSilent
}

// asks reports whether there is a question, and an instance to ask.
func (t *Table) asks(now time.Time) bool {
	failures := 0
	for _, address := range t.suspects(now) {
		failures += t.paths[address].failures
	}
	return len(t.peers) > 0 && (failures >= minSuspects || t.Detours())
}

// Ask returns the question that is due, and up to n instances to ask. It returns nil if
// none is due.
func (t *Table) Ask(now time.Time, random *rand.Rand, n int) (*Question, []Peer) {
	if !t.asks(now) || now.Before(t.nextAsk) {
		return nil, nil
	}
	suspects := t.suspects(now)
	if t.lost || t.Detours() && len(suspects) == 0 {
		t.askInterval = detourAskInterval
	} else {
		t.askInterval = min(max(2*t.askInterval, minAskInterval), maxAskInterval)
		if t.Detours() {
			t.askInterval = min(t.askInterval, detourAskInterval)
		}
	}
	t.asked, t.nextAsk = now, now.Add(t.askInterval)
	return &Question{Addresses: t.nextAsked(suspects), At: now}, t.choosePeers(now, random, n)
}

// nextAsked returns the addresses of a question: those whose paths fail for an unknown reason,
// and the detoured ones. If there are too many, they take turns.
func (t *Table) nextAsked(addresses []string) []string {
	for address, p := range t.paths {
		if p.detoured {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	if len(addresses) <= maxAsked {
		return addresses
	}
	after, _ := slices.BinarySearch(addresses, t.lastAsked+"\x00") // the first one behind
	addresses = append(addresses[after:], addresses[:after]...)[:maxAsked]
	t.lastAsked = addresses[maxAsked-1]
	return addresses
}

// choosePeers returns up to n random peers, half of them of this failure domain if there
// are as many. Those that stop, and those that have just said that they are lost, come last.
func (t *Table) choosePeers(now time.Time, random *rand.Rand, n int) []Peer {
	var near, far []Peer
	for _, p := range t.peers {
		if p.FailureDomain == t.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	nearCount := min(len(near), max(n/2, n-len(far)))
	chosen := slices.Concat(near[:nearCount], far, near[nearCount:])
	slices.SortStableFunc(chosen, func(a, b Peer) int { return cmp.Compare(t.askRank(now, &a), t.askRank(now, &b)) })
	return chosen[:min(len(chosen), n)]
}

// askRank returns the rank of a peer by the use of asking it; lower is better.
func (t *Table) askRank(now time.Time, p *Peer) int {
	h := t.helpers[p.ID]
	switch {
	case h != nil && !h.fit && now.Sub(h.answered) < detourAskInterval:
		return 2 // it has just said that it is lost
	case p.Leaving:
		return 1
	}
	return 0
}

// RecordAnswer records the answer of an instance. It returns the addresses whose paths are
// detoured from now on, and whether all paths count as lost from now on.
func (t *Table) RecordAnswer(now time.Time, from Peer, q *Question, a Answer) (detoured []string, lost bool) {
	h := t.helper(from)
	h.answered = now
	h.fit = !a.Lost && a.AnyReached >= 0
	h.tunnels, h.started = a.Tunnels, 0
	for i, address := range q.Addresses[:min(len(q.Addresses), len(a.Reached))] {
		p := t.paths[address]
		if p == nil || p.failures == 0 || !q.reachedAfter(p.failed, a.Reached[i]) {
			delete(h.reaches, address)
			continue
		}
		h.reaches[address] = now
		if !p.detoured {
			p.detoured = true
			detoured = append(detoured, address)
		}
	}
	if !t.lost && h.fit && !t.failed.IsZero() && q.reachedAfter(t.failed, a.AnyReached) {
		lost = t.concludeLoss(now)
	}
	if lost || len(detoured) > 0 {
		t.nextCheck = now
	}
	return detoured, lost
}

// reachedAfter reports whether an age in an answer is certainly that of a time after another.
// A negative age means that there was none.
func (q *Question) reachedAfter(at time.Time, age time.Duration) bool {
	return age >= 0 && q.At.Add(-age).After(at)
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

// Answer returns what this instance has seen.
func (t *Table) Answer(now time.Time, q *Question) Answer {
	failing, _ := t.failing(now)
	a := Answer{AnyReached: age(now, t.heard), Lost: t.lost || failing >= minSuspects}
	if len(t.suspects(now)) > 0 {
		a.AnyReached = age(now, t.opened)
	}
	for _, address := range q.Addresses[:min(len(q.Addresses), maxAsked)] {
		reached := time.Time{}
		if p := t.paths[address]; p != nil && p.failures == 0 {
			reached = p.heard
		}
		a.Reached = append(a.Reached, age(now, reached))
	}
	return a
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
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
