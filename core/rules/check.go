package rules

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"banyanyard/core/strict"
)

const keyHashScheme = "sha256:"

const hashHexDigits = 64

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// A checker collects the problems of a Set.
type checker struct {
	set           *Set
	problems      Problems
	servedTargets map[Target]bool // targets that any upstream serves
}

func (c *checker) addProblem(r Rule, remedy, format string, args ...any) {
	c.problems = append(c.problems, &strict.Problem{Line: r.source().Line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkAll() {
	c.servedTargets = map[Target]bool{}
	for _, u := range c.set.Upstreams {
		for _, s := range u.Serves {
			c.servedTargets[ParseTarget(s)] = true
		}
	}
	for _, r := range c.set.Rules {
		r.check(c)
	}
}

func (c *checker) checkIdentifier(r Rule, field, value string) {
	if !identifierPattern.MatchString(value) {
		c.addProblem(r, "use 1 to 63 lower-case letters, digits, dots and hyphens", "%s %q is not a valid identifier", field, value)
	}
}

// checkDeclared reports whether the file declares id, and adds a problem if not.
func checkDeclared[V any](c *checker, r Rule, kind, id string, declared map[string]V) bool {
	if _, ok := declared[id]; ok {
		return true
	}
	remedy := fmt.Sprintf("add a line %s = { id = %q, … }", kind, id)
	if near := strict.Nearest(id, slices.Sorted(maps.Keys(declared))); near != "" {
		remedy = fmt.Sprintf("did you mean %q?", near)
	}
	c.addProblem(r, remedy, "%s %q is not declared", kind, id)
	return false
}

// checkVersionDeclared returns the declared version t. It adds a problem and
// returns nil if there is none.
func (c *checker) checkVersionDeclared(r Rule, t Target) *Version {
	if !checkDeclared(c, r, "model", t.Model, c.set.Models) {
		return nil
	}
	v, ok := c.set.Versions[t]
	if !ok {
		c.addProblem(r, fmt.Sprintf("add a line version = { model = %q, id = %q, … } or name a declared version", t.Model, t.Version), "version %q is not declared", t)
	}
	return v
}

func (o *Organisation) check(c *checker) {
	c.checkIdentifier(o, "organisation", o.ID)
	if o.Weight < 0 {
		c.addProblem(o, "use 1 or more", "weight %d is negative", o.Weight)
	}
	if len(o.Keys) == 0 {
		c.addProblem(o, "add keys = [\"sha256:…\"], the SHA-256 hash of each key", "organisation %q has no key", o.ID)
	}
	for _, key := range o.Keys {
		digits, hasScheme := strings.CutPrefix(key, keyHashScheme)
		_, err := hex.DecodeString(digits)
		if !hasScheme || err != nil || len(digits) != hashHexDigits {
			c.addProblem(o, "write sha256: and the 64 hexadecimal digits that `printf %s KEY | sha256sum` prints", "key %q is not a SHA-256 hash", key)
		}
	}
}

func (m *Model) check(c *checker) {
	c.checkIdentifier(m, "model", m.ID)
	if m.ContextTokens <= 0 {
		c.addProblem(m, "set it to the maximum number of tokens of prompt and answer together", "context-tokens %d is not positive", m.ContextTokens)
	}
}

func (v *Version) check(c *checker) {
	c.checkIdentifier(v, "version", v.ID)
	checkDeclared(c, v, "model", v.Model, c.set.Models)
	switch v.State {
	case Serving, Draining, Withdrawn:
	default:
		c.addProblem(v, "use serving, draining or withdrawn", "state %q of version %s is unknown", v.State, v.Target())
	}
	if v.InputCost < 0 || v.OutputCost < 0 {
		c.addProblem(v, "use millionths of a cost unit per token, 0 or more", "a cost of version %s is negative", v.Target())
	}
}

func (a *Allow) check(c *checker) {
	checkDeclared(c, a, "organisation", a.Organisation, c.set.Organisations)
	named := 0
	for _, name := range [...]string{a.Model, a.Class, a.Service} {
		if name != "" {
			named++
		}
	}
	if named != 1 {
		c.addProblem(a, "name exactly one of model, class and service", "the rule names %d of model, class and service", named)
		return
	}
	if a.Model == "" && len(a.Versions) > 0 {
		c.addProblem(a, "name the model, or leave versions out", "the rule has versions but no model")
	}
	switch {
	case a.Class != "":
		a.checkClass(c)
	case a.Service != "":
		checkDeclared(c, a, "service", a.Service, c.set.Services)
	default:
		a.checkModel(c)
	}
}

func (a *Allow) checkModel(c *checker) {
	if !checkDeclared(c, a, "model", a.Model, c.set.Models) {
		return
	}
	for _, id := range a.Versions {
		c.checkVersionDeclared(a, Target{Model: a.Model, Version: id})
	}
}

func (a *Allow) checkClass(c *checker) {
	if !checkDeclared(c, a, "class", a.Class, c.set.Classes) {
		return
	}
	for _, m := range c.set.Classes[a.Class].Models {
		t := ParseTarget(m)
		if !c.isModelAllowed(a.Organisation, t) {
			c.addProblem(a, fmt.Sprintf("add a line allow = { organisation = %q, model = %q } or take the model out of the class", a.Organisation, t.Model),
				"class %q may use model %q, which organisation %q is not allowed to use", a.Class, t, a.Organisation)
		}
	}
}

func (c *checker) isModelAllowed(organisation string, t Target) bool {
	for _, a := range c.set.allows {
		if a.Organisation != organisation || a.Model != t.Model {
			continue
		}
		if t.Version == "" || len(a.Versions) == 0 || slices.Contains(a.Versions, t.Version) {
			return true
		}
	}
	return false
}

func (cl *Class) check(c *checker) {
	c.checkIdentifier(cl, "class", cl.ID)
	if cl.QualityTarget < 0 || cl.QualityTarget > 1 {
		c.addProblem(cl, "use a share between 0 and 1", "quality-target %v of class %q is out of range", cl.QualityTarget, cl.ID)
	}
	switch cl.Priority {
	case "", Interactive, Batch:
	default:
		c.addProblem(cl, "use interactive or batch", "priority %q is unknown", cl.Priority)
	}
	if _, ok := c.set.Models[cl.ID]; ok {
		c.addProblem(cl, "rename one of the two, since callers name either in the same field", "class %q has the name of a model", cl.ID)
	}
	if len(cl.Models) == 0 {
		c.addProblem(cl, "add models = [\"…\"], cheapest first", "class %q has no model", cl.ID)
	}
	for _, m := range cl.Models {
		cl.checkModel(c, ParseTarget(m))
	}
}

func (cl *Class) checkModel(c *checker, t Target) {
	if t.Version != "" && c.checkVersionDeclared(cl, t) == nil {
		return
	}
	if t.Version == "" && !checkDeclared(c, cl, "model", t.Model, c.set.Models) {
		return
	}
	if !c.isServed(t) {
		c.addProblem(cl, "add an upstream line that serves it, or a version line with state = \"serving\"", "nothing serves model %q of class %q", t, cl.ID)
	}
}

// isServed reports whether an upstream serves a version of t that is not
// withdrawn.
func (c *checker) isServed(t Target) bool {
	for _, v := range c.set.versionsOf[t.Model] {
		if t.Version != "" && v.ID != t.Version {
			continue
		}
		if v.State != Withdrawn && c.servedTargets[v.Target()] {
			return true
		}
	}
	return false
}

func (r *Rollout) check(c *checker) {
	if r.From == r.To {
		c.addProblem(r, "name two versions", "the roll-out goes from version %q to itself", r.From)
	}
	r.checkFrom(c, c.checkVersionDeclared(r, Target{Model: r.Model, Version: r.From}))
	r.checkTo(c, c.checkVersionDeclared(r, Target{Model: r.Model, Version: r.To}))
	r.checkShares(c)
}

func (r *Rollout) checkFrom(c *checker, from *Version) {
	if from != nil && from.State == Withdrawn {
		c.addProblem(r, "remove the roll-out, or set the version to serving", "the roll-out starts from withdrawn version %s", from.Target())
	}
}

func (r *Rollout) checkTo(c *checker, to *Version) {
	if to == nil {
		return
	}
	if to.State != Serving {
		c.addProblem(r, "remove the roll-out, or set the version to serving", "the roll-out leads to %s version %s", to.State, to.Target())
	}
	if !c.servedTargets[to.Target()] {
		c.addProblem(r, "add an upstream line that serves it", "nothing serves version %s", to.Target())
	}
}

func (r *Rollout) checkShares(c *checker) {
	previous := -1
	for _, share := range r.SharesPercent {
		if share <= previous || share > 100 {
			c.addProblem(r, "use rising whole percentages, such as shares-percent = [1, 10, 50, 100]", "shares-percent %v do not rise from 0 to 100", r.SharesPercent)
			return
		}
		previous = share
	}
	if r.Step < 0 || r.Step >= len(r.SharesPercent) {
		c.addProblem(r, "use an index from 0 to the number of shares minus one", "step %d is out of range for %d shares", r.Step, len(r.SharesPercent))
	}
}

func (d *FailureDomain) check(c *checker) {
	c.checkIdentifier(d, "failure-domain", d.ID)
	if d.State != InService && d.State != OutOfService {
		c.addProblem(d, "use in or out", "state %q of failure domain %q is unknown", d.State, d.ID)
	}
}

func (u *Upstream) check(c *checker) {
	c.checkIdentifier(u, "upstream", u.ID)
	checkDeclared(c, u, "failure-domain", u.FailureDomain, c.set.FailureDomains)
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		c.addProblem(u, "use IP:port, such as 10.0.0.7:8000", "address %q is not an IP address and port", u.Address)
	}
	if u.State != "" && u.State != InService && u.State != OutOfService {
		c.addProblem(u, "use in or out", "state %q of upstream %q is unknown", u.State, u.ID)
	}
	u.checkLimits(c)
	if (len(u.Serves) == 0) == (u.Service == "") {
		c.addProblem(u, "set exactly one of serves and service", "upstream %q sets neither or both", u.ID)
	}
	if u.Service != "" {
		checkDeclared(c, u, "service", u.Service, c.set.Services)
	}
	for _, s := range u.Serves {
		c.checkVersionDeclared(u, ParseTarget(s))
	}
}

func (u *Upstream) checkLimits(c *checker) {
	if u.MaxRequests < 1 {
		c.addProblem(u, "set it to the number of concurrent requests that the upstream can handle, 1 or more", "max-requests %d of upstream %q is not positive", u.MaxRequests, u.ID)
	}
	if u.MaxTokens < 0 {
		c.addProblem(u, "use 0 for no limit", "max-tokens %d of upstream %q is negative", u.MaxTokens, u.ID)
	}
	if u.ColdRequests < 0 || u.ColdRequests > u.MaxRequests {
		c.addProblem(u, "use 1 to max-requests, or 0 for the default of 1", "cold-requests %d of upstream %q is out of range", u.ColdRequests, u.ID)
	}
}

func (s *Service) check(c *checker) {
	c.checkIdentifier(s, "service", s.ID)
}

func (sc *ServiceCall) check(c *checker) {
	checkDeclared(c, sc, "service", sc.Service, c.set.Services)
	if !slices.Contains(allowedMethods, sc.Method) {
		c.addProblem(sc, "use one of "+strings.Join(allowedMethods, ", "), "method %q is unknown", sc.Method)
	}
	if !strings.HasPrefix(sc.Path, "/") {
		c.addProblem(sc, "begin the path with /", "path %q is not absolute", sc.Path)
	}
}
