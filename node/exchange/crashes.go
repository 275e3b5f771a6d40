package exchange

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/suspect"
	"banyanyard/io/http1"

	"github.com/pkg/errors"
)

const (
	// crashReportDelay is the time after the first broken attempt at an upstream in
	// which the others break too if it has crashed.
	crashReportDelay = 30 * time.Millisecond
	// crashReportRetention is how long attempts that break later are added to a report.
	crashReportRetention = 5 * time.Second
	// startedWriting is the time after the first event of an answer from which its
	// request is less probably the cause of a crash.
	startedWriting = time.Second
	// The weights of requests as causes of a crash, by how far their answers had come.
	weightWriting = 1.0 // about to write, or has just begun to
	weightNoHead  = 0.9
	weightWritten = 0.2
)

// upstreamCrashed reports whether an attempt ended as if its upstream had
// crashed: the connection broke while the attempt ran, and not by a timeout.
func upstreamCrashed(result attemptResult) bool {
	var broken *http1.BrokenError
	return result.outcome == placement.Broken && errors.As(result.err, &broken) && !errors.Is(result.err, os.ErrDeadlineExceeded)
}

// crashWeight returns how probably the request of a broken attempt crashed its
// upstream.
func crashWeight(result attemptResult) float64 {
	switch {
	case result.writing >= startedWriting:
		return weightWritten
	case result.status == 0:
		return weightNoHead
	}
	return weightWriting
}

// describe returns the properties of a request that others may share.
func describe(q *Request) suspect.Description {
	d := suspect.Description{Service: q.Service, Organisation: q.Organisation, Route: q.Route.Name, Parts: make([]string, len(q.Prompt.Parts))}
	for i, part := range q.Prompt.Parts {
		d.Parts[i] = part.ID
	}
	return d
}

// sharedTraits returns the traits of a request without those of it alone.
func sharedTraits(q *Request) suspect.Traits {
	d := describe(q)
	return d.Traits()
}

// allTraits returns all traits of a request.
func allTraits(q *Request) suspect.Traits {
	d := describe(q)
	d.Fingerprint = string(crash.NewFingerprint(q.Organisation, q.Method+" "+q.Target, q.Body))
	return d.Traits()
}

// traits returns all traits of the request.
func (e *execution) traits() suspect.Traits {
	if e.cachedTraits == nil {
		e.cachedTraits = allTraits(e.request)
	}
	return e.cachedTraits
}

// A crashMonitor finds requests that crash upstreams. It is safe for concurrent use.
type crashMonitor struct {
	mu      sync.Mutex
	table   suspect.Table                  // guarded by mu
	running map[*execution]*runningAttempt // guarded by mu
	reports map[string]*crashReport        // guarded by mu; by start of the upstream
	// evidence signals that the table has changed. Its capacity is 1.
	evidence chan struct{}
}

// A runningAttempt is an attempt in progress.
type runningAttempt struct {
	upstream string // start of the upstream
	started  time.Time
	writing  bool // the first event has arrived
	cancel   context.CancelCauseFunc
}

// A crashReport collects the attempts of this instance that broke with an upstream.
type crashReport struct {
	at         time.Time // of the first broken attempt
	candidates []suspect.Candidate
	scheduled  bool // a flush is scheduled
}

func newCrashMonitor() crashMonitor {
	return crashMonitor{running: map[*execution]*runningAttempt{}, reports: map[string]*crashReport{}, evidence: make(chan struct{}, 1)}
}

// startOf identifies the start of an upstream.
func startOf(u *placement.Upstream) string { return u.ID + "@" + strconv.FormatInt(u.StartUnixMs, 10) }

// errStopped is the cause with which an attempt is ended whose request would crash its
// upstream.
var errStopped = errors.New("requests with the same prompt part have crashed other upstreams")

// begin registers an attempt until end is called. The context ends if the request turns
// out to crash upstreams.
func (m *crashMonitor) begin(ctx context.Context, e *execution, u *placement.Upstream) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[e] = &runningAttempt{upstream: startOf(u), started: time.Now(), cancel: cancel}
	return ctx
}

