// Package route decides which versions may answer a request.
//
// The decision reads one immutable rules.Set and the caller's session. It
// allocates nothing, so that its cost does not depend on the collector.
//
// Invariant: every target of a Plan is allowed to the organisation and is not
// withdrawn in the set that the plan was made from.
package route

import (
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/core/session"
)

// MaxSteps is the longest cascade of a class.
const MaxSteps = 4

// A Plan is the versions to try for a request, cheapest first.
type Plan struct {
	Class *rules.Class // nil when the caller named a model
	Steps [MaxSteps]rules.Target
	Len   int
	// Moved is the withdrawn version that the session had to leave; zero when
	// the session keeps its versions.
	Moved rules.Target
	// Trial is the roll-out whose gate the plan has entered, or nil.
	Trial *rules.Rollout
}

// Targets returns the steps of the plan.
func (p *Plan) Targets() []rules.Target { return p.Steps[:p.Len] }

// Priority returns the priority of the request.
func (p *Plan) Priority() rules.Priority {
	if p.Class != nil && p.Class.Priority != "" {
		return p.Class.Priority
	}
	return rules.Interactive
}

// ClassName returns the class, or the model when the caller named one.
func (p *Plan) ClassName() string {
	if p.Class != nil {
		return p.Class.ID
	}
	return p.Steps[0].Model
}

// Rollouts tells how far the roll-outs have come.
type Rollouts interface {
	// Enter reports whether a new session gets the new version of a roll-out.
	Enter(r *rules.Rollout, percentile int) bool
	// Stopped reports whether the roll-out's new version was found bad.
	Stopped(r *rules.Rollout) bool
}

// A resolver makes one plan.
type resolver struct {
	set          *rules.Set
	organisation *rules.Organisation
	session      *session.Session
	rollouts     Rollouts
	plan         Plan
}

// Resolve returns the plan for the name that a caller sent as model: a model,
// a model with a version, or a class. It updates the versions of the session.
func Resolve(set *rules.Set, organisation *rules.Organisation, name string, s *session.Session, rollouts Rollouts) (Plan, *refusal.Error) {
	r := resolver{set: set, organisation: organisation, session: s, rollouts: rollouts}
	class, ok := set.Classes[name]
	if !ok {
		err := r.add(rules.ParseTarget(name))
		return r.plan, err
	}
	if !set.ClassAllowed(organisation.ID, class.ID) {
		return Plan{}, notAllowed(organisation, name)
	}
	r.plan.Class = class
	for i, m := range class.Models {
		err := r.add(rules.ParseTarget(m))
		// A model that can't be used leaves the others.
		if err != nil && r.plan.Len == 0 && i == len(class.Models)-1 {
			return Plan{}, err
		}
	}
	return r.plan, nil
}

func (r *resolver) add(t rules.Target) *refusal.Error {
	if r.plan.Len == MaxSteps {
		return nil
	}
	if t.Version == "" {
		return r.addModel(t.Model)
	}
	if err := r.checkExact(t); err != nil {
		return err
	}
	r.push(t)
	return nil
}

func (r *resolver) push(t rules.Target) {
	r.plan.Steps[r.plan.Len] = t
	r.plan.Len++
}

// checkExact checks a version that the caller or the class names itself.
func (r *resolver) checkExact(t rules.Target) *refusal.Error {
	v := r.set.Versions[t]
	if v == nil || !r.set.Allowed(r.organisation.ID, t) {
		return notAllowed(r.organisation, t.String())
	}
	if v.State == rules.Withdrawn || v.State == rules.Draining && r.session.Versions[t.Model] != t.Version {
		return withdrawn(t)
	}
	return nil
}

func (r *resolver) addModel(model string) *refusal.Error {
	if kept, ok := r.session.Versions[model]; ok {
		t := rules.Target{Model: model, Version: kept}
		if r.keeps(t) {
			r.push(t)
			return nil
		}
		r.plan.Moved = t
	}
	t, err := r.choose(model)
	if err != nil {
		return err
	}
	r.session.Versions[model] = t.Version
	r.push(t)
	return nil
}

// keeps reports whether the session stays on its version.
func (r *resolver) keeps(t rules.Target) bool {
	v := r.set.Versions[t]
	if v == nil || v.State == rules.Withdrawn || !r.set.Allowed(r.organisation.ID, t) {
		return false
	}
	rollout := r.set.Rollouts[t.Model]
	return rollout == nil || rollout.To != t.Version || !r.rollouts.Stopped(rollout)
}

// choose returns the version for a new session.
func (r *resolver) choose(model string) (rules.Target, *refusal.Error) {
	if rollout := r.set.Rollouts[model]; rollout != nil {
		if t, ok := r.chooseByRollout(rollout); ok {
			return t, nil
		}
	}
	for _, v := range r.set.VersionsOf(model) {
		if usable(r.set, r.organisation, v) {
			return v.Target(), nil
		}
	}
	return rules.Target{}, notAllowed(r.organisation, model)
}

func (r *resolver) chooseByRollout(rollout *rules.Rollout) (rules.Target, bool) {
	from := rules.Target{Model: rollout.Model, Version: rollout.From}
	to := rules.Target{Model: rollout.Model, Version: rollout.To}
	percentile := session.Percentile(r.organisation.ID, r.session.ID, rollout.Model)
	// A plan tries one new version at most, so that its failure is clear.
	mayTry := r.plan.Trial == nil && !r.session.LookupFailed
	if mayTry && usable(r.set, r.organisation, r.set.Versions[to]) && r.rollouts.Enter(rollout, percentile) {
		r.plan.Trial = rollout
		return to, true
	}
	return from, usable(r.set, r.organisation, r.set.Versions[from])
}

func usable(set *rules.Set, organisation *rules.Organisation, v *rules.Version) bool {
	return v != nil && v.State == rules.Serving && set.Allowed(organisation.ID, v.Target())
}

func notAllowed(organisation *rules.Organisation, name string) *refusal.Error {
	return refusal.New(refusal.ModelNotAllowed,
		"use a model that GET /v1/models lists, or ask your operators for an allow line",
		"organisation %q may not use %q", organisation.ID, name)
}

func withdrawn(t rules.Target) *refusal.Error {
	return refusal.New(refusal.VersionWithdrawn,
		"name the model without a version, or another version",
		"version %q takes no new work", t.String())
}

// Usable reports whether a new request may still be sent to the target. It is
// asked again with the newest set at the moment of dispatch.
func Usable(set *rules.Set, organisation string, t rules.Target) bool {
	v := set.Versions[t]
	return v != nil && v.State != rules.Withdrawn && set.Allowed(organisation, t)
}
