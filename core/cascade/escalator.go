package cascade

import "time"

// Parameters of an Escalator. Latencies are averages of the time to the first
// answer.
const (
	// minConfidence is the confidence, from 0 to 100, from which on an answer
	// is delivered at low pressure.
	minConfidence = 50
	// lateMinConfidence replaces minConfidence, if that is higher, when the
	// larger model's answer would come after the latency objective.
	lateMinConfidence = 10
	// lowPressure is the pressure up to which larger models are asked without
	// restriction; highPressure is the one from which on they are not asked at
	// all. See Escalator.Pressure for the unit.
	lowPressure  = 0.10
	highPressure = 0.40
	// latencyWeight is the weight of the newest latency in a moving average.
	latencyWeight = 0.05
	// latencyMargin is the multiple of its average latency that the larger
	// model is assumed to take.
	latencyMargin = 1.5
	// lostLatency is the latency, in latency objectives, that an attempt without
	// an answer counts for. It is also the largest latency counted.
	lostLatency = 2.0
)

// An Escalator decides, for one service, whether the answer of a small model is
// delivered or a larger model is asked. The decision depends on the small
// model's confidence, on whether the larger model can answer in time, and on
// the load of the service: a large model takes many times the work of a small
// one, so under overload small models serve all callers better. The zero
// Escalator is ready to use. An Escalator is not safe for concurrent use; its
// owner's mutex guards it.
type Escalator struct {
	pressure  float64                  // see Pressure
	latencies map[string]time.Duration // moving averages, by kind of attempt
}

// RecordLatency records the time that an attempt of a kind took to its first
// answer. objective is the latency objective, or 0 for none. small says whether
// the smallest model was asked; only then does the latency affect the pressure.
func (e *Escalator) RecordLatency(kind string, latency, objective time.Duration, small bool) {
	if e.latencies == nil {
		e.latencies = map[string]time.Duration{}
	}
	average, ok := e.latencies[kind]
	if !ok {
		average = latency
	}
	e.latencies[kind] = average + time.Duration(latencyWeight*float64(latency-average))
	if small && objective > 0 {
		e.updatePressure(float64(latency) / float64(objective))
	}
}

// RecordLoss records an attempt that was not answered in time.
func (e *Escalator) RecordLoss() { e.updatePressure(lostLatency) }

// updatePressure adds a latency, in latency objectives, to the moving average.
func (e *Escalator) updatePressure(latency float64) {
	e.pressure += latencyWeight * (min(latency, lostLatency) - e.pressure)
}

// Pressure returns the moving average of the time to the first answer of the
// smallest model, as a multiple of the latency objective. Attempts without an
// answer count as lostLatency.
func (e *Escalator) Pressure() float64 { return e.pressure }

// ExpectedLatency returns the average time to the first answer of a kind of
// attempt, or 0 if none was observed.
func (e *Escalator) ExpectedLatency(kind string) time.Duration { return e.latencies[kind] }

// EscalateParams are the inputs to the decision whether a larger model is
// asked.
type EscalateParams struct {
	Confidence       int // of the model that has answered, from 0 to 100
	Elapsed          time.Duration
	LatencyObjective time.Duration // 0 for none
	LargerKind       string        // kind of attempt that asks the larger model
}

// Escalate reports whether the larger model is asked.
func (e *Escalator) Escalate(p EscalateParams) bool {
	required := minConfidence * min(1, max(0, (highPressure-e.pressure)/(highPressure-lowPressure)))
	expected := time.Duration(latencyMargin * float64(e.latencies[p.LargerKind]))
	if p.LatencyObjective > 0 && p.Elapsed+expected > p.LatencyObjective {
		required = min(required, lateMinConfidence)
	}
	return float64(p.Confidence) < required
}
