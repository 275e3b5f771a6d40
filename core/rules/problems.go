package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"banyanyard/core/strict"
)

// Problems are all the faults of a rules file.
type Problems []*strict.Problem

// Error lists every problem on a line of its own.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, fmt.Sprintf("the rules have %d problems", len(p)))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b *strict.Problem) int { return cmp.Compare(a.Line, b.Line) })
	return p
}
