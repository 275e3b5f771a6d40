package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// leavingGrace is the time after an answer that says that its upstream leaves from
	// which on the instance must send nothing there.
	leavingGrace = 2 * time.Second
	// pauseGrace is the same for a refusal that names a pause, and toleratedInPause the
	// requests that may reach the upstream even so.
	pauseGrace       = 500 * time.Millisecond
	toleratedInPause = 2
)

// An answerDay plays instances that send to three upstreams. Upstream u0 says in its
// answers that it leaves, or refuses and names a pause. Registrations come and go, news is
// late or lost, and instances restart.
type answerDay struct {
	random  *rand.Rand
	keeps   bool // what answers say is kept
	leaves  bool
	pause   time.Duration
	now     time.Time
	names   []string
	fleets  []*Fleet
	told    map[*Fleet]time.Time // when the first answer that says so came
	pauses  map[*Fleet][]pausePeriod
	running []answeredRun
	news    []leavingNews
	broken  int // requests that reached u0 though it must not get them
}

type pausePeriod struct {
	from, to time.Time
	requests int
}

type answeredRun struct {
	by       *Fleet
	slot     *Slot
	answered time.Time
}

type leavingNews struct {
	to    int // instance
	due   time.Time
	start Start
}

func newAnswerDay(random *rand.Rand, instances int) *answerDay {
	d := &answerDay{random: random, keeps: true, now: start, told: map[*Fleet]time.Time{}, pauses: map[*Fleet][]pausePeriod{}}
	for i := range instances {
		d.names = append(d.names, fmt.Sprint("i", i))
	}
	for i := range instances {
		d.fleets = append(d.fleets, d.newFleet(i))
	}
	return d
}

func (d *answerDay) newFleet(i int) *Fleet {
	f := New(d.names[i], "d0")
	f.SetInstances(d.names)
	for u := range 3 {
		f.Register(d.now, testUpstream(u))
	}
	return f
}

func (d *answerDay) play(span time.Duration, perSecond float64) {
	const step = 50 * time.Millisecond
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(step) {
		for n := perSecond * step.Seconds(); n > d.random.Float64(); n-- {
			d.send(d.fleets[d.random.IntN(len(d.fleets))])
		}
		d.receive()
		d.deliver()
		d.disturb()
	}
}

func (d *answerDay) send(f *Fleet) {
	slot, _ := f.Pick(d.now, Criteria{Service: "s"})
	if slot == nil {
		return
	}
	if slot.Upstream.ID == "u0" {
		if told, ok := d.told[f]; ok && d.now.Sub(told) > leavingGrace {
			d.broken++
		}
		for i := range d.pauses[f] {
			p := &d.pauses[f][i]
			if d.now.After(p.from) && d.now.Before(p.to) {
				p.requests++
				if p.requests > toleratedInPause {
					d.broken++
				}
			}
		}
	}
	d.running = append(d.running, answeredRun{by: f, slot: slot, answered: d.now.Add(time.Duration(20+d.random.IntN(400)) * time.Millisecond)})
}

func (d *answerDay) receive() {
	running := d.running
	d.running = nil
	for _, r := range running {
		switch {
		case d.now.Before(r.answered):
			d.running = append(d.running, r)
			continue
		case r.slot.Upstream.ID != "u0":
			r.by.Release(d.now, r.slot, Completed)
			continue
		case d.pause > 0:
			d.refuse(r)
			continue
		}
		r.by.Release(d.now, r.slot, Completed)
		if d.leaves {
			d.tell(r)
		}
	}
}

func (d *answerDay) refuse(r answeredRun) {
	r.by.Release(d.now, r.slot, Refused)
	d.pauses[r.by] = append(d.pauses[r.by], pausePeriod{from: d.now.Add(pauseGrace), to: d.now.Add(d.pause)})
	if d.keeps {
		r.by.RecordPause(d.now, r.slot, d.pause)
	}
}

func (d *answerDay) tell(r answeredRun) {
	if _, ok := d.told[r.by]; !ok {
		d.told[r.by] = d.now
	}
	if !d.keeps {
		return
	}
	leaving, isNews := r.by.RecordLeaving(d.now, r.slot)
	if !isNews {
		return
	}
	for i := range d.fleets {
		if d.random.IntN(4) > 0 { // the rest is lost
			d.news = append(d.news, leavingNews{to: i, due: d.now.Add(time.Duration(d.random.IntN(3000)) * time.Millisecond), start: leaving})
		}
	}
}

