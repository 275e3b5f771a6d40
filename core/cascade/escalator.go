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
	// minEndChance is the least predicted chance that the answer of a larger model ends
	// before the deadline: its caller had an answer coming.
	minEndChance = 0.8
	// stepWeight is the weight of the newest difference between the confidences of two
	// models in a moving average.
	stepWeight = 0.1
)

// firstStep is the difference between the confidences of a model that is not the largest
// and the smaller one that is assumed as long as none was seen.
var firstStep = moments{mean: 15, deviation: 10}

// An Escalator decides, for one service, whether the answer of a small model is
// delivered or a larger model is asked. The decision depends on the small
// model's confidence, on whether the larger model can begin, go on and end in
// time, and on the load of the service: a large model takes many times the work
// of a small one, so under overload small models serve all callers better. Of the
// larger models the smallest is asked whose confidence is expected to suffice.
// The zero Escalator is ready to use. An Escalator is not safe for concurrent use; its
// owner's mutex guards it.
type Escalator struct {
	Forecast

	pressure  float64           // see Pressure
	latencies map[string]*trend // seconds to the first answer on tokens of the prompt, by kind of attempt
	steps     map[step]*moments // differences between the confidences of two models
}

// A step leads from a model to a larger one.
type step struct{ from, to string }

// An Attempt identifies attempts that are alike: the kind of request and the model.
type Attempt struct{ Kind, Model string }

// key returns the key under which latencies are kept.
func (a Attempt) key() string {
	if a.Model == "" {
		return a.Kind
	}
	return a.Kind + "/" + a.Model
}

// RecordLatency records the time that an attempt took to its first answer, with a prompt
// of so many tokens. objective is the latency objective, or 0 for none. small says whether
// the smallest model was asked; only then does the latency affect the pressure.
func (e *Escalator) RecordLatency(a Attempt, tokens int, took, objective time.Duration, small bool) {
	if e.latencies == nil {
		e.latencies = map[string]*trend{}
	}
	if l := e.latencies[a.key()]; l != nil {
		l.add(float64(tokens), took.Seconds(), latencyWeight)
	} else {
		e.latencies[a.key()] = &trend{x: float64(tokens), y: took.Seconds()}
	}
	if small && objective > 0 {
		e.updatePressure(float64(took) / float64(objective))
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

// ExpectedLatency returns the average time to the first answer of an attempt, or 0 if none
// was observed.
func (e *Escalator) ExpectedLatency(a Attempt) time.Duration {
	if l := e.latencies[a.key()]; l != nil {
		return seconds(l.y)
	}
	return 0
}

// firstEvent returns the time to the first event that is to be expected with a prompt.
func (e *Escalator) firstEvent(a Attempt, tokens int) time.Duration {
	l := e.latencies[a.key()]
	if l == nil {
		return 0
	}
	return seconds(latencyMargin * (l.y + max(0, l.slope())*max(0, float64(tokens)-l.x)))
}

// RecordStep records the confidences of two models in their answers to one request.
func (e *Escalator) RecordStep(from, to string, before, after int) {
	if before <= 0 || after >= 100 {
		return // the difference is cut off
	}
	if e.steps == nil {
		e.steps = map[step]*moments{}
	}
	m := e.steps[step{from, to}]
	if m == nil {
		first := firstStep
		m = &first
		e.steps[step{from, to}] = m
	}
	m.add(float64(after-before), stepWeight)
}

// expectedConfidence returns the confidence that a larger model is expected to have. Without
// strain it is what most answers have at least.
func (e *Escalator) expectedConfidence(from, to string, confidence int, strained bool) float64 {
	m := e.steps[step{from, to}]
	if m == nil {
		m = &firstStep
	}
	expected := float64(confidence) + m.mean
	if !strained {
		expected -= m.deviation / 2
	}
	return expected
}

// EscalateParams are the inputs to the decision whether a larger model is
// asked.
type EscalateParams struct {
	Now              time.Time
	Kind             string   // of the request
	Model            string   // that has answered
	Smallest         string   // model that may answer
	Larger           []string // models that may be asked, smallest first
	Confidence       int      // of the model that has answered, from 0 to 100
	PromptTokens     int
	Length           Length
	Elapsed          time.Duration
	TimeLeft         time.Duration // until the deadline
	LatencyObjective time.Duration // 0 for none
	GapTarget        time.Duration // longest pause between events that meets the objective; 0 for none
}

// A Reason says why a larger model is asked or not.
type Reason string

// The reasons.
const (
	Escalated  Reason = "escalated"
	Confident  Reason = "confident"   // the answer is good enough
	Strained   Reason = "strained"    // it is for the present load of the service
	BeginsLate Reason = "begins-late" // it is compared with one that begins after the objective
	EndsLate   Reason = "ends-late"   // the larger model's answer may not end before the deadline
	Pauses     Reason = "pauses"      // the larger model pauses too long between events
	NoBudget   Reason = "no-budget"   // retries are used up
	NoUpstream Reason = "no-upstream" // no upstream would take the request now
)

// A Decision says whether a larger model is asked, and what decided.
type Decision struct {
	From     string // model that has answered
	Model    string // to ask; empty to deliver the answer
	Reason   Reason
	Required float64 // confidence
	Outlook  Outlook // of the larger model considered last
}

// Escalate decides whether a larger model is asked.
func (e *Escalator) Escalate(p EscalateParams) Decision {
	d := Decision{From: p.Model, Required: minConfidence * min(1, max(0, (highPressure-e.pressure)/(highPressure-lowPressure)))}
	switch confidence := float64(p.Confidence); {
	case confidence >= minConfidence:
		d.Reason = Confident
	case confidence >= d.Required:
		d.Reason = Strained
	default:
		return e.chooseLarger(p, d)
	}
	return d
}

// chooseLarger decides which larger model is asked, if one serves.
func (e *Escalator) chooseLarger(p EscalateParams, d Decision) Decision {
	for i, model := range p.Larger {
		if i < len(p.Larger)-1 && e.expectedConfidence(p.Model, model, p.Confidence, d.Required < minConfidence) < minConfidence {
			continue
		}
		d.Outlook = e.outlook(p, model)
		if d.Reason = e.unfit(p, model, d.Outlook); d.Reason == Escalated {
			d.Model = model
			return d
		}
	}
	return d
}

// outlook predicts the answer of a model.
func (e *Escalator) outlook(p EscalateParams, model string) Outlook {
	return e.Outlook(p.Now, model, p.Smallest, p.Kind, p.Length, e.firstEvent(Attempt{p.Kind, model}, p.PromptTokens), p.TimeLeft)
}

// unfit returns why a larger model is not asked, or Escalated.
func (e *Escalator) unfit(p EscalateParams, model string, o Outlook) Reason {
	usual := time.Duration(latencyMargin * float64(e.ExpectedLatency(Attempt{p.Kind, model})))
	switch {
	case p.LatencyObjective > 0 && p.Elapsed+usual > p.LatencyObjective && p.Confidence >= lateMinConfidence:
		return BeginsLate
	case o.Chance < minEndChance:
		return EndsLate
	case p.GapTarget > 0 && o.Pause > p.GapTarget:
		return Pauses
	}
	return Escalated
}

// EndsInTime reports whether the answer of a model that is to be asked again still ends
// before the deadline.
func (e *Escalator) EndsInTime(p EscalateParams, model string) bool {
	return e.outlook(p, model).Chance >= minEndChance
}
