// Package trial moves the traffic of a service to a new version by a deadline,
// and stops on its own when that version is bad.
//
// Each instance runs a Trial of its own for an order. In the first half of the
// order's time a small part of new sessions tries the new version; then, unless
// the evidence speaks against it, all of them move. The evidence is that of all
// instances, kind by kind, compared with the old version beside it (package
// rollout). A stop spreads, and stays.
//
// A Trial is guarded by its owner's mutex. Its methods take the current time.
//
// Invariants:
//   - the share of the new version never falls, except to 0 by a stop;
//   - a session that has been seen lately stays on its version in the first
//     half, and never leaves the new one unless that is stopped;
//   - until the traffic moves, at most the trial's part of this instance's
//     requests goes to the new version, retries included.
package trial

import (
	"fmt"
	"slices"
	"time"

	"banyanyard/core/rollout"
	"banyanyard/core/tally"

	"github.com/cespare/xxhash/v2"
)

const (
	// tryShare is the part of new sessions that tries the new version, as a
	// part of what the deployment lets a bad version have. A larger one also
	// moves more sessions that are known to other instances only.
	tryShare = 0.3
	// fewInstances is the number of instances up to which that part is tried.
	// Above it the traffic is larger, so that a smaller part shows as much, and
	// moves no more sessions that are known to other instances only.
	fewInstances = 10.0
	// moveAt is the part of the order's time after which the traffic moves.
	// Sessions may not be moved before the middle.
	moveAt = 0.51
	// moveTime is the part of the order's time in which the share grows to all.
	moveTime = 0.08
	// lateAt is the part of the order's time after which streams on the old
	// version are not waited for: they go on at the new one.
	lateAt = 0.92
	// minGood is the number of good answers of all instances without which the
	// traffic doesn't move.
	minGood = 5
	// unproven is the number of requests that an instance may send to the new
	// version beyond the trial's part. The part is kept by the share; the bound
	// stops what chance or retries add.
	unproven = 3
	// slowFactor and paceFactor are how many times the old version's mean a
	// time to the first token, and one between events, are counted as slow. The
	// first depends on the size of the prompt, the second hardly.
	slowFactor = 4
	paceFactor = 2
	// minMean is the number of answers that make a mean.
	minMean = 5
	// meanWeight is the weight of the newest answer in a mean.
	meanWeight = 0.05
	// forgetAfter is how long a session is remembered beyond its last request.
	forgetAfter = 30 * time.Second
)

// slow is the bar for slow answers. It is higher than for errors: the upstreams
// of the new version have read none of the prompts that those of the old one
// keep, and take over their load within seconds.
var slow = rollout.Bar{Tolerance: 0.15, Worse: 0.20}

// paced is the bar for the time between events. An engine that is slower by some
// factor is so in each step, for all that run there, while reading prompts
// delays the streams beside it only for a part of their time.
var paced = rollout.Bar{Tolerance: 0.15, Worse: 0.35}

// An Order asks to move a service to a version.
type Order struct {
	Service  string
	To       string
	Revision uint64 // of the order; a newer one replaces it
	Duration time.Duration
}

// A State is how far a trial has come.
type State uint8

// The states.
const (
	Running State = iota
	Completed
	Stopped
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"running", "completed", "stopped"}[s] }

// Bounds are the deployment's limits for a version that turns out bad.
type Bounds struct {
	Share     float64       // of the service's requests
	SessionOf time.Duration // requests of a session that follow within it belong together
}

// A Report is an instance's evidence by kind of request, and how far it is.
type Report struct {
	Revision uint64                      `json:"revision"`
	Elapsed  time.Duration               `json:"elapsed"` // since the order was heard
	Kinds    map[string]rollout.Evidence `json:"kinds,omitempty"`
	// OldRunning is the number of attempts that run on the old version, once
	// all new ones go to the new version; -1 before.
	OldRunning int `json:"old-running"`
}

// A Summary is what an instance that collects reports knows of all.
type Summary struct {
	Revision uint64        `json:"revision"`
	Good     int           `json:"good"` // good answers of the new version
	Elapsed  time.Duration `json:"elapsed"`
}

// A Trial is one instance's view of an order. Use New.
type Trial struct {
	Order     Order
	Instances int // that share the traffic; 0 counts as few

	bounds   Bounds
	begun    time.Time
	state    State
	why      string
	own      map[string]rollout.Evidence
	others   map[string]Report // by instance
	means    map[string]*mean  // of the old version's latency, by kind
	paces    map[string]*mean  // of the old version's time between events, by kind
	sessions map[string]*sessionState
	all      int // requests sent to the service since the order
	tried    int // of these, to the new version
	told     int // good answers of the new version at all instances, as others said
}

