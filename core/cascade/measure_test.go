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

// A policy makes the choice for a request.
type policy func(time.Time, *Learner, Bucket, *rand.Rand) Choice

// A play is one run of a workload under a policy.
type play struct {
	*workload
	learner Learner
	pending []late
	now     time.Time
	down    bool // the rating service
	cost    float64
	good    int
}

// play runs a workload under a policy.
func (w *workload) play(seed uint64, choose policy) result {
	r := rand.New(rand.NewPCG(seed, 1))
	forPolicy := rand.New(rand.NewPCG(seed, 2))
	p := &play{workload: w, now: start}
	for i := range requests {
		share := float64(i) / requests
		p.advance(share)
		chances := &w.before
		if share >= 0.5 {
			chances = &w.after
		}
		b := Bucket(r.IntN(Buckets))
		o := answers{cheapGood: r.Float64() < chances[b], largeGood: r.Float64() < w.largeGood, rated: r.Float64() < ratedShare}
		p.request(choose(p.now, &p.learner, b, forPolicy), b, o)
	}
	return result{cost: p.cost / requests, quality: float64(p.good) / requests}
}

// answers are what both models would answer to a request.
type answers struct{ cheapGood, largeGood, rated bool }

// advance lets time pass and late ratings arrive.
func (p *play) advance(share float64) {
	p.now = p.now.Add(betweenCalls)
	p.down = share >= outageFrom && share < outageTo
	for len(p.pending) > 0 && !p.pending[0].at.After(p.now) {
		p.learner.Rated(p.now, p.pending[0].bucket, p.pending[0].sufficed)
		p.pending = p.pending[1:]
	}
}

func (p *play) request(c Choice, b Bucket, a answers) {
	switch c {
	case Cheap:
		p.cost += p.cheap
		p.good += one(a.cheapGood)
		if a.rated && !p.down {
			p.pending = append(p.pending, late{p.now.Add(lateRating), b, a.cheapGood})
		}
	case CheapFirst:
		p.cheapFirst(b, a)
	case Large:
		p.cost += p.large
		p.good += one(a.largeGood)
	}
}

func (p *play) cheapFirst(b Bucket, a answers) {
	p.cost += p.cheap
	if p.down {
		p.learner.Unrated(p.now)
	} else {
		p.learner.Rated(p.now, b, a.cheapGood)
	}
	if p.down || !a.cheapGood {
		p.cost += p.large
		p.good += one(a.largeGood)
		return
	}
	p.good++
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

func fixed(c Choice) policy {
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
