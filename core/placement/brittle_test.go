package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// brittleDelay is the time from which on a brittle upstream may let fewer wait.
	brittleDelay = 3 * time.Second
	// fallTime is how long an upstream that fell over is gone.
	fallTime = 3 * time.Second
	// simulatedPatience is how long a request waits for an upstream, and simulatedTries how
	// many upstreams it may try.
	simulatedPatience = 200 * time.Millisecond
	simulatedTries    = 3
	// simulatedLatency bounds the time of a message, and simulatedNews that of news between
	// instances.
	simulatedLatency = 20 * time.Millisecond
	simulatedNews    = 500 * time.Millisecond
)

// A brittleDay plays instances that send to upstreams which become brittle. Its exported
// fields are set before it is played.
type brittleDay struct {
	Instances, Upstreams, Slots, Waiting, MaxRefusals int

	Ignored     bool            // the notices are not recorded
	Falls       bool            // upstreams fall over
	NamedRate   float64         // limit that they name; 0 for none
	Reading     time.Duration   // average time to read a prompt, one after the other
	ReadWaiting int             // prompts that may wait
	Work        time.Duration   // average time of a request
	Wanted      func() float64  // requests a second at the time
	Joins       []time.Duration // when instances join
	random      *rand.Rand
	now         time.Time
	events      eventQueue
	names       []string
	fleets      []*Fleet
	servers     []*brittleServer
	answered    int
	refused     int
	broken      int
}

type brittleServer struct {
	day       *brittleDay
	name      string
	entered   int
	finish    []time.Time // when the slots are free
	start     int         // falls so far
	downTill  time.Time
	reading   int
	readUntil time.Time
	refusals  []time.Time
	received  []time.Time
	most      int // refusals in a second
}

