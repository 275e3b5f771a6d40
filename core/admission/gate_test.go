package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// A burst plays urgent short prompts and less urgent long ones at upstreams that read prompts
// one after the other. For some time, more prompts come than can be read.
type burst struct {
	admits      bool // else each request is started at once
	utilisation float64
	newsStops   bool // half way
	// trouble changes the deployment when the burst begins.
	trouble func(b *burst)
	hot     string // organisation that sends hotFactor times its usual from the burst on

	seed     uint64
	random   *rand.Rand // of arrivals
	places   *rand.Rand
	gates    []*Gate
	queues   []float64 // tokens to read at each upstream
	news     []float64 // seconds of wait, on average, by the time of the news
	requests []*burstRequest
	waiting  []*burstRequest
	refused  []time.Duration // Retry-After times
}

type burstRequest struct {
	Request
	gate    *Gate
	ticket  *Ticket
	begins  time.Time // zero if it was refused
	started time.Time
	back    time.Time // when the caller comes back, if it was refused
	retried bool
}

const (
	burstInstances    = 24
	burstUpstreams    = 12
	burstRate         = 10_000.0 // tokens that an upstream reads in a second
	burstTick         = 20 * time.Millisecond
	burstNewsInterval = 500 * time.Millisecond
	burstNewsAge      = time.Second
	burstFrom         = 10 * time.Second
	burstTo           = 15 * time.Second
	burstEnd          = 25 * time.Second
	burstUsual        = 0.8
	hotFactor         = 7.5
	burstLongShare    = 0.4
	burstLong         = 3_000.0
	burstShort        = 600.0
	burstOrgs         = 6
)

func (b *burst) play() {
	b.random = rand.New(rand.NewPCG(b.seed, 2))
	b.places = rand.New(rand.NewPCG(b.seed, 3))
	for range burstInstances {
		b.gates = append(b.gates, &Gate{})
	}
	b.queues = make([]float64, burstUpstreams)
	mean := burstLongShare*burstLong + (1-burstLongShare)*burstShort
	due := 0.0
	for now := start; now.Before(start.Add(burstEnd)); now = now.Add(burstTick) {
		at := now.Sub(start)
		bursting := at >= burstFrom && at < burstTo
		if at == burstFrom && b.trouble != nil {
			b.trouble(b)
		}
		if at%burstNewsInterval == 0 && !(b.newsStops && at > burstFrom) {
			b.tell()
		}
		utilisation := burstUsual
		if bursting {
			utilisation = b.utilisation
		}
		for due += utilisation * burstUpstreams * burstRate / mean * burstTick.Seconds(); due >= 1; due-- {
			b.arrive(now, b.draw(now, bursting))
		}
		b.decide(now)
		for i := range b.queues {
			b.queues[i] = max(0, b.queues[i]-burstRate*burstTick.Seconds())
		}
	}
}

func (b *burst) tell() {
	total := 0.0
	for _, q := range b.queues {
		total += q
	}
	b.news = append(b.news, total/float64(len(b.queues))/burstRate)
}

// rooms returns what the instances know.
func (b *burst) rooms(now time.Time) Rooms {
	i := len(b.news) - 1 - int(burstNewsAge/burstNewsInterval)
	if i < 0 || b.newsStops && now.Sub(start) > burstFrom+2*time.Second {
		return Rooms{}
	}
	wait := time.Duration(b.news[i] * float64(time.Second))
	r := Room{Wait: wait, Shortest: wait / 2, PerToken: time.Duration(1e9 / burstRate), Age: burstNewsAge, Known: true}
	return Rooms{Small: r, Large: r}
}

func (b *burst) draw(now time.Time, bursting bool) *burstRequest {
	r := &burstRequest{Request: Request{
		Organisation: fmt.Sprint("org-", b.random.IntN(burstOrgs)),
		Objective:    time.Second, Work: burstShort * (0.5 + b.random.Float64()),
		Arrived: now, Deadline: now.Add(5 * time.Second), Draw: b.random.Float64(),
	}}
	if b.random.Float64() < burstLongShare {
		r.Priority, r.Objective, r.Work, r.Deadline = 2, 6*time.Second, burstLong*(0.5+b.random.Float64()), now.Add(20*time.Second)
	}
	if bursting && b.hot != "" && b.random.Float64() < (hotFactor-1)/(burstOrgs+hotFactor-1) {
		r.Organisation = b.hot
	}
	return r
}

