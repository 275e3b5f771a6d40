package exchange

import (
	"context"
	"strconv"
	"sync"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/placement"
	"banyanyard/core/suspect"

	"github.com/pkg/errors"
)

// A crashMonitor finds requests that crash upstreams. It is safe for concurrent use.
type crashMonitor struct {
	mu         sync.Mutex
	table      suspect.Table                  // guarded by mu
	running    map[*execution]*runningAttempt // guarded by mu
	reports    map[string]*crashReport        // guarded by mu; by start of the upstream
	probeTried time.Time                      // when this instance last tried to send a probe; guarded by mu
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
	address    string    // of the upstream
	at         time.Time // of the first broken attempt
	candidates []suspect.Candidate
	scheduled  bool // a flush is scheduled
	held       bool // it waited, since the path may be at fault
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
