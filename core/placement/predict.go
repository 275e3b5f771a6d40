package placement

import (
	"math"
	"slices"
	"time"

	"banyanyard/core/capacity"
)

const (
	// Assumptions on upstreams that read prompts, until answers tell better.
	assumedHead   = 30 * time.Millisecond // until the first event, without a prompt
	assumedUnit   = 10_000.0              // prompt work that takes assumedRead
	assumedRead   = 200 * time.Millisecond
	assumedGap    = 40 * time.Millisecond // between events of a stream that runs alone
	assumedBeside = time.Millisecond      // more for each stream beside it
	// typicalEvents is the number of events for which streams stay beside each other.
	typicalEvents = 30.0
	// An upstream gets half of its usual requests if its predicted delay exceeds that of most
	// by avoidAges times the age of the news, and at least by minAvoidTime. One that is
	// ahead gets twice as many if that is by catchUpFactor times as much. With the same old
	// news, all instances would otherwise go from one upstream to the next together.
	avoidAges     = 2
	minAvoidTime  = time.Second
	catchUpFactor = 6.0
	// minHeadroom and maxHeadroom bound what the news changes.
	minHeadroom = 0.02
	maxHeadroom = 2.0
	// An instance sends more requests to other failure domains while the predicted delay in
	// its own is more than crossFactor times that in all, and fewer below returnFactor.
	crossFactor  = 1.5
	returnFactor = 1.2
	crossStep    = 0.05
	returnStep   = 0.03
	// minCrossDelay is the delay below which requests stay in any case.
	minCrossDelay = 50 * time.Millisecond
)

// An engine is what an instance knows of the upstreams of a service with prompts.
type engine struct {
	reading   capacity.Line // time to the first event by unread prompt work
	pacing    capacity.Line // time between events by streams at the upstream
	perToken  float64       // seconds for which an upstream of typical pace reads one token
	perStream float64       // seconds by which a further stream delays another one, over all events
	crossing  float64       // share of the requests that may go to other failure domains
}

func newEngine() engine {
	e := engine{
		reading: capacity.Line{Base: assumedHead, PerUnit: assumedRead, Unit: assumedUnit},
		pacing:  capacity.Line{Base: assumedGap, PerUnit: assumedBeside, Unit: 1},
	}
	e.update()
	return e
}

func (e *engine) update() {
	e.perToken = e.reading.PerSize()
	e.perStream = typicalEvents * e.pacing.PerSize()
}

// delay returns the predicted delay at an upstream, in seconds.
func (e *engine) delay(u *upstream) float64 {
	return e.wait(u) + u.slow()*e.perStream*u.load()
}

// wait returns the predicted time in which an upstream reads the prompts that it has, in seconds.
func (e *engine) wait(u *upstream) float64 { return u.slow() * e.perToken * u.prompts.estimate() }

// seconds returns the engine time of an attempt with prompt work at a typical upstream.
func (e *engine) seconds(work float64) float64 { return e.perToken*work + e.perStream }

// updatePredictions refreshes what is derived from the load. That is done with each news of
// it rather than for each request.
func (f *Fleet) updatePredictions(now time.Time) {
	for _, s := range f.services {
		if len(s.upstreams) > 0 {
			f.updateService(now, s)
		}
	}
}

func (f *Fleet) updateService(now time.Time, s *service) {
	e := &s.engine
	e.update()
	usable := prefer(s.upstreams, func(u *upstream) bool { return f.acceptsWork(now, u) })
	all := median(usable, e.delay)
	local := median(f.local(usable), e.delay)
	for _, u := range usable {
		u.headroom = f.headroomFor(e.delay(u) - all)
		u.affinityWeight = math.Exp2(-math.Round(2*math.Log2(u.slow())) / 2)
	}
	switch {
	case local > max(minCrossDelay.Seconds(), crossFactor*all):
		e.crossing = min(1, e.crossing+crossStep)
	case local < max(minCrossDelay.Seconds(), returnFactor*all):
		e.crossing = max(0, e.crossing-returnStep)
	}
}

// headroomFor returns the part of its usual requests that an upstream gets whose predicted
// delay exceeds that of most by a time in seconds. What is far behind is avoided at once; what
// is ahead gets more slowly.
func (f *Fleet) headroomFor(excess float64) float64 {
	avoid := max(minAvoidTime, avoidAges*f.loadAge).Seconds()
	if excess > 0 {
		return max(minHeadroom, 1/(1+math.Pow(excess/avoid, 2)))
	}
	return min(maxHeadroom, 1-excess/(catchUpFactor*avoid))
}

// local returns the upstreams of this failure domain, or all if there are none.
func (f *Fleet) local(us []*upstream) []*upstream {
	return prefer(us, func(u *upstream) bool { return u.FailureDomain == f.domain })
}

func median(us []*upstream, value func(*upstream) float64) float64 {
	values := make([]float64, len(us))
	for i, u := range us {
		values[i] = value(u)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// slow returns how many times as long as a typical peer the upstream takes.
func (u *upstream) slow() float64 {
	if u.slowness == 0 {
		return 1
	}
	return u.slowness
}

// pace returns how fast the upstream is, against a typical peer.
func (u *upstream) pace() float64 { return 1 / u.slow() }

// An Expectation is what is predicted for a request at an upstream.
type Expectation struct {
	Wait     time.Duration // until the first event, behind the prompts that are read there
	Gap      time.Duration // between events at the present load
	Slowness float64       // against typical peers; 1 if nothing is known
	Load     float64       // estimated attempts of all instances there
	Unread   float64       // prompt work there that has yet to be read, in tokens of the largest model
	Age      time.Duration // of the news that this rests on; 0 if there was none
}

// Expect returns what is predicted for a request at an upstream. It reports false if the
// upstream is not known.
func (f *Fleet) Expect(now time.Time, id string) (Expectation, bool) {
	u := f.byID[id]
	if u == nil {
		return Expectation{}, false
	}
	e := &f.service(u.Service).engine
	x := Expectation{Slowness: u.slow(), Load: u.load(), Unread: u.prompts.estimate()}
	x.Wait = time.Duration(x.Slowness * float64(e.reading.At(x.Unread)))
	x.Gap = time.Duration(x.Slowness * float64(e.pacing.At(x.Load+1)))
	if !f.loadSetAt.IsZero() {
		x.Age = now.Sub(f.loadSetAt)
	}
	return x, true
}
