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
	// recordTimeout is how long an answer waits for its outcome to be recorded.
	recordTimeout = 2 * time.Second
	// outcomeWriteTimeout is how long the outcome of a call is retried to be
	// written.
	outcomeWriteTimeout = 10 * time.Minute
	// claimedRunTimeout is the time limit of a recorded call, which continues when
	// its caller disconnects.
	claimedRunTimeout = 2 * time.Minute
	// storeRetryAfter is the Retry-After value when the table is unavailable.
	storeRetryAfter = 5 * time.Second
)

// runAtMostOnce runs a non-idempotent call at most once per idempotency key.
func (c *serviceCall) runAtMostOnce(ctx context.Context) (*caller.ServiceAnswer, error) {
	if err := checkIdempotencyKey(c.request.IdempotencyKey); err != nil {
		return nil, err
	}
	key := callRecordKey(c.request.Organisation.ID, c.request.Service, c.request.IdempotencyKey)
	fingerprint := idempotency.Fingerprint(c.request.Method, c.request.EscapedPath+"?"+c.request.Query, c.request.Body)
	record := idempotency.NewRecord(c.attemptID, fingerprint, time.Now().UTC())
	attempt, step := idempotency.NewAttempt(record, time.Now())
	var result idempotency.Result
	for step.Op < idempotency.RunCall {
		sleepContext(ctx, withJitter(step.After))
		if ctx.Err() != nil {
			step = idempotency.Step{Op: idempotency.GiveUp, Record: record}
			break
		}
		result = c.node.applyStep(ctx, key, step)
		step = attempt.Next(time.Now(), result)
	}
	return c.finish(ctx, key, record, step)
}

// finish carries out the final step of an idempotency.Attempt.
func (c *serviceCall) finish(ctx context.Context, key string, record idempotency.Record, step idempotency.Step) (*caller.ServiceAnswer, error) {
	switch step.Op {
	case idempotency.RunCall:
		return c.runClaimed(ctx, key, record, step.Version)
	case idempotency.SendStored:
		return &caller.ServiceAnswer{Answer: *step.Record.Answer, Replayed: true}, refuseTruncated(step.Record)
	case idempotency.RefuseKeyReuse:
		return nil, refusal.New(refusal.IdempotencyKeyReused, "use a fresh key for a new call", "the key was used for another call")
	case idempotency.RefuseInProgress:
		return nil, c.refuseWithOutcomePath(refusal.CallInProgress, "an earlier attempt with this key is still running")
	case idempotency.RefuseUnknown:
		return nil, c.refuseWithOutcomePath(refusal.OutcomeUnknown, "an earlier attempt with this key ended without a known outcome")
	}
	// The insert of this attempt may still take effect; the record must then say
	// that the call has not run.
	c.node.background.Go(func() {
		writer, first := idempotency.NewNotRunWriter(record)
		c.node.writeOutcome(key, writer, first)
	})
	return nil, storeUnavailable(errTableUnavailable)
}

var errTableUnavailable = errors.New("the platform's table is unavailable")

func checkIdempotencyKey(key string) error {
	if key == "" {
		return refusal.New(refusal.IdempotencyKeyMissing, "send a fresh Idempotency-Key with each new call, and the same one when you send it again", "this call is not idempotent and has no key")
	}
	if len(key) > idempotency.MaxKeyBytes {
		return refusal.New(refusal.BadRequest, "use a shorter key", "the idempotency key is longer than %d bytes", idempotency.MaxKeyBytes)
	}
	return nil
}

// callRecordKey returns the key of a call's record in the platform's table.
func callRecordKey(organisation, service, key string) string {
	return organisation + "/" + service + "/" + key
}

func (c *serviceCall) outcomePath() string {
	return "/services/" + url.PathEscape(c.request.Service) + "/calls/" + url.PathEscape(c.request.IdempotencyKey)
}

func (c *serviceCall) refuseWithOutcomePath(kind refusal.Kind, detail string) error {
	e := refusal.New(kind, "look the outcome up", "%s", detail).WithMayHaveRun().WithRetryAfter(storeRetryAfter)
	e.OutcomePath = c.outcomePath()
	return e
}

func storeUnavailable(err error) *refusal.Error {
	return refusal.New(refusal.StoreUnavailable, "send the call again with the same key after the time in Retry-After", "the call could not be recorded (%v)", err).WithRetryAfter(storeRetryAfter)
}

func refuseTruncated(r idempotency.Record) error {
	if !r.Answer.Truncated {
		return nil
	}
	return refusal.New(refusal.OutcomeUnknown, "the call has run; ask the service for its result", "the call was answered with status %d, but its answer was too large to keep", r.Answer.Status).WithMayHaveRun()
}

// applyStep carries out one step on the platform's table. s.Op must be one that
// reads or writes the table.
func (n *Node) applyStep(ctx context.Context, key string, s idempotency.Step) idempotency.Result {
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

// runClaimed runs a call whose record this attempt has inserted. The call
// continues when its caller disconnects, since its outcome has to be recorded.
func (c *serviceCall) runClaimed(ctx context.Context, key string, record idempotency.Record, version string) (*caller.ServiceAnswer, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimedRunTimeout)
	defer cancel()
	answer, err := c.tryUpstreams(runCtx)
	if err == nil {
		c.node.recordOutcome(ctx, key, record.MarkDone(answer), version)
		return &caller.ServiceAnswer{Answer: answer, Upstream: c.upstream}, nil
	}
	refused := serviceRefusal(err, c.outcomePath())
	if refused.Execution == refusal.NotRun {
		c.node.recordOutcome(ctx, key, record.MarkNotRun(), version)
	}
	return nil, refused
}

// recordOutcome writes the outcome of a call. It returns after recordTimeout at
// the latest; the writing then continues in the background.
func (n *Node) recordOutcome(ctx context.Context, key string, r idempotency.Record, version string) {
	done := make(chan struct{})
	n.background.Go(func() {
		defer close(done)
		writer, first := idempotency.NewOutcomeWriter(r, version)
		n.writeOutcome(key, writer, first)
	})
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeOutcome carries out the steps of w, beginning with step, until the outcome
// is written or outcomeWriteTimeout has passed.
func (n *Node) writeOutcome(key string, w *idempotency.OutcomeWriter, step idempotency.Step) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWriteTimeout)
	defer cancel()
	for step.Op != idempotency.Finished {
		sleepContext(ctx, withJitter(step.After))
		if ctx.Err() != nil {
			n.log.WithField("key", key).Error("the outcome of a call could not be recorded and remains unknown")
			return
		}
		step = w.Next(n.applyStep(ctx, key, step))
	}
}

// CallOutcome implements caller.Router.
func (n *Node) CallOutcome(ctx context.Context, organisation, service, key string) (*idempotency.Record, error) {
	_, r, err := n.readRecord(ctx, callRecordKey(organisation, service, key))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeUnavailable(err)
	}
	return &r, nil
}
