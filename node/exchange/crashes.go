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
	// maxCrashes is the number of upstreams that a request may break, at all
	// instances, before it is refused. It is above the number of runs that
	// trouble with connections commonly breaks.
	maxCrashes = 3
	// crashPrefix begins the keys of news about broken runs.
	crashPrefix = "crash/"
)

// crashed reports whether an attempt ended as one does whose upstream has
// crashed: its connection broke off while it ran.
func crashed(end ending) bool {
	var broken *http1.BrokenError
	return end.outcome == placement.Broken && errors.As(end.err, &broken) && !errors.Is(end.err, os.ErrDeadlineExceeded)
}

func fingerprint(q *Request) crash.Fingerprint {
	return crash.NewFingerprint(q.Organisation, q.Method+" "+q.Target, q.Body)
}

// noteCrash remembers runs that broke, and clears requests that were answered.
// The caller holds mu.
func (r *Router) noteCrash(now time.Time, q *Request, slot *placement.Slot, end ending) {
	var count crash.Counts
	switch {
	case crashed(end):
		count = r.suspects.RecordBroken(now, r.instance, fingerprint(q), slot.Running == 1)
	case end.done && r.suspects.Len() > 0:
		var suspect bool
		if count, suspect = r.suspects.RecordAnswered(now, r.instance, fingerprint(q)); !suspect {
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
	e := gossip.Entry{Key: crashPrefix + string(fingerprint(q)) + "/" + r.instance, Version: count.Version(), Data: data}
	select {
	case r.news <- e:
	default: // the next broken run says more
	}
}

// learnCrash takes the broken runs of another instance into account.
func (r *Router) learnCrash(e gossip.Entry) {
	f, instance, _ := strings.Cut(strings.TrimPrefix(e.Key, crashPrefix), "/")
	var count crash.Counts
	if err := json.Unmarshal(e.Data, &count); err != nil {
		r.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.Merge(crash.Fingerprint(f), instance, count)
}

// refuseCrasher refuses a request that has broken too many upstreams.
func (r *Router) refuseCrasher(q *Request) *refusal.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.Len() == 0 {
		return nil
	}
	n := r.suspects.UnclearedRuns(time.Now(), fingerprint(q))
	if n < maxCrashes {
		return nil
	}
	return refusal.New(refusal.UpstreamFailed, "change the request", "%d upstreams broke while they ran this request", n).WithMayHaveRun()
}