type mean struct {
	value float64 // seconds
	n     int
}

type sessionState struct {
	new  bool
	seen time.Time
}

// New returns a trial of an order that has just been heard.
func New(now time.Time, o Order, b Bounds) *Trial {
	return &Trial{
		Order: o, bounds: b, begun: now,
		own: map[string]rollout.Evidence{}, others: map[string]Report{},
		means: map[string]*mean{}, paces: map[string]*mean{}, sessions: map[string]*sessionState{},
	}
}

// State returns the state and, for a stop, its reason.
func (t *Trial) State() (State, string) { return t.state, t.why }

// Settle takes the state that another instance or the store has. A stop stays.
func (t *Trial) Settle(s State, why string) bool {
	if t.state != Running || s == Running {
		return false
	}
	t.state = s
	t.why = why
	return true
}

// Begun returns when this instance heard of the order.
func (t *Trial) Begun() time.Time { return t.begun }

// Share returns the part of sessions that get the new version.
func (t *Trial) Share(now time.Time) float64 {
	switch t.state {
	case Stopped:
		return 0
	case Completed:
		return 1
	}
	d := float64(t.Order.Duration)
	try := tryShare * t.bounds.Share * min(1, fewInstances/float64(max(t.Instances, 1)))
	moved := float64(now.Sub(t.begun)) - moveAt*d
	if moved < 0 || t.good() < minGood {
		return try
	}
	return min(1, try+(1-try)*moved/(moveTime*d))
}

// Moved reports whether all new requests go to the new version.
func (t *Trial) Moved(now time.Time) bool { return t.state == Completed || t.Share(now) >= 1 }

// Choose reports whether a request of the session goes to the new version.
func (t *Trial) Choose(now time.Time, session, request string) bool {
	share := t.Share(now)
	s := t.sessions[session]
	fresh := s == nil || now.Sub(s.seen) > t.bounds.SessionOf
	var toNew bool
	switch {
	case t.state == Stopped:
	case share >= 1:
		toNew = true
	case !fresh && (s.new || !t.moving(now)):
		toNew = s.new
	default:
		key := session
		if key == "" {
			key = request
		}
		toNew = t.below(key, share) && (t.moving(now) || t.mayTry())
	}
	t.Keep(now, session, toNew)
	return toNew
}

// Keep remembers the version that a session has got.
func (t *Trial) Keep(now time.Time, session string, isNew bool) {
	if session != "" {
		t.sessions[session] = &sessionState{new: isNew, seen: now}
	}
}

func (t *Trial) moving(now time.Time) bool {
	return float64(now.Sub(t.begun)) >= moveAt*float64(t.Order.Duration)
}

// mayTry keeps the requests to the new version a part of all.
func (t *Trial) mayTry() bool {
	return float64(t.tried) < unproven+t.bounds.Share*float64(t.all)
}

// below reports whether the key's place among all sessions, which is the same
// at all instances, is below the share.
func (t *Trial) below(key string, share float64) bool {
	place := xxhash.Sum64String(key+"\x00"+t.Order.To) >> 11
	return float64(place)/float64(1<<53) < share
}

// See remembers that a session had the old version before the order.
func (t *Trial) See(session string, at time.Time) { t.Keep(at, session, false) }

// Sent counts an attempt.
func (t *Trial) Sent(toNew bool) {
	t.all++
	if toNew {
		t.tried++
	}
}

// An Outcome is what an attempt shows about its version.
type Outcome struct {
	New    bool
	Kind   string
	Failed bool
	// Took is the time to the first event or the answer, for NotePace that
	// between events; 0 when there is none.
	Took time.Duration
}

// Note adds the outcome of an attempt to the evidence, and stops the trial when
// it proves the new version bad. It reports whether it did.
func (t *Trial) Note(o Outcome) bool {
	return t.note(o, func(a *rollout.Arm) {
		count(&a.Errors.Bad, &a.Errors.Good, o.Failed)
		if !o.Failed {
			compare(t.means, &a.Latency, o, slowFactor)
		}
	})
}

// NotePace adds the time between the first events of a stream, which may go on,
// to the evidence. It reports whether that stopped the trial.
func (t *Trial) NotePace(o Outcome) bool {
	return t.note(o, func(a *rollout.Arm) { compare(t.paces, &a.Pace, o, paceFactor) })
}

// note lets f add to the evidence about a version.
func (t *Trial) note(o Outcome, f func(*rollout.Arm)) bool {
	if t.state != Running {
		return false
	}
	e := t.own[o.Kind]
	arm := &e.Old
	if o.New {
		arm = &e.New
	}
	f(arm)
	t.own[o.Kind] = e
	return o.New && t.judge()
}

