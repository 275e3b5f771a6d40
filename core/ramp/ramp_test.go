package ramp

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawLevel(t *rapid.T, name string) Level {
	return Level{Epoch: rapid.Uint32Range(0, 4).Draw(t, name+" epoch"), Percent: uint8(rapid.IntRange(0, FullPercent).Draw(t, name+" percent"))}
}

func TestJoinIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawLevel(t, "a"), drawLevel(t, "b"), drawLevel(t, "c")
		if Join(a, b) != Join(b, a) || Join(a, a) != a || Join(Join(a, b), c) != Join(a, Join(b, c)) {
			t.Fatalf("joining %v, %v and %v depends on order, grouping or repetition", a, b, c)
		}
	})
}

func TestResponsesRaiseLevelToFull(t *testing.T) {
	is := is.New(t)
	var r Ramp
	is.Equal(r.Level().Limit(1, 8), 1)
	responses := 0
	for r.Level().Percent < FullPercent {
		r.RecordResponse(0, 100*time.Millisecond)
		responses++
	}
	is.Equal(r.Level().Limit(1, 8), 8)
	is.True(responses <= 20)
}

func TestColdStartDetection(t *testing.T) {
	tests := []struct {
		name string
		sign func(r *Ramp)
		cold bool
	}{
		{name: "refused request", sign: func(r *Ramp) { r.RecordColdStart(0) }, cold: true},
		{name: "refused request of an older epoch", sign: func(r *Ramp) { r.Merge(Level{Epoch: 5, Percent: 80}); r.RecordColdStart(0) }},
		{name: "first token far above the average", sign: func(r *Ramp) { r.RecordResponse(0, 5*time.Second) }, cold: true},
		{name: "first token a little above the average", sign: func(r *Ramp) { r.RecordResponse(0, 300*time.Millisecond) }},
		{name: "newer epoch from another instance", sign: func(r *Ramp) { r.Merge(Level{Epoch: 1}) }, cold: true},
		{name: "same epoch at a lower level from another instance", sign: func(r *Ramp) { r.Merge(Level{Epoch: 0}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Ramp
			for range 30 {
				r.RecordResponse(0, 100*time.Millisecond)
			}
			tt.sign(&r)
			is.Equal(r.Level().Percent == 0, tt.cold)
		})
	}
}
