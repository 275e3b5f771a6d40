// Package trial moves the traffic of a service to a new version by a deadline,
// and stops on its own when that version is worse than the old one.
//
// Each instance runs its own Trial of an order. A small share of new sessions is sent
// to the new version. All sessions move to it so late that it stays within the bound
// on exposure up to the order's deadline even if it is bad and nothing shows it
// (exposure.go). The evidence of all instances is added up per kind of request and compared
// with that of the old version, which runs at the same time (package rollout). A stop
// propagates to all instances. The record of the order, which is written once, decides
// between a stop and a completion that are under way at the same time.
//
// A Trial is not safe for concurrent use; its owner's mutex guards it. Methods
// that depend on time take the current time.
//
// Invariants:
//   - the share of the new version never falls, except to 0 by a stop;
//   - a session with a recent request keeps its version during the first half,
//     and never leaves the new version unless that is stopped;
//   - until the traffic moves, requests go to the new version only while at most
//     Bounds.ExposeShare of this instance's requests, and its part of
//     Bounds.ExposeSlack, have gone there, retries included; copies of a load test
//     count too, and are sent only if what all instances have sent leaves room for them;
//   - the traffic moves only when what is left of the bound covers all requests
//     expected up to the deadline, and nothing speaks against the new version;
//   - after the move the trial is stopped before the bound is reached;
//   - a trial that has stopped gets no requests, unless the record says that it was
//     completed.
package trial

import (
	"time"

	"banyanyard/core/era"
	"banyanyard/core/rollout"

	"github.com/cespare/xxhash/v2"
)

const (
	// canaryFraction is the share of new sessions sent to the new version
	// before the move, as a fraction of Bounds.ExposeShare. A larger fraction
	// also moves more sessions that are known only to other instances.
	canaryFraction = 0.3
	// fullCanaryInstances is the number of instances up to which canaryFraction
	// applies in full. With more instances there is more traffic, so a smaller
	// share yields as much evidence and moves no more sessions that are known
	// only to other instances.
	fullCanaryInstances = 10.0
	// testFraction is the share of sessions sent to the new version in the second half,
	// before the move, as a fraction of Bounds.ExposeShare.
	testFraction = 0.4
	// earliestMoveStart is the fraction of the order's duration after which sessions
	// may be moved.
	earliestMoveStart = 0.51
	// exposeSlackFraction is the part of Bounds.ExposeSlack that the instances use
	// together; the rest is for attempts in flight when a trial stops.
	exposeSlackFraction = 0.5
	// maxExposeSlack is the largest part of one instance, which may not know yet of
	// the others.
	maxExposeSlack = 3
	// slowLatencyFactor and slowGapFactor are the multiples of the old
	// version's mean above which a time to the first token, or a time between
	// events, counts as slow. The first is larger because the time to the first
	// token depends on the size of the prompt; the time between events hardly
	// does.
	slowLatencyFactor = 4
	slowGapFactor     = 2
	// slowAnswerFactor is the multiple of the old version's median from which the answer
	// to a request without a prompt counts as slow.
	slowAnswerFactor = 3
	// minMeanSamples is the number of answers from which on a mean is used.
	minMeanSamples = 5
	// meanWeight is the weight of the newest answer in a moving mean.
	meanWeight = 0.05
	// sessionRetention is how long a session is kept after
	// Bounds.SessionTimeout has passed since its last request.
	sessionRetention = 30 * time.Second
)

// latencyThreshold is the threshold for slow first tokens. It is higher than
// that for errors: the upstreams of the new version have cached none of the
// prompts that those of the old version have, and take over their load within
// seconds.
var latencyThreshold = rollout.Threshold{Tolerance: 0.15, EffectSize: 0.20}

// eventGapThreshold is the threshold for slow times between events. A slower
// engine is slower in every step, for all requests that it runs, whereas
// reading prompts delays concurrent streams only part of the time.
var eventGapThreshold = rollout.Threshold{Tolerance: 0.15, EffectSize: 0.35}

