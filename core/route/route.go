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

// Resolve returns the plan for the name that a caller sent as model: a model,
// a model with a version, or a class. It updates the versions of the session.
func Resolve(set *rules.Set, organisation *rules.Organisation, name string, s *session.Session) (Plan, *refusal.Error) {
	class, ok := set.Classes[name]
	if !ok {
		var p Plan
		return p, p.add(set, organisation, rules.ParseTarget(name), s)
	}
	if !set.ClassAllowed(organisation.ID, class.ID) {
		return Plan{}, notAllowed(organisation, name)
	}
	p := Plan{Class: class}
	for _, m := range class.Models {
		if err := p.add(set, organisation, rules.ParseTarget(m), s); err != nil && p.Len == 0 && m == class.Models[len(class.Models)-1] {
			return Plan{}, err
		}
	}
	return p, nil
}

func (p *Plan) add(set *rules.Set, organisation *rules.Organisation, t rules.Target, s *session.Session) *refusal.Error {
	if p.Len == MaxSteps {
		return nil
	}
	if t.Version != "" {
		if err := checkExact(set, organisation, t, s); err != nil {
			return err
		}
		p.push(t)
		return nil
	}
	return p.addModel(set, organisation, t.Model, s)
}

func (p *Plan) push(t rules.Target) {
	p.Steps[p.Len] = t
	p.Len++
}

// checkExact checks a version that the caller or the class names itself.
func checkExact(set *rules.Set, organisation *rules.Organisation, t rules.Target, s *session.Session) *refusal.Error {
	v := set.Versions[t]
	if v == nil || !set.Allowed(organisation.ID, t) {
		return notAllowed(organisation, t.String())
	}
	if v.State == rules.Withdrawn {
		return withdrawn(t)
	}
	if v.State == rules.Draining && s.Versions[t.Model] != t.Version {
		return withdrawn(t)
	}
	return nil
}

func (p *Plan) addModel(set *rules.Set, organisation *rules.Organisation, model string, s *session.Session) *refusal.Error {
	if kept, ok := s.Versions[model]; ok {
		t := rules.Target{Model: model, Version: kept}
		v := set.Versions[t]
		if v != nil && v.State != rules.Withdrawn && set.Allowed(organisation.ID, t) {
			p.push(t)
			return nil
		}
		p.Moved = t
	}
	t, err := choose(set, organisation, model, s)
	if err != nil {
		return err
	}
	s.Versions[model] = t.Version
	p.push(t)
	return nil
}

// choose returns the version for a new session.
func choose(set *rules.Set, organisation *rules.Organisation, model string, s *session.Session) (rules.Target, *refusal.Error) {
	if r := set.Rollouts[model]; r != nil {
		t := rules.Target{Model: model, Version: r.From}
		if !s.Unsure && session.Percentile(organisation.ID, s.ID, model) < r.Share() {
			t.Version = r.To
		}
		if usable(set, organisation, set.Versions[t]) {
			return t, nil
		}
	}
	for _, v := range set.VersionsOf(model) {
		if usable(set, organisation, v) {
			return v.Target(), nil
		}
	}
	return rules.Target{}, notAllowed(organisation, model)
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
