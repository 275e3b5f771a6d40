package tally

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"pgregory.net/rapid"
)

const slotLength = time.Minute

// TestMergeEqualsSingleWindow adds outcomes to one of two windows and compares
// their merge with a single window that got all outcomes.
func TestMergeEqualsSingleWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		now := start
		var a, b, all Window
		for range rapid.IntRange(0, 30).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			c := Counts{Good: rapid.IntRange(0, 2).Draw(t, "good"), Bad: rapid.IntRange(0, 2).Draw(t, "bad")}
			all.Add(now, slotLength, c)
			if rapid.Bool().Draw(t, "first window") {
				a.Add(now, slotLength, c)
			} else {
				b.Add(now, slotLength, c)
			}
		}
		a.Merge(b)
		if a.Sum(now, slotLength) != all.Sum(now, slotLength) {
			t.Fatalf("merged windows have %+v, the single window has %+v", a.Sum(now, slotLength), all.Sum(now, slotLength))
		}
	})
}

func TestOldOutcomesExpire(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var w Window
	w.Add(start, slotLength, Counts{Good: 5})
	if got := w.Sum(start.Add((Slots-1)*slotLength), slotLength); got.Good != 5 {
		t.Fatalf("outcomes of the oldest slot in the window are missing: %+v", got)
	}
	if got := w.Sum(start.Add(Slots*slotLength), slotLength); got.N() != 0 {
		t.Fatalf("outcomes older than the window are counted: %+v", got)
	}
}
