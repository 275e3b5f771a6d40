package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"banyanyard/core/strict"
)

// Problems are all the problems of a rules file. It implements error.
type Problems []*strict.Problem

// Error returns a heading and one line per problem.
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
