package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"banyanyard/core/load"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// What an upstream that names a limit tolerates: that multiple of what it allows in
	// namedWindow, and further requests.
	toleratedRatio = 1.5
	toleratedSlack = 5
	// namedDelay is the time after the first naming from which requests count, and
	// learntDelay the time after which an instance that has seen the limit must keep it.
	namedDelay  = 3 * time.Second
	learntDelay = 500 * time.Millisecond
)

// A limitDay plays instances that send to one upstream which names a limit.
type limitDay struct {
	fleets []*Fleet
	names  []string
	random *rand.Rand
	keeps  bool // limits are kept
	now    time.Time

	rate    float64 // at present
	rates   []rateChange
	running []limitedRun
	news    []limitNews
	sent    []time.Time
	told    map[*Fleet]time.Time // when an answer to the instance first named a limit
}

type rateChange struct {
	at   time.Time
	rate float64
}

type limitedRun struct {
	by     *Fleet
	slot   *Slot
	sentAt time.Time
	headAt time.Time
}

type limitNews struct {
	due   time.Time
	limit NamedLimit
}

func newLimitDay(random *rand.Rand, instances int) *limitDay {
	d := &limitDay{random: random, keeps: true, now: start, told: map[*Fleet]time.Time{}}
	for i := range instances {
		d.names = append(d.names, fmt.Sprint("i", i))
	}
	for _, name := range d.names {
		d.fleets = append(d.fleets, d.newFleet(name))
	}
	d.now = d.now.Add(joinTime)
	return d
}

func (d *limitDay) newFleet(name string) *Fleet {
	f := New(name, "d0")
	f.SetInstances(d.names)
	f.Register(d.now, testUpstream(0))
	return f
}

func (d *limitDay) setRate(rate float64) {
	d.rate = rate
	d.rates = append(d.rates, rateChange{at: d.now, rate: rate})
}

// play plays a span of time, in which the instances want to send so many requests a
// second together.
func (d *limitDay) play(span time.Duration, wanted float64) {
	const step = 50 * time.Millisecond
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(step) {
		for n := wanted * step.Seconds(); n > d.random.Float64(); n-- {
			d.send(d.fleets[d.random.IntN(len(d.fleets))])
		}
		d.receive()
	}
}

func (d *limitDay) send(f *Fleet) {
	slot, _ := f.Pick(d.now, Criteria{Service: "s"})
	if slot == nil && d.keeps {
		return
	}
	if slot == nil {
		slot = &Slot{u: f.byID["u0"]}
		slot.u.runningAttempts++
	}
	if told, ok := d.told[f]; ok && d.now.Sub(told) >= learntDelay && len(d.rates) > 0 && d.now.Sub(d.rates[0].at) >= namedDelay {
		d.sent = append(d.sent, d.now)
	}
	d.running = append(d.running, limitedRun{by: f, slot: slot, sentAt: d.now, headAt: d.now.Add(time.Duration(20+d.random.IntN(800)) * time.Millisecond)})
}

func (d *limitDay) receive() {
	running := d.running
	d.running = nil
	for _, r := range running {
		if d.now.Before(r.headAt) {
			d.running = append(d.running, r)
			continue
		}
		if _, ok := d.told[r.by]; !ok && d.rate > 0 {
			d.told[r.by] = d.now
		}
		if limit, changed := r.by.RecordLimit(d.now, r.slot, d.rate, r.sentAt); changed {
			d.news = append(d.news, limitNews{due: d.now.Add(time.Duration(d.random.IntN(1500)) * time.Millisecond), limit: limit})
		}
		r.by.Release(d.now, r.slot, Completed)
	}
	news := d.news
	d.news = nil
	for _, n := range news {
		if d.now.Before(n.due) {
			d.news = append(d.news, n)
			continue
		}
		for _, f := range d.fleets {
			f.SetNamedLimit(d.now, n.limit)
		}
	}
}

// allowed returns the number of requests that the upstream tolerates in the window that
// ends at a time: by the highest of its limits in or shortly before it.
func (d *limitDay) allowed(end time.Time) int {
	highest := 0.0
	for i, change := range d.rates {
		until := end
		if i+1 < len(d.rates) {
			until = d.rates[i+1].at
		}
		if until.After(end.Add(-namedWindow-namedDelay)) && !change.at.After(end) {
			highest = max(highest, change.rate)
			if change.rate == 0 {
				return 1 << 30 // no limit then
			}
		}
	}
	return int(toleratedRatio*highest*namedWindow.Seconds()) + toleratedSlack
}

// check returns an error if a window has more requests than the upstream tolerates.
func (d *limitDay) check() error {
	first := 0
	for i, at := range d.sent {
		for at.Sub(d.sent[first]) >= namedWindow {
			first++
		}
		if n, allowed := i-first+1, d.allowed(at); n > allowed {
			return fmt.Errorf("%d requests in the %v before %v, want at most %d", n, namedWindow, at.Sub(start), allowed)
		}
	}
	return nil
}

func drawLimitDay(t *rapid.T, keeps bool) *limitDay {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
	most := 12
	if rapid.IntRange(0, 9).Draw(t, "large") == 0 {
		most = 400
	}
	d := newLimitDay(random, rapid.IntRange(1, most).Draw(t, "instances"))
	d.keeps = keeps
	wanted := rapid.Float64Range(2, 60).Draw(t, "wanted")
	d.play(time.Second, wanted)
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		d.setRate([]float64{0.2, 0.7, 1, 2.7, 6, 8.3, 20}[random.IntN(7)])
		d.play(time.Duration(4+random.IntN(5))*time.Second, wanted)
		switch rapid.IntRange(0, 3).Draw(t, "members") {
		case 0: // an instance joins, and some learn of it later
			d.names = append(d.names, fmt.Sprint("joined-", len(d.names)))
			d.fleets = append(d.fleets, d.newFleet(d.names[len(d.names)-1]))
			for i, f := range d.fleets {
				if i%2 == 0 {
					f.SetInstances(d.names)
				}
			}
		case 1: // one restarts, and learns the limit by its own answers
			i := random.IntN(len(d.fleets))
			delete(d.told, d.fleets[i])
			d.fleets[i] = d.newFleet(d.names[i])
		case 2: // the others learn of all
			for _, f := range d.fleets {
				f.SetInstances(d.names)
			}
		}
		d.play(4*time.Second, wanted)
	}
	return d
}

