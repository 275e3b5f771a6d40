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

// maxResumes bounds how often a broken stream is resumed at its engine. A stream
// that was stopped for a slow reader goes on each time that the caller has read
// everything, so that it always makes progress.
const maxResumes = 2

// An attempt is one run of a request at one upstream.
type attempt struct {
	run        *completion
	target     rules.Target
	ticket     *dispatch.Ticket
	start      engine.Attempt
	firstToken time.Duration // 0 until it has arrived
	delivered  string        // id of the newest event that the caller's buffer took
}

// whole returns the whole answer of a target.
func (r *completion) whole(ctx context.Context, t rules.Target) ([]byte, caller.AnswerMetadata, error) {
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
		meta = a.meta()
		r.spend(t, answer.Usage())
		return nil
	})
	return body, meta, err
}

// stream relays the answer of a target to the caller as it arrives.
func (r *completion) stream(ctx context.Context, t rules.Target) error {
	return r.tryUpstreams(ctx, t, func(ctx context.Context, a *attempt) error {
		answer, err := a.open(ctx, true)
		if err != nil {
			return err
		}
		err = a.relay(ctx, answer)
		answer.Close()
		if err = a.resumeWhileBroken(ctx, err); err != nil {
			return err
		}
		r.commit(ctx)
		r.out.EndStream()
		return nil
	})
}

// tryUpstreams runs f at one upstream after another until it succeeds or the
// failure can't be retried.
func (r *completion) tryUpstreams(ctx context.Context, t rules.Target, f func(context.Context, *attempt) error) error {
	avoid := ""
	for {
		if err := r.refuseCrasher(); err != nil {
			return err
		}
		a := &attempt{run: r, target: t, ticket: r.ticket(ctx, t, avoid)}
		if err := r.node.slots.acquire(ctx, a.ticket); err != nil {
			return err
		}
		r.attempts++
		avoid = a.ticket.Upstream().ID
		r.node.retries.sent(avoid)
		err := f(ctx, a)
		a.release(ctx, err)
		if err == nil || r.begun || !r.retry(ctx, err, avoid) {
			return err
		}
	}
}

func (r *completion) ticket(ctx context.Context, t rules.Target, avoid string) *dispatch.Ticket {
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
		Suspect:       r.suspect(),
	}
}

// retry decides whether another attempt follows the error, and waits before it.
func (r *completion) retry(ctx context.Context, err error, failed string) bool {
	return retryable(err) && r.node.backOff(ctx, r.request.Organisation.ID, failed, r.attempts)
}

// retryable reports whether a completion may run again after the error. A
// completion has no effect outside the engine, so that any broken answer
// qualifies while nothing of it has reached the caller.
func retryable(err error) bool {
	var rejected *engine.RejectedError
	var refused *refusal.Error
	return !errors.As(err, &rejected) && !errors.As(err, &refused) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

func (a *attempt) open(ctx context.Context, stream bool) (*engine.Response, error) {
	body := a.run.engineBody(a.target, stream)
	u := a.ticket.Upstream()
	timeouts := &a.run.node.settings.Timeouts
	a.start = engine.Attempt{
		ID: rand.Text(), Upstream: u.ID, Address: u.Address, Target: a.target, Body: body, Stream: stream,
		ChunkTimeout: time.Duration(timeouts.Gap),
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.start.Timeout = time.Until(deadline)
	}
	if stream {
		a.start.FirstByteTimeout = time.Duration(timeouts.FirstByte)
	}
	return a.run.node.engines.Start(ctx, a.start)
}

func (a *attempt) meta() caller.AnswerMetadata {
	return caller.AnswerMetadata{
		Target:    a.target,
		Upstream:  a.start.Upstream,
		Revision:  a.run.request.Revision,
		MovedFrom: a.run.plan.MovedFrom,
		Session:   a.run.request.Session,
	}
}

// relay passes pieces on until the answer is whole.
func (a *attempt) relay(ctx context.Context, answer *engine.Response) error {
	r := a.run
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			r.spend(a.target, answer.Usage())
			return nil
		}
		if err != nil {
			return err
		}
		if a.firstToken == 0 {
			a.firstToken = time.Since(a.ticket.GrantedAt())
		}
		if !r.begun {
			r.begin(ctx, a.meta())
		}
		if answer.RecordUsage(data) && !r.request.IncludeUsage {
			continue
		}
		if err := r.out.SendEvent(data); err != nil {
			return err
		}
		a.delivered = answer.LastEventID()
		r.observeGap()
	}
}

func (r *completion) observeGap() {
	now := time.Now()
	r.gap.Observe(now.Sub(r.lastAt).Seconds())
	r.lastAt = now
}

// resumeWhileBroken resumes a stream that the caller has begun to read until it
// is whole. It returns the error that can't be resumed from.
func (a *attempt) resumeWhileBroken(ctx context.Context, err error) error {
	for broken := 0; err != nil && a.run.begun; {
		var slow *caller.SlowReaderError
		if !errors.As(err, &slow) {
			broken++
		}
		if broken > maxResumes || a.delivered == "" || ctx.Err() != nil || !resumable(err) {
			return err
		}
		answer, resumeErr := a.resume(ctx, err)
		if resumeErr != nil {
			return err
		}
		err = a.relay(ctx, answer)
		answer.Close()
	}
	return err
}

// resume opens a stream that broke, or that was stopped because the caller did
// not read, at the same engine behind what the caller's buffer took.
func (a *attempt) resume(ctx context.Context, broken error) (*engine.Response, error) {
	a.release(ctx, broken)
	if err := a.run.out.WaitEmpty(ctx); err != nil {
		return nil, err
	}
	only := a.run.ticket(ctx, a.target, "")
	only.OnlyUpstream = a.start.Upstream
	if err := a.run.node.slots.acquire(ctx, only); err != nil {
		return nil, err
	}
	a.ticket = only
	again := a.start
	again.LastEventID = a.delivered
	again.FirstByteTimeout = again.ChunkTimeout
	return a.run.node.engines.Start(ctx, again)
}

func resumable(err error) bool {
	var slow *caller.SlowReaderError
	var silent *engine.TimeoutError
	var brk *engine.BrokenError
	return errors.As(err, &slow) || errors.As(err, &silent) || errors.As(err, &brk)
}
