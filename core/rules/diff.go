package rules

import "slices"

// A Change is one rule that was added, removed or changed between two sets.
type Change struct {
	Identity string
	Before   *Source // nil if the rule was added
	After    *Source // nil if the rule was removed
}

// Diff returns the changes from before to after, sorted by identity. A nil set has
// no rules.
func Diff(before, after *Set) []Change {
	changes := map[string]Change{}
	collectSources(changes, before, func(c *Change, s *Source) { c.Before = s })
	collectSources(changes, after, func(c *Change, s *Source) { c.After = s })
	var differing []Change
	for _, c := range changes {
		if c.Before != nil && c.After != nil && c.Before.Text == c.After.Text {
			continue
		}
		differing = append(differing, c)
	}
	slices.SortFunc(differing, func(a, b Change) int {
		if a.Identity < b.Identity {
			return -1
		}
		return 1
	})
	return differing
}

func collectSources(changes map[string]Change, set *Set, setSource func(*Change, *Source)) {
	if set == nil {
		return
	}
	for _, r := range set.Rules {
		c := changes[r.Identity()]
		c.Identity = r.Identity()
		setSource(&c, r.source())
		changes[r.Identity()] = c
	}
}
