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

// serviceTokens is what a call of a plain service holds of an upstream's
// tokens.
const serviceTokens = 1

// A serviceCall is one call of a plain service while it is answered.
type serviceCall struct {
	node     *Node
	request  *caller.ServiceCall
	rule     rules.ServiceCall
	attempt  string // identifier of the run, the same at every upstream
	upstream string // that answered
	attempts int
}

// CallService implements caller.Router.
func (n *Node) CallService(ctx context.Context, c *caller.ServiceCall) (*caller.ServiceAnswer, error) {
	if c.Rules.Services[c.Service] == nil || !c.Rules.ServiceAllowed(c.Organisation.ID, c.Service) {
		return nil, refusal.New(refusal.ServiceNotFound, "use a service that your operators allow", "organisation %q has no service %q", c.Organisation.ID, c.Service)
	}
	n.retries.request(c.Organisation.ID)
	call := &serviceCall{node: n, request: c, rule: c.Rules.MatchServiceCall(c.Service, c.Method, c.Path), attempt: rand.Text()}
	begin := time.Now()
	answer, err := call.run(ctx)
	n.metrics.of(c.Organisation.ID, c.Service).request.Observe(time.Since(begin).Seconds())
	if err != nil {
		n.observeCall(c, err)
		return nil, err
	}
	return answer, nil
}

func (n *Node) observeCall(c *caller.ServiceCall, err error) {
	kind := "left"
	var refused *refusal.Error
	if errors.As(err, &refused) {
		kind = string(refused.Kind)
	}
	n.metrics.refusals.WithLabelValues(c.Organisation.ID, kind).Inc()
	n.log.WithField("request", c.ID).WithField("organisation", c.Organisation.ID).WithField("service", c.Service).
		WithField("kind", kind).WithError(err).Info("not answered")
}

func (c *serviceCall) run(ctx context.Context) (*caller.ServiceAnswer, error) {
	if !c.rule.Idempotent {
		return c.runOnce(ctx)
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
		ticket := c.ticket(ctx, avoid)
		if err := c.node.slots.acquire(ctx, ticket); err != nil {
			return idempotency.Answer{}, err
		}
		c.attempts++
		avoid = ticket.Upstream().ID
		c.node.retries.sent(avoid)
		answer, err := c.send(ctx, ticket)
		c.node.slots.release(ticket, serviceOutcome(ctx, err), time.Since(ticket.GrantedAt()))
		if err == nil || !c.retry(ctx, err, avoid) {
			c.upstream = avoid
			return answer, err
		}
	}
}

func (c *serviceCall) ticket(ctx context.Context, avoid string) *dispatch.Ticket {
	deadline, _ := ctx.Deadline()
	return &dispatch.Ticket{
		Organisation:  c.request.Organisation.ID,
		Weight:        c.request.Organisation.Weight,
		Priority:      rules.Interactive,
		Pool:          dispatch.PoolKey{Service: c.request.Service},
		Tokens:        serviceTokens,
		Deadline:      deadline,
		AvoidUpstream: avoid,
	}
}

func (c *serviceCall) send(ctx context.Context, ticket *dispatch.Ticket) (idempotency.Answer, error) {
	u := ticket.Upstream()
	call := service.Call{
		AttemptID:            c.attempt,
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

// retry decides whether another upstream is tried: after a broken answer only
// when the call is idempotent.
func (c *serviceCall) retry(ctx context.Context, err error, failed string) bool {
	var notRun *service.NotRunError
	if !errors.As(err, &notRun) && !c.rule.Idempotent || ctx.Err() != nil {
		return false
	}
	return c.node.backOff(ctx, c.request.Organisation.ID, failed, c.attempts)
}

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
	return dispatch.Interrupted
}

// serviceRefusal turns the error that ended a call into what its caller sees.
func serviceRefusal(err error, lookup string) *refusal.Error {
	var own *refusal.Error
	if errors.As(err, &own) {
		return own
	}
	var notRun *service.NotRunError
	if errors.As(err, &notRun) {
		return refusal.New(refusal.NoUpstream, "send the call again after the time in Retry-After", "no upstream took the call (%v)", notRun.Cause).WithRetryAfter(time.Second)
	}
	e := refusal.New(refusal.OutcomeUnknown, "look the outcome up before you send the call again", "the answer broke off (%v)", err).WithMayHaveRun()
	if lookup == "" {
		e.Kind = refusal.UpstreamFailed
		e.Remedy = "send the call again"
	}
	e.OutcomePath = lookup
	return e
}
