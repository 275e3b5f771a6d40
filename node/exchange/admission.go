package exchange

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"

	"github.com/pkg/errors"
)

// leavingKeyPrefix starts the keys of gossip entries on upstreams that leave. The start of
// the upstream follows.
const leavingKeyPrefix = "upstream-leaving/"

// recordAdmission records that an answer says that its upstream leaves, or wants nothing
// from this instance for a time. The other instances are told of the former.
func (r *Router) recordAdmission(slot *placement.Slot, head Head) {
	if head.Misdirected || !head.Leaving && head.Pause <= 0 {
		return
	}
	r.mu.Lock()
	now := time.Now()
	if head.Pause > 0 {
		r.fleet.RecordPause(now, slot, head.Pause)
	}
	var start placement.Start
	news := false
	if head.Leaving {
		start, news = r.fleet.RecordLeaving(now, slot)
	}
	r.mu.Unlock()
	if head.Pause > 0 {
		r.Log.Line("upstream-pause").Str("upstream", slot.Upstream.ID).Millis("for-ms", head.Pause).End()
	}
	if news {
		r.logLeaving(start, "answer")
		r.queueEntry(leavingEntry(start))
	}
}

func (r *Router) logLeaving(start placement.Start, source string) {
	r.Log.Line("upstream-leaving").Str("upstream", start.Upstream).Int("start-unix-ms", start.StartUnixMs).Str("source", source).End()
}

// leavingEntry returns the entry of a start that leaves. That is final, so there is only
// one version.
func leavingEntry(start placement.Start) gossip.Entry {
	key := leavingKeyPrefix + start.Upstream + "@" + strconv.FormatInt(start.StartUnixMs, 10)
	return gossip.Entry{Key: key, Version: 1, Data: json.RawMessage("true")}
}

func decodeLeaving(e gossip.Entry) (placement.Start, error) {
	start := strings.TrimPrefix(e.Key, leavingKeyPrefix)
	at := strings.LastIndexByte(start, '@')
	if at <= 0 {
		return placement.Start{}, errors.Errorf("the key %q has no upstream or start time", e.Key)
	}
	startedAt, err := strconv.ParseInt(start[at+1:], 10, 64)
	return placement.Start{Upstream: start[:at], StartUnixMs: startedAt}, err
}

// HandleLeaving adopts from the entry of another instance that an upstream leaves. It
// ignores entries of other kinds.
func (r *Router) HandleLeaving(e gossip.Entry) {
	if !strings.HasPrefix(e.Key, leavingKeyPrefix) {
		return
	}
	start, err := decodeLeaving(e)
	if err != nil {
		r.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return
	}
	r.mu.Lock()
	news := r.fleet.SetLeaving(time.Now(), start)
	r.mu.Unlock()
	if news {
		r.logLeaving(start, "instance")
	}
}

// LeavingEntries returns the entries of upstreams that leave, which another instance needs
// when it starts.
func (r *Router) LeavingEntries() []gossip.Entry {
	r.mu.Lock()
	leaving := r.fleet.Leaving()
	r.mu.Unlock()
	var entries []gossip.Entry
	for _, start := range leaving[:min(len(leaving), maxIntroducedLimits)] {
		entries = append(entries, leavingEntry(start))
	}
	return entries
}
