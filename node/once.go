package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"banyanyard/core/once"
	"banyanyard/core/refusal"
	"banyanyard/io/caller"
	"banyanyard/io/platform"
)

const (
	// claimTimeout bounds the time to record a call before it runs.
	claimTimeout = 5 * time.Second
	// claimPause is the time between attempts to record a call.
	claimPause = 100 * time.Millisecond
	// waitPause is the time between looks at another attempt's record.
	waitPause = 250 * time.Millisecond
	// recordTimeout bounds the wait of a caller for its answer's record.
	recordTimeout = 2 * time.Second
	// settleTimeout bounds the attempts to write what became of a call.
	settleTimeout = 10 * time.Minute
	// runTimeout bounds a call whose caller has left.
	runTimeout = 2 * time.Minute
)

// A claim is the record of a call that this attempt may run.
type claim struct {
	key     string
	record  once.Record
	version string // of the row
}

// runOnce runs a non-idempotent call at most once for its key.
func (c *serviceCall) runOnce(ctx context.Context) (*caller.ServiceAnswer, error) {
	if err := checkKey(c.request.IdempotencyKey); err != nil {
		return nil, err
	}
	cl, replay, err := c.claim(ctx)
	if err != nil {
		return nil, err
	}
	if replay != nil {
		return &caller.ServiceAnswer{Answer: *replay, Replayed: true}, nil
	}
	return c.runClaimed(ctx, cl)
}

func checkKey(key string) error {
	if key == "" {
		return refusal.New(refusal.IdempotencyKeyMissing, "send a fresh Idempotency-Key with each new call, and the same one when you send it again", "this call is not idempotent and has no key")
	}
	if len(key) > once.MaxKeyBytes {
		return refusal.New(refusal.BadRequest, "use a shorter key", "the idempotency key is longer than %d bytes", once.MaxKeyBytes)
	}
	return nil
}

// callKey is the key of a call's record.
func callKey(organisation, service, key string) string {
	return organisation + "/" + service + "/" + key
}

func (c *serviceCall) lookup() string {
	return "/services/" + url.PathEscape(c.request.Service) + "/calls/" + url.PathEscape(c.request.IdempotencyKey)
}

// claim records the call. It returns the stored answer when the call has
// already run.
func (c *serviceCall) claim(ctx context.Context) (*claim, *once.Answer, error) {
	fingerprint := once.Fingerprint(c.request.Method, c.request.Path+"?"+c.request.Query, c.request.Body)
	cl := &claim{
		key:    callKey(c.request.Organisation.ID, c.request.Service, c.request.IdempotencyKey),
		record: once.New(c.attempt, fingerprint, time.Now().UTC()),
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		version, err := c.node.store.Insert(claimCtx, platform.TableCalls, cl.key, cl.record)
		if err == nil {
			cl.version = version
			return cl, nil, nil
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return c.settle(ctx, cl)
		}
		pause(claimCtx, claimPause)
		if claimCtx.Err() != nil {
			c.node.background.Go(func() { c.node.withdraw(cl) })
			return nil, nil, storeUnavailable(err)
		}
	}
}

func storeUnavailable(err error) *refusal.Error {
	return refusal.New(refusal.StoreUnavailable, "send the call again with the same key after the time in Retry-After", "the call could not be recorded (%v)", err).After(5 * time.Second)
}

