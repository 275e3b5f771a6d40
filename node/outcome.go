package node

import (
	"context"
	"errors"

	"banyanyard/core/dispatch"
	"banyanyard/io/caller"
	"banyanyard/io/engine"
)

// releaseSlot releases the attempt's slot and records how the attempt ended. It
// does nothing if the attempt has no upstream.
func (a *attempt) releaseSlot(ctx context.Context, err error) {
	if a.ticket.Upstream() == nil {
		return
	}
	o := attemptOutcome(ctx, err)
	a.completion.node.slots.release(a.ticket, o, a.firstToken)
	a.completion.noteMayHaveRun(err)
	a.recordCrash(ctx, err)
	a.recordRolloutRun(o)
}

// recordRolloutRun counts a run for the roll-outs. Runs that ended because of the
// caller or an overloaded upstream say nothing about the version and don't count.
func (a *attempt) recordRolloutRun(o dispatch.Outcome) {
	switch o {
	case dispatch.Completed:
		a.completion.node.rollouts.recordRun(a.completion.request.Rules, a.target, true, a.firstToken)
	case dispatch.Broken, dispatch.Failed:
		a.completion.node.rollouts.recordRun(a.completion.request.Rules, a.target, false, 0)
	}
}

// attemptOutcome returns what an attempt that ended with err shows about its
// upstream.
func attemptOutcome(ctx context.Context, err error) dispatch.Outcome {
	var unreachable *engine.UnreachableError
	var refused *engine.RefusedError
	var rejected *engine.RejectedError
	var slow *caller.SlowReaderError
	var broken *engine.BrokenError
	switch {
	case err == nil, errors.As(err, &rejected):
		return dispatch.Completed
	case ctx.Err() != nil, errors.As(err, &slow), errors.As(err, &broken) && broken.Stale:
		return dispatch.Canceled
	case errors.As(err, &broken) && broken.Status != 0:
		return dispatch.Failed
	case errors.As(err, &unreachable):
		return dispatch.Unreachable
	case errors.As(err, &refused):
		return dispatch.Refused
	}
	return dispatch.Broken
}
