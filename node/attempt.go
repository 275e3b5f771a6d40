package node

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/io/caller"
	"banyanyard/io/engine"
)

// maxResumes is how often a broken stream is resumed at its engine. Streams that
// were stopped for a slow reader are resumed without limit: each resume follows
// after the caller has emptied its buffer, so the stream always makes progress.
const maxResumes = 2

// An attempt sends a completion to one upstream.
type attempt struct {
	completion    *completion
	target        rules.Target
	ticket        *dispatch.Ticket
	engineAttempt engine.Attempt
	firstToken    time.Duration // from the grant of the slot to the first token; 0 until then
	lastEventID   string        // the last event written to the caller's buffer
}

// fetchWhole returns the complete, unstreamed answer of a target.
func (r *completion) fetchWhole(ctx context.Context, t rules.Target) ([]byte, caller.AnswerMetadata, error) {
	var body []byte
	var meta caller.AnswerMetadata
	err := r.tryUpstreams(ctx, t, func(ctx context.Context, a *attempt) error {
		answer, err := a.open(ctx, false)
		if err != nil {
			return err
		}
		defer answer.Close()
		body, err = answer.ReadAll()
		if err != nil {
			return err
		}
		a.firstToken = time.Since(a.ticket.GrantedAt())
		meta = a.answerMetadata()
		r.addUsage(t, answer.Usage())
		return nil
	})
	return body, meta, err
}

// streamAnswer streams the answer of a target to the caller.
func (r *completion) streamAnswer(ctx context.Context, t rules.Target) error {
	return r.tryUpstreams(ctx, t, func(ctx context.Context, a *attempt) error {
		answer, err := a.open(ctx, true)
		if err != nil {
			return err
		}
		err = a.relayStream(ctx, answer)
		answer.Close()
		if err = a.resumeUntilComplete(ctx, err); err != nil {
			return err
		}
		r.commitCharge(ctx)
		r.out.EndStream()
		return nil
	})
}

// tryUpstreams runs f at one upstream after another until it succeeds, the
// answer has begun, or the failure can't be retried.
func (r *completion) tryUpstreams(ctx context.Context, t rules.Target, f func(context.Context, *attempt) error) error {
	avoid := ""
	for {
		if err := r.refuseSuspect(); err != nil {
			return err
		}
		a := &attempt{completion: r, target: t, ticket: r.newTicket(ctx, t, avoid)}
		if err := r.node.slots.acquire(ctx, a.ticket); err != nil {
			return err
		}
		r.attempts++
		avoid = a.ticket.Upstream().ID
		r.node.retryBudgets.recordSent(avoid)
		err := f(ctx, a)
		a.releaseSlot(ctx, err)
		if err == nil || r.answerBegun || !r.waitForRetry(ctx, err, avoid) {
			return err
		}
	}
}

// newTicket returns a request for a slot at an upstream of t, preferably not at
// avoid.
func (r *completion) newTicket(ctx context.Context, t rules.Target, avoid string) *dispatch.Ticket {
	answer := r.request.MaxTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	deadline, _ := ctx.Deadline()
	return &dispatch.Ticket{
		Organisation:  r.request.Organisation.ID,
		Weight:        r.request.Organisation.Weight,
		Priority:      r.plan.Priority(),
		Pool:          dispatch.PoolKey{Target: t},
		Tokens:        r.request.PromptTokens + answer,
		Deadline:      deadline,
		AvoidUpstream: avoid,
		Suspect:       r.isSuspect(),
	}
}

// waitForRetry reports whether the request may be sent again after err, and if
// so waits for the retry delay first.
func (r *completion) waitForRetry(ctx context.Context, err error, failed string) bool {
	return retryable(err) && r.node.backOff(ctx, r.request.Organisation.ID, failed, r.attempts)
}

