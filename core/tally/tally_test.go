package tally

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"pgregory.net/rapid"
)

const slot = time.Minute

// TestMergeEqualsSingleWindow splits outcomes over two windows and compares
// their merge with one window that counted all.
func TestMergeEqualsSingleWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		now := start
		var a, b, all Window
		for range rapid.IntRange(0, 30).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			c := Counts{Good: rapid.IntRange(0, 2).Draw(t, "good"), Bad: rapid.IntRange(0, 2).Draw(t, "bad")}
			all.Add(now, slot, c)
			if rapid.Bool().Draw(t, "where") {
				a.Add(now, slot, c)
			} else {
				b.Add(now, slot, c)
			}
		}
		a.Merge(b)
		if a.Sum(now, slot) != all.Sum(now, slot) {
			t.Fatalf("merged %+v, counted together %+v", a.Sum(now, slot), all.Sum(now, slot))
		}
	})
}

func TestOldOutcomesExpire(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var w Window
	w.Add(start, slot, Counts{Good: 5})
	if got := w.Sum(start.Add((Slots-1)*slot), slot); got.Good != 5 {
		t.Fatalf("forgotten too early: %+v", got)
	}
	if got := w.Sum(start.Add(Slots*slot), slot); got.N() != 0 {
		t.Fatalf("not forgotten: %+v", got)
	}
}