// markWriting records that the first event of an attempt has arrived.
func (m *crashMonitor) markWriting(e *execution) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[e].writing = true
}

func (m *crashMonitor) end(e *execution) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[e].cancel(nil)
	delete(m.running, e)
}

// A suspicion says whether a request is refused because it may crash upstreams.
type suspicion struct {
	verdict    *suspect.Verdict // nil unless it is refused
	retryAfter time.Duration
	wait       bool // it is to wait until that is decided
}

func (m *crashMonitor) suspicion(e *execution) suspicion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.HasEvidence() {
		return suspicion{}
	}
	now := time.Now()
	if v := m.table.Refusal(e.traits()); v != nil {
		found := *v
		return suspicion{verdict: &found, retryAfter: v.RetryAfter(now)}
	}
	if v, left := m.table.Turn(now, e.traits()); v != nil {
		found := *v
		return suspicion{verdict: &found, retryAfter: left + retryAfter()}
	}
	return suspicion{wait: m.table.ShouldWait(now, e.traits())}
}

// isSuspected reports whether the request is to run where it harms few others.
func (m *crashMonitor) isSuspected(e *execution) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasEvidence() && m.table.IsSuspected(e.traits())
}

// crashedItsUpstream reports whether the request is not to be sent again because its
// upstream probably crashed by it: it was sent to find that out.
func (e *execution) crashedItsUpstream(result attemptResult) bool {
	if e.probe {
		return !result.notRun
	}
	if !upstreamCrashed(result) {
		return false
	}
	m := &e.router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasEvidence() && !m.table.MayRepeat(e.traits())
}

// stop ends the attempts in progress that would crash their upstreams by a verdict, if
// that is enforced.
func (m *crashMonitor) stop(v *suspect.Verdict) {
	if m.table.Refusal(v.Traits) == nil {
		return
	}
	for e, a := range m.running {
		if !a.writing && !e.probe && allTraits(e.request).HasAll(v.Traits) {
			a.cancel(errStopped)
		}
	}
}

// recordAnswer records a complete answer and publishes the verdicts that it clears.
func (r *Router) recordAnswer(e *execution) {
	m := &r.crashes
	shared := sharedTraits(e.request)
	m.mu.Lock()
	defer m.mu.Unlock()
	var full suspect.Traits
	if m.table.HasEvidence() {
		full = e.traits()
	}
	for _, v := range m.table.RecordAnswer(time.Now(), shared, full) {
		r.publishVerdict(v, "answered here")
	}
	if m.table.HasNews() {
		m.signalEvidence()
	}
}

// recordBroken adds an attempt to the report of the crash of its upstream.
func (r *Router) recordBroken(e *execution, slot *placement.Slot, result attemptResult) {
	m := &r.crashes
	start := startOf(&slot.Upstream)
	candidate := suspect.Candidate{Traits: e.traits(), Weight: crashWeight(result)}
	e.mayCrash = candidate.Weight == weightWriting
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.reports[start]
	if report == nil {
		report = &crashReport{at: time.Now()}
		m.reports[start] = report
		time.AfterFunc(crashReportRetention, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.reports, start)
		})
	}
	report.candidates = append(report.candidates, candidate)
	if !report.scheduled {
		report.scheduled = true
		time.AfterFunc(crashReportDelay, func() { r.flushCrash(start) })
	}
}

// flushCrash reports the crash of an upstream to the other instances, unless attempts
// of this instance still run there.
func (r *Router) flushCrash(start string) {
	m := &r.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.reports[start]
	if report == nil {
		return
	}
	report.scheduled = false
	for _, a := range m.running {
		if a.upstream == start && a.started.Before(report.at) {
			return
		}
	}
	candidates := slices.Clone(report.candidates)
	slices.SortStableFunc(candidates, func(a, b suspect.Candidate) int {
		switch {
		case a.Weight > b.Weight:
			return -1
		case a.Weight < b.Weight:
			return 1
		}
		return 0
	})
	reported := suspect.Crash{Upstream: start, UnixMs: report.at.UnixMilli(), Candidates: candidates[:min(len(candidates), suspect.MaxReported)]}
	m.table.RecordCrash(time.Now(), reported)
	m.signalEvidence()
	r.Log.Line("upstream-crashed").Str("upstream", start).Int("attempts", int64(len(candidates))).Str("likeliest", candidates[0].Traits.String()).End()
	r.publish(crashKeyPrefix+start+"/"+r.instance, uint64(len(candidates)), reported)
}