// An Order asks for a service to be moved to a version within a duration.
type Order struct {
	Service  string
	To       string
	Revision era.Version // of the order; changes when the same order is written again
	Duration time.Duration
}

// A State is the progress of a trial.
type State uint8

// The states of a trial. Completed and Stopped are final, except that the record of the
// order replaces either by the other.
const (
	Running State = iota
	Completed
	Stopped
)

// String returns the name of the state as written in logs.
func (s State) String() string { return [...]string{"running", "completed", "stopped"}[s] }

// Bounds are the deployment's limits on the effect of a bad version.
type Bounds struct {
	ExposeShare    float64       // largest share of the service's requests that a bad version may get, from 0 to 1
	ExposeSlack    float64       // requests that it may get in addition, from all instances together
	Joined         bool          // the instance may have begun this trial before, and uses none of ExposeSlack
	SessionTimeout time.Duration // a request continues its session only within this time after the previous one
}

// A Report is the evidence of one instance by kind of request, and the
// instance's progress.
type Report struct {
	To      string                      `json:"to"`      // version that the order asks for
	Elapsed time.Duration               `json:"elapsed"` // since the instance received the order
	Kinds   map[string]rollout.Evidence `json:"kinds,omitempty"`
	// Moved is the part of Kinds that is about the new version since the traffic moved.
	Moved    map[string]rollout.Arm `json:"moved,omitempty"`
	Exposure Exposure               `json:"exposure"` // of this instance
	// LoadTests is the number of load tests that the instance has begun, and Copies are
	// their outcomes.
	LoadTests int    `json:"load-tests,omitempty"`
	Copies    Copies `json:"copies,omitzero"`
	// Copyable is true if the instance has had a request that a load test could copy.
	Copyable bool `json:"copyable,omitempty"`
	// OldRunning is the number of attempts in flight on the old version once
	// all new ones go to the new version; -1 before that.
	OldRunning int `json:"old-running"`
	// Running is the number of attempts in flight on the old version.
	Running int  `json:"running,omitempty"`
	Stopped bool `json:"stopped,omitempty"` // the instance has stopped the trial, or knows that it was
	// OldSessions are recent sessions on the old version that instances which do
	// not know them would send to the new one.
	OldSessions OldSessions `json:"old-sessions,omitempty"`
	// SessionsFor is how long sessions may come back that the instance has sent to the new
	// version.
	SessionsFor time.Duration `json:"sessions-for,omitempty"`
}

// A Summary is the total over all instances, as known to an instance that
// collects reports.
type Summary struct {
	To      string        `json:"to"`
	Good    int           `json:"good"` // good answers of the new version
	Elapsed time.Duration `json:"elapsed"`
	// MoveAt is when the traffic moves, as a time since the order; 0 while that is not
	// decided.
	MoveAt    time.Duration `json:"move-at,omitempty"`
	LoadTests int           `json:"load-tests,omitempty"` // see Report.LoadTests
	// RoomForCopies is how many copies of a load test the bound on exposure covers.
	RoomForCopies int  `json:"room-for-copies,omitempty"`
	Copyable      bool `json:"copyable,omitempty"` // see Report.Copyable; of any instance
	Stopped       bool `json:"stopped,omitempty"`  // see Report.Stopped
	// OldSessions are those of all reports.
	OldSessions OldSessions `json:"old-sessions,omitempty"`
	// SessionsFor is the longest of all reports.
	SessionsFor time.Duration `json:"sessions-for,omitempty"`
}

