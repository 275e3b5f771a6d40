package slot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestDealAddsUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		upstream := rapid.String().Draw(t, "upstream")
		members := make([]string, n)
		for i := range members {
			members[i] = fmt.Sprintf("i%d", i)
		}
		sum := 0
		for _, m := range members {
			share := Deal(upstream, limit, members, m)
			if share < limit/n || share > limit/n+1 {
				t.Fatalf("share %d of %d among %d", share, limit, n)
			}
			sum += share
		}
		if sum != limit {
			t.Fatalf("%d members got %d of %d", n, sum, limit)
		}
		if Deal(upstream, limit, members, "stranger") != 0 {
			t.Fatal("a stranger got a share")
		}
	})
}
