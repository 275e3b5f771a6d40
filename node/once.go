package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"banyanyard/core/idempotency"
	"banyanyard/core/refusal"
	"banyanyard/io/caller"
	"banyanyard/io/platform"
)

const (
	// recordTimeout bounds the wait of a caller for its answer's record.
	recordTimeout = 2 * time.Second
	// settleTimeout bounds the attempts to write what became of a call.
	settleTimeout = 10 * time.Minute
	// runTimeout bounds a call whose caller has left.
	runTimeout = 2 * time.Minute
	// storeRetryAfter is what a caller is told to wait when the table fails.
	storeRetryAfter = 5 * time.Second
)

// runOnce runs a non-idempotent call at most once for its key.
func (c *serviceCall) runOnce(ctx context.Context) (*caller.ServiceAnswer, error) {
	if err := checkKey(c.request.IdempotencyKey); err != nil {
		return nil, err
	}
	key := callKey(c.request.Organisation.ID, c.request.Service, c.request.IdempotencyKey)
	fingerprint := idempotency.Fingerprint(c.request.Method, c.request.EscapedPath+"?"+c.request.Query, c.request.Body)
	record := idempotency.NewRecord(c.attempt, fingerprint, time.Now().UTC())
	attempt, step := idempotency.NewAttempt(record, time.Now())
	var result idempotency.Result
	for step.Op < idempotency.RunCall {
		pause(ctx, jittered(step.After))
		if ctx.Err() != nil {
			step = idempotency.Step{Op: idempotency.GiveUp, Record: record}
			break
		}
		result = c.node.onTable(ctx, key, step)
		step = attempt.Next(time.Now(), result)
	}
	return c.end(ctx, key, record, step)
}

// end does what an attempt has decided.
func (c *serviceCall) end(ctx context.Context, key string, record idempotency.Record, step idempotency.Step) (*caller.ServiceAnswer, error) {
	switch step.Op {
	case idempotency.RunCall:
		return c.runClaimed(ctx, key, record, step.Version)
	case idempotency.SendStored:
		return &caller.ServiceAnswer{Answer: *step.Record.Answer, Replayed: true}, truncated(step.Record)
	case idempotency.RefuseKeyReuse:
		return nil, refusal.New(refusal.IdempotencyKeyReused, "use a fresh key for a new call", "the key was used for another call")
	case idempotency.RefuseInProgress:
		return nil, c.unknown(refusal.CallInProgress, "an earlier attempt with this key is still running")
	case idempotency.RefuseUnknown:
		return nil, c.unknown(refusal.OutcomeUnknown, "an earlier attempt with this key ended without a known outcome")
	}
	// An insert of this attempt may still take effect: the record must then say
	// that it has not run.
	c.node.background.Go(func() {
		settlement, first := idempotency.NewNotRunWriter(record)
		c.node.settle(key, settlement, first)
	})
	return nil, storeUnavailable(errTableFails)
}

var errTableFails = errors.New("the platform's table does not answer")

func checkKey(key string) error {
	if key == "" {
		return refusal.New(refusal.IdempotencyKeyMissing, "send a fresh Idempotency-Key with each new call, and the same one when you send it again", "this call is not idempotent and has no key")
	}
	if len(key) > idempotency.MaxKeyBytes {
		return refusal.New(refusal.BadRequest, "use a shorter key", "the idempotency key is longer than %d bytes", idempotency.MaxKeyBytes)
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

func (c *serviceCall) unknown(kind refusal.Kind, detail string) error {
	e := refusal.New(kind, "look the outcome up", "%s", detail).WithMayHaveRun().WithRetryAfter(storeRetryAfter)
	e.OutcomePath = c.lookup()
	return e
}

func storeUnavailable(err error) *refusal.Error {
	return refusal.New(refusal.StoreUnavailable, "send the call again with the same key after the time in Retry-After", "the call could not be recorded (%v)", err).WithRetryAfter(storeRetryAfter)
}

func truncated(r idempotency.Record) error {
	if !r.Answer.Truncated {
		return nil
	}
	return refusal.New(refusal.OutcomeUnknown, "the call has run; ask the service for its result", "the call was answered with status %d, but its answer was too large to keep", r.Answer.Status).WithMayHaveRun()
}

// onTable carries out a step on the platform's table.
func (n *Node) onTable(ctx context.Context, key string, s idempotency.Step) idempotency.Result {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Platform.Timeout))
	defer cancel()
	var r idempotency.Result
	var err error
	switch s.Op {
	case idempotency.Insert:
		r.Version, err = n.store.Insert(ctx, platform.TableCalls, key, s.Record)
	case idempotency.Rewrite:
		r.Version, err = n.store.Replace(ctx, platform.TableCalls, key, s.Version, s.Record)
	default:
		r.Version, r.Record, err = n.readRecord(ctx, key)
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		r.Status = idempotency.Exists
	case errors.Is(err, platform.ErrNotFound):
		r.Status = idempotency.Missing
	default:
		r.Status = idempotency.Indeterminate
	}
	return r
}

func (n *Node) readRecord(ctx context.Context, key string) (string, idempotency.Record, error) {
	row, err := n.store.Get(ctx, platform.TableCalls, key)
	if err != nil {
		return "", idempotency.Record{}, err
	}
	var r idempotency.Record
	return row.Version, r, json.Unmarshal(row.Value, &r)
}

// runClaimed sends a recorded call. A caller that leaves does not stop it,
// since its outcome has to be recorded.
func (c *serviceCall) runClaimed(ctx context.Context, key string, record idempotency.Record, version string) (*caller.ServiceAnswer, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTimeout)
	defer cancel()
	answer, err := c.tryUpstreams(runCtx)
	if err == nil {
		c.node.record(ctx, key, record.MarkDone(answer), version)
		return &caller.ServiceAnswer{Answer: answer, Upstream: c.upstream}, nil
	}
	refused := serviceRefusal(err, c.lookup())
	if refused.Execution == refusal.NotRun {
		c.node.record(ctx, key, record.MarkNotRun(), version)
	}
	return nil, refused
}

// record writes what became of a call. It returns after recordTimeout at the
// latest and goes on writing in the background.
func (n *Node) record(ctx context.Context, key string, r idempotency.Record, version string) {
	done := make(chan struct{})
	n.background.Go(func() {
		defer close(done)
		settlement, first := idempotency.NewOutcomeWriter(r, version)
		n.settle(key, settlement, first)
	})
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settle carries out the steps of an OutcomeWriter.
func (n *Node) settle(key string, s *idempotency.OutcomeWriter, step idempotency.Step) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for step.Op != idempotency.Finished {
		pause(ctx, jittered(step.After))
		if ctx.Err() != nil {
			n.log.WithField("key", key).Error("the outcome of a call could not be recorded and stays unknown")
			return
		}
		step = s.Next(n.onTable(ctx, key, step))
	}
}

// CallOutcome implements caller.Router.
func (n *Node) CallOutcome(ctx context.Context, organisation, service, key string) (*idempotency.Record, error) {
	_, r, err := n.readRecord(ctx, callKey(organisation, service, key))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeUnavailable(err)
	}
	return &r, nil
}