// A Trial is one instance's view of an order. Create it with New.
type Trial struct {
	Order     Order
	Instances int       // number of instances that share the traffic; 0 counts as 1
	Rank      int       // of this instance among them, from 0
	Baseline  *Baseline // times on the old version, also from before the order; not nil

	bounds        Bounds
	created       time.Time
	startTime     time.Time
	state         State
	stopReason    string
	ownEvidence   map[string]rollout.Evidence // by kind of request
	ownMoved      map[string]rollout.Arm      // see Report.Moved
	reports       map[string]Report           // by instance
	reportTimes   map[string]time.Time        // of the reports
	others        reportSum                   // of reports, with the last ones from before restarts of instances
	latencyMeans  map[string]*mean            // of the old version, by kind of request
	eventGapMeans map[string]*mean            // of the old version, by kind of request
	sessions      map[string]*sessionState
	// foreignSessions are sessions on the old version at other instances, with the
	// time of their last request.
	foreignSessions map[SessionHash]time.Time
	exposure        Exposure             // of this instance
	ownArrivals     arrivals             // of this instance
	arrivals        map[string]*arrivals // of the other instances, by reports
	ownRunning      int                  // see Report.Running
	loadTests       int                  // see Report.LoadTests
	ownCopies       Copies               // see Report.Copies
	copyable        bool                 // see Report.Copyable
	preparing       bool                 // a load test is prepared
	summaryGood     int                  // good answers of the new version at all instances, from summaries
	summaryTests    int                  // load tests of all instances, from summaries
	summaryRoom     int                  // see Summary.RoomForCopies
	summaryCopyable bool                 // see Summary.Copyable

	stopSeen     time.Time // when MayRecordStop was first called for a stop
	stopRecorded bool      // the record of the order has had the stop
	// ownSessionsUntil, reportedSessionsUntil and summarySessionsUntil are when the sessions on
	// the new version have ended unless they go on: this instance's, and those of reports and
	// of summaries. They are kept apart so that no instance adds the delay of its messages.
	ownSessionsUntil, reportedSessionsUntil, summarySessionsUntil time.Time

	moveAt           time.Duration // see Summary.MoveAt
	moveSeen         bool          // hasMoveStarted has reported true
	clearanceChecked time.Time
	clearanceTaken   bool // by TakeClearance
	lastSummary      time.Time
}

type mean struct {
	value float64 // seconds
	n     int
}

type sessionState struct {
	onNew    bool
	lastSeen time.Time
}

// New returns a trial of an order received at now.
func New(now time.Time, o Order, b Bounds) *Trial {
	return &Trial{
		Order: o, Baseline: &Baseline{}, bounds: b, created: now, startTime: now,
		ownEvidence: map[string]rollout.Evidence{}, ownMoved: map[string]rollout.Arm{}, reports: map[string]Report{}, reportTimes: map[string]time.Time{}, arrivals: map[string]*arrivals{},
		latencyMeans: map[string]*mean{}, eventGapMeans: map[string]*mean{}, sessions: map[string]*sessionState{},
		foreignSessions: map[SessionHash]time.Time{},
	}
}

// State returns the state and, when stopped, the reason.
func (t *Trial) State() (State, string) { return t.state, t.stopReason }

// AdoptState takes over a final state from another instance. It reports whether the
// state changed; a state that is already final is kept.
func (t *Trial) AdoptState(s State, reason string) bool {
	if t.state != Running || s == Running {
		return false
	}
	t.state = s
	t.stopReason = reason
	return true
}

// StartTime returns when the order was first received by this instance or one
// that has reported to it.
func (t *Trial) StartTime() time.Time { return t.startTime }

// Share returns the share of sessions that are to get the new version, from 0 to 1. Until
// the traffic moves, WithinExposeShare limits it further.
func (t *Trial) Share(now time.Time) float64 {
	switch t.state {
	case Stopped:
		return 0
	case Completed:
		return 1
	}
	t.updateClearance(now)
	elapsed := now.Sub(t.startTime)
	if elapsed < t.earliestMove() {
		return t.canaryShare()
	}
	if t.hasMoveStarted(now) {
		return 1
	}
	if t.goodAnswers() == 0 {
		return 1 // there is so little traffic that the usual share has tested nothing
	}
	return testFraction * t.bounds.ExposeShare
}

// canaryShare returns the share of sessions that get the new version in the first half
// of the order's duration.
func (t *Trial) canaryShare() float64 {
	return canaryFraction * t.bounds.ExposeShare * min(1, fullCanaryInstances/float64(max(t.Instances, 1)))
}

