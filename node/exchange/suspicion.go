package exchange

import (
	"context"
	"strings"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/suspect"
)

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

// publicTraits returns the traits that a caller knows.
func publicTraits(t suspect.Traits) string {
	var parts []string
	for _, trait := range t {
		if part, ok := strings.CutPrefix(trait, suspect.PartPrefix); ok {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return "this content"
	}
	return "the prompt parts " + strings.Join(parts, ", ")
}

const (
	// probeWriteTimeout bounds how long a request waits for the store to decide whether it
	// is a probe.
	probeWriteTimeout = 300 * time.Millisecond
	// probeRetryInterval is the time between two tries of this instance to send a probe:
	// while the store does not answer, requests are refused at once.
	probeRetryInterval = 10 * time.Second
)

// takeProbe sends the request despite a verdict if a probe is due and no other instance
// takes it: the store decides.
func (e *execution) takeProbe(ctx context.Context) bool {
	v, due := e.router.crashes.dueProbe(e)
	if !due || e.router.Verdicts == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeWriteTimeout)
	defer cancel()
	if err := e.router.Verdicts.Write(ctx, v); err != nil {
		e.router.Log.Line("suspect-record").Str("key", v.Traits.Key()).Int("version", int64(v.Version())).Err(err).End()
		return false
	}
	m := &e.router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge(time.Now(), v)
	e.router.publishVerdict(v, "probed here")
	e.probe = true
	return true
}

// dueProbe returns the verdict on a request with a further probe if one is due and this
// instance has not just tried to send it.
func (m *crashMonitor) dueProbe(e *execution) (suspect.Verdict, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	v, due := m.table.Probe(now, e.traits())
	if !due || now.Sub(m.probeTried) < probeRetryInterval {
		return suspect.Verdict{}, false
	}
	m.probeTried = now
	return v, true
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
