package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

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

// askSoon makes a question due as soon as the minimum time since the last one has passed.
func (t *Table) askSoon() {
	t.askInterval = 0
	if soon := t.asked.Add(minAskInterval); soon.Before(t.nextAsk) {
		t.nextAsk = soon
	}
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