// Moved reports whether all new requests go to the new version.
func (t *Trial) Moved(now time.Time) bool {
	t.updateClearance(now)
	return t.state == Completed || t.state == Running && t.hasMoveStarted(now)
}

// ChooseNew reports whether a request of the session goes to the new version,
// and records the choice. A request without a session is placed by its own ID.
func (t *Trial) ChooseNew(now time.Time, session, request string) bool {
	share := t.Share(now)
	s := t.sessions[session]
	unassigned := s == nil || now.Sub(s.lastSeen) > t.bounds.SessionTimeout
	var toNew bool
	switch {
	case t.state == Stopped:
	case t.Moved(now):
		toNew = true
	case !unassigned && (s.onNew || now.Sub(t.startTime) < t.earliestMove()):
		toNew = s.onNew
	default:
		key := session
		if key == "" {
			key = request
			if t.isCopyable() && now.Sub(t.startTime) < t.earliestMove() {
				share *= requestCanaryFraction
			}
		}
		toNew = t.keyInShare(key, share) && !t.usesOldElsewhere(now, session) && !t.leavesRoomForLoadTest(now, session) && t.WithinExposeShare()
	}
	t.RecordSession(now, session, toNew)
	return toNew
}

// RecordSession records the version that a session was given. It does nothing
// when session is empty.
func (t *Trial) RecordSession(now time.Time, session string, isNew bool) {
	if session != "" {
		t.sessions[session] = &sessionState{onNew: isNew, lastSeen: now}
	}
}

// RefreshSession records that a request of a session runs, or has ended.
func (t *Trial) RefreshSession(now time.Time, session string) {
	if s := t.sessions[session]; s != nil {
		s.lastSeen = now
	}
}

// WithinExposeShare reports whether another request may go to the new version before
// the traffic moves.
func (t *Trial) WithinExposeShare() bool {
	return float64(t.exposure.New+1) <= t.ownSlack()+t.bounds.ExposeShare*float64(t.exposure.All+1)
}

// ownSlack returns this instance's part of the slack. If there is less than one request
// for each instance, those of the first ranks have one.
func (t *Trial) ownSlack() float64 {
	slack := exposeSlackFraction * t.bounds.ExposeSlack
	part := slack / float64(max(t.Instances, 1))
	switch {
	case t.bounds.Joined:
		return 0
	case part >= 1:
		return min(maxExposeSlack, part)
	case t.Rank < int(slack):
		return 1
	}
	return 0
}

// keyInShare reports whether the key's hash, scaled to [0, 1), is below the
// share. The result is the same at all instances.
func (t *Trial) keyInShare(key string, share float64) bool {
	point := xxhash.Sum64String(key+"\x00"+t.Order.To) >> 11
	return float64(point)/float64(1<<53) < share
}

// RecordOldSession records that a session used the old version before the
// order.
func (t *Trial) RecordOldSession(session string, at time.Time) { t.RecordSession(at, session, false) }

// CountAttempt counts an attempt sent to the service, by version.
func (t *Trial) CountAttempt(toNew bool) {
	t.exposure.All++
	if toNew {
		t.exposure.New++
	}
}

// An Observation is the observed result of an attempt.
type Observation struct {
	New    bool   // the attempt ran on the new version
	Kind   string // of request
	Failed bool   // there was no good answer
	// Answered is true if the upstream answered, be it with a failure.
	Answered bool
	// Unfinished is true if nobody waited for the answer until it came, so that the
	// duration is a lower bound.
	Unfinished bool
	// Prompt is true if the request has a prompt, so that its duration depends on what
	// the upstream has cached.
	Prompt bool
	// Duration is the time to the first event or to the whole answer; for
	// RecordEventGap, the time between events. It is 0 when there is none.
	Duration time.Duration
	// Cold is true if the upstream had just started, which makes it slow.
	Cold bool
}

