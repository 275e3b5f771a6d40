package cascade

import "time"

// The bounds of a Ladder.
const (
	// minConfidence is the confidence from which on an answer is delivered when there
	// is room for larger models.
	minConfidence = 50
	// lateMinConfidence is that confidence when the larger model's answer would come
	// after the latency objective.
	lateMinConfidence = 10
	// lowPressure and strained are the parts of the latency objective that first
	// answers take on average when larger models may be asked freely, and when
	// they may not be asked at all.
	lowPressure  = 0.10
	highPressure = 0.40
	// latencyWeight is the weight of the newest latency in an average.
	latencyWeight = 0.05
	// latencyMargin is how much longer than the average an answer may well take.
	latencyMargin = 1.5
	// lostLatency is what an attempt without an answer counts, in latency objectives.
	lostLatency = 2.0
)

// A Escalator decides, for one service, whether the answer of a small model is
// delivered or a larger one is asked. It goes by the model's confidence, by
// whether the larger model can answer in time, and by how much the service is
// strained: a large model takes many times the work of a small one, so that in
// a shortage everybody is served better by small models. The zero Escalator is
// ready to use; it is guarded by its owner's mutex.
type Escalator struct {
	pressure  float64                  // average of first latencies, in objectives
	latencies map[string]time.Duration // averages, by kind of attempt
}

// ObserveLatency takes the time into account that an attempt of a kind took to its
// first answer. small says that the smallest model was asked.
func (l *Escalator) ObserveLatency(kind string, latency, target time.Duration, small bool) {
	if l.latencies == nil {
		l.latencies = map[string]time.Duration{}
	}
	average, ok := l.latencies[kind]
	if !ok {
		average = latency
	}
	l.latencies[kind] = average + time.Duration(latencyWeight*float64(latency-average))
	if small && target > 0 {
		l.updatePressure(float64(latency) / float64(target))
	}
}

// ObserveLoss takes an attempt into account that had no answer in its time.
func (l *Escalator) ObserveLoss() { l.updatePressure(lostLatency) }

func (l *Escalator) updatePressure(x float64) {
	l.pressure += latencyWeight * (min(x, lostLatency) - l.pressure)
}

// Pressure returns the average time to first answers, in latency objectives.
func (l *Escalator) Pressure() float64 { return l.pressure }

// ExpectedLatency returns the average time to the first answer of a kind of attempt,
// or 0 when none is known.
func (l *Escalator) ExpectedLatency(kind string) time.Duration { return l.latencies[kind] }

// A EscalateParams is whether a larger model is asked.
type EscalateParams struct {
	Confidence    int // of the model that has answered, from 0 to 100
	Elapsed       time.Duration
	LatencyTarget time.Duration // latency objective
	LargerKind    string        // kind of the attempt at the larger model
}

// Escalate reports whether the larger model is asked.
func (l *Escalator) Escalate(q EscalateParams) bool {
	need := minConfidence * min(1, max(0, (highPressure-l.pressure)/(highPressure-lowPressure)))
	expected := time.Duration(latencyMargin * float64(l.latencies[q.LargerKind]))
	if q.LatencyTarget > 0 && q.Elapsed+expected > q.LatencyTarget {
		need = min(need, lateMinConfidence)
	}
	return float64(q.Confidence) < need
}
