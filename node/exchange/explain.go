package exchange

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/routing"
	"banyanyard/core/trial"
	"banyanyard/io/operator"
)

// maxListed bounds the names that an error lists.
const maxListed = 30

// Explain tells where a request would go now, and why, without sending it. It changes
// nothing: what it decides is decided on copies.
func (r *Router) Explain(q operator.ExplainQuery) (*operator.Explanation, error) {
	match, err := r.matchNamed(q)
	if err != nil {
		return nil, err
	}
	request, err := explainedRequest(q, &match)
	if err != nil {
		return nil, err
	}
	x := &operator.Explanation{
		Instance: r.instance, Table: match.Table.Version, Route: match.Route.Name, Kind: match.Route.Kind.String(),
		Organisation: request.Organisation, Priority: request.Priority, Service: request.Service,
	}
	if len(match.Route.Split) > 1 {
		for _, s := range match.Route.Split {
			x.Services = append(x.Services, s.Service+":"+strconv.Itoa(s.Weight))
		}
	}
	e := &execution{router: r, request: request}
	if !request.CallerModel {
		e.models = match.Route.Models
	}
	x.Model, x.ModelWhy = explainModel(q, e)
	e.explain(x)
	return x, nil
}

// matchNamed finds the route and the organisation of a request. It takes the key of the
// organisation that is named, so that no key is asked for or shown.
func (r *Router) matchNamed(q operator.ExplainQuery) (Match, error) {
	key := ""
	if t := r.Table(); t != nil && q.Organisation != "" {
		i := slices.IndexFunc(t.Organisations, func(o routing.Organisation) bool { return o.Name == q.Organisation })
		if i < 0 {
			return Match{}, fmt.Errorf("organisation %q is not known: use one of %s", q.Organisation, list(t.Organisations, func(o routing.Organisation) string { return o.Name }))
		}
		if len(t.Organisations[i].Keys) == 0 {
			return Match{}, fmt.Errorf("organisation %q has no API key: its requests are refused", q.Organisation)
		}
		key = t.Organisations[i].Keys[0]
	}
	m, refused := r.Match(q.Host, q.Path, key)
	switch {
	case refused == nil:
		return m, nil
	case refused.Kind == refusal.ServiceNotFound:
		return m, fmt.Errorf("no route of host %q matches the path %q: use one of %s", q.Host, q.Path, list(m.Table.Routes, func(o routing.Route) string { return o.Host + o.Prefix }))
	case refused.Kind == refusal.UnknownKey:
		return m, fmt.Errorf("route %q is not public: name one of the organisations %s", m.Route.Name, list(m.Table.Organisations, func(o routing.Organisation) string { return o.Name }))
	}
	return m, fmt.Errorf("%s: %s", refused.Detail, refused.Remedy)
}

// list returns up to maxListed names, separated by commas.
func list[T any](all []T, name func(T) string) string {
	var names []string
	for _, one := range all[:min(len(all), maxListed)] {
		names = append(names, name(one))
	}
	if len(all) > maxListed {
		names = append(names, fmt.Sprintf("and %d others", len(all)-maxListed))
	}
	return strings.Join(names, ", ")
}

// explainedRequest returns the request that a query describes.
func explainedRequest(q operator.ExplainQuery, m *Match) (*Request, error) {
	now := time.Now()
	request := &Request{
		ID: q.Request, Route: m.Route, Priority: m.Priority(), TableVersion: m.Table.Version,
		Host: q.Host, Target: q.Path, Session: q.Session, Arrived: now, Deadline: now.Add(m.Route.Timeout),
		Prompt: Prompt{Tokens: q.PromptTokens}, OutputHint: q.OutputTokens,
		CallerModel: len(m.Route.Models) > 0 && q.Model != "",
	}
	if m.Organisation != nil {
		request.Organisation = m.Organisation.Name
	}
	request.Service = m.Route.PickService(q.Request)
	if q.Request == "" {
		request.Service = slices.MaxFunc(m.Route.Split, func(a, b routing.Share) int { return a.Weight - b.Weight }).Service
	}
	sum := 0
	for part := range strings.SplitSeq(q.Parts, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		id, count, ok := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if !ok || id == "" || err != nil || tokens < 0 {
			return nil, fmt.Errorf("prompt part %q cannot be read: write ID:TOKENS, separated by commas", part)
		}
		request.Prompt.Parts = append(request.Prompt.Parts, PromptPart{ID: id, Tokens: tokens})
		sum += tokens
	}
	if request.Prompt.Tokens == 0 {
		request.Prompt.Tokens = sum
	}
	return request, nil
}