func (d *answerDay) deliver() {
	news := d.news
	d.news = nil
	for _, n := range news {
		if d.now.Before(n.due) {
			d.news = append(d.news, n)
			continue
		}
		d.fleets[n.to].SetLeaving(d.now, n.start)
	}
}

// disturb lets the registration of u0 come and go at one instance, or restarts one.
func (d *answerDay) disturb() {
	i := d.random.IntN(len(d.fleets))
	f := d.fleets[i]
	switch d.random.IntN(20) {
	case 0:
		f.Withdraw("u0", d.now)
		f.RemoveGone(d.now)
		f.Register(d.now, testUpstream(0))
	case 1:
		f.Register(d.now, testUpstream(0))
	case 2:
		if d.random.IntN(10) == 0 {
			d.fleets[i] = d.newFleet(i)
		}
	}
}

// answerDayInstances are the sizes of the deployments that are drawn.
var answerDayInstances = []int{1, 2, 7, 7, 61, 400}

// TestUpstreamThatLeavesIsLeftAlone draws days on which an upstream says in its answers
// that it leaves, while its registration says that it is ready.
func TestUpstreamThatLeavesIsLeftAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(120) {
		d := newAnswerDay(rand.New(rand.NewPCG(seed, 1)), answerDayInstances[seed%6])
		d.play(2*time.Second, 100)
		d.leaves = true
		d.play(20*time.Second, 100)
		is.Equal(d.broken, 0)
	}
}

// TestPauseOfUpstreamIsKept draws days on which an upstream refuses and names a pause.
func TestPauseOfUpstreamIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(180) {
		d := newAnswerDay(rand.New(rand.NewPCG(seed, 2)), answerDayInstances[seed%6])
		d.pause = time.Duration(100+d.random.IntN(8000)) * time.Millisecond
		d.play(20*time.Second, 100)
		is.Equal(d.broken, 0)
	}
}

// TestAnswerCheckDetectsIgnoredAnswers shows that the checks of the drawn days fail when
// what answers say is not kept.
func TestAnswerCheckDetectsIgnoredAnswers(t *testing.T) {
	tests := []struct {
		name   string
		leaves bool
		pause  time.Duration
	}{
		{name: "leaving", leaves: true},
		{name: "pause", pause: 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newAnswerDay(rand.New(rand.NewPCG(1, 3)), 7)
			d.keeps, d.leaves, d.pause = false, tt.leaves, tt.pause
			d.play(20*time.Second, 100)
			is.True(d.broken > 0)
		})
	}
}

// TestNewStartOfUpstreamIsUsed checks that only the start that left stays out.
func TestNewStartOfUpstreamIsUsed(t *testing.T) {
	is := is.New(t)
	f := New("i0", "d0")
	u := testUpstream(0)
	u.StartUnixMs = 1000
	f.Register(start, u)
	slot, _ := f.Pick(start, Criteria{Service: "s"})
	leaving, isNews := f.RecordLeaving(start, slot)
	is.True(isNews)
	is.Equal(f.Leaving(), []Start{leaving})
	_, result := f.Pick(start, Criteria{Service: "s"})
	is.Equal(result, NoUpstream)
	u.StartUnixMs = 2000
	f.Register(start, u)
	_, result = f.Pick(start, Criteria{Service: "s"})
	is.Equal(result, Picked)
	is.Equal(len(f.Leaving()), 0)
}

// TestLongPauseEnds checks that no pause takes an upstream out for good.
func TestLongPauseEnds(t *testing.T) {
	is := is.New(t)
	f := New("i0", "d0")
	f.Register(start, testUpstream(0))
	slot, _ := f.Pick(start, Criteria{Service: "s"})
	f.RecordPause(start, slot, 1<<62)
	f.Release(start, slot, Refused)
	_, result := f.Pick(start.Add(maxPause-time.Second), Criteria{Service: "s"})
	is.Equal(result, UpstreamsBusy)
	ready, ok := f.ReadyIn(start.Add(maxPause-time.Second), Criteria{Service: "s"})
	is.True(ok)
	is.Equal(ready, time.Second)
	_, result = f.Pick(start.Add(maxPause), Criteria{Service: "s"})
	is.Equal(result, Picked)
}
