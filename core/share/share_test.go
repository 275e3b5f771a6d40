package share

import (
	"fmt"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawnLimits bounds the limits that a test draws.
const drawnLimits = 1000

func members(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("i", i))
	}
	return names
}

// TestPartsAddUpToLimit checks that the parts of all instances add up to the limit, and
// their bursts to what the package promises.
func TestPartsAddUpToLimit(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		if checks++; checks > drawnLimits {
			return
		}
		l := Limit{Rate: rapid.Float64Range(0.01, 200).Draw(t, "rate"), Window: 4 * time.Second}
		all := members(rapid.SampledFrom([]int{1, 2, 3, 5, 7, 8, 11, 24, 80, 295}).Draw(t, "members"))
		rate, burst := 0.0, 0.0
		for _, self := range all {
			p := l.PartOf("u", self, all)
			if p.Rate > 0 && p.Burst < 1 {
				t.Fatalf("the part %v never allows a request", p)
			}
			rate += p.Rate
			burst += p.Burst
		}
		if rate > l.Rate*1.000001 || rate < l.Rate*0.999999 {
			t.Fatalf("the parts of %d members add up to %v of %v", len(all), rate, l.Rate)
		}
		if most := burstRatio*l.Rate*l.Window.Seconds() + burstSlack + 0.000001; burst > most {
			t.Fatalf("the bursts of %d members add up to %v, want at most %v", len(all), burst, most)
		}
	})
}

// TestPlacesAddUp checks that the places of all instances add up, and differ by one at most.
func TestPlacesAddUp(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		if checks++; checks > drawnLimits {
			return
		}
		places := rapid.IntRange(0, 200).Draw(t, "places")
		all := members(rapid.SampledFrom([]int{1, 2, 3, 7, 8, 24, 80}).Draw(t, "members"))
		sum := 0
		for _, self := range all {
			n := PlacesOf(places, "u", self, all)
			if least := places / len(all); n != least && n != least+1 {
				t.Fatalf("one of %d members holds %d of %d places", len(all), n, places)
			}
			sum += n
		}
		if sum != places {
			t.Fatalf("%d members hold %d of %d places", len(all), sum, places)
		}
	})
}

func TestBucket(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		part  Part
		takes []time.Duration // times at which a token is taken
		at    time.Duration
		want  time.Duration
		never bool
	}{
		{name: "full at first", part: Part{Rate: 1, Burst: 2}},
		{name: "empty", part: Part{Rate: 2, Burst: 1}, takes: []time.Duration{0}, want: 500 * time.Millisecond},
		{name: "refilled", part: Part{Rate: 2, Burst: 1}, takes: []time.Duration{0}, at: time.Second},
		{name: "never more than the burst", part: Part{Rate: 2, Burst: 1}, takes: []time.Duration{0, time.Hour}, at: time.Hour, want: 500 * time.Millisecond},
		{name: "no part", never: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b Bucket
			for _, at := range tt.takes {
				b.Take(start.Add(at), tt.part)
			}
			wait, ok := b.Wait(start.Add(tt.at), tt.part)
			is.Equal(wait, tt.want)
			is.Equal(ok, !tt.never)
		})
	}
}

// BenchmarkPartOf divides a limit among 390 instances, which is done once for each limited
// upstream and change of the members.
func BenchmarkPartOf(b *testing.B) {
	all := members(390)
	l := Limit{Rate: 6, Window: 4 * time.Second}
	for b.Loop() {
		l.PartOf("u", "i7", all)
	}
}
