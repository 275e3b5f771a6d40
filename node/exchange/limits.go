package exchange

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"

	"github.com/pkg/errors"
)

const (
	// limitKeyPrefix starts the keys of gossip entries with the limits that upstreams name.
	// The start of the upstream follows.
	limitKeyPrefix = "upstream-limit/"
	// maxIntroducedLimits bounds the limits that an instance is told of when it starts; the
	// answers of upstreams name the others.
	maxIntroducedLimits = 128
)

// recordLimit records the limit that an answer named, and publishes it if it has changed.
func (r *Router) recordLimit(slot *placement.Slot, head Head, sentAt time.Time) {
	if head.Misdirected || head.Limit == 0 && (head.NotRun || head.Status >= 300) {
		return // says nothing about the upstream's limit
	}
	r.mu.Lock()
	limit, changed := r.fleet.RecordLimit(time.Now(), slot, head.Limit, sentAt)
	r.mu.Unlock()
	if !changed {
		return
	}
	r.logLimit(limit, "answer")
	e, err := limitEntry(limit)
	if err != nil {
		r.Log.Line("news-not-sent").Str("key", limitKeyPrefix+limit.Upstream).Err(err).End()
		return
	}
	r.queueEntry(e)
}

// limitEntry returns the entry of a limit, whose data is the rate.
func limitEntry(limit placement.NamedLimit) (gossip.Entry, error) {
	data, err := json.Marshal(limit.Rate)
	key := limitKeyPrefix + limit.Upstream + "@" + strconv.FormatInt(limit.StartUnixMs, 10)
	return gossip.Entry{Key: key, Version: limit.Version, Data: data}, err
}

// decodeLimit decodes the entry of a limit.
func decodeLimit(e gossip.Entry) (placement.NamedLimit, error) {
	limit := placement.NamedLimit{Version: e.Version}
	start := strings.TrimPrefix(e.Key, limitKeyPrefix)
	at := strings.LastIndexByte(start, '@')
	if at < 0 {
		return limit, errors.Errorf("the key %q has no start time", e.Key)
	}
	var err error
	limit.Upstream = start[:at]
	if limit.StartUnixMs, err = strconv.ParseInt(start[at+1:], 10, 64); err != nil {
		return limit, err
	}
	return limit, json.Unmarshal(e.Data, &limit.Rate)
}

func (r *Router) logLimit(limit placement.NamedLimit, source string) {
	r.Log.Line("upstream-limit").Str("upstream", limit.Upstream).Str("limit", strconv.FormatFloat(limit.Rate, 'g', 6, 64)).
		Int("version", int64(limit.Version)).Str("source", source).End()
}

// HandleLimit adopts the limit of an upstream from the entry of another instance. It
// ignores entries of other kinds.
func (r *Router) HandleLimit(e gossip.Entry) {
	if !strings.HasPrefix(e.Key, limitKeyPrefix) {
		return
	}
	limit, err := decodeLimit(e)
	if err != nil {
		r.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return
	}
	r.mu.Lock()
	changed := r.fleet.SetNamedLimit(time.Now(), limit)
	r.mu.Unlock()
	if changed {
		r.logLimit(limit, "instance")
	}
}

// LimitEntries returns the entries of the limits that another instance needs when it
// starts.
func (r *Router) LimitEntries() []gossip.Entry {
	r.mu.Lock()
	limits := r.fleet.NamedLimits()
	r.mu.Unlock()
	var entries []gossip.Entry
	for _, limit := range limits[:min(len(limits), maxIntroducedLimits)] {
		if e, err := limitEntry(limit); err == nil {
			entries = append(entries, e)
		}
	}
	return entries
}

// readyIn returns the time after which an upstream may accept the attempt; false if none
// will.
func (r *Router) readyIn(c placement.Criteria) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.ReadyIn(time.Now(), c)
}

// refuseBusy returns a refusal if no upstream will accept the request within the time
// that it may wait, or nil.
func (e *execution) refuseBusy(result placement.PickResult, waitUntil time.Time) *refusal.Error {
	ready, ok := e.router.readyIn(e.placementCriteria())
	switch {
	case !ok:
		return e.noUpstreamError(result)
	case time.Now().Add(ready).After(waitUntil):
		return e.noUpstreamError(result).WithRetryAfter(ready + retryAfter())
	}
	return nil
}

// PublishEntries publishes what this instance has learnt of upstreams until ctx is done.
func (r *Router) PublishEntries(ctx context.Context, peers PeerClient) {
	for {
		select {
		case e := <-r.outgoing:
			peers.Publish(ctx, e, true)
		case <-ctx.Done():
			return
		}
	}
}

// queueEntry queues an entry to publish. It never blocks: if the queue is full, the
// entry is dropped and counted.
func (r *Router) queueEntry(e gossip.Entry) {
	select {
	case r.outgoing <- e:
	default:
		r.Metrics.unpublished.Inc()
		r.Log.Line("news-not-sent").Str("key", e.Key).Str("error", "the queue is full").End()
	}
}
