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
	// canaryFraction is the part of new sessions that tries the new version, as a
	// part of what the deployment lets a bad version have. A larger one also
	// moves more sessions that are known to other instances only.
	canaryFraction = 0.3
	// fullCanaryInstances is the number of instances up to which that part is tried.
	// Above it the traffic is larger, so that a smaller part shows as much, and
	// moves no more sessions that are known to other instances only.
	fullCanaryInstances = 10.0
	// moveStart is the part of the order's time after which the traffic moves.
	// Sessions may not be moved before the middle.
	moveStart = 0.51
	// moveLength is the part of the order's time in which the share grows to all.
	moveLength = 0.08
	// drainDeadline is the part of the order's time after which streams on the old
	// version are not waited for: they go on at the new one.
	drainDeadline = 0.92
	// minGoodAnswers is the number of good answers of all instances without which the
	// traffic doesn't move.
	minGoodAnswers = 5
	// exposeSlack is the number of requests that an instance may send to the new
	// version beyond the trial's part. The part is kept by the share; the bound
	// stops what chance or retries add.
	exposeSlack = 3
	// slowLatencyFactor and paceFactor are how many times the old version's mean a
	// time to the first token, and one between events, are counted as slow. The
	// first depends on the size of the prompt, the second hardly.
	slowLatencyFactor = 4
	slowGapFactor     = 2
	// minMeanSamples is the number of answers that make a mean.
	minMeanSamples = 5
	// meanWeight is the weight of the newest answer in a mean.
	meanWeight = 0.05
	// sessionRetention is how long a session is remembered beyond its last request.
	sessionRetention = 30 * time.Second
)

// latencyThreshold is the bar for latencyThreshold answers. It is higher than for errors: the upstreams
// of the new version have read none of the prompts that those of the old one
// keep, and take over their load within seconds.
var latencyThreshold = rollout.Threshold{Tolerance: 0.15, EffectSize: 0.20}

// eventGapThreshold is the bar for the time between events. An engine that is slower by some
// factor is so in each step, for all that run there, while reading prompts
// delays the streams beside it only for a part of their time.
var eventGapThreshold = rollout.Threshold{Tolerance: 0.15, EffectSize: 0.35}

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
	ExposeShare    float64       // of the service's requests
	SessionTimeout time.Duration // requests of a session that follow within it belong together
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

	bounds        Bounds
	startTime     time.Time
	state         State
	stopReason    string
	ownEvidence   map[string]rollout.Evidence
	reports       map[string]Report // by instance
	latencyMeans  map[string]*mean  // of the old version's latency, by kind
	eventGapMeans map[string]*mean  // of the old version's time between events, by kind
	sessions      map[string]*sessionState
	attempts      int // requests sent to the service since the order
	newAttempts   int // of these, to the new version
	summaryGood   int // good answers of the new version at all instances, as others said
}

type mean struct {
	value float64 // seconds
	n     int
}

type sessionState struct {
	onNew    bool
	lastSeen time.Time
}

// New returns a trial of an order that has just been heard.
func New(now time.Time, o Order, b Bounds) *Trial {
	return &Trial{
		Order: o, bounds: b, startTime: now,
		ownEvidence: map[string]rollout.Evidence{}, reports: map[string]Report{},
		latencyMeans: map[string]*mean{}, eventGapMeans: map[string]*mean{}, sessions: map[string]*sessionState{},
	}
}

// State returns the state and, for a stop, its reason.
func (t *Trial) State() (State, string) { return t.state, t.stopReason }

// AdoptState takes the state that another instance or the store has. A stop stays.
func (t *Trial) AdoptState(s State, why string) bool {
	if t.state != Running || s == Running {
		return false
	}
	t.state = s
	t.stopReason = why
	return true
}

// StartTime returns when this instance heard of the order.
func (t *Trial) StartTime() time.Time { return t.startTime }

// Share returns the part of sessions that get the new version.
func (t *Trial) Share(now time.Time) float64 {
	switch t.state {
	case Stopped:
		return 0
	case Completed:
		return 1
	}
	d := float64(t.Order.Duration)
	try := canaryFraction * t.bounds.ExposeShare * min(1, fullCanaryInstances/float64(max(t.Instances, 1)))
	moved := float64(now.Sub(t.startTime)) - moveStart*d
	if moved < 0 || t.goodAnswers() < minGoodAnswers {
		return try
	}
	return min(1, try+(1-try)*moved/(moveLength*d))
}

