package buffer

import (
	"testing"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAnswersHoldAtMostTheLimit draws answers that grow and end.
func TestAnswersHoldAtMostTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Pool{Limit: rapid.Int64Range(1, 1<<20).Draw(t, "limit")}
		holds := make([]int64, rapid.IntRange(1, 50).Draw(t, "answers"))
		sum := int64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holds)-1).Draw(t, "answer")
			if more := rapid.Int64Range(0, 1<<18).Draw(t, "more"); more > 0 && p.Grow(holds[i], more) {
				sum += beyondSmall(holds[i]+more) - beyondSmall(holds[i])
				holds[i] += more
			} else if more == 0 {
				p.Release(holds[i])
				sum -= beyondSmall(holds[i])
				holds[i] = 0
			}
			if p.Held() != sum || sum > p.Limit {
				t.Fatalf("%d bytes are held, %d by the answers; the limit is %d", p.Held(), sum, p.Limit)
			}
		}
	})
}

// TestSmallAnswerHasRoom guards against answers that are refused because others have no end.
func TestSmallAnswerHasRoom(t *testing.T) {
	tests := []struct {
		name    string
		endless int // number of answers that grow as far as they may
	}{
		{name: "one", endless: 1},
		{name: "ten", endless: 10},
		{name: "three hundred", endless: 300},
	}
	const limit, step, small = 28 << 20, 4 << 10, Small
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := &Pool{Limit: limit}
			for range tt.endless {
				holds := int64(0)
				for p.Grow(holds, step) {
					holds += step
				}
			}
			is.True(p.Grow(0, small))
			is.True(p.Held() <= limit)
		})
	}
	t.Run("no limit", func(t *testing.T) {
		is := is.New(t)
		is.True((&Pool{}).Grow(1<<40, 1<<40))
	})
}
