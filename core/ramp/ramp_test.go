package ramp

import (
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func level(t *rapid.T, name string) Level {
	return Level{Epoch: rapid.Uint32Range(0, 4).Draw(t, name+" epoch"), Percent: uint8(rapid.IntRange(0, Full).Draw(t, name+" percent"))}
}

func TestJoinOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := level(t, "a"), level(t, "b"), level(t, "c")
		if Join(a, b) != Join(b, a) || Join(a, a) != a || Join(Join(a, b), c) != Join(a, Join(b, c)) {
			t.Fatalf("%v, %v and %v join differently in another order", a, b, c)
		}
	})
}

func TestRampsByEvidence(t *testing.T) {
	is := is.New(t)
	var r Ramp
	is.Equal(r.Level().Limit(1, 8), 1)
	answers := 0
	for r.Level().Percent < Full {
		r.Answered(0, 100*time.Millisecond)
		answers++
	}
	is.Equal(r.Level().Limit(1, 8), 8)
	is.True(answers <= 20)
}

func TestSignsOfACold(t *testing.T) {
	tests := []struct {
		name string
		sign func(r *Ramp)
		cold bool
	}{
		{name: "refusal", sign: func(r *Ramp) { r.Cold(0) }, cold: true},
		{name: "refusal of a request sent before another start", sign: func(r *Ramp) { r.Merge(Level{Epoch: 5, Percent: 80}); r.Cold(0) }},
		{name: "first token far above the average", sign: func(r *Ramp) { r.Answered(0, 5*time.Second) }, cold: true},
		{name: "first token a little above the average", sign: func(r *Ramp) { r.Answered(0, 300*time.Millisecond) }},
		{name: "another instance saw it", sign: func(r *Ramp) { r.Merge(Level{Epoch: 1}) }, cold: true},
		{name: "old news", sign: func(r *Ramp) { r.Merge(Level{Epoch: 0}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Ramp
			for range 30 {
				r.Answered(0, 100*time.Millisecond)
			}
			tt.sign(&r)
			is.Equal(r.Level().Percent == 0, tt.cold)
		})
	}
}