type simulatedEvent struct {
	at time.Time
	do func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (d *brittleDay) after(wait time.Duration, do func()) {
	heap.Push(&d.events, simulatedEvent{at: d.now.Add(wait), do: do})
}

func (d *brittleDay) latency() time.Duration {
	return time.Millisecond + time.Duration(d.random.Int64N(int64(simulatedLatency)))
}

// isBrittle reports whether the upstreams say that they are brittle, and whether they let
// fewer wait.
func (d *brittleDay) isBrittle() (says, strict bool) {
	since := d.now.Sub(start.Add(joinTime))
	return since >= 0, since >= brittleDelay
}

// play plays a span of time, in which the upstreams are brittle from joinTime on.
func (d *brittleDay) play(span time.Duration) {
	d.now = start
	for i := range d.Instances {
		d.names = append(d.names, fmt.Sprint("i", i))
	}
	for i := range d.Upstreams {
		d.servers = append(d.servers, &brittleServer{day: d, name: fmt.Sprint("u", i), finish: make([]time.Time, d.Slots)})
	}
	for _, name := range d.names {
		d.fleets = append(d.fleets, d.newFleet(name, d.names))
	}
	for _, at := range d.Joins {
		d.after(at, d.join)
	}
	d.after(0, d.arrive)
	for end := start.Add(span); len(d.events) > 0 && d.now.Before(end); {
		e := heap.Pop(&d.events).(simulatedEvent)
		d.now = e.at
		e.do()
	}
}

func (d *brittleDay) newFleet(name string, names []string) *Fleet {
	f := New(name, "d0")
	f.SetInstances(names)
	f.SetHasModels("s", d.Reading > 0)
	for i := range d.Upstreams {
		u := testUpstream(i)
		u.Slots = d.Slots
		f.Register(d.now, u)
	}
	return f
}

// join adds an instance, which knows no other at first and is told of the notices. The
// others learn of it within joinTime.
func (d *brittleDay) join() {
	name := fmt.Sprint("joined-", len(d.names))
	d.names = append(d.names, name)
	f := d.newFleet(name, nil)
	for _, n := range d.fleets[0].BrittleNotices() {
		f.SetBrittle(d.now, n)
	}
	d.fleets = append(d.fleets, f)
	for _, f := range d.fleets {
		d.after(time.Duration(d.random.Int64N(int64(joinTime))), func() { f.SetInstances(d.names) })
	}
}

// arrive lets a request arrive at a random instance.
func (d *brittleDay) arrive() {
	d.after(time.Duration(d.random.ExpFloat64()/d.Wanted()*float64(time.Second)), d.arrive)
	d.try(d.fleets[d.random.IntN(len(d.fleets))], d.now.Add(simulatedPatience), nil)
}

func (d *brittleDay) try(f *Fleet, until time.Time, tried []string) {
	slot, result := f.Pick(d.now, Criteria{Service: "s", Exclude: tried})
	switch {
	case slot != nil:
		server := d.servers[slices.IndexFunc(d.servers, func(s *brittleServer) bool { return s.name == slot.Upstream.ID })]
		d.after(d.latency(), func() {
			server.receive(func() { d.after(d.latency(), func() { d.recordHead(f, slot, false) }) }, func(o Outcome) {
				d.after(d.latency(), func() { d.finish(f, slot, o, until, tried) })
			})
		})
	case result == NoUpstream || d.now.After(until):
		d.refused++
	default:
		d.after(20*time.Millisecond, func() { d.try(f, until, tried) })
	}
}

// recordHead records what an answer says.
func (d *brittleDay) recordHead(f *Fleet, slot *Slot, refused bool) {
	if says, _ := d.isBrittle(); says && !d.Ignored {
		if n, changed := f.RecordBrittle(d.now, slot, true, d.MaxRefusals); changed {
			d.after(time.Duration(d.random.Int64N(int64(simulatedNews))), func() {
				for _, f := range d.fleets {
					f.SetBrittle(d.now, n)
				}
			})
		}
		if d.NamedRate > 0 {
			f.RecordLimit(d.now, slot, d.NamedRate, slot.pickedAt)
		}
	}
	if !refused {
		f.RecordAnswer(slot)
	}
}

func (d *brittleDay) finish(f *Fleet, slot *Slot, o Outcome, until time.Time, tried []string) {
	if o == Completed || o == Refused {
		d.recordHead(f, slot, o == Refused)
	}
	f.Release(d.now, slot, o)
	switch tried = append(slices.Clone(tried), slot.Upstream.ID); {
	case o == Completed:
		d.answered++
	case o == Broken:
		d.broken++
	case len(tried) >= simulatedTries:
		d.refused++
	default:
		d.try(f, until, tried)
	}
}

// receive handles a request and calls done with its outcome.
func (s *brittleServer) receive(begin func(), done func(Outcome)) {
	d := s.day
	s.received = append(s.received, d.now)
	_, strict := d.isBrittle()
	waiting := d.Waiting
	if strict {
		waiting = 0
	}
	switch {
	case d.now.Before(s.downTill):
		done(Closed)
		return
	case s.entered >= d.Slots+waiting || d.Reading > 0 && strict && s.reading > d.ReadWaiting:
		s.refuse(strict)
		done(Refused)
		return
	}
	s.entered++
	if d.Reading > 0 {
		s.reading++
		s.readUntil = later(s.readUntil, d.now).Add(time.Duration((0.5 + d.random.Float64()) * float64(d.Reading)))
		falls := s.start
		d.after(s.readUntil.Sub(d.now), func() {
			if falls == s.start {
				s.reading--
				begin()
			}
		})
	}
	first := 0
	for i, at := range s.finish {
		if at.Before(s.finish[first]) {
			first = i
		}
	}
	s.finish[first] = later(later(s.finish[first], d.now), s.readUntil).Add(time.Duration((0.5 + d.random.Float64()) * float64(d.Work)))
	falls := s.start
	d.after(s.finish[first].Sub(d.now), func() {
		if falls != s.start {
			done(Broken)
			return
		}
		s.entered--
		done(Completed)
	})
}

func (s *brittleServer) refuse(strict bool) {
	if !strict {
		return
	}
	d := s.day
	s.refusals = append(s.refusals, d.now)
	for d.now.Sub(s.refusals[0]) >= refusalWindow {
		s.refusals = s.refusals[1:]
	}
	s.most = max(s.most, len(s.refusals))
	if d.Falls && len(s.refusals) > d.MaxRefusals {
		s.start++
		s.downTill = d.now.Add(fallTime)
		s.entered, s.reading, s.readUntil = 0, 0, time.Time{}
		s.refusals = nil
		s.finish = make([]time.Time, d.Slots)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// most returns the largest number of refusals of one upstream in a second.
func (d *brittleDay) most() int {
	most := 0
	for _, s := range d.servers {
		most = max(most, s.most)
	}
	return most
}

func (d *brittleDay) falls() int {
	falls := 0
	for _, s := range d.servers {
		falls += s.start
	}
	return falls
}

// bursts returns a rate of requests that rises for the last half second of every five.
func (d *brittleDay) bursts(usual, burst float64) func() float64 {
	return func() float64 {
		if d.now.Sub(start)%(5*time.Second) > 4500*time.Millisecond {
			return burst
		}
		return usual
	}
}

// brittleDays bounds the days that a test plays.
const brittleDays = 60

func drawBrittleDay(t *rapid.T, ignored bool) *brittleDay {
	d := &brittleDay{
		Instances: rapid.IntRange(1, 12).Draw(t, "instances"), Upstreams: rapid.IntRange(1, 4).Draw(t, "upstreams"),
		Slots: rapid.IntRange(1, 16).Draw(t, "slots"), Waiting: 24, MaxRefusals: rapid.SampledFrom([]int{0, 1, 2, 3, 5, 10}).Draw(t, "refusals"),
		Ignored: ignored, Work: time.Duration(rapid.IntRange(20, 300).Draw(t, "work")) * time.Millisecond,
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)),
	}
	// What waits when the notice is learnt has ended when fewer may wait.
	d.Waiting = min(d.Waiting, int(brittleDelay/2/d.Work)*d.Slots)
	if rapid.IntRange(0, 9).Draw(t, "large") == 0 {
		d.Instances = 60
	}
	if rapid.Bool().Draw(t, "models") {
		// One attempt at a time is made even if an upstream bears no refusal.
		d.MaxRefusals = max(1, d.MaxRefusals)
		d.Reading = time.Duration(rapid.IntRange(5, 100).Draw(t, "reading")) * time.Millisecond
		d.ReadWaiting = rapid.IntRange(0, 8).Draw(t, "reading waiting")
	}
	capacity := float64(d.Upstreams*d.Slots) / d.Work.Seconds()
	d.Wanted = d.bursts(rapid.Float64Range(0.1, 1.5).Draw(t, "usual")*capacity, rapid.Float64Range(1, 6).Draw(t, "burst")*capacity)
	d.play(15 * time.Second)
	return d
}

// TestPlacesBoundRefusals draws upstreams that are brittle, and checks their refusals of all
// instances in any second.
func TestPlacesBoundRefusals(t *testing.T) {
	days := 0
	rapid.Check(t, func(t *rapid.T) {
		if days++; days > brittleDays {
			return
		}
		if d := drawBrittleDay(t, false); d.most() > d.MaxRefusals {
			t.Fatalf("an upstream refused %d requests in a second, want at most %d", d.most(), d.MaxRefusals)
		}
	})
}

// TestPlacesCheckDetectsExcess checks that the check above fails if notices are ignored.
func TestPlacesCheckDetectsExcess(t *testing.T) {
	days, found := 0, false
	rapid.Check(t, func(t *rapid.T) {
		if days++; found || days > brittleDays {
			return
		}
		d := drawBrittleDay(t, true)
		found = d.most() > d.MaxRefusals
	})
	is.New(t).True(found)
}

// TestBrittleUpstreamsServeMore compares upstreams that fall over when they refuse too many,
// with their notices and without.
func TestBrittleUpstreamsServeMore(t *testing.T) {
	tests := []struct {
		name         string
		day          brittleDay
		usual, burst float64
		mayServeLess bool // most instances hold no place
	}{
		{name: "plain", day: brittleDay{Instances: 7, Upstreams: 3, Slots: 6, Work: 100 * time.Millisecond}, usual: 40, burst: 300},
		{name: "plain, busy", day: brittleDay{Instances: 7, Upstreams: 3, Slots: 6, Work: 300 * time.Millisecond}, usual: 40, burst: 200},
		{name: "plain, many slots", day: brittleDay{Instances: 7, Upstreams: 12, Slots: 64, Work: time.Second}, usual: 400, burst: 1500},
		{name: "plain, instances join", day: brittleDay{Instances: 7, Upstreams: 3, Slots: 6, Work: 100 * time.Millisecond, Joins: []time.Duration{8 * time.Second, 14 * time.Second}}, usual: 120, burst: 300},
		{name: "plain, many instances", day: brittleDay{Instances: 60, Upstreams: 60, Slots: 12, Work: 300 * time.Millisecond}, usual: 1000, burst: 4000},
		{name: "plain, more instances than slots", day: brittleDay{Instances: 60, Upstreams: 3, Slots: 6, Work: 100 * time.Millisecond}, usual: 40, burst: 300, mayServeLess: true},
		{name: "models", day: brittleDay{Instances: 7, Upstreams: 12, Slots: 64, Work: 2 * time.Second, Reading: 20 * time.Millisecond, ReadWaiting: 4}, usual: 100, burst: 1200},
		{name: "models, instances join", day: brittleDay{Instances: 7, Upstreams: 12, Slots: 64, Work: 2 * time.Second, Reading: 20 * time.Millisecond, ReadWaiting: 4, Joins: []time.Duration{8 * time.Second, 14 * time.Second}}, usual: 100, burst: 1200},
		{name: "models, many instances", day: brittleDay{Instances: 60, Upstreams: 60, Slots: 64, Work: 2 * time.Second, Reading: 20 * time.Millisecond, ReadWaiting: 4}, usual: 500, burst: 3000},
	}
	for _, tt := range tests {
		for _, refusals := range []int{1, 3, 10} {
			t.Run(fmt.Sprint(tt.name, ", ", refusals), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				play := func(ignored bool) *brittleDay {
					d := tt.day
					d.Waiting, d.MaxRefusals, d.Falls, d.Ignored = 24, refusals, true, ignored
					d.random = rand.New(rand.NewPCG(1, 2))
					d.Wanted = d.bursts(tt.usual, tt.burst)
					d.play(25 * time.Second)
					t.Logf("ignored %v: %d falls, %d answered, %d refused, %d broken", ignored, d.falls(), d.answered, d.refused, d.broken)
					return &d
				}
				kept, ignored := play(false), play(true)
				allowed := 2 + tt.day.Upstreams/10
				is.True(kept.falls() <= allowed)
				is.True(kept.answered >= ignored.answered || ignored.falls() <= allowed || tt.mayServeLess)
			})
		}
	}
}

