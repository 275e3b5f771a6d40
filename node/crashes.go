package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"banyanyard/core/crash"
	"banyanyard/core/gossip"
	"banyanyard/core/refusal"
	"banyanyard/io/engine"
)

// crashTracker records which requests are suspected of crashing upstreams. It is
// safe for concurrent use.
type crashTracker struct {
	self string

	mu       sync.Mutex
	suspects crash.Suspects // guarded by mu
}

// hasSuspects reports whether any request is suspected. While none is,
// fingerprints need not be computed.
func (c *crashTracker) hasSuspects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Len() > 0
}

func (c *crashTracker) shouldRefuse(f crash.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.ShouldRefuse(time.Now(), f)
}

func (c *crashTracker) isSuspect(f crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.IsSuspect(time.Now(), f)
}

func (c *crashTracker) recordBroken(f crash.Fingerprint, alone bool) crash.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(time.Now())
	return c.suspects.RecordBroken(time.Now(), c.self, f, alone)
}

func (c *crashTracker) recordCompleted(f crash.Fingerprint) (crash.Counts, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.RecordCompleted(time.Now(), c.self, f)
}

// merge adds another instance's counts, received by gossip.
func (c *crashTracker) merge(e gossip.Entry) {
	f, instance, ok := strings.Cut(strings.TrimPrefix(e.Key, keyCrash), "/")
	var count crash.Counts
	if !ok || json.Unmarshal(e.Data, &count) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Merge(crash.Fingerprint(f), instance, count)
}

// fingerprint returns the fingerprint of the request and caches it.
func (r *completion) fingerprint() crash.Fingerprint {
	if r.cachedFingerprint == "" {
		r.cachedFingerprint = crash.NewFingerprint(r.request.Organisation.ID, r.request.ModelName, r.request.Fields["messages"])
	}
	return r.cachedFingerprint
}

// isSuspect reports whether the request is suspected of crashing upstreams. The
// dispatcher isolates such requests.
func (r *completion) isSuspect() bool {
	return r.node.crashes.hasSuspects() && r.node.crashes.isSuspect(r.fingerprint())
}

// refuseSuspect returns a refusal if the request has crashed too many upstreams,
// and nil otherwise.
func (r *completion) refuseSuspect() error {
	if !r.node.crashes.hasSuspects() {
		return nil
	}
	left, refuse := r.node.crashes.shouldRefuse(r.fingerprint())
	if !refuse {
		return nil
	}
	return refusal.New(refusal.RequestSuspect,
		"change the request; operators find it in the logs under this request's identifier",
		"each of the last %d upstreams that ran this request failed while running it", crash.Threshold).WithRetryAfter(left)
}

// recordCrash updates the request's crash counts after an attempt that ended with
// err, and sends them to the other instances.
func (a *attempt) recordCrash(ctx context.Context, err error) {
	r := a.completion
	var broken *engine.BrokenError
	switch {
	case err == nil && r.node.crashes.hasSuspects():
		if count, suspect := r.node.crashes.recordCompleted(r.fingerprint()); suspect {
			r.node.send(ctx, crashCounted{r.fingerprint(), count})
		}
	case errors.As(err, &broken) && !broken.Stale && broken.Status == 0 && ctx.Err() == nil:
		count := r.node.crashes.recordBroken(r.fingerprint(), a.ticket.OnlySuspect())
		r.node.send(ctx, crashCounted{r.fingerprint(), count})
		r.logEntry().WithField("fingerprint", string(r.fingerprint())).Warn("an upstream failed while it ran this request")
	}
}

// crashCounted is the event that publishes this instance's counts of a
// fingerprint.
type crashCounted struct {
	fingerprint crash.Fingerprint
	count       crash.Counts
}

func (e crashCounted) apply(c *control) {
	c.gossip.Put(gossip.Entry{
		Key:     keyCrash + string(e.fingerprint) + "/" + c.node.identity.ID,
		Version: e.count.Version(),
		Data:    mustMarshal(e.count),
	})
}
