package exchange

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/suspect"
	"banyanyard/io/http1"

	"github.com/pkg/errors"
)

const (
	// crashReportDelay is the time after the first broken attempt at an upstream in
	// which the others break too if it has crashed.
	crashReportDelay = 30 * time.Millisecond
	// pathReportDelay is how much longer a report waits if this instance's paths may be at
	// fault: the time in which it asks others.
	pathReportDelay = 300 * time.Millisecond
	// brokenTogether is the time within which connections to several upstreams break if a
	// path that they share is lost.
	brokenTogether = 100 * time.Millisecond
	// crashReportRetention is how long attempts that break later are added to a report.
	crashReportRetention = 2 * time.Second
	// startedWriting is the time after the first event of an answer from which its
	// request is less probably the cause of a crash.
	startedWriting = time.Second
	// The weights of requests as causes of a crash, by how far their answers had come.
	weightWriting = 1.0 // about to write, or has just begun to
	weightNoHead  = 0.9
	weightWritten = 0.2
)

// upstreamCrashed reports whether an attempt ended as if its upstream had
// crashed: the connection broke while the attempt ran, and not by a timeout. A connection
// through another instance may have broken because of that.
func upstreamCrashed(result attemptResult) bool {
	var broken *http1.BrokenError
	return result.outcome == placement.Broken && result.detour == nil && errors.As(result.err, &broken) && !errors.Is(result.err, os.ErrDeadlineExceeded)
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
		report = &crashReport{address: slot.Upstream.Address, at: time.Now()}
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
	switch {
	case !report.held && r.pathsDoubtful(report.at):
		report.held, report.scheduled = true, true
		time.AfterFunc(pathReportDelay, func() { r.flushCrash(start) })
		return
	case report.held && r.isDetoured(report.address):
		return // the connections broke because this instance lost its path
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

// pathsDoubtful reports whether connections to several upstreams broke at about a time, or
// cannot be opened, as happens when this instance loses its paths. The caller holds the
// monitor's mutex.
func (r *Router) pathsDoubtful(at time.Time) bool {
	together := 0
	for _, other := range r.crashes.reports {
		if other.at.Sub(at).Abs() < brokenTogether {
			together++
		}
	}
	r.detours.mu.Lock()
	defer r.detours.mu.Unlock()
	return together > 1 || r.detours.table.Doubtful(time.Now())
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