// compare counts whether a time is far above what is usual with the old version.
func compare(usual map[string]*mean, c *tally.Counts, o Outcome, factor float64) {
	if o.Took <= 0 {
		return
	}
	m := usual[o.Kind]
	if m == nil {
		m = &mean{}
		usual[o.Kind] = m
	}
	if m.n >= minMean {
		count(&c.Bad, &c.Good, o.Took.Seconds() > factor*m.value)
	}
	if !o.New {
		m.n++
		m.value += max(meanWeight, 1/float64(m.n)) * (o.Took.Seconds() - m.value)
	}
}

func count(bad, good *int, failed bool) {
	if failed {
		*bad++
	} else {
		*good++
	}
}

// Learn takes the report of another instance into account. It reports whether
// that stopped the trial.
func (t *Trial) Learn(now time.Time, instance string, r Report) bool {
	if r.Revision != t.Order.Revision || t.state != Running {
		return false
	}
	t.others[instance] = r
	t.align(now, r.Elapsed)
	return t.judge()
}

// align lets an instance that started later count from when others heard the
// order.
func (t *Trial) align(now time.Time, elapsed time.Duration) {
	if begun := now.Add(-elapsed); begun.Before(t.begun) {
		t.begun = begun
	}
}

// Summary returns what this instance knows of all.
func (t *Trial) Summary(now time.Time) Summary {
	return Summary{Revision: t.Order.Revision, Good: t.good(), Elapsed: now.Sub(t.begun)}
}

// LearnSummary takes what another instance knows of all into account.
func (t *Trial) LearnSummary(now time.Time, s Summary) {
	if s.Revision != t.Order.Revision {
		return
	}
	t.told = max(t.told, s.Good)
	t.align(now, s.Elapsed)
}

// Report returns this instance's evidence. running is the number of its
// attempts on the old version.
func (t *Trial) Report(now time.Time, running int) Report {
	r := Report{Revision: t.Order.Revision, Elapsed: now.Sub(t.begun), Kinds: map[string]rollout.Evidence{}, OldRunning: -1}
	for kind, e := range t.own {
		r.Kinds[kind] = e
	}
	if t.Moved(now) {
		r.OldRunning = running
	}
	return r
}

// sum returns the evidence of all instances about a kind of request.
func (t *Trial) sum(kind string) rollout.Evidence {
	e := t.own[kind]
	for _, r := range t.others {
		e = e.Plus(r.Kinds[kind])
	}
	return e
}

func (t *Trial) good() int {
	n := 0
	for _, e := range t.own {
		n += e.New.Errors.Good
	}
	for _, r := range t.others {
		for _, e := range r.Kinds {
			n += e.New.Errors.Good
		}
	}
	return max(n, t.told)
}

func (t *Trial) judge() bool {
	kinds := map[string]bool{}
	for kind := range t.own {
		kinds[kind] = true
	}
	for _, r := range t.others {
		for kind := range r.Kinds {
			kinds[kind] = true
		}
	}
	var total rollout.Evidence
	for kind := range kinds {
		e := t.sum(kind)
		if why := rollout.Verdict(e, slow, paced); why != "" {
			t.Settle(Stopped, fmt.Sprintf("%s: %s", kind, why))
			return true
		}
		total = total.Plus(e)
	}
	if why := rollout.Verdict(total, slow, paced); why != "" {
		t.Settle(Stopped, why)
		return true
	}
	return false
}

// Late reports whether so little of the order's time is left that what still
// runs on the old version is not waited for.
func (t *Trial) Late(now time.Time) bool {
	return float64(now.Sub(t.begun)) > lateAt*float64(t.Order.Duration)
}

// AllMoved reports whether this instance and all those named send everything to
// the new version.
func (t *Trial) AllMoved(now time.Time, instances []string) bool {
	return t.Moved(now) && !slices.ContainsFunc(instances, func(name string) bool {
		r, ok := t.others[name]
		return !ok || r.OldRunning < 0
	})
}

// Clear reports whether no instance runs anything on the old version: all those
// named have said so, and so has this one.
func (t *Trial) Clear(now time.Time, running int, instances []string) bool {
	if !t.Moved(now) || running > 0 {
		return false
	}
	return !slices.ContainsFunc(instances, func(name string) bool {
		r, ok := t.others[name]
		return !ok || r.OldRunning != 0
	})
}

// Sweep forgets old sessions.
func (t *Trial) Sweep(now time.Time) {
	for id, s := range t.sessions {
		if now.Sub(s.seen) > t.bounds.SessionOf+forgetAfter {
			delete(t.sessions, id)
		}
	}
}