// Moved reports whether all new requests go to the new version.
func (t *Trial) Moved(now time.Time) bool { return t.state == Completed || t.Share(now) >= 1 }

// ChooseNew reports whether a request of the session goes to the new version.
func (t *Trial) ChooseNew(now time.Time, session, request string) bool {
	share := t.Share(now)
	s := t.sessions[session]
	fresh := s == nil || now.Sub(s.lastSeen) > t.bounds.SessionTimeout
	var toNew bool
	switch {
	case t.state == Stopped:
	case share >= 1:
		toNew = true
	case !fresh && (s.onNew || !t.moveStarted(now)):
		toNew = s.onNew
	default:
		key := session
		if key == "" {
			key = request
		}
		toNew = t.keyInShare(key, share) && (t.moveStarted(now) || t.withinExposeShare())
	}
	t.RecordSession(now, session, toNew)
	return toNew
}

// RecordSession remembers the version that a session has got.
func (t *Trial) RecordSession(now time.Time, session string, isNew bool) {
	if session != "" {
		t.sessions[session] = &sessionState{onNew: isNew, lastSeen: now}
	}
}

func (t *Trial) moveStarted(now time.Time) bool {
	return float64(now.Sub(t.startTime)) >= moveStart*float64(t.Order.Duration)
}

// withinExposeShare keeps the requests to the new version a part of all.
func (t *Trial) withinExposeShare() bool {
	return float64(t.newAttempts) < exposeSlack+t.bounds.ExposeShare*float64(t.attempts)
}

// keyInShare reports whether the key's place among all sessions, which is the same
// at all instances, is keyInShare the share.
func (t *Trial) keyInShare(key string, share float64) bool {
	place := xxhash.Sum64String(key+"\x00"+t.Order.To) >> 11
	return float64(place)/float64(1<<53) < share
}

// RecordOldSession remembers that a session had the old version before the order.
func (t *Trial) RecordOldSession(session string, at time.Time) { t.RecordSession(at, session, false) }

// CountAttempt counts an attempt.
func (t *Trial) CountAttempt(toNew bool) {
	t.attempts++
	if toNew {
		t.newAttempts++
	}
}

// An Outcome is what an attempt shows about its version.
type Outcome struct {
	New    bool
	Kind   string
	Failed bool
	// Duration is the time to the first event or the answer, for NotePace that
	// between events; 0 when there is none.
	Duration time.Duration
}

// RecordOutcome adds the outcome of an attempt to the evidence, and stops the trial when
// it proves the new version bad. It reports whether it did.
func (t *Trial) RecordOutcome(o Outcome) bool {
	return t.record(o, func(a *rollout.Arm) {
		countOutcome(&a.Errors.Bad, &a.Errors.Good, o.Failed)
		if !o.Failed {
			countSlow(t.latencyMeans, &a.Latency, o, slowLatencyFactor)
		}
	})
}

// RecordEventGap adds the time between the first events of a stream, which may go on,
// to the evidence. It reports whether that stopped the trial.
func (t *Trial) RecordEventGap(o Outcome) bool {
	return t.record(o, func(a *rollout.Arm) { countSlow(t.eventGapMeans, &a.EventGaps, o, slowGapFactor) })
}

// record lets f add to the evidence about a version.
func (t *Trial) record(o Outcome, f func(*rollout.Arm)) bool {
	if t.state != Running {
		return false
	}
	e := t.ownEvidence[o.Kind]
	arm := &e.Old
	if o.New {
		arm = &e.New
	}
	f(arm)
	t.ownEvidence[o.Kind] = e
	return o.New && t.stopIfWorse()
}

// countSlow counts whether a time is far above what is usual with the old version.
func countSlow(usual map[string]*mean, c *tally.Counts, o Outcome, factor float64) {
	if o.Duration <= 0 {
		return
	}
	m := usual[o.Kind]
	if m == nil {
		m = &mean{}
		usual[o.Kind] = m
	}
	if m.n >= minMeanSamples {
		countOutcome(&c.Bad, &c.Good, o.Duration.Seconds() > factor*m.value)
	}
	if !o.New {
		m.n++
		m.value += max(meanWeight, 1/float64(m.n)) * (o.Duration.Seconds() - m.value)
	}
}