// explainModel returns the model that would be asked first, and why.
func explainModel(q operator.ExplainQuery, e *execution) (model, why string) {
	switch {
	case len(e.request.Route.Models) == 0:
		return "", "the route chooses no model"
	case e.request.CallerModel:
		return q.Model, "the caller names it"
	case len(e.models) == 1:
		return e.model(), "the only one of the route"
	case !e.request.Route.Kind.Repeatable():
		return e.model(), "the smallest of " + strings.Join(e.models, ", ") + "; the kind may run once only, so that no larger one is asked"
	}
	return e.model(), "the smallest of " + strings.Join(e.models, ", ") + " is asked first, a larger one if its confidence is too low"
}

// explain adds to x what would be decided on the request before its first attempt.
func (e *execution) explain(x *operator.Explanation) {
	criteria := e.placementCriteria()
	view := e.router.explainView(e.request, criteria)
	x.Version = view.version
	criteria.AcceptsVersion = view.accepts
	placed := view.router.fleet.Explain(time.Now(), criteria)
	x.Rule, x.Draws, x.NewsKnown = string(placed.Rule), placed.Draws, placed.NewsKnown
	for i := range placed.Candidates {
		x.Candidates = append(x.Candidates, explainedCandidate(&placed.Candidates[i]))
	}
	if found := e.router.crashes.suspicion(e); found.verdict != nil || found.wait {
		explainSuspicion(x, found)
		return
	}
	if refused := e.refuseLate(); refused != nil {
		refuse(x, refused)
		return
	}
	e.explainPlacement(x, &placed, &execution{router: view.router, request: e.request, models: e.models})
}

// explainPlacement tells whether the request would be sent, held or refused. The execution on
// copies decides on a refusal.
func (e *execution) explainPlacement(x *operator.Explanation, placed *placement.Explanation, onCopies *execution) {
	wait := time.Duration(queueObjectiveFactor * float64(e.request.Route.LatencyObjective))
	switch {
	case placed.Result == placement.Picked:
		best := &placed.Candidates[0]
		x.Outcome, x.Upstream = "sent", best.Upstream.ID
		x.Why = fmt.Sprintf("%s (%s)", x.Rule, ruleTexts[placed.Rule])
		return
	case placed.Result == placement.NoUpstream && e.router.upstreamsKnown.Load():
		refuse(x, e.noUpstreamError(placed.Result))
		return
	case placed.Result == placement.UpstreamsBusy:
		if refused := onCopies.refuseBusy(placed.Result, time.Now().Add(wait)); refused != nil {
			refuse(x, refused)
			return
		}
	}
	x.Outcome, x.HeldMs = "held", operator.Milliseconds(wait)
	x.Why = "it waits for an upstream, and is refused if none is ready by then"
	if placed.Result == placement.NoUpstream {
		x.Why = "not all registrations have been read yet; " + x.Why
	}
}

// ruleTexts explain what decides among the upstreams that are left.
var ruleTexts = map[placement.Rule]string{
	placement.ByIsolation: "the request may crash its upstream, and goes where the fewest others run",
	placement.ByAffinity:  "the first upstream in the order of the shared prompt part, unless it is loaded more than others",
	placement.ByLoad:      "the less loaded of two, by the load of all instances; this failure domain first",
	placement.ByOwn:       "the fewest attempts of this instance; this failure domain first",
}

