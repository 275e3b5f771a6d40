package rules

import (
	"fmt"
	"strings"
)

// A Patch is the difference between two texts: the lines between a common
// beginning and a common end.
type Patch struct {
	Prefix int      `json:"prefix"` // lines of the old text that stay in front
	Suffix int      `json:"suffix"` // lines of the old text that stay behind
	Lines  []string `json:"lines"`  // between them, without line ends
}

// NewPatch returns the patch that leads from one text to another.
func NewPatch(from, to string) Patch {
	a, b := strings.Split(from, "\n"), strings.Split(to, "\n")
	prefix := 0
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(a), len(b))-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return Patch{Prefix: prefix, Suffix: suffix, Lines: b[prefix : len(b)-suffix]}
}

// Size returns about how many bytes the patch takes in a message.
func (p *Patch) Size() int {
	n := 0
	for _, l := range p.Lines {
		n += len(l) + 4
	}
	return n
}

// Apply returns the new text.
func (p *Patch) Apply(from string) (string, error) {
	a := strings.Split(from, "\n")
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(a) {
		return "", fmt.Errorf("the patch does not fit a text of %d lines: read the whole text", len(a))
	}
	lines := append(append(a[:p.Prefix:p.Prefix], p.Lines...), a[len(a)-p.Suffix:]...)
	return strings.Join(lines, "\n"), nil
}
