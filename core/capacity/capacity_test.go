package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestSlowness lets two instances see the answers of upstreams that differ in speed, and
// adds up what they have seen.
func TestSlowness(t *testing.T) {
	tests := []struct {
		name     string
		factor   func(at time.Duration, r *rand.Rand) float64 // of the time that its answers take
		low, top float64                                      // bounds of what is believed
	}{
		{name: "typical", factor: func(time.Duration, *rand.Rand) float64 { return 1 }, low: 0.85, top: 1.15},
		{name: "slow for good", factor: func(time.Duration, *rand.Rand) float64 { return 1.7 }, low: 1.45, top: 1.8},
		{name: "fast", factor: func(time.Duration, *rand.Rand) float64 { return 0.6 }, low: 0.55, top: 0.7},
		{name: "slow by turns", factor: func(at time.Duration, _ *rand.Rand) float64 {
			if at%(4*time.Second) < 600*time.Millisecond {
				return 2.5
			}
			return 1
		}, low: 0.9, top: 1.25},
		{name: "broken off once", factor: func(at time.Duration, _ *rand.Rand) float64 {
			if at == 10*time.Second {
				return 1000
			}
			return 1
		}, low: 0.85, top: 1.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			var meters [2]Meter
			for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
				for i, upstream := range []string{"peer-1", "peer-2", "peer-3", "it"} {
					factor := 1.0
					if upstream == "it" {
						factor = tt.factor(at, r)
					}
					took := factor * 0.1 * math.Exp(0.3*r.NormFloat64())
					m := &meters[(i+int(at/(250*time.Millisecond)))%2]
					m.Record(start.Add(at), upstream, Class{Kind: "report"}, time.Duration(took*float64(time.Second)))
				}
			}
			now := start.Add(20 * time.Second)
			slowness := meters[0].Evidence(now, "it").Plus(meters[1].Evidence(now, "it")).Slowness()
			t.Logf("slowness %.2f", slowness)
			is.True(slowness >= tt.low && slowness <= tt.top)
			later := now.Add(10 * halfLife)
			is.True(math.Abs(math.Log(meters[0].Evidence(later, "it").Slowness())) < 0.05) // forgotten
			is.Equal(Evidence{}.Slowness(), 1.0)
		})
	}
}

// TestLoadIsNotSlowness gives one of two equal upstreams ten times the load.
func TestLoadIsNotSlowness(t *testing.T) {
	is := is.New(t)
	var m Meter
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		for upstream, load := range map[string]float64{"busy": 40, "free": 4} {
			// Either upstream is met with either load at times.
			if i%10 == 0 {
				load = 44 - load
			}
			m.Record(now, upstream, Class{Kind: "answer", Load: LoadClass(load)}, time.Duration(load)*time.Millisecond)
		}
	}
	is.True(math.Abs(m.Evidence(start.Add(10*time.Second), "busy").Slowness()-1) < 0.05)
}

func TestLine(t *testing.T) {
	is := is.New(t)
	l := Line{Base: 30 * time.Millisecond, PerUnit: 200 * time.Millisecond, Unit: 10_000}
	is.Equal(l.At(10_000), 230*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		size := 40_000 * r.Float64()
		l.Record(size, time.Duration((0.05+size/20_000)*float64(time.Second)))
	}
	is.True(math.Abs(l.At(20_000).Seconds()-1.05) < 0.1)
	is.True(math.Abs(l.PerSize()*20_000-1) < 0.1)
}
