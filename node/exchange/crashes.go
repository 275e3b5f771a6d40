package exchange

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/place"
	"banyanyard/core/refusal"
	"banyanyard/io/http1"
)

const (
	// maxBrokenRuns is the number of upstreams that a request may break, at all
	// instances, before it is refused. It is above the number of runs that
	// trouble with connections commonly breaks.
	maxBrokenRuns = 3
	// crashKeyPrefix begins the keys of news about broken runs.
	crashKeyPrefix = "crash/"
)

// upstreamCrashed reports whether an attempt ended as one does whose upstream has
// upstreamCrashed: its connection broke off while it ran.
func upstreamCrashed(end attemptResult) bool {
	var broken *http1.BrokenError
	return end.outcome == place.Broken && errors.As(end.err, &broken) && !errors.Is(end.err, os.ErrDeadlineExceeded)
}

func requestFingerprint(q *Request) crash.Fingerprint {
	return crash.NewFingerprint(q.Organisation, q.Method+" "+q.Target, q.Body)
}

// recordCrashEvidence remembers runs that broke, and clears requests that were answered.
// The caller holds mu.
func (r *Router) recordCrashEvidence(now time.Time, q *Request, slot *place.Slot, end attemptResult) {
	var count crash.Counts
	switch {
	case upstreamCrashed(end):
		count = r.suspects.RecordBroken(now, r.instance, requestFingerprint(q), slot.Running == 1)
	case end.done && r.suspects.Len() > 0:
		var suspect bool
		if count, suspect = r.suspects.RecordAnswered(now, r.instance, requestFingerprint(q)); !suspect {
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
	default: // the next broken run says more
	}
}

// mergeCrashCounts takes the broken runs of another instance into account.
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

// refuseSuspect refuses a request that has broken too many upstreams.
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
	return refusal.New(refusal.UpstreamFailed, "change the request", "%d upstreams broke while they ran this request", n).WithMayHaveRun()
}