func countOutcome(bad, good *int, failed bool) {
	if failed {
		*bad++
	} else {
		*good++
	}
}

// LearnReport takes the report of another instance into account. It reports whether
// that stopped the trial.
func (t *Trial) LearnReport(now time.Time, instance string, r Report) bool {
	if r.Revision != t.Order.Revision || t.state != Running {
		return false
	}
	t.reports[instance] = r
	t.alignStart(now, r.Elapsed)
	return t.stopIfWorse()
}

// alignStart lets an instance that started later count from when others heard the
// order.
func (t *Trial) alignStart(now time.Time, elapsed time.Duration) {
	if begun := now.Add(-elapsed); begun.Before(t.startTime) {
		t.startTime = begun
	}
}

// Summary returns what this instance knows of all.
func (t *Trial) Summary(now time.Time) Summary {
	return Summary{Revision: t.Order.Revision, Good: t.goodAnswers(), Elapsed: now.Sub(t.startTime)}
}

// LearnSummary takes what another instance knows of all into account.
func (t *Trial) LearnSummary(now time.Time, s Summary) {
	if s.Revision != t.Order.Revision {
		return
	}
	t.summaryGood = max(t.summaryGood, s.Good)
	t.alignStart(now, s.Elapsed)
}

// Report returns this instance's evidence. running is the number of its
// attempts on the old version.
func (t *Trial) Report(now time.Time, running int) Report {
	r := Report{Revision: t.Order.Revision, Elapsed: now.Sub(t.startTime), Kinds: map[string]rollout.Evidence{}, OldRunning: -1}
	for kind, e := range t.ownEvidence {
		r.Kinds[kind] = e
	}
	if t.Moved(now) {
		r.OldRunning = running
	}
	return r
}

// totalEvidence returns the evidence of all instances about a kind of request.
func (t *Trial) totalEvidence(kind string) rollout.Evidence {
	e := t.ownEvidence[kind]
	for _, r := range t.reports {
		e = e.Plus(r.Kinds[kind])
	}
	return e
}

func (t *Trial) goodAnswers() int {
	n := 0
	for _, e := range t.ownEvidence {
		n += e.New.Errors.Good
	}
	for _, r := range t.reports {
		for _, e := range r.Kinds {
			n += e.New.Errors.Good
		}
	}
	return max(n, t.summaryGood)
}

func (t *Trial) stopIfWorse() bool {
	kinds := map[string]bool{}
	for kind := range t.ownEvidence {
		kinds[kind] = true
	}
	for _, r := range t.reports {
		for kind := range r.Kinds {
			kinds[kind] = true
		}
	}
	var total rollout.Evidence
	for kind := range kinds {
		e := t.totalEvidence(kind)
		if why := rollout.FindRegression(e, latencyThreshold, eventGapThreshold); why != "" {
			t.AdoptState(Stopped, fmt.Sprintf("%s: %s", kind, why))
			return true
		}
		total = total.Plus(e)
	}
	if why := rollout.FindRegression(total, latencyThreshold, eventGapThreshold); why != "" {
		t.AdoptState(Stopped, why)
		return true
	}
	return false
}

// PastDrainDeadline reports whether so little of the order's time is left that what still
// runs on the old version is not waited for.
func (t *Trial) PastDrainDeadline(now time.Time) bool {
	return float64(now.Sub(t.startTime)) > drainDeadline*float64(t.Order.Duration)
}

// AllMoved reports whether this instance and all those named send everything to
// the new version.
func (t *Trial) AllMoved(now time.Time, instances []string) bool {
	return t.Moved(now) && !slices.ContainsFunc(instances, func(name string) bool {
		r, ok := t.reports[name]
		return !ok || r.OldRunning < 0
	})
}

// OldVersionDrained reports whether no instance runs anything on the old version: all those
// named have said so, and so has this one.
func (t *Trial) OldVersionDrained(now time.Time, running int, instances []string) bool {
	if !t.Moved(now) || running > 0 {
		return false
	}
	return !slices.ContainsFunc(instances, func(name string) bool {
		r, ok := t.reports[name]
		return !ok || r.OldRunning != 0
	})
}

// ExpireSessions forgets old sessions.
func (t *Trial) ExpireSessions(now time.Time) {
	for id, s := range t.sessions {
		if now.Sub(s.lastSeen) > t.bounds.SessionTimeout+sessionRetention {
			delete(t.sessions, id)
		}
	}
}
