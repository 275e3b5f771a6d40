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

// crashes guards the requests that are suspected of crashing upstreams.
type crashes struct {
	self string

	mu       sync.Mutex
	suspects crash.Suspects // guarded by mu
}

// any reports whether any request is suspected, so that fingerprints are needed.
func (c *crashes) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Len() > 0
}

func (c *crashes) refuse(f crash.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.ShouldRefuse(time.Now(), f)
}

func (c *crashes) suspect(f crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.IsSuspect(time.Now(), f)
}

func (c *crashes) broke(f crash.Fingerprint, alone bool) crash.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(time.Now())
	return c.suspects.RecordBroken(time.Now(), c.self, f, alone)
}

func (c *crashes) answered(f crash.Fingerprint) (crash.Counts, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.RecordAnswered(time.Now(), c.self, f)
}

// learn takes another instance's count from gossip.
func (c *crashes) learn(e gossip.Entry) {
	f, instance, ok := strings.Cut(strings.TrimPrefix(e.Key, keyCrash), "/")
	var count crash.Counts
	if !ok || json.Unmarshal(e.Data, &count) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Merge(crash.Fingerprint(f), instance, count)
}

// fingerprint returns the fingerprint of the request.
func (r *completion) fingerprint() crash.Fingerprint {
	if r.print == "" {
		r.print = crash.NewFingerprint(r.request.Organisation.ID, r.request.ModelName, r.request.Fields["messages"])
	}
	return r.print
}

// suspect reports whether the request has to be kept apart from others.
func (r *completion) suspect() bool {
	return r.node.crashes.any() && r.node.crashes.suspect(r.fingerprint())
}

// refuseCrasher refuses a request that has crashed upstreams.
func (r *completion) refuseCrasher() error {
	if !r.node.crashes.any() {
		return nil
	}
	left, refuse := r.node.crashes.refuse(r.fingerprint())
	if !refuse {
		return nil
	}
	return refusal.New(refusal.RequestSuspect,
		"change the request; operators find it in the logs under this request's identifier",
		"each of the last %d upstreams that ran this request broke", crash.Threshold).WithRetryAfter(left)
}

// noteCrash learns from the end of a run whether the request crashes upstreams,
// and tells the other instances.
func (a *attempt) noteCrash(ctx context.Context, err error) {
	r := a.run
	var broken *engine.BrokenError
	switch {
	case err == nil && r.node.crashes.any():
		if count, suspect := r.node.crashes.answered(r.fingerprint()); suspect {
			r.node.send(ctx, crashCounted{r.fingerprint(), count})
		}
	case errors.As(err, &broken) && !broken.Stale && broken.Status == 0 && ctx.Err() == nil:
		count := r.node.crashes.broke(r.fingerprint(), a.ticket.OnlySuspect())
		r.node.send(ctx, crashCounted{r.fingerprint(), count})
		r.entry().WithField("fingerprint", string(r.fingerprint())).Warn("an upstream broke while it ran this request")
	}
}

// crashCounted spreads this instance's count of a fingerprint.
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