// RecordOutcome adds the outcome of an attempt to the evidence, and stops the
// trial when the evidence shows that the new version is worse. It reports
// whether it did.
func (t *Trial) RecordOutcome(o Observation) bool {
	late, slow, timed := t.judgeDuration(o)
	if o.Unfinished {
		return timed && slow && t.record(o, func(a *rollout.Arm) { a.Durations.Bad++ })
	}
	return t.record(o, func(a *rollout.Arm) {
		countOutcome(&a.Errors.Bad, &a.Errors.Good, o.Failed)
		if o.Answered {
			countOutcome(&a.Failures.Bad, &a.Failures.Good, o.Failed)
		}
		if timed && o.Prompt {
			countOutcome(&a.Latency.Bad, &a.Latency.Good, late)
		}
		if timed && !o.Prompt {
			countOutcome(&a.Durations.Bad, &a.Durations.Good, slow)
		}
	})
}

// judgeDuration reports whether the duration of an answer counts as a late first token
// of a prompt, and as slow otherwise. timed is false if that cannot be told.
func (t *Trial) judgeDuration(o Observation) (late, slow, timed bool) {
	if o.Failed || o.Duration <= 0 {
		return false, false, false
	}
	if !o.Prompt {
		median, known := t.Baseline.Durations.Median(o.Kind)
		return false, o.Duration > slowAnswerFactor*median, known
	}
	late, timed = isSlow(t.latencyMeans, o, slowLatencyFactor)
	return late, false, timed
}

// RecordEventGap adds the time between the first events of a stream, which may
// still be running, to the evidence. It reports whether that stopped the trial.
func (t *Trial) RecordEventGap(now time.Time, o Observation) bool {
	slow, timed := isSlow(t.eventGapMeans, o, slowGapFactor)
	moved := t.hasMoveStarted(now)
	return t.record(o, func(a *rollout.Arm) {
		if timed {
			countOutcome(&a.EventGaps.Bad, &a.EventGaps.Good, slow)
		}
		// Until the traffic moves, the new version's upstreams have less load than
		// the old version's, so a sound version is mostly below their median.
		if median, ok := t.Baseline.Gaps.Median(o.Kind); ok && !o.Cold && !moved {
			countOutcome(&a.GapsOverMedian.Bad, &a.GapsOverMedian.Good, o.Duration > median)
		}
	})
}

// record applies add to the evidence about the outcome's version and reports
// whether that stopped the trial.
func (t *Trial) record(o Observation, add func(*rollout.Arm)) bool {
	if t.state != Running {
		return false
	}
	e := t.ownEvidence[o.Kind]
	arm := &e.Old
	if o.New {
		arm = &e.New
	}
	add(arm)
	t.ownEvidence[o.Kind] = e
	if o.New && t.moveSeen {
		moved := t.ownMoved[o.Kind]
		add(&moved)
		t.ownMoved[o.Kind] = moved
	}
	return o.New && t.stopIfWorse()
}

// isSlow reports whether the outcome's duration exceeds factor times the old version's
// mean for its kind, and whether that mean is known. An outcome of the old version
// updates it.
func isSlow(means map[string]*mean, o Observation, factor float64) (slow, known bool) {
	if o.Duration <= 0 {
		return false, false
	}
	m := means[o.Kind]
	if m == nil {
		m = &mean{}
		means[o.Kind] = m
	}
	known = m.n >= minMeanSamples
	slow = known && o.Duration.Seconds() > factor*m.value
	if !o.New {
		m.n++
		m.value += max(meanWeight, 1/float64(m.n)) * (o.Duration.Seconds() - m.value)
	}
	return slow, known
}

func countOutcome(bad, good *int, failed bool) {
	if failed {
		*bad++
	} else {
		*good++
	}
}

