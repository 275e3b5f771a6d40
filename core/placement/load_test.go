package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"banyanyard/core/load"

	"github.com/matryer/is"
)

// A loadSimulation plays streams from many instances at upstreams that batch them:
// each runs at most its slots, the more slowly the more it runs, and queues others.
type loadSimulation struct {
	instances int
	shared    bool // instances learn of each other's load
	perSecond float64
	random    *rand.Rand

	fleets    []*Fleet
	upstreams map[string]*simulatedUpstream
	ids       []string
	starts    []float64 // seconds from arrival to the first token
}

type simulatedUpstream struct {
	running []*simulatedRequest
	waiting []*simulatedRequest
}

type simulatedRequest struct {
	arrived  time.Time
	left     float64 // seconds of work that are left
	slot     *Slot
	instance int
}

const (
	simulatedSlots = 12
	// simulatedWork is the time of a stream that runs alone.
	simulatedWork = 1.2
	// simulatedLag is the age of the shared load when it arrives.
	simulatedLag      = 1000 * time.Millisecond
	simulatedInterval = 500 * time.Millisecond
	simulatedTick     = 10 * time.Millisecond
	simulatedTime     = 20 * time.Second
	// simulatedPrompts is the number of shared prompts per upstream.
	simulatedPrompts = 1.7
)

// play runs the simulation. An upstream is loaded to the given part of what all
// its slots together can do.
func (p *loadSimulation) play(upstreams int, utilisation float64) {
	names := make([]string, p.instances)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	p.upstreams = map[string]*simulatedUpstream{}
	for i := range p.instances {
		p.fleets = append(p.fleets, New(names[i], "d"))
		p.fleets[i].SetInstances(names)
	}
	for i := range upstreams {
		id := fmt.Sprint("upstream-", i)
		p.ids = append(p.ids, id)
		p.upstreams[id] = &simulatedUpstream{}
		for _, f := range p.fleets {
			f.Register(start, Upstream{ID: id, Service: "s", Address: id, FailureDomain: "d", Slots: simulatedSlots})
		}
	}
	// A full batch takes twice as long as one stream.
	p.perSecond = utilisation * float64(upstreams) * simulatedSlots / (2 * simulatedWork)
	prompts := max(2, int(simulatedPrompts*float64(upstreams)))
	history := map[time.Time]map[string]int{}
	due := 0.0
	for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(simulatedTick) {
		if p.shared && now.Sub(start)%simulatedInterval == 0 {
			history[now] = p.running()
			for _, f := range p.fleets {
				f.SetLoad(now, load.Sum{Running: history[now.Add(-simulatedLag)], Instances: p.instances})
			}
		}
		for due += p.perSecond * simulatedTick.Seconds(); due >= 1; due-- {
			// The first prompts are asked for most.
			prompt := int(float64(prompts) * math.Pow(p.random.Float64(), 1.5))
			p.start(now, fmt.Sprint("prompt-", prompt))
		}
		p.work(now)
	}
	for _, id := range p.ids {
		for _, r := range p.upstreams[id].waiting {
			p.starts = append(p.starts, start.Add(simulatedTime).Sub(r.arrived).Seconds())
		}
	}
}

func (p *loadSimulation) running() map[string]int {
	total := map[string]int{}
	for _, f := range p.fleets {
		for id, n := range f.Running() {
			total[id] += n
		}
	}
	return total
}

func (p *loadSimulation) start(now time.Time, prompt string) {
	i := p.random.IntN(p.instances)
	slot, _ := p.fleets[i].Pick(now, Criteria{Service: "s", AffinityKey: prompt})
	u := p.upstreams[slot.Upstream.ID]
	u.waiting = append(u.waiting, &simulatedRequest{arrived: now, left: simulatedWork * (0.5 + p.random.Float64()), slot: slot, instance: i})
}

// work lets all upstreams work for one tick.
func (p *loadSimulation) work(now time.Time) {
	for _, id := range p.ids {
		u := p.upstreams[id]
		for len(u.waiting) > 0 && len(u.running) < simulatedSlots {
			p.starts = append(p.starts, now.Sub(u.waiting[0].arrived).Seconds())
			u.running = append(u.running, u.waiting[0])
			u.waiting = u.waiting[1:]
		}
		speed := 1 / (1 + float64(len(u.running))/simulatedSlots)
		u.running = slices.DeleteFunc(u.running, func(r *simulatedRequest) bool {
			if r.left -= simulatedTick.Seconds() * speed; r.left > 0 {
				return false
			}
			p.fleets[r.instance].Release(now, r.slot, Completed)
			return true
		})
	}
}

// lateShare returns the share of requests that started later than a second after
// their arrival.
func (p *loadSimulation) lateShare() float64 {
	late := 0
	for _, s := range p.starts {
		if s > 1 {
			late++
		}
	}
	return float64(late) / float64(len(p.starts))
}

// TestFewRequestsWaitWhileUpstreamsAreFree plays a heavy load, at which the
// upstreams have a quarter of their capacity left, from few and from many instances.
// At most one request in twenty may start late, whatever the number of instances.
func TestFewRequestsWaitWhileUpstreamsAreFree(t *testing.T) {
	tests := []struct{ instances, upstreams int }{{7, 12}, {80, 60}, {295, 240}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.instances, " instances"), func(t *testing.T) {
			is := is.New(t)
			p := loadSimulation{instances: tt.instances, shared: true, random: rand.New(rand.NewPCG(1, 2))}
			p.play(tt.upstreams, 0.75)
			t.Logf("late: %.3f of requests; most at one upstream: %d", p.lateShare(), p.most())
			is.True(p.lateShare() <= 0.05)
		})
	}
}

// TestLoadMustBeShared shows that the check fails without the shared load.
func TestLoadMustBeShared(t *testing.T) {
	is := is.New(t)
	p := loadSimulation{instances: 80, random: rand.New(rand.NewPCG(1, 2))}
	p.play(60, 0.75)
	t.Logf("late: %.3f of requests; most at one upstream: %d", p.lateShare(), p.most())
	is.True(p.lateShare() > 0.05)
}

// most returns the largest number of requests at one upstream at the end.
func (p *loadSimulation) most() int {
	u := slices.MaxFunc(p.ids, func(a, b string) int {
		return cmp.Compare(len(p.upstreams[a].running)+len(p.upstreams[a].waiting), len(p.upstreams[b].running)+len(p.upstreams[b].waiting))
	})
	return len(p.upstreams[u].running) + len(p.upstreams[u].waiting)
}