// limitDays bounds the days that a test plays.
const limitDays = 400

// TestNamedLimitHoldsAcrossInstances draws limits that fall and rise, below one request a
// second for each instance too, while instances join, restart and learn late.
func TestNamedLimitHoldsAcrossInstances(t *testing.T) {
	days := 0
	rapid.Check(t, func(t *rapid.T) {
		if days++; days > limitDays {
			return
		}
		if err := drawLimitDay(t, true).check(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestNamedLimitCheckDetectsExcess checks that the check above fails if limits are not
// kept.
func TestNamedLimitCheckDetectsExcess(t *testing.T) {
	days, found := 0, false
	rapid.Check(t, func(t *rapid.T) {
		if days++; found || days > limitDays {
			return
		}
		found = drawLimitDay(t, false).check() != nil
	})
	is.New(t).True(found)
}

func TestRecordLimit(t *testing.T) {
	type answer struct {
		rate   float64
		sentAt time.Duration
		at     time.Duration
	}
	tests := []struct {
		name    string
		answers []answer
		want    float64
		told    int // times that the other instances are told
	}{
		{name: "named", answers: []answer{{rate: 5, at: time.Second}}, want: 5, told: 1},
		{name: "named twice", answers: []answer{{rate: 5, at: time.Second}, {rate: 5, at: 2 * time.Second}}, want: 5, told: 1},
		{name: "changes a little", answers: []answer{{rate: 5, at: time.Second}, {rate: 5.1, at: 2 * time.Second}}, want: 5.1, told: 1},
		{name: "falls", answers: []answer{{rate: 5, at: time.Second}, {rate: 2, at: 2 * time.Second}}, want: 2, told: 2},
		{name: "an older answer without a limit", answers: []answer{{rate: 5, sentAt: 0, at: time.Second}, {sentAt: 500 * time.Millisecond, at: 2 * time.Second}}, want: 5, told: 1},
		{name: "ends", answers: []answer{{rate: 5, at: time.Second}, {sentAt: 2 * time.Second, at: 3 * time.Second}}, told: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			told := 0
			slot, _ := f.Pick(start, Criteria{Service: "s"})
			for _, a := range tt.answers {
				if _, tell := f.RecordLimit(start.Add(a.at), slot, a.rate, start.Add(a.sentAt)); tell {
					told++
				}
			}
			is.Equal(slot.u.named.limit.Rate, tt.want)
			is.Equal(told, tt.told)
		})
	}
}

// TestInstanceThatKnowsNoOtherSendsLittle checks that an instance which has just started
// does not take a whole limit for its own.
func TestInstanceThatKnowsNoOtherSendsLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	is.True(f.SetNamedLimit(start, NamedLimit{Upstream: "u0", Rate: 8, Version: 1}))
	sent := 0
	for i := range 20 {
		if pickAndRelease(f, start.Add(time.Duration(i)*50*time.Millisecond)) != "" {
			sent++
		}
	}
	is.True(sent <= 3) // 1 a second of 8, and a burst
}

func TestReadyIn(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	_, ok := f.ReadyIn(start, Criteria{Service: "none"})
	is.True(!ok)
	is.True(f.SetNamedLimit(start, NamedLimit{Upstream: "u0", Rate: 0.5, Version: 1}))
	later := start.Add(joinTime)
	for sent := true; sent; {
		sent = pickAndRelease(f, later) != ""
	}
	ready, ok := f.ReadyIn(later, Criteria{Service: "s"})
	is.True(ok)
	is.Equal(ready, 2*time.Second)
}

// TestHeldPartsAreUsed checks that an instance of a large fleet uses its parts of limits,
// which few others hold, before it loads upstreams that all use.
func TestHeldPartsAreUsed(t *testing.T) {
	is := is.New(t)
	const instances, upstreams, rate, perSecond = 295, 249, 5.0, 4
	f := New("i11", "d0")
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprint("i", i))
	}
	f.SetInstances(names)
	running := map[string]int{}
	allowed := 0.0 // requests per second by the parts of this instance
	for i := range upstreams {
		u := testUpstream(i)
		f.Register(start, u)
		if i%10 < 7 {
			f.SetNamedLimit(start, NamedLimit{Upstream: u.ID, Rate: rate, Version: 1})
			allowed += f.partOf(start.Add(joinTime), f.byID[u.ID], &f.byID[u.ID].named).Rate
			continue
		}
		running[u.ID] = 6
	}
	now := start.Add(joinTime)
	used := 0
	for n := range 20 * perSecond {
		now = now.Add(time.Second / perSecond)
		f.SetLoad(now, load.Sum{Running: running, Instances: instances})
		s, _ := f.Pick(now, Criteria{Service: "s", AffinityKey: fmt.Sprint("key-", n%30), PromptWork: 500})
		if s.u.named.limit.Rate > 0 {
			used++
		}
		f.Release(now, s, Completed)
	}
	is.True(allowed > 1)
	is.True(float64(used) >= 0.7*20*min(allowed, perSecond))
}
