package cascade

import "time"

// The bounds of a Ladder.
const (
	// enough is the confidence from which on an answer is delivered when there
	// is room for larger models.
	enough = 50
	// lateEnough is that confidence when the larger model's answer would come
	// after the latency objective.
	lateEnough = 10
	// calm and strained are the parts of the latency objective that first
	// answers take on average when larger models may be asked freely, and when
	// they may not be asked at all.
	calm     = 0.10
	strained = 0.40
	// latencyWeight is the weight of the newest latency in an average.
	latencyWeight = 0.05
	// spread is how much longer than the average an answer may well take.
	spread = 1.5
	// lost is what an attempt without an answer counts, in latency objectives.
	lost = 2.0
)

// A Ladder decides, for one service, whether the answer of a small model is
// delivered or a larger one is asked. It goes by the model's confidence, by
// whether the larger model can answer in time, and by how much the service is
// strained: a large model takes many times the work of a small one, so that in
// a shortage everybody is served better by small models. The zero Ladder is
// ready to use; it is guarded by its owner's mutex.
type Ladder struct {
	pressure  float64                  // average of first latencies, in objectives
	latencies map[string]time.Duration // averages, by kind of attempt
}

// Observe takes the time into account that an attempt of a kind took to its
// first answer. small says that the smallest model was asked.
func (l *Ladder) Observe(kind string, latency, target time.Duration, small bool) {
	if l.latencies == nil {
		l.latencies = map[string]time.Duration{}
	}
	average, ok := l.latencies[kind]
	if !ok {
		average = latency
	}
	l.latencies[kind] = average + time.Duration(latencyWeight*float64(latency-average))
	if small && target > 0 {
		l.press(float64(latency) / float64(target))
	}
}

// Lost takes an attempt into account that had no answer in its time.
func (l *Ladder) Lost() { l.press(lost) }

func (l *Ladder) press(x float64) { l.pressure += latencyWeight * (min(x, lost) - l.pressure) }

// Pressure returns the average time to first answers, in latency objectives.
func (l *Ladder) Pressure() float64 { return l.pressure }

// Expected returns the average time to the first answer of a kind of attempt,
// or 0 when none is known.
func (l *Ladder) Expected(kind string) time.Duration { return l.latencies[kind] }

// A Question is whether a larger model is asked.
type Question struct {
	Confidence int // of the model that has answered, from 0 to 100
	Elapsed    time.Duration
	Target     time.Duration // latency objective
	Larger     string        // kind of the attempt at the larger model
}

// Escalate reports whether the larger model is asked.
func (l *Ladder) Escalate(q Question) bool {
	need := enough * min(1, max(0, (strained-l.pressure)/(strained-calm)))
	expected := time.Duration(spread * float64(l.latencies[q.Larger]))
	if q.Target > 0 && q.Elapsed+expected > q.Target {
		need = min(need, lateEnough)
	}
	return float64(q.Confidence) < need
}
