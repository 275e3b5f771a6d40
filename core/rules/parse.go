package rules

import (
	"fmt"
	"strings"

	"banyanyard/core/strict"

	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileBytes bounds the size of a rules file.
const MaxFileBytes = 16 << 20

// A line is the decoded form of one line. Only the field for its kind is set.
type line struct {
	Organisation  *Organisation  `toml:"organisation"`
	Model         *Model         `toml:"model"`
	Version       *Version       `toml:"version"`
	Allow         *Allow         `toml:"allow"`
	Class         *Class         `toml:"class"`
	Rollout       *Rollout       `toml:"rollout"`
	FailureDomain *FailureDomain `toml:"failure-domain"`
	Upstream      *Upstream      `toml:"upstream"`
	Service       *Service       `toml:"service"`
	ServiceCall   *ServiceCall   `toml:"service-call"`
}

// rule returns the rule of the line, or nil if there is none.
func (l *line) rule() Rule {
	switch {
	case l.Organisation != nil:
		return l.Organisation
	case l.Model != nil:
		return l.Model
	case l.Version != nil:
		return l.Version
	case l.Allow != nil:
		return l.Allow
	case l.Class != nil:
		return l.Class
	case l.Rollout != nil:
		return l.Rollout
	case l.FailureDomain != nil:
		return l.FailureDomain
	case l.Upstream != nil:
		return l.Upstream
	case l.Service != nil:
		return l.Service
	case l.ServiceCall != nil:
		return l.ServiceCall
	}
	return nil
}

// Parse parses and checks a rules file. Its error is a Problems value with all
// problems of the file, sorted by line.
func Parse(text string) (*Set, error) {
	if len(text) > MaxFileBytes {
		return nil, Problems{{Line: 1, Message: fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes), Remedy: "remove rules that are no longer needed"}}
	}
	p := &parser{set: newSet(text)}
	number := 0
	for raw := range strings.Lines(text) {
		number++
		p.parseLine(number, strings.TrimSpace(raw))
	}
	c := &checker{set: p.set, problems: p.problems}
	c.checkAll()
	if len(c.problems) > 0 {
		return nil, c.problems.sorted()
	}
	p.set.buildIndexes()
	return p.set, nil
}

type parser struct {
	set      *Set
	problems Problems
}

func (p *parser) parseLine(number int, text string) {
	if text == "" || strings.HasPrefix(text, "#") {
		return
	}
	rule, problem := decodeLine(text)
	if problem != nil {
		p.problems = append(p.problems, &strict.Problem{Line: number, Column: problem.Column, Message: problem.Message, Remedy: problem.Remedy})
		return
	}
	source := rule.source()
	source.Line = number
	source.Text = text
	source.RequestedBy = requestedBy(text)
	if source.RequestedBy == "" {
		p.problems = append(p.problems, &strict.Problem{
			Line:    number,
			Message: "the rule does not say who asked for it",
			Remedy:  "end the line with a comment that names the person, such as # C. Rossi: ticket 12",
		})
	}
	if first, ok := p.set.byIdentity[rule.Identity()]; ok {
		p.problems = append(p.problems, &strict.Problem{
			Line:    number,
			Message: fmt.Sprintf("%s is already set on line %d", rule.Identity(), first.source().Line),
			Remedy:  "keep one of the two lines",
		})
		return
	}
	p.set.add(rule)
}

// decodeLine decodes one line. It returns only the first problem, since the other
// problems of a line usually follow from it.
func decodeLine(text string) (Rule, *strict.Problem) {
	var l line
	if problems := strict.Decode([]byte(text), &l); len(problems) > 0 {
		return nil, problems[0]
	}
	rule := l.rule()
	if rule == nil {
		return nil, &strict.Problem{Message: "the line has no rule", Remedy: "write kind = { … }, for example model = { id = \"tiglio\" }"}
	}
	return rule, nil
}

// requestedBy returns the text of the comment at the end of a line, or "".
func requestedBy(text string) string {
	p := unstable.Parser{KeepComments: true}
	p.Reset([]byte(text))
	for p.NextExpression() {
		for n := p.Expression(); n != nil; n = n.Next() {
			if n.Kind == unstable.Comment {
				return strings.TrimSpace(strings.TrimLeft(string(n.Data), "#"))
			}
		}
	}
	return ""
}