func (m *crashMonitor) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Expire(now)
}

func (m *crashMonitor) signalEvidence() {
	select {
	case m.evidence <- struct{}{}:
	default:
	}
}

const (
	// crashKeyPrefix starts the keys of gossip entries that report crashes. The start
	// of the upstream and the reporting instance follow, separated by a slash.
	crashKeyPrefix = "upstream-crash/"
	// verdictKeyPrefix starts the keys of gossip entries with verdicts. The key of the
	// traits follows.
	verdictKeyPrefix = "suspect/"
	// turnKeyPrefix starts the keys of gossip entries by which an instance keeps others
	// from sending requests like the one that it sends. The key of a verdict and the
	// instance follow.
	turnKeyPrefix = "suspect-turn/"
)

// publishVerdict logs a verdict and queues it for the other instances. The caller holds
// the monitor's mutex.
func (r *Router) publishVerdict(v suspect.Verdict, source string) {
	r.logVerdict(&v, source)
	r.crashes.signalEvidence()
	r.publish(verdictKeyPrefix+v.Traits.Key(), v.Version(), v)
}

func (r *Router) logVerdict(v *suspect.Verdict, source string) {
	r.Log.Line("suspect").Str("key", v.Traits.Key()).Str("traits", v.Traits.String()).Int("crashes", int64(v.Crashes)).Int("epoch", int64(v.Epoch)).
		Int("probes", int64(v.Probes)).Bool("cleared", v.Cleared).Str("source", source).End()
}

// publish queues a value for the other instances.
func (r *Router) publish(key string, version uint64, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		r.Log.Line("news-not-sent").Str("key", key).Err(err).End()
		return
	}
	r.queueEntry(gossip.Entry{Key: key, Version: version, Data: data})
}

// refuseSuspect returns a refusal if the request would crash its upstream, or nil. It
// waits while that is being decided. If a probe of the verdict is due, it takes that and
// returns nil.
func (e *execution) refuseSuspect(ctx context.Context) error {
	if e.probe {
		return nil
	}
	found := e.router.crashes.suspicion(e)
	for found.wait {
		if err := sleep(ctx, pickRetryInterval); err != nil {
			return err
		}
		found = e.router.crashes.suspicion(e)
	}
	v := found.verdict
	if v == nil || e.attempts == 0 && e.takeProbe(ctx) {
		return nil
	}
	return refusal.New(refusal.CrashesUpstreams, "send a request without them", "%d upstreams crashed while they ran requests with %s", v.Crashes, publicTraits(v.Traits)).
		WithRetryAfter(found.retryAfter)
}

// takeTurn records that the request is sent, if requests like it are sent one after the
// other.
func (r *Router) takeTurn(e *execution) {
	m := &r.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.HasEvidence() {
		return
	}
	now := time.Now()
	if key, ok := m.table.TakeTurn(now, e.traits()); ok {
		r.publish(turnKeyPrefix+key+"/"+r.instance, uint64(now.UnixMilli()), e.request.ID)
	}
}

// publicTraits returns the traits that a caller knows.
func publicTraits(t suspect.Traits) string {
	named := slices.DeleteFunc(slices.Clone(t), func(trait string) bool { return !strings.HasPrefix(trait, suspect.PartPrefix) })
	if len(named) == 0 {
		return "this content"
	}
	return "the prompt parts " + named.String()
}

// takeProbe sends the request despite a verdict if a probe is due and no other instance
// takes it: the store decides.
func (e *execution) takeProbe(ctx context.Context) bool {
	m := &e.router.crashes
	m.mu.Lock()
	v, due := m.table.Probe(time.Now(), e.traits())
	m.mu.Unlock()
	if !due || e.router.Verdicts == nil || e.router.Verdicts.Write(ctx, v) != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge(time.Now(), v)
	e.router.publishVerdict(v, "probed here")
	e.probe = true
	return true
}
