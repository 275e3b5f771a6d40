package cascade

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A simulated model serves requests up to a difficulty, from 0 to 1.
type simulatedModel struct {
	name       string
	difficulty float64
	gap        time.Duration // between events without load
	cost       float64       // of an event
}

var simulatedModels = []simulatedModel{
	{name: "small", difficulty: 0.55, gap: 60 * time.Millisecond, cost: 1},
	{name: "middle", difficulty: 0.65, gap: 80 * time.Millisecond, cost: 7},
	{name: "large", difficulty: 1, gap: 160 * time.Millisecond, cost: 14},
}

const (
	simulatedReports  = 6000
	simulatedDeadline = 20 * time.Second
	promptEvents      = 4 // cost of reading a prompt, in events
	loadedSlowdown    = 3 // of the largest model in every second half minute; a third of that for the smallest
)

// A simulatedReport is one request: its difficulty, its length, and how it looks to the product.
type simulatedReport struct {
	hard   float64
	events int
	length Length
}

func drawReport(r *rand.Rand) simulatedReport {
	events := min(140, 48*math.Exp(0.44*r.NormFloat64()))
	return simulatedReport{hard: math.Pow(r.Float64(), 0.8), events: int(events), length: Length{Hint: int(8 * events * math.Exp(0.5*r.NormFloat64())), Max: 1120}}
}

// confidence returns a model's rough opinion of its answer.
func (m *simulatedModel) confidence(q simulatedReport, r *rand.Rand) int {
	return int(min(100, max(0, 50+150*(m.difficulty-q.hard)+8*r.NormFloat64())))
}

// A cascadeResult is what reports got, as means.
type cascadeResult struct{ cost, served, good, dropped float64 }

// An escalationPolicy returns the index of the model to ask instead of the one that was
// asked, or that one's. -1 means that none was asked.
type escalationPolicy func(e *Escalator, p EscalateParams, asked int) int

var escalationPolicies = []struct {
	name   string
	choose escalationPolicy
}{
	{"smallest", func(*Escalator, EscalateParams, int) int { return 0 }},
	{"largest", func(*Escalator, EscalateParams, int) int { return 2 }},
	{"by-confidence", func(_ *Escalator, p EscalateParams, asked int) int {
		if p.Confidence < minConfidence {
			return 2
		}
		return max(asked, 0)
	}},
	{"by-end", func(e *Escalator, p EscalateParams, asked int) int {
		if asked < 0 {
			return 0
		}
		d := e.Escalate(p)
		for i, m := range simulatedModels {
			if m.name == d.Model {
				return i
			}
		}
		return asked
	}},
}

// simulateCascade has reports answered one after the other under a policy, under load in
// every second half minute.
func simulateCascade(seed uint64, choose escalationPolicy) cascadeResult {
	r := rand.New(rand.NewPCG(seed, 1))
	var e Escalator
	var sum cascadeResult
	now := time.Unix(0, 0)
	for range simulatedReports {
		now = now.Add(200 * time.Millisecond)
		slowdown := 1.0
		if now.Unix()/30%2 == 1 {
			slowdown = loadedSlowdown
		}
		sum.add(e.answer(now, drawReport(r), slowdown, choose, r))
	}
	return cascadeResult{sum.cost / simulatedReports, sum.served / simulatedReports, sum.good / simulatedReports, sum.dropped / simulatedReports}
}

func (c *cascadeResult) add(o cascadeResult) {
	c.cost += o.cost
	c.served += o.served
	c.good += o.good
	c.dropped += o.dropped
}

// answer has one report answered, and lets the escalator learn from that.
func (e *Escalator) answer(now time.Time, q simulatedReport, slowdown float64, choose escalationPolicy, r *rand.Rand) cascadeResult {
	var result cascadeResult
	elapsed, before := time.Duration(0), -1
	asked := choose(nil, EscalateParams{Confidence: 100}, -1)
	for {
		m := &simulatedModels[asked]
		slow := 1 + (slowdown-1)*float64(asked+1)/3
		first := time.Duration(slow * 5 * float64(m.gap))
		e.RecordLatency(Attempt{"report", m.name}, 6000, first, 0, asked == 0)
		elapsed += first
		result.cost += promptEvents * m.cost
		confidence := m.confidence(q, r)
		if before >= 0 {
			e.RecordStep("small", m.name, before, confidence)
		}
		next := asked
		if asked < 2 {
			next = choose(e, EscalateParams{
				Now: now, Kind: "report", Model: m.name, Smallest: "small", Larger: names(asked + 1), Confidence: confidence,
				PromptTokens: 6000, Length: q.length, Elapsed: elapsed, TimeLeft: simulatedDeadline - elapsed,
			}, asked)
		}
		if next == asked {
			return e.write(now, q, m, time.Duration(slow*float64(m.gap)), elapsed, result)
		}
		if asked == 0 {
			before = confidence
		}
		result.dropped++
		asked = next
	}
}

// write writes the answer of a model, whose first event came after a time.
func (e *Escalator) write(now time.Time, q simulatedReport, m *simulatedModel, gap, elapsed time.Duration, result cascadeResult) cascadeResult {
	written := min(q.events, int((simulatedDeadline-elapsed)/gap))
	e.RecordSpan(now, m.name, "small", gap, gap)
	e.RecordLength("report", q.length, written, written < q.events)
	result.cost += float64(written) * m.cost
	if written == q.events {
		result.served = 1
		if q.hard <= m.difficulty {
			result.good = 1
		}
	}
	return result
}

func names(from int) []string {
	var names []string
	for _, m := range simulatedModels[from:] {
		names = append(names, m.name)
	}
	return names
}

// TestCascadeServesAndSaves checks that nearly as many reports are answered in time as by
// the smallest model, and nearly as many well as by confidence alone, at three quarters of
// the cost.
func TestCascadeServesAndSaves(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		var results []cascadeResult
		for _, p := range escalationPolicies {
			results = append(results, simulateCascade(seed, p.choose))
		}
		small, confident, got := results[0], results[2], results[3]
		if got.served < small.served-0.05 {
			t.Errorf("seed %d: %.3f are answered in time, by the smallest model %.3f", seed, got.served, small.served)
		}
		if got.good < 0.9*confident.good || got.cost > 0.75*confident.cost {
			t.Errorf("seed %d: %.3f good at %.0f, by confidence alone %.3f at %.0f", seed, got.good, got.cost, confident.good, confident.cost)
		}
	}
}

// BenchmarkMeasureCascade reports for each policy the cost of a report, the shares that are
// answered in time and well, and the runs that are dropped.
func BenchmarkMeasureCascade(b *testing.B) {
	for _, p := range escalationPolicies {
		b.Run(p.name, func(b *testing.B) {
			var got cascadeResult
			for b.Loop() {
				got = simulateCascade(1, p.choose)
			}
			b.ReportMetric(got.cost, "cost")
			b.ReportMetric(got.served, "served")
			b.ReportMetric(got.good, "good")
			b.ReportMetric(got.dropped, "dropped")
		})
	}
}