// LearnReport adds the report of another instance to the evidence, replacing
// its previous one. Reports of other orders are ignored. It reports whether
// that stopped the trial, by the evidence or because the other instance has.
func (t *Trial) LearnReport(now time.Time, instance string, r Report) bool {
	if r.To != t.Order.To {
		return false
	}
	t.reportedSessionsUntil = laterTime(t.reportedSessionsUntil, now.Add(r.SessionsFor))
	if t.state != Running {
		return false
	}
	before := t.reports[instance]
	if r.Exposure.All < before.Exposure.All {
		before = Report{} // the instance has restarted and counts anew
	}
	t.others.replace(before, r)
	t.reports[instance] = r
	t.reportTimes[instance] = now
	if t.arrivals[instance] == nil {
		t.arrivals[instance] = &arrivals{}
	}
	t.arrivals[instance].record(r.Elapsed, r.Exposure.All)
	if r.Stopped {
		return t.AdoptState(Stopped, stoppedElsewhere)
	}
	t.learnOldSessions(now, r.OldSessions)
	t.alignStart(now, r.Elapsed)
	return t.stopIfWorse()
}

// alignStart moves the start time back to that of another instance, so that an
// instance that started later counts from when others received the order.
func (t *Trial) alignStart(now time.Time, elapsed time.Duration) {
	if otherStart := now.Add(-elapsed); otherStart.Before(t.startTime) {
		t.startTime = otherStart
	}
}

// Summary returns the total over all instances that this instance knows of.
func (t *Trial) Summary(now time.Time) Summary {
	t.updateClearance(now)
	return Summary{To: t.Order.To, Good: t.goodAnswers(), Elapsed: now.Sub(t.startTime), MoveAt: t.moveAt, LoadTests: t.allLoadTests(), RoomForCopies: t.roomForCopies(now), Copyable: t.isCopyable(), Stopped: t.state == Stopped, OldSessions: t.knownOldSessions(now), SessionsFor: t.sessionsFor(now)}
}

// LearnSummary merges the summary of another instance. It reports whether that stopped
// the trial.
func (t *Trial) LearnSummary(now time.Time, s Summary) bool {
	if s.To != t.Order.To {
		return false
	}
	t.lastSummary = now
	t.summarySessionsUntil = laterTime(t.summarySessionsUntil, now.Add(s.SessionsFor))
	t.learnOldSessions(now, s.OldSessions)
	t.summaryGood = max(t.summaryGood, s.Good)
	t.summaryTests = max(t.summaryTests, s.LoadTests)
	t.summaryRoom = s.RoomForCopies
	t.summaryCopyable = t.summaryCopyable || s.Copyable
	// The earlier of two decisions counts, at all instances alike.
	if s.MoveAt > 0 && (t.moveAt == 0 || s.MoveAt < t.moveAt) {
		t.moveAt = s.MoveAt
	}
	t.alignStart(now, s.Elapsed)
	return s.Stopped && t.AdoptState(Stopped, stoppedElsewhere)
}

// Report returns this instance's evidence. oldRunning is the number of its
// attempts in flight on the old version.
func (t *Trial) Report(now time.Time, oldRunning int) Report {
	r := Report{To: t.Order.To, Elapsed: now.Sub(t.startTime), Kinds: map[string]rollout.Evidence{}, Moved: map[string]rollout.Arm{}, Exposure: t.exposure, LoadTests: t.loadTests, Copies: t.ownCopies, Copyable: t.copyable, OldRunning: -1, Running: oldRunning, Stopped: t.state == Stopped, OldSessions: t.oldCanarySessions(now), SessionsFor: t.ownSessionsFor(now)}
	for kind, e := range t.ownEvidence {
		r.Kinds[kind] = e
	}
	for kind, a := range t.ownMoved {
		r.Moved[kind] = a
	}
	t.ownRunning = oldRunning
	if t.Moved(now) {
		r.OldRunning = oldRunning
	}
	return r
}

// ExpireSessions removes sessions without recent requests.
func (t *Trial) ExpireSessions(now time.Time) {
	for id, s := range t.sessions {
		if now.Sub(s.lastSeen) > t.bounds.SessionTimeout+sessionRetention {
			delete(t.sessions, id)
		}
	}
}