func refuse(x *operator.Explanation, refused *refusal.Error) {
	x.Outcome, x.Why, x.RetryAfterMs = "refused", fmt.Sprintf("%s: %s", refused.Kind, refused.Detail), operator.Milliseconds(refused.RetryAfter)
}

func explainSuspicion(x *operator.Explanation, found suspicion) {
	if found.verdict == nil {
		x.Outcome, x.Why = "held", "it is being decided whether requests like it crash upstreams"
		return
	}
	x.Outcome, x.RetryAfterMs = "refused", operator.Milliseconds(found.retryAfter)
	x.Why = fmt.Sprintf("%d upstreams crashed while they ran requests with %s; a probe would be sent if one is due", found.verdict.Crashes, publicTraits(found.verdict.Traits))
}

func explainedCandidate(c *placement.Candidate) operator.ExplainCandidate {
	forMs := operator.Milliseconds(c.Wait)
	if c.Wait < 0 {
		forMs = -1
	}
	return operator.ExplainCandidate{
		Upstream: c.Upstream.ID, FailureDomain: c.Upstream.FailureDomain, Version: c.Upstream.Version,
		Excluded: string(c.Excluded), ForMs: forMs, Chance: c.Chance, Cold: c.Cold,
		Load: c.Load, Running: c.Running, AgeMs: operator.Milliseconds(c.LoadAge),
	}
}

// An explainView is a router with copies of what decides on a request of one service.
type explainView struct {
	router  *Router
	accepts func(version string) bool // versions that may get the request; nil for all
	version string                    // why
}

// explainView chooses the version for a request on copies, as Router.pick does.
func (r *Router) explainView(q *Request, c placement.Criteria) explainView {
	r.mu.Lock()
	defer r.mu.Unlock()
	scratch := New(r.instance, "")
	scratch.table.Store(r.table.Load())
	scratch.fleet = r.fleet.Copy(q.Service)
	view := explainView{router: scratch, version: "any"}
	ordered := r.trials[q.Service]
	withdrawn := r.withdrawnTrials[q.Service]
	history := r.histories[q.Service]
	if history == nil {
		return view
	}
	copied := history.Clone()
	scratch.histories[q.Service] = &copied
	var t *trial.Trial
	switch {
	case ordered != nil:
		t = ordered.CopyFor(q.Session)
		scratch.trials[q.Service] = t
	case withdrawn != nil:
		t = withdrawn.CopyFor(q.Session)
		scratch.withdrawnTrials[q.Service] = t
	}
	choice := versionChoice{}
	slot, _ := scratch.pick(q, c, &choice)
	scratch.fleet = r.fleet.Copy(q.Service) // the choice has used the other one
	if ordered == nil {
		view.accepts, view.version = scratch.explainInForce(q.Service, slot)
		return view
	}
	view.accepts, view.version = scratch.explainVersion(t, choice)
	return view
}

// explainVersion returns the versions that may get a request for which a trial has made a
// choice, and why.
func (r *Router) explainVersion(t *trial.Trial, choice versionChoice) (accepts func(string) bool, why string) {
	state, _ := t.State()
	to := t.Order.To
	if choice.toNew {
		return func(v string) bool { return v == to }, fmt.Sprintf("%s, by the roll-out to it (%s)", to, state)
	}
	return r.acceptsInForce(time.Now(), t.Order.Service, to), fmt.Sprintf("not %s, by the roll-out to it (%s)", to, state)
}

// explainInForce returns the versions that may get a request to a service without an order,
// and why, where slot is what the request would get.
func (r *Router) explainInForce(service string, slot *placement.Slot) (accepts func(string) bool, why string) {
	accepts = r.acceptsInForce(time.Now(), service, "")
	withdrawn := r.withdrawnTrials[service]
	current := r.history(service).Current()
	switch {
	case slot != nil && !accepts(slot.Upstream.Version):
		return nil, "any"
	case current != "":
		return accepts, fmt.Sprintf("%s, to which the service was moved last", current)
	case withdrawn != nil:
		return accepts, fmt.Sprintf("not %s, whose order was withdrawn", withdrawn.Order.To)
	}
	return accepts, "one that no order was for"
}
