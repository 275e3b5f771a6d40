// Package resolver decides which model versions may answer a request.
//
// The decision depends on one immutable rules.Set, the caller's session and the
// state of the roll-outs. It does not allocate for a session that keeps its
// versions, so that its cost does not depend on the garbage collector.
//
// Invariant: in the set that a Plan was made from, the organisation may use every
// target of the plan, and no target is withdrawn.
package resolver

import (
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/core/session"
)

// MaxSteps is the largest number of models of a class that a plan tries.
const MaxSteps = 4

// A Plan lists the versions to try for a request, cheapest first.
type Plan struct {
	Class *rules.Class // nil if the caller named a model
	Steps [MaxSteps]rules.Target
	Len   int
	// MovedFrom is the version that the session could not keep, for example
	// because it was withdrawn; zero if the session keeps its versions.
	MovedFrom rules.Target
	// EnteredRollout is the roll-out that admitted the plan to its new version,
	// or nil.
	EnteredRollout *rules.Rollout
}

// Targets returns the versions of the plan. The slice shares memory with p.
func (p *Plan) Targets() []rules.Target { return p.Steps[:p.Len] }

// Priority returns the priority of the class, or Interactive.
func (p *Plan) Priority() rules.Priority {
	if p.Class != nil && p.Class.Priority != "" {
		return p.Class.Priority
	}
	return rules.Interactive
}

// ClassName returns the class, or the model if the caller named one.
func (p *Plan) ClassName() string {
	if p.Class != nil {
		return p.Class.ID
	}
	return p.Steps[0].Model
}

// Rollouts reports the state of the roll-outs.
type Rollouts interface {
	// Enter reports whether a new session with this percentile gets the new
	// version of a roll-out.
	Enter(rollout *rules.Rollout, percentile int) bool
	// Stopped reports whether the roll-out was stopped because its new version
	// is bad.
	Stopped(rollout *rules.Rollout) bool
}

// A planner builds one plan.
type planner struct {
	set          *rules.Set
	organisation *rules.Organisation
	session      *session.Session
	rollouts     Rollouts
	plan         Plan
}

// Resolve returns the plan for the name that a caller sent as the model: a model,
// a model with a version, or a class. It records newly chosen versions in the
// session.
func Resolve(set *rules.Set, organisation *rules.Organisation, name string, s *session.Session, rollouts Rollouts) (Plan, *refusal.Error) {
	p := planner{set: set, organisation: organisation, session: s, rollouts: rollouts}
	class, ok := set.Classes[name]
	if !ok {
		err := p.addTarget(rules.ParseTarget(name))
		return p.plan, err
	}
	if !set.ClassAllowed(organisation.ID, class.ID) {
		return Plan{}, notAllowed(organisation, name)
	}
	p.plan.Class = class
	for i, m := range class.Models {
		err := p.addTarget(rules.ParseTarget(m))
		// Skip a model that can't be used, unless the plan would be empty.
		if err != nil && p.plan.Len == 0 && i == len(class.Models)-1 {
			return Plan{}, err
		}
	}
	return p.plan, nil
}

func (p *planner) addTarget(t rules.Target) *refusal.Error {
	if p.plan.Len == MaxSteps {
		return nil
	}
	if t.Version == "" {
		return p.addModel(t.Model)
	}
	if err := p.checkExact(t); err != nil {
		return err
	}
	p.appendStep(t)
	return nil
}

func (p *planner) appendStep(t rules.Target) {
	p.plan.Steps[p.plan.Len] = t
	p.plan.Len++
}

// checkExact returns an error if a version that the caller or the class names
// explicitly can't be used.
func (p *planner) checkExact(t rules.Target) *refusal.Error {
	v := p.set.Versions[t]
	if v == nil || !p.set.VersionAllowed(p.organisation.ID, t) {
		return notAllowed(p.organisation, t.String())
	}
	if v.State == rules.Withdrawn || v.State == rules.Draining && p.session.Versions[t.Model] != t.Version {
		return withdrawn(t)
	}
	return nil
}

func (p *planner) addModel(model string) *refusal.Error {
	if kept, ok := p.session.Versions[model]; ok {
		t := rules.Target{Model: model, Version: kept}
		if p.keepsVersion(t) {
			p.appendStep(t)
			return nil
		}
		p.plan.MovedFrom = t
	}
	t, err := p.chooseVersion(model)
	if err != nil {
		return err
	}
	p.session.Versions[model] = t.Version
	p.appendStep(t)
	return nil
}

// keepsVersion reports whether the session may keep the version t.
func (p *planner) keepsVersion(t rules.Target) bool {
	v := p.set.Versions[t]
	if v == nil || v.State == rules.Withdrawn || !p.set.VersionAllowed(p.organisation.ID, t) {
		return false
	}
	rollout := p.set.Rollouts[t.Model]
	return rollout == nil || rollout.To != t.Version || !p.rollouts.Stopped(rollout)
}

// chooseVersion returns the version of a model for a new session.
func (p *planner) chooseVersion(model string) (rules.Target, *refusal.Error) {
	if rollout := p.set.Rollouts[model]; rollout != nil {
		if t, ok := p.chooseByRollout(rollout); ok {
			return t, nil
		}
	}
	for _, v := range p.set.VersionsOf(model) {
		if servesNewSessions(p.set, p.organisation, v) {
			return v.Target(), nil
		}
	}
	return rules.Target{}, notAllowed(p.organisation, model)
}

func (p *planner) chooseByRollout(rollout *rules.Rollout) (rules.Target, bool) {
	from := rules.Target{Model: rollout.Model, Version: rollout.From}
	to := rules.Target{Model: rollout.Model, Version: rollout.To}
	percentile := session.Percentile(p.organisation.ID, p.session.ID, rollout.Model)
	// A plan uses at most one new version, so that a failure can be attributed
	// to it.
	mayTry := p.plan.EnteredRollout == nil && !p.session.LookupFailed
	if mayTry && servesNewSessions(p.set, p.organisation, p.set.Versions[to]) && p.rollouts.Enter(rollout, percentile) {
		p.plan.EnteredRollout = rollout
		return to, true
	}
	return from, servesNewSessions(p.set, p.organisation, p.set.Versions[from])
}

func servesNewSessions(set *rules.Set, organisation *rules.Organisation, v *rules.Version) bool {
	return v != nil && v.State == rules.Serving && set.VersionAllowed(organisation.ID, v.Target())
}

func notAllowed(organisation *rules.Organisation, name string) *refusal.Error {
	return refusal.New(refusal.ModelNotAllowed,
		"use a model that GET /v1/models lists, or ask your operators for an allow rule",
		"organisation %q may not use %q", organisation.ID, name)
}

func withdrawn(t rules.Target) *refusal.Error {
	return refusal.New(refusal.VersionWithdrawn,
		"name the model without a version, or another version",
		"version %q accepts no new requests", t.String())
}

// MayDispatch reports whether a request may still be sent to the target. The
// dispatcher checks it with the newest set right before it sends a request,
// since the set may have changed since the plan was made.
func MayDispatch(set *rules.Set, organisation string, t rules.Target) bool {
	v := set.Versions[t]
	return v != nil && v.State != rules.Withdrawn && set.VersionAllowed(organisation, t)
}