// TestNamedLimitIsKeptBesideBrittleNotice lets brittle upstreams name a limit as well.
func TestNamedLimitIsKeptBesideBrittleNotice(t *testing.T) {
	is := is.New(t)
	d := &brittleDay{Instances: 7, Upstreams: 3, Slots: 6, Waiting: 24, MaxRefusals: 3, NamedRate: 8, Work: 100 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
	d.Wanted = d.bursts(40, 300)
	d.play(25 * time.Second)
	is.True(d.most() <= d.MaxRefusals)
	for _, s := range d.servers {
		is.True(mostWithin(s.received, start.Add(joinTime+namedDelay), namedWindow) <= toleratedRatio*d.NamedRate*namedWindow.Seconds()+toleratedSlack)
	}
}

// mostWithin returns the largest number of times after begin in a window.
func mostWithin(times []time.Time, begin time.Time, window time.Duration) float64 {
	times = slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(begin) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most)
}

func TestRecordBrittle(t *testing.T) {
	type answer struct {
		brittle  bool
		refusals int
		sentAt   time.Duration
		at       time.Duration
	}
	tests := []struct {
		name    string
		answers []answer
		brittle bool
		want    int
		told    int // times that the other instances are told
	}{
		{name: "brittle", answers: []answer{{true, 3, 0, time.Second}}, brittle: true, want: 3, told: 1},
		{name: "brittle, and bears no refusal", answers: []answer{{true, 0, 0, time.Second}}, brittle: true, told: 1},
		{name: "says so twice", answers: []answer{{true, 3, 0, time.Second}, {true, 3, 0, 2 * time.Second}}, brittle: true, want: 3, told: 1},
		{name: "bears fewer", answers: []answer{{true, 3, 0, time.Second}, {true, 1, 0, 2 * time.Second}}, brittle: true, want: 1, told: 2},
		{name: "an older answer without the notice", answers: []answer{{true, 3, 0, time.Second}, {false, 0, 500 * time.Millisecond, 2 * time.Second}}, brittle: true, want: 3, told: 1},
		{name: "ends", answers: []answer{{true, 3, 0, time.Second}, {false, 0, 2 * time.Second, 3 * time.Second}}, told: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			told := 0
			for _, a := range tt.answers {
				slot := &Slot{Upstream: f.byID["u0"].Upstream, u: f.byID["u0"], pickedAt: start.Add(a.sentAt)}
				if _, tell := f.RecordBrittle(start.Add(a.at), slot, a.brittle, a.refusals); tell {
					told++
				}
			}
			n := f.byID["u0"].brittle.notice
			is.Equal(n.Brittle, tt.brittle)
			is.Equal(n.MaxRefusals, tt.want)
			is.Equal(told, tt.told)
			is.Equal(len(f.BrittleNotices()) > 0, tt.brittle)
		})
	}
}