// retryable reports whether a completion may run again after err. A completion
// has no effects outside the engine, so any broken answer may be retried while
// the caller has received nothing of it.
func retryable(err error) bool {
	var rejected *engine.RejectedError
	var refused *refusal.Error
	return !errors.As(err, &rejected) && !errors.As(err, &refused) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

func (a *attempt) open(ctx context.Context, stream bool) (*engine.Response, error) {
	body := a.completion.engineBody(a.target, stream)
	u := a.ticket.Upstream()
	timeouts := &a.completion.node.settings.Timeouts
	a.engineAttempt = engine.Attempt{
		ID: rand.Text(), Upstream: u.ID, Address: u.Address, Target: a.target, Body: body, Stream: stream,
		ChunkTimeout: time.Duration(timeouts.Gap),
		// After a failure, a crash must be told from the end of an idle connection.
		NewConn: a.completion.attempts > 1 || a.completion.isSuspect(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.engineAttempt.Timeout = time.Until(deadline)
	}
	if stream {
		a.engineAttempt.FirstByteTimeout = time.Duration(timeouts.FirstByte)
	}
	return a.completion.node.engines.Start(ctx, a.engineAttempt)
}

func (a *attempt) answerMetadata() caller.AnswerMetadata {
	return caller.AnswerMetadata{
		Target:    a.target,
		Upstream:  a.engineAttempt.Upstream,
		Revision:  a.completion.request.Revision,
		MovedFrom: a.completion.plan.MovedFrom,
		Session:   a.completion.request.Session,
	}
}

// relayStream sends the answer's events to the caller until the answer is
// complete.
func (a *attempt) relayStream(ctx context.Context, answer *engine.Response) error {
	r := a.completion
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			r.addUsage(a.target, answer.Usage())
			return nil
		}
		if err != nil {
			return err
		}
		if a.firstToken == 0 {
			a.firstToken = time.Since(a.ticket.GrantedAt())
		}
		if !r.answerBegun {
			r.beginAnswer(ctx, a.answerMetadata())
		}
		if answer.RecordUsage(data) && !r.request.IncludeUsage {
			continue
		}
		if err := r.out.SendEvent(data); err != nil {
			return err
		}
		a.lastEventID = answer.LastEventID()
		r.observeEventGap()
	}
}

func (r *completion) observeEventGap() {
	now := time.Now()
	r.eventGap.Observe(now.Sub(r.lastEventAt).Seconds())
	r.lastEventAt = now
}

// resumeUntilComplete handles err, which ended a stream that has begun: it
// resumes the stream as often as needed. It returns nil when the stream is
// complete, or the error after which it can't be resumed.
func (a *attempt) resumeUntilComplete(ctx context.Context, err error) error {
	for breaks := 0; err != nil && a.completion.answerBegun; {
		var slow *caller.SlowReaderError
		if !errors.As(err, &slow) {
			breaks++
		}
		if breaks > maxResumes || a.lastEventID == "" || ctx.Err() != nil || !resumable(err) {
			return err
		}
		answer, resumeErr := a.resume(ctx, err)
		if resumeErr != nil {
			return err
		}
		err = a.relayStream(ctx, answer)
		answer.Close()
	}
	return err
}

// resume reopens a stream that broke, or that was stopped for a slow reader, at
// the same engine, after the last event written to the caller's buffer.
func (a *attempt) resume(ctx context.Context, broken error) (*engine.Response, error) {
	a.releaseSlot(ctx, broken)
	if err := a.completion.out.WaitEmpty(ctx); err != nil {
		return nil, err
	}
	ticket := a.completion.newTicket(ctx, a.target, "")
	ticket.OnlyUpstream = a.engineAttempt.Upstream
	if err := a.completion.node.slots.acquire(ctx, ticket); err != nil {
		return nil, err
	}
	a.ticket = ticket
	resumed := a.engineAttempt
	resumed.LastEventID = a.lastEventID
	resumed.FirstByteTimeout = resumed.ChunkTimeout
	return a.completion.node.engines.Start(ctx, resumed)
}

// resumable reports whether a stream that ended with err can be resumed.
func resumable(err error) bool {
	var slow *caller.SlowReaderError
	var timeout *engine.TimeoutError
	var broken *engine.BrokenError
	return errors.As(err, &slow) || errors.As(err, &timeout) || errors.As(err, &broken)
}
