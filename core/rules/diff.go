package rules

import "slices"

// A Change is one line that differs between two sets.
type Change struct {
	Identity string
	Before   *Source // nil when the rule is new
	After    *Source // nil when the rule is gone
}

// Diff returns the changes that lead from before to after, in order of
// identities. Either may be nil, which means no rules.
func Diff(before, after *Set) []Change {
	changes := map[string]Change{}
	collectSources(changes, before, func(c *Change, s *Source) { c.Before = s })
	collectSources(changes, after, func(c *Change, s *Source) { c.After = s })
	var list []Change
	for _, c := range changes {
		if c.Before != nil && c.After != nil && c.Before.Text == c.After.Text {
			continue
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Change) int {
		if a.Identity < b.Identity {
			return -1
		}
		return 1
	})
	return list
}

func collectSources(changes map[string]Change, set *Set, put func(*Change, *Source)) {
	if set == nil {
		return
	}
	for _, r := range set.Rules {
		c := changes[r.Identity()]
		c.Identity = r.Identity()
		put(&c, r.source())
		changes[r.Identity()] = c
	}
}
