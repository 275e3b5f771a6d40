package rules

import (
	"fmt"
	"strings"
)

// A Patch is the difference between two texts: the lines of the new text between a
// common prefix and a common suffix.
type Patch struct {
	Prefix int      `json:"prefix"` // number of common lines at the start
	Suffix int      `json:"suffix"` // number of common lines at the end
	Lines  []string `json:"lines"`  // new lines in between, without line ends
}

// NewPatch returns the patch that turns the text from into the text to.
func NewPatch(from, to string) Patch {
	fromLines, toLines := strings.Split(from, "\n"), strings.Split(to, "\n")
	prefix := 0
	for prefix < min(len(fromLines), len(toLines)) && fromLines[prefix] == toLines[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(fromLines), len(toLines))-prefix && fromLines[len(fromLines)-1-suffix] == toLines[len(toLines)-1-suffix] {
		suffix++
	}
	return Patch{Prefix: prefix, Suffix: suffix, Lines: toLines[prefix : len(toLines)-suffix]}
}

// ApproxSize returns the approximate size in bytes of the patch in a message.
func (p *Patch) ApproxSize() int {
	n := 0
	for _, l := range p.Lines {
		n += len(l) + 4
	}
	return n
}

// Apply returns the new text. It returns an error if from has fewer lines than the
// common prefix and suffix; it does not detect other mismatches.
func (p *Patch) Apply(from string) (string, error) {
	fromLines := strings.Split(from, "\n")
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(fromLines) {
		return "", fmt.Errorf("the patch does not apply to a text of %d lines: fetch the whole text", len(fromLines))
	}
	lines := append(append(fromLines[:p.Prefix:p.Prefix], p.Lines...), fromLines[len(fromLines)-p.Suffix:]...)
	return strings.Join(lines, "\n"), nil
}
