package rules

import (
	"strings"
	"testing"

	_ "banyanyard/core/seeded"

	"pgregory.net/rapid"
)

func TestPatchTurnsAnyTextIntoAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 8)
		from := strings.Join(lines.Draw(t, "from"), "\n")
		to := strings.Join(lines.Draw(t, "to"), "\n")
		p := NewPatch(from, to)
		got, err := p.Apply(from)
		if err != nil || got != to {
			t.Fatalf("the patched text is %q (%v)", got, err)
		}
	})
}

func TestApplyRejectsTextShorterThanPatch(t *testing.T) {
	p := NewPatch("a\nb\nc\nd", "a\nb\nx\nc\nd")
	if _, err := p.Apply("a"); err == nil {
		t.Fatal("the patch was applied to a text that is too short")
	}
}
