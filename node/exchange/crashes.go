package exchange

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/io/http1"
)

const (
	// maxBrokenRuns is the number of uncleared broken runs, over all instances,
	// from which a request is refused. It is above the number that connection
	// faults commonly cause.
	maxBrokenRuns = 3
	// crashKeyPrefix starts the keys of gossip entries with crash counts.
	crashKeyPrefix = "crash/"
)

// upstreamCrashed reports whether an attempt ended as if its upstream had
// crashed: the connection broke while the attempt ran, and not by a timeout.
func upstreamCrashed(result attemptResult) bool {
	var broken *http1.BrokenError
	return result.outcome == placement.Broken && errors.As(result.err, &broken) && !errors.Is(result.err, os.ErrDeadlineExceeded)
}

func requestFingerprint(q *Request) crash.Fingerprint {
	return crash.NewFingerprint(q.Organisation, q.Method+" "+q.Target, q.Body)
}

// recordCrashEvidence records a broken run, or a complete answer to a suspect
// request, and queues the new counts for the other instances. The caller holds
// mu.
func (r *Router) recordCrashEvidence(now time.Time, q *Request, slot *placement.Slot, result attemptResult) {
	var count crash.Counts
	switch {
	case upstreamCrashed(result):
		count = r.suspects.RecordBroken(now, r.instance, requestFingerprint(q), slot.Running == 1)
	case result.done && r.suspects.Len() > 0:
		var suspect bool
		if count, suspect = r.suspects.RecordCompleted(now, r.instance, requestFingerprint(q)); !suspect {
			return
		}
	default:
		return
	}
	data, err := json.Marshal(count)
	if err != nil {
		r.Log.Line("news-not-sent").Str("request", q.ID).Err(err).End()
		return
	}
	e := gossip.Entry{Key: crashKeyPrefix + string(requestFingerprint(q)) + "/" + r.instance, Version: count.Version(), Data: data}
	select {
	case r.outgoing <- e:
	default: // queue full: the next entry for this request contains these counts
		r.Metrics.unpublished.Inc()
		r.Log.Line("news-not-sent").Str("request", q.ID).Str("key", e.Key).Str("error", "the queue is full").End()
	}
}

// mergeCrashCounts merges the crash counts of another instance.
func (r *Router) mergeCrashCounts(e gossip.Entry) {
	f, instance, _ := strings.Cut(strings.TrimPrefix(e.Key, crashKeyPrefix), "/")
	var count crash.Counts
	if err := json.Unmarshal(e.Data, &count); err != nil {
		r.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.Merge(crash.Fingerprint(f), instance, count)
}

// refuseSuspect returns a refusal if the request has maxBrokenRuns uncleared
// broken runs, or nil.
func (r *Router) refuseSuspect(q *Request) *refusal.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.Len() == 0 {
		return nil
	}
	n := r.suspects.UnclearedRuns(time.Now(), requestFingerprint(q))
	if n < maxBrokenRuns {
		return nil
	}
	return refusal.New(refusal.UpstreamFailed, "change the request", "%d upstreams failed while running this request", n).WithMayHaveRun()
}