func (b *burst) arrive(now time.Time, r *burstRequest) {
	r.gate = b.gates[b.random.IntN(len(b.gates))]
	r.ticket = r.gate.Arrive(now, r.Request)
	b.requests = append(b.requests, r)
	b.waiting = append(b.waiting, r)
}

func (b *burst) decide(now time.Time) {
	b.waiting = slices.DeleteFunc(b.waiting, func(r *burstRequest) bool {
		d := Decision{}
		if b.admits {
			if r.gate.RoomsDue(now) {
				r.gate.SetRooms(now, b.rooms(now))
			}
			d = r.gate.Decide(now, r.ticket)
		}
		if d.Outcome == Hold {
			return false
		}
		r.gate.Leave(r.ticket)
		if d.Outcome == Refuse {
			b.refused = append(b.refused, d.RetryAfter)
			return true
		}
		i, j := b.places.IntN(len(b.queues)), b.places.IntN(len(b.queues))
		if b.queues[j] < b.queues[i] {
			i = j
		}
		b.queues[i] += r.Work
		r.started = now
		r.begins = now.Add(time.Duration(b.queues[i] / burstRate * float64(time.Second)))
		return true
	})
}

// inAim returns the share of the requests that suit, from the burst on, that begin in time.
func (b *burst) inAim(suits func(r *burstRequest) bool) float64 {
	n, ok := 0.0, 0.0
	for _, r := range b.requests {
		if r.Arrived.Sub(start) < burstFrom || r.Arrived.Sub(start) > burstTo+2*time.Second || !suits(r) {
			continue
		}
		n++
		if !r.begins.IsZero() && r.begins.Sub(r.Arrived) <= r.Objective {
			ok++
		}
	}
	return ok / n
}

func isUrgent(r *burstRequest) bool { return r.Priority == 0 }
func isLong(r *burstRequest) bool   { return r.Priority != 0 }

// burstSeeds is the number of plays over which results are averaged.
const burstSeeds = 16

// compare plays with and without admission and returns the mean shares in aim, and all that
// was played with it.
func compare(b burst, suits func(r *burstRequest) bool) (before, after float64, plays []*burst) {
	for seed := range uint64(burstSeeds) {
		for _, admits := range []bool{false, true} {
			p := b
			p.seed, p.admits = seed, admits
			p.play()
			if !admits {
				before += p.inAim(suits) / burstSeeds
				continue
			}
			after += p.inAim(suits) / burstSeeds
			plays = append(plays, &p)
		}
	}
	return before, after, plays
}

// TestBurst plays bursts, some of them with trouble. In the same time, as many urgent requests
// must be served in time as before, or more where there is a gain.
func TestBurst(t *testing.T) {
	tests := []struct {
		name string
		play burst
		gain float64 // least gain of the urgent kind
	}{
		{name: "room", play: burst{utilisation: burstUsual}},
		{name: "long and short prompts", play: burst{utilisation: 1.3}, gain: 0.2},
		{name: "half of the instances are gone", play: burst{utilisation: 1.3, trouble: func(b *burst) { b.gates = b.gates[:burstInstances/2] }}, gain: 0.2},
		{name: "upstreams are lost", play: burst{utilisation: 1, trouble: func(b *burst) { b.queues = b.queues[:burstUpstreams*4/5] }}, gain: 0.2},
		{name: "most upstreams are lost", play: burst{utilisation: 1, trouble: func(b *burst) { b.queues = b.queues[:burstUpstreams/4] }}},
		{name: "news stops", play: burst{utilisation: 1.3, newsStops: true}},
		{name: "one organisation sends many times its usual", play: burst{utilisation: 1.3, hot: "org-1"}, gain: 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before, after, plays := compare(tt.play, isUrgent)
			t.Logf("urgent in aim: %.3f started at once, %.3f with admission", before, after)
			is.True(after >= before+tt.gain-maxLoss)
			before, after, _ = compare(tt.play, isLong)
			t.Logf("long in aim: %.3f started at once, %.3f with admission", before, after)
			is.True(after >= before-maxLoss)
			for _, r := range plays[0].requests {
				is.True(r.started.IsZero() || r.started.Sub(r.Arrived) <= time.Duration(holdShare*float64(r.Objective))+burstTick) // held too long
				is.True(!r.started.IsZero() || r.Organisation == tt.play.hot || r.begins.IsZero())
			}
		})
	}
}

// maxLoss is the share of requests that may be served worse than without admission.
const maxLoss = 0.03
