package cascade

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A workload is the requests of one class. The cheap model's chance to suffice
// depends on the bucket and drifts half way.
type workload struct {
	name         string
	target       float64
	cheap, large float64          // cost of an answer
	before       [Buckets]float64 // chance that the cheap answer suffices
	after        [Buckets]float64
	largeGood    float64
}

var workloads = []workload{
	{name: "dossiers", target: 0.9, cheap: 1, large: 10, before: [Buckets]float64{0.7, 0.6, 0.5, 0.3}, after: [Buckets]float64{0.6, 0.5, 0.4, 0.2}, largeGood: 0.97},
	{name: "family questions", target: 0.85, cheap: 1, large: 10, before: [Buckets]float64{0.97, 0.95, 0.6, 0.6}, after: [Buckets]float64{0.95, 0.6, 0.6, 0.5}, largeGood: 0.96},
	{name: "tags", target: 0.8, cheap: 1, large: 10, before: [Buckets]float64{0.95, 0.95, 0.95, 0.9}, after: [Buckets]float64{0.9, 0.9, 0.9, 0.88}, largeGood: 0.98},
	{name: "condition reports", target: 0.92, cheap: 2, large: 12, before: [Buckets]float64{0.6, 0.6, 0.6, 0.6}, after: [Buckets]float64{0.75, 0.75, 0.7, 0.7}, largeGood: 0.97},
	{name: "letters", target: 0.88, cheap: 1, large: 8, before: [Buckets]float64{0.98, 0.97, 0.95, 0.6}, after: [Buckets]float64{0.7, 0.6, 0.5, 0.4}, largeGood: 0.96},
	{name: "batch summaries", target: 0.8, cheap: 1, large: 9, before: [Buckets]float64{0.1, 0.1, 0.08, 0.05}, after: [Buckets]float64{0.12, 0.1, 0.08, 0.05}, largeGood: 0.95},
}

const (
	requests     = 12_000
	betweenCalls = 700 * time.Millisecond
	lateRating   = 30 * time.Second
	ratedShare   = 0.4 // of the answers given without waiting for a rating
	outageFrom   = 0.3 // shares of the run
	outageTo     = 0.36
)

// A result is the cost and quality of a run.
type result struct{ cost, quality float64 }

// A late rating arrives some time after its answer.
type late struct {
	at       time.Time
	bucket   Bucket
	sufficed bool
}

// play runs a workload under a policy.
func (w *workload) play(seed uint64, choose func(time.Time, *Learner, Bucket, *rand.Rand) Choice) result {
	r := rand.New(rand.NewPCG(seed, 1))
	policy := rand.New(rand.NewPCG(seed, 2))
	l := &Learner{}
	var pending []late
	var cost float64
	good := 0
	now := start
	for i := range requests {
		now = now.Add(betweenCalls)
		for len(pending) > 0 && !pending[0].at.After(now) {
			l.Rated(now, pending[0].bucket, pending[0].sufficed)
			pending = pending[1:]
		}
		share := float64(i) / requests
		down := share >= outageFrom && share < outageTo
		chances := &w.before
		if share >= 0.5 {
			chances = &w.after
		}
		b := Bucket(r.IntN(Buckets))
		cheapGood, largeGood, rated := r.Float64() < chances[b], r.Float64() < w.largeGood, r.Float64() < ratedShare
		switch choose(now, l, b, policy) {
		case Cheap:
			cost += w.cheap
			good += one(cheapGood)
			if rated && !down {
				pending = append(pending, late{now.Add(lateRating), b, cheapGood})
			}
		case CheapFirst:
			cost += w.cheap
			if down {
				l.Unrated(now)
			} else {
				l.Rated(now, b, cheapGood)
			}
			if down || !cheapGood {
				cost += w.large
				good += one(largeGood)
			} else {
				good++
			}
		case Large:
			cost += w.large
			good += one(largeGood)
		}
	}
	return result{cost: cost / requests, quality: float64(good) / requests}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

func fixed(c Choice) func(time.Time, *Learner, Bucket, *rand.Rand) Choice {
	return func(time.Time, *Learner, Bucket, *rand.Rand) Choice { return c }
}

func (w *workload) learned(now time.Time, l *Learner, b Bucket, r *rand.Rand) Choice {
	return l.Choose(now, Situation{Target: w.target, CheapCost: w.cheap, LargeCost: w.large, Bucket: b}, r)
}

// best returns the cost of the best fixed choice that holds the target.
func (w *workload) best(seed uint64) float64 {
	cost := w.play(seed, fixed(Large)).cost
	for _, c := range []Choice{Cheap, CheapFirst} {
		if got := w.play(seed, fixed(c)); got.quality >= w.target {
			cost = min(cost, got.cost)
		}
	}
	return cost
}

// The bounds of the users: the target is held in every class; the cost is at
// most 1.15 times that of the best fixed choice known afterwards, and at least a
// third below always-large where the cheap model suffices for six in ten.
const (
	costBound    = 1.15
	savingBound  = 2.0 / 3
	sixInTen     = 0.6
	measureSeeds = 10
)

func (w *workload) suffices() float64 {
	sum := 0.0
	for b := range w.before {
		sum += w.before[b] + w.after[b]
	}
	return sum / (2 * Buckets)
}

func TestCostAtTheQualityTarget(t *testing.T) {
	for i := range workloads {
		w := &workloads[i]
		for seed := uint64(1); seed <= measureSeeds; seed++ {
			got, best, large := w.play(seed, w.learned), w.best(seed), w.play(seed, fixed(Large)).cost
			if got.quality < w.target {
				t.Errorf("%s, seed %d: quality %.3f is below the target %.2f", w.name, seed, got.quality, w.target)
			}
			if got.cost > costBound*best {
				t.Errorf("%s, seed %d: cost %.2f is %.2f times the best fixed choice", w.name, seed, got.cost, got.cost/best)
			}
			if w.suffices() >= sixInTen && got.cost > savingBound*large {
				t.Errorf("%s, seed %d: cost %.2f is %.2f of always-large", w.name, seed, got.cost, got.cost/large)
			}
		}
	}
}

// BenchmarkMeasureCost reports, for each class, the cost over that of always
// using the large model, of always trying the cheap one first, and of the best
// fixed choice, and the quality over the target.
func BenchmarkMeasureCost(b *testing.B) {
	for i := range workloads {
		w := &workloads[i]
		b.Run(fmt.Sprint(w.name), func(b *testing.B) {
			var got result
			for b.Loop() {
				got = w.play(1, w.learned)
			}
			b.ReportMetric(got.cost/w.play(1, fixed(Large)).cost, "of-always-large")
			b.ReportMetric(got.cost/w.play(1, fixed(CheapFirst)).cost, "of-cheap-first")
			b.ReportMetric(got.cost/w.best(1), "of-best-fixed")
			b.ReportMetric(got.quality, "quality")
			b.ReportMetric(w.target, "target")
		})
	}
}
