package node

import (
	"context"
	"errors"

	"banyanyard/core/dispatch"
	"banyanyard/io/caller"
	"banyanyard/io/engine"
)

// release gives the slot back with what the attempt has shown about the
// upstream.
func (a *attempt) release(ctx context.Context, err error) {
	if a.ticket.Upstream() == nil {
		return
	}
	o := outcome(ctx, err)
	a.run.node.slots.release(a.ticket, o, a.firstToken)
	a.run.noteRun(err)
	a.noteCrash(ctx, err)
	a.noteEvidence(o)
}

// noteEvidence counts a run for the roll-outs. What the caller or an overloaded
// upstream ended says nothing about the version.
func (a *attempt) noteEvidence(o dispatch.Outcome) {
	switch o {
	case dispatch.Completed:
		a.run.node.rollouts.countRun(a.run.request.Rules, a.target, true, a.firstToken)
	case dispatch.Interrupted, dispatch.Failed:
		a.run.node.rollouts.countRun(a.run.request.Rules, a.target, false, 0)
	}
}

func outcome(ctx context.Context, err error) dispatch.Outcome {
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
	return dispatch.Interrupted
}
