package cascade

import (
	"math"
	"time"
)

const (
	// spanWeight is the weight of the newest span of events in a moving average, and
	// answerWeight that of the newest answer.
	spanWeight   = 0.05
	answerWeight = 0.05
	// paceAge is the age from which on a new span replaces the pace of a model, rather than
	// being added to it.
	paceAge = 4 * time.Second
	// slowHalfLife is the time in which a model that isn't asked regains half of what it is
	// slower by than the reference: without that it might never be asked again.
	slowHalfLife = 30 * time.Second
	// minSpread is the least standard deviation, as a logarithm, that the length of an
	// answer is taken to have, and firstSpread is that of a kind of which no answer is known.
	minSpread   = 0.2
	firstSpread = 0.7
	// eventTokens is the number of tokens that an event is taken to hold as long as no
	// answer of the kind is known.
	eventTokens = 4
)

// A Length is what a caller says about the length of an answer.
type Length struct {
	Hint int // its estimate of the tokens; 0 for none
	Max  int // tokens; 0 for no bound
}

// base returns the number of tokens against which answers are measured.
func (l Length) base() int {
	switch {
	case l.Hint > 0 && l.Max > 0:
		return min(l.Hint, l.Max)
	case l.Hint > 0:
		return l.Hint
	}
	return max(l.Max, 1)
}

// A pace is how fast a model writes.
type pace struct {
	gap       moments // seconds between events
	pause     moments // longest of a span, in seconds
	newest    time.Time
	reference float64 // gap of the reference model at that time; 0 if unknown
}

// A lengthKey tells kinds of answers apart whose lengths are compared.
type lengthKey struct {
	kind   string
	hinted bool
}

// A Forecast predicts how long the rest of an answer takes, from how long this instance's
// own answers took: their lengths against what callers estimate, and the times between
// events of each model at present load. The zero Forecast is ready to use. It is not safe
// for concurrent use.
type Forecast struct {
	paces   map[string]*pace     // by model
	lengths map[lengthKey]*trend // of the logarithm of events on that of the base
}

// RecordSpan records a span of consecutive events of a model: the mean time between them
// and the longest. The reference is the model of which most is known: what slows one slows
// the other.
func (f *Forecast) RecordSpan(now time.Time, model, reference string, gap, pause time.Duration) {
	if f.paces == nil {
		f.paces = map[string]*pace{}
	}
	p := f.paces[model]
	if p == nil || now.Sub(p.newest) > paceAge {
		p = &pace{gap: moments{mean: gap.Seconds()}, pause: moments{mean: pause.Seconds()}}
		f.paces[model] = p
	}
	p.gap.add(gap.Seconds(), spanWeight)
	p.pause.add(pause.Seconds(), spanWeight)
	p.newest = now
	p.reference = f.gap(reference)
}

// gap returns the time between events of a model, in seconds, or 0 if it is unknown.
func (f *Forecast) gap(model string) float64 {
	if p := f.paces[model]; p != nil {
		return p.gap.mean
	}
	return 0
}

// presentGap returns the time between events of a model, in seconds, as the reference has
// changed since it was observed.
func (f *Forecast) presentGap(now time.Time, p *pace, reference string) float64 {
	present := f.gap(reference)
	if p.reference <= 0 || present <= 0 {
		return p.gap.mean
	}
	ratio := p.gap.mean / p.reference
	if ratio > 1 {
		ratio = 1 + (ratio-1)*math.Exp2(-now.Sub(p.newest).Seconds()/slowHalfLife.Seconds())
	}
	return present * ratio
}

// RecordLength records the number of events of an answer of a kind. If the answer was cut
// off, it would have been longer.
func (f *Forecast) RecordLength(kind string, l Length, events int, cut bool) {
	if events <= 0 {
		return
	}
	if f.lengths == nil {
		f.lengths = map[lengthKey]*trend{}
	}
	key, x, base := lengthKey{kind, l.Hint > 0}, math.Log(float64(events)), math.Log(float64(l.base()))
	m := f.lengths[key]
	if m == nil {
		// As far as nothing else is known, answers follow the base.
		const v = firstSpread * firstSpread
		f.lengths[key] = &trend{x: base, y: x, xx: v, yy: 2 * v, xy: v}
		return
	}
	if usual, _ := m.predict(base); !cut || x > usual {
		m.add(base, x, answerWeight)
	}
}

// events returns the median number of events of an answer and the standard deviation of
// its logarithm.
func (f *Forecast) events(kind string, l Length) (median, spread float64) {
	m := f.lengths[lengthKey{kind, l.Hint > 0}]
	if m == nil {
		return math.Max(1, float64(l.base())/eventTokens), firstSpread
	}
	mean, spread := m.predict(math.Log(float64(l.base())))
	return math.Exp(mean), math.Max(minSpread, spread)
}

// An Outlook is what is predicted of an answer that a model has yet to write.
type Outlook struct {
	End    time.Duration // until the predicted end of the answer
	Chance float64       // that it ends within the time left, from 0 to 1
	Pause  time.Duration // longest pause between events that is usual
	Age    time.Duration // of the newest observation
	Known  bool          // the model's pace has been observed
}

// Outlook predicts an answer of a model whose first event comes after a time. A model that
// was never observed is taken to end in time.
func (f *Forecast) Outlook(now time.Time, model, reference, kind string, l Length, first, left time.Duration) Outlook {
	p := f.paces[model]
	if p == nil {
		return Outlook{Chance: 1}
	}
	events, spread := f.events(kind, l)
	gap := f.presentGap(now, p, reference)
	o := Outlook{
		End:   first + seconds(events*gap),
		Pause: seconds((p.pause.mean + p.pause.deviation) * gap / math.Max(p.gap.mean, 1e-9)),
		Age:   now.Sub(p.newest),
		Known: true,
	}
	switch {
	case first >= left:
	case gap <= 0:
		o.Chance = 1
	default:
		spread = math.Hypot(spread, normalDeviation*p.gap.deviation/p.gap.mean)
		o.Chance = normalShare(math.Log((left-first).Seconds()/(events*gap)) / spread)
	}
	return o
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}
