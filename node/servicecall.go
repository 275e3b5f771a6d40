package node

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/idempotency"
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/io/caller"
	"banyanyard/io/service"
)

// serviceCallTokens is the number of an upstream's tokens that a service call
// occupies.
const serviceCallTokens = 1

// A serviceCall is the state of one call of a service, as opposed to a
// completion by a model.
type serviceCall struct {
	node      *Node
	request   *caller.ServiceCall
	rule      rules.ServiceCall
	attemptID string // the same at every upstream
	upstream  string // the last one that was tried
	attempts  int
}

// CallService implements caller.Router.
func (n *Node) CallService(ctx context.Context, c *caller.ServiceCall) (*caller.ServiceAnswer, error) {
	if c.Rules.Services[c.Service] == nil || !c.Rules.ServiceAllowed(c.Organisation.ID, c.Service) {
		return nil, refusal.New(refusal.ServiceNotFound, "use a service that your operators allow", "organisation %q has no service %q", c.Organisation.ID, c.Service)
	}
	n.retryBudgets.recordRequest(c.Organisation.ID)
	call := &serviceCall{node: n, request: c, rule: c.Rules.MatchServiceCall(c.Service, c.Method, c.Path), attemptID: rand.Text()}
	begin := time.Now()
	answer, err := call.run(ctx)
	n.metrics.forClass(c.Organisation.ID, c.Service).request.Observe(time.Since(begin).Seconds())
	if err != nil {
		n.recordCallRefusal(c, err)
		return nil, err
	}
	return answer, nil
}

func (n *Node) recordCallRefusal(c *caller.ServiceCall, err error) {
	kind := "left"
	var refused *refusal.Error
	if errors.As(err, &refused) {
		kind = string(refused.Kind)
	}
	n.metrics.refusals.WithLabelValues(c.Organisation.ID, kind).Inc()
	n.log.WithField("request", c.ID).WithField("organisation", c.Organisation.ID).WithField("service", c.Service).
		WithField("kind", kind).WithError(err).Info("service call was not answered")
}

func (c *serviceCall) run(ctx context.Context) (*caller.ServiceAnswer, error) {
	if !c.rule.Idempotent {
		return c.runAtMostOnce(ctx)
	}
	answer, err := c.tryUpstreams(ctx)
	if err != nil {
		return nil, serviceRefusal(err, "")
	}
	return &caller.ServiceAnswer{Answer: answer, Upstream: c.upstream}, nil
}

// tryUpstreams sends the call to one upstream after another until one answers
// or may have run it.
func (c *serviceCall) tryUpstreams(ctx context.Context) (idempotency.Answer, error) {
	avoid := ""
	for {
		ticket := c.newTicket(ctx, avoid)
		if err := c.node.slots.acquire(ctx, ticket); err != nil {
			return idempotency.Answer{}, err
		}
		c.attempts++
		avoid = ticket.Upstream().ID
		c.node.retryBudgets.recordSent(avoid)
		answer, err := c.send(ctx, ticket)
		c.node.slots.release(ticket, serviceOutcome(ctx, err), time.Since(ticket.GrantedAt()))
		if err == nil || !c.waitForRetry(ctx, err, avoid) {
			c.upstream = avoid
			return answer, err
		}
	}
}

// newTicket returns a request for a slot at an upstream of the service,
// preferably not at avoid.
func (c *serviceCall) newTicket(ctx context.Context, avoid string) *dispatch.Ticket {
	deadline, _ := ctx.Deadline()
	return &dispatch.Ticket{
		Organisation:  c.request.Organisation.ID,
		Weight:        c.request.Organisation.Weight,
		Priority:      rules.Interactive,
		Pool:          dispatch.PoolKey{Service: c.request.Service},
		Tokens:        serviceCallTokens,
		Deadline:      deadline,
		AvoidUpstream: avoid,
	}
}

func (c *serviceCall) send(ctx context.Context, ticket *dispatch.Ticket) (idempotency.Answer, error) {
	u := ticket.Upstream()
	call := service.Call{
		AttemptID:            c.attemptID,
		Upstream:             u.ID,
		Address:              u.Address,
		Method:               c.request.Method,
		Path:                 c.request.EscapedPath,
		Query:                c.request.Query,
		Header:               c.request.Header,
		Body:                 c.request.Body,
		Idempotent:           c.rule.Idempotent,
		IdempotencyKey:       c.request.IdempotencyKey,
		RefusesBeforeRunning: c.request.Rules.Services[c.request.Service].RefusesBeforeRunning,
	}
	return c.node.services.Do(ctx, call)
}

// waitForRetry reports whether another upstream is tried after err, and if so
// waits for the retry delay first. A call that may have run is retried only when
// it is idempotent.
func (c *serviceCall) waitForRetry(ctx context.Context, err error, failed string) bool {
	var notRun *service.NotRunError
	if !errors.As(err, &notRun) && !c.rule.Idempotent || ctx.Err() != nil {
		return false
	}
	return c.node.backOff(ctx, c.request.Organisation.ID, failed, c.attempts)
}

// serviceOutcome returns what a call that ended with err shows about its
// upstream.
func serviceOutcome(ctx context.Context, err error) dispatch.Outcome {
	var notRun *service.NotRunError
	switch {
	case err == nil:
		return dispatch.Completed
	case errors.As(err, &notRun) && notRun.Unreachable:
		return dispatch.Unreachable
	case errors.As(err, &notRun):
		return dispatch.Refused
	case ctx.Err() != nil:
		return dispatch.Canceled
	}
	return dispatch.Broken
}

// serviceRefusal converts the error that ended a call to the refusal sent to the
// caller. outcomePath is where the caller can look the outcome up; it is empty
// for idempotent calls.
func serviceRefusal(err error, outcomePath string) *refusal.Error {
	var own *refusal.Error
	if errors.As(err, &own) {
		return own
	}
	var notRun *service.NotRunError
	if errors.As(err, &notRun) {
		return refusal.New(refusal.NoUpstream, "send the call again after the time in Retry-After", "no upstream accepted the call (%v)", notRun.Cause).WithRetryAfter(time.Second)
	}
	e := refusal.New(refusal.OutcomeUnknown, "look the outcome up before you send the call again", "the answer was interrupted (%v)", err).WithMayHaveRun()
	if outcomePath == "" {
		e.Kind = refusal.UpstreamFailed
		e.Remedy = "send the call again"
	}
	e.OutcomePath = outcomePath
	return e
}