// settle decides about a key that has a record already.
func (c *serviceCall) settle(ctx context.Context, cl *claim) (*claim, *once.Answer, error) {
	deadline := time.Now().Add(claimTimeout)
	for {
		row, found, err := c.node.readRecord(ctx, cl.key)
		if err != nil && time.Now().After(deadline) || ctx.Err() != nil {
			c.node.background.Go(func() { c.node.withdraw(cl) })
			return nil, nil, storeUnavailable(err)
		}
		if err != nil {
			pause(ctx, claimPause)
			continue
		}
		switch once.Decide(found, cl.record.Attempt, cl.record.Fingerprint, time.Now()) {
		case once.Run:
			cl.version = row.Version
			return cl, nil, nil
		case once.Replay:
			return nil, found.Answer, truncated(found)
		case once.Mismatch:
			return nil, nil, refusal.New(refusal.IdempotencyKeyReused, "use a fresh key for a new call", "the key was used for another call")
		case once.Unknown:
			return nil, nil, c.unknown(refusal.OutcomeUnknown, "an earlier attempt with this key ended without a known outcome")
		case once.Replace:
			// A conflict or a lost answer shows in the next look at the row.
			if version, err := c.node.store.Replace(ctx, platform.TableCalls, cl.key, row.Version, cl.record); err == nil {
				cl.version = version
				return cl, nil, nil
			}
		case once.Wait:
			if time.Now().After(deadline) {
				return nil, nil, c.unknown(refusal.CallInProgress, "an earlier attempt with this key is still running")
			}
		}
		pause(ctx, waitPause)
	}
}

func (c *serviceCall) unknown(kind refusal.Kind, detail string) error {
	e := refusal.New(kind, "look the outcome up", "%s", detail).Ran().After(5 * time.Second)
	e.Lookup = c.lookup()
	return e
}

func truncated(r once.Record) error {
	if r.Answer == nil || !r.Answer.Truncated {
		return nil
	}
	return refusal.New(refusal.OutcomeUnknown, "the call has run; ask the service for its result", "the call was answered with status %d, but its answer was too large to keep", r.Answer.Status).Ran()
}

func (n *Node) readRecord(ctx context.Context, key string) (platform.Row, once.Record, error) {
	row, err := n.store.Get(ctx, platform.TableCalls, key)
	if err != nil {
		return row, once.Record{}, err
	}
	var r once.Record
	return row, r, json.Unmarshal(row.Value, &r)
}

// runClaimed sends a recorded call. A caller that leaves does not stop it,
// since its outcome has to be recorded.
func (c *serviceCall) runClaimed(ctx context.Context, cl *claim) (*caller.ServiceAnswer, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTimeout)
	defer cancel()
	answer, err := c.tryUpstreams(runCtx)
	if err == nil {
		c.node.record(ctx, cl, cl.record.Finish(answer))
		return &caller.ServiceAnswer{Answer: answer, Upstream: c.upstream}, nil
	}
	refused := serviceRefusal(err, c.lookup())
	if refused.Run == refusal.NotRun {
		c.node.record(ctx, cl, cl.record.Abandon())
	}
	return nil, refused
}

// record writes what became of a call. It returns after recordTimeout at the
// latest and goes on writing in the background.
func (n *Node) record(ctx context.Context, cl *claim, r once.Record) {
	done := make(chan struct{})
	n.background.Go(func() {
		defer close(done)
		n.settleRecord(cl, r)
	})
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settleRecord replaces the claim's row until the platform has said that it
// holds the outcome.
func (n *Node) settleRecord(cl *claim, r once.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	version := cl.version
	for {
		_, err := n.store.Replace(ctx, platform.TableCalls, cl.key, version, r)
		if err == nil {
			return
		}
		if row, found, readErr := n.readRecord(ctx, cl.key); readErr == nil {
			if found.Attempt != cl.record.Attempt || found.State != once.Running {
				return
			}
			version = row.Version
		}
		if ctx.Err() != nil {
			n.log.WithError(err).WithField("key", cl.key).Error("the outcome of a call could not be recorded and stays unknown")
			return
		}
		pause(ctx, claimPause)
	}
}

// withdraw makes sure that an attempt that was given up leaves no record that
// says it may have run, even when its insert takes effect late.
func (n *Node) withdraw(cl *claim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := n.store.Insert(ctx, platform.TableCalls, cl.key, cl.record.Abandon())
		var conflict *platform.ConflictError
		if err == nil {
			return
		}
		if errors.As(err, &conflict) {
			n.settleRecord(cl, cl.record.Abandon())
			return
		}
		pause(ctx, time.Second)
	}
}

// Outcome implements caller.Router.
func (n *Node) Outcome(ctx context.Context, organisation, service, key string) (*once.Record, error) {
	_, r, err := n.readRecord(ctx, callKey(organisation, service, key))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeUnavailable(err)
	}
	return &r, nil
}