// TestOthersArePresumedBrittle checks that the other upstreams of a service, and one that is
// back after a fall, are taken for as brittle until they say that they are not.
func TestOthersArePresumedBrittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	is.True(f.SetBrittle(start, BrittleNotice{Upstream: "u1", Brittle: true, MaxRefusals: 3, Version: 7}))
	r := f.byID["u1"].Upstream
	r.StartUnixMs = 5
	f.Register(start, r)
	is.Equal(f.byID["u1"].brittle.notice, BrittleNotice{Upstream: "u1", StartUnixMs: 5, Brittle: true, MaxRefusals: 3})
	is.Equal(f.byID["u0"].brittle.notice, BrittleNotice{Upstream: "u0", Brittle: true, MaxRefusals: 3})

	is.Equal(len(f.BrittleNotices()), 0) // only what upstreams have said is told

	sound := &Slot{u: f.byID["u0"], pickedAt: start}
	_, tell := f.RecordBrittle(start.Add(time.Second), sound, false, 0)
	is.True(tell)
	is.True(f.SetBrittle(start.Add(2*time.Second), BrittleNotice{Upstream: "u1", StartUnixMs: 5, Brittle: true, MaxRefusals: 2, Version: 8}))
	is.True(!f.byID["u0"].brittle.notice.Brittle)
}
