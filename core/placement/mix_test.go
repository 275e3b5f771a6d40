package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"banyanyard/core/load"

	"github.com/matryer/is"
)

// A mix plays long and short prompts from many instances at upstreams of different speed.
type mix struct {
	utilisation float64
	policy      string
	newsAge     time.Duration
	seed        uint64
	// trouble changes the deployment half way.
	trouble func(m *mix, now time.Time)

	random    *rand.Rand
	fleets    []*Fleet
	engines   map[string]*mixEngine
	ids       []string
	requests  []*mixRequest
	news      []load.Sum
	newsStops bool
}

// A mixEngine reads prompts one after the other and writes all streams at once.
type mixEngine struct {
	speed   float64
	queue   []*mixRequest
	writing []*mixRequest
	kept    map[string]time.Time
	budget  float64 // seconds of speed 1
}

type mixRequest struct {
	arrived time.Time
	long    bool
	key     string
	shared  float64 // tokens
	unread  float64
	tokens  float64 // of the prompt
	left    int     // tokens to write
	fleet   *Fleet
	slot    *Slot
	first   time.Duration // 0 if it has not begun
}

const (
	mixInstances    = 48
	mixUpstreams    = 36
	mixReadRate     = 50_000.0 // tokens a second at speed 1
	mixStep         = 0.003    // seconds that a step takes
	mixBeside       = 0.0001   // more for each stream
	mixPiece        = 2_000.0  // tokens that are read in a step
	mixSlots        = 64
	mixEvents       = 30
	mixTokens       = 8 // in an event
	mixNewsInterval = 500 * time.Millisecond
	mixTick         = 10 * time.Millisecond
	mixTime         = 50 * time.Second
	mixWarmUp       = 12 * time.Second
	mixShortAim     = time.Second
	mixLongAim      = 4 * time.Second
	mixLongShare    = 0.3
	mixPatience     = 4 // times the aim after which a caller leaves whose answer has not begun
	// mixMeanWork is the time that an upstream of speed 1 takes for the prompt of a request
	// on average if half of the shared parts are kept, and for its tokens in a full batch.
	mixMeanWork = (mixLongShare*(5_000/2+6_500)+(1-mixLongShare)*900)/mixReadRate + mixEvents*mixTokens*(mixStep/mixSlots+mixBeside)
)

var mixSpeeds = []float64{0.6, 1, 1.6}

// prepare registers the upstreams at all instances.
func (m *mix) prepare() {
	m.random = rand.New(rand.NewPCG(3, m.seed))
	m.engines = map[string]*mixEngine{}
	names := make([]string, mixInstances)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	for i, name := range names {
		f := New(name, fmt.Sprint("d", i%3))
		f.SetInstances(names)
		m.fleets = append(m.fleets, f)
	}
	for i := range mixUpstreams {
		id := fmt.Sprint("upstream-", i)
		m.ids = append(m.ids, id)
		m.engines[id] = &mixEngine{speed: mixSpeeds[m.random.IntN(len(mixSpeeds))], kept: map[string]time.Time{}}
		for _, f := range m.fleets {
			f.Register(start, Upstream{ID: id, Service: "s", Address: id, FailureDomain: fmt.Sprint("d", i%3), Slots: mixSlots})
		}
	}
}

func (m *mix) play() {
	m.prepare()
	perTick := 0.0
	for _, e := range m.engines {
		perTick += e.speed * m.utilisation / mixMeanWork * mixTick.Seconds()
	}
	due := 0.0
	for now := start; now.Before(start.Add(mixTime)); now = now.Add(mixTick) {
		if now.Equal(start.Add(mixTime/2)) && m.trouble != nil {
			m.trouble(m, now)
		}
		if now.Sub(start)%mixNewsInterval == 0 && m.policy == "by delay" {
			m.tellNews(now)
		}
		if due += perTick; now.Before(start.Add(mixWarmUp / 2)) {
			due -= perTick * (1 - min(1, 0.5/m.utilisation))
		}
		for ; due >= 1; due-- {
			m.arrive(now)
		}
		for _, id := range m.ids {
			m.engines[id].work(now)
		}
	}
}

// tellNews tells all instances the load of newsAge ago.
func (m *mix) tellNews(now time.Time) {
	m.news = append(m.news, m.sum(now))
	at := len(m.news) - 1 - int(m.newsAge/mixNewsInterval)
	if at < 0 || m.newsStops {
		return
	}
	m.news[at].Age = m.newsAge
	for _, f := range m.fleets {
		f.SetLoad(now, m.news[at])
	}
}

// sum returns the load of all instances.
func (m *mix) sum(now time.Time) (total load.Sum) {
	for _, f := range m.fleets {
		total = total.Plus(f.Load(now, true))
	}
	return total
}

func (m *mix) arrive(now time.Time) {
	r := &mixRequest{arrived: now, long: m.random.Float64() < mixLongShare, left: mixEvents * mixTokens, fleet: m.fleets[m.random.IntN(len(m.fleets))]}
	r.key = fmt.Sprint("report-", m.random.IntN(60))
	r.shared, r.tokens = 5_000, 5_000+mixTail(m.random)
	if !r.long {
		r.key, r.shared, r.tokens = fmt.Sprint("question-", m.random.IntN(200)), 200, 900*(0.4+1.2*m.random.Float64())
	}
	m.requests = append(m.requests, r)
	r.slot = m.pick(now, r)
	if r.slot == nil {
		return
	}
	e := m.engines[r.slot.Upstream.ID]
	r.unread = r.tokens
	if at, kept := e.kept[r.key]; kept && now.Sub(at) < 10*time.Second {
		r.unread -= r.shared
	}
	e.kept[r.key] = now
	e.queue = append(e.queue, r)
}

// mixTail returns the tokens of a long prompt's own part: 6,500 on average, ten times that at
// most.
func mixTail(r *rand.Rand) float64 { return min(65_000, 6_500*math.Exp(1.2*r.NormFloat64()-0.72)) }

func (m *mix) pick(now time.Time, r *mixRequest) *Slot {
	c := Criteria{Service: "s", AffinityKey: r.key, PromptWork: r.tokens, SharedWork: r.shared, Kind: fmt.Sprint(r.long)}
	service := r.fleet.services["s"]
	us := service.upstreams
	switch m.policy {
	case "random of two":
		return r.fleet.reserve(now, r.fleet.leastLoaded([]*upstream{us[m.random.IntN(len(us))], us[m.random.IntN(len(us))]}), c)
	case "least outstanding":
		return r.fleet.reserve(now, r.fleet.leastLoaded(us), c)
	case "own attempts": // as without the load of all instances
		return r.fleet.reserve(now, r.fleet.choose(now, service.partition.upstreamsFor(now, us, c.PromptWork), c.AffinityKey), c)
	}
	slot, _ := r.fleet.Pick(now, c)
	return slot
}

// work lets an engine work for one tick. With each step it reads a piece of the first prompt
// and writes a token of each stream.
func (e *mixEngine) work(now time.Time) {
	e.queue = slices.DeleteFunc(e.queue, func(r *mixRequest) bool {
		left := now.Sub(r.arrived) > mixPatience*r.aim()
		if left {
			r.fleet.Release(now, r.slot, Canceled)
		}
		return left
	})
	for e.budget += mixTick.Seconds() * e.speed; e.budget > 0; {
		read := 0.0
		if len(e.queue) > 0 && len(e.writing) < mixSlots {
			r := e.queue[0]
			read = min(mixPiece, r.unread)
			if r.unread -= read; r.unread <= 0 {
				e.queue = e.queue[1:]
				e.writing = append(e.writing, r)
				r.first = now.Add(mixTick).Sub(r.arrived)
				r.fleet.RecordHead(now, r.slot, r.first)
			}
		}
		if len(e.writing) == 0 && read == 0 {
			e.budget = 0
			return
		}
		e.budget -= mixStep + mixBeside*float64(len(e.writing)) + read/mixReadRate
		e.writing = slices.DeleteFunc(e.writing, func(r *mixRequest) bool {
			if r.left--; r.left > 0 {
				return false
			}
			r.fleet.RecordPace(now, r.slot, (now.Sub(r.arrived)-r.first)/mixEvents)
			r.fleet.Release(now, r.slot, Completed)
			return true
		})
	}
}

func (r *mixRequest) aim() time.Duration {
	if r.long {
		return mixLongAim
	}
	return mixShortAim
}

// begun returns the share of the requests that suit whose answer began within a multiple of
// their aim.
func (m *mix) begun(aims time.Duration, suits func(*mixRequest) bool) float64 {
	n, met := 0, 0
	for _, r := range m.requests {
		if r.arrived.Before(start.Add(mixWarmUp)) || r.arrived.After(start.Add(mixTime-mixPatience*mixLongAim)) || !suits(r) {
			continue
		}
		n++
		if r.first > 0 && r.first <= aims*r.aim() {
			met++
		}
	}
	return float64(met) / float64(max(n, 1))
}

func (m *mix) inAim(suits func(*mixRequest) bool) float64 { return m.begun(1, suits) }

func isLong(r *mixRequest) bool  { return r.long }
func isShort(r *mixRequest) bool { return !r.long }

// largest returns what selects the long prompts between two quantiles of their size.
func (m *mix) largest(from, to float64) func(*mixRequest) bool {
	var sizes []float64
	for _, r := range m.requests {
		if r.long {
			sizes = append(sizes, r.tokens)
		}
	}
	slices.Sort(sizes)
	low, high := sizes[int(from*float64(len(sizes)))], sizes[min(len(sizes)-1, int(to*float64(len(sizes))))]
	return func(r *mixRequest) bool { return r.long && r.tokens >= low && r.tokens <= high }
}

// largestKeepShare reports whether the largest tenth of the long prompts and the fifth below it
// are served at least half as often as all.
func (m *mix) largestKeepShare() bool {
	all := m.begun(mixPatience, isLong)
	return m.begun(mixPatience, m.largest(0.9, 1)) >= all/2 && m.begun(mixPatience, m.largest(0.7, 0.9)) >= all/2
}

func (m *mix) log(t *testing.T) {
	t.Logf("%-17s at %.1f, news %.1f s: in aim: short %.3f, long %.3f; served: short %.3f, long %.3f, largest tenth %.3f, fifth below %.3f", m.policy, m.utilisation, m.newsAge.Seconds(),
		m.inAim(isShort), m.inAim(isLong), m.begun(mixPatience, isShort), m.begun(mixPatience, isLong), m.begun(mixPatience, m.largest(0.9, 1)), m.begun(mixPatience, m.largest(0.7, 0.9)))
}

// TestMixOfPrompts compares ways to place long and short prompts.
func TestMixOfPrompts(t *testing.T) {
	tests := []struct {
		utilisation float64
		newsAge     time.Duration
		inAim       float64 // least share of either kind that meets its aim
		served      float64 // and that is served at all
	}{
		{utilisation: 0.5, newsAge: 500 * time.Millisecond, inAim: 0.95, served: 0.95},
		{utilisation: 0.5, newsAge: 2 * time.Second, inAim: 0.95, served: 0.95},
		{utilisation: 0.9, newsAge: 500 * time.Millisecond, inAim: 0.9, served: 0.9},
		{utilisation: 0.9, newsAge: time.Second, inAim: 0.9, served: 0.9},
		{utilisation: 0.9, newsAge: 2 * time.Second, inAim: 0.9, served: 0.9},
		{utilisation: 1.3, newsAge: time.Second, served: 0.5},
	}
	for _, utilisation := range []float64{0.5, 0.9, 1.3} {
		for _, policy := range []string{"random of two", "least outstanding", "own attempts"} {
			m := mix{utilisation: utilisation, policy: policy}
			m.play()
			m.log(t)
		}
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("utilisation %.1f, news %v old", tt.utilisation, tt.newsAge), func(t *testing.T) {
			is := is.New(t)
			m := mix{utilisation: tt.utilisation, policy: "by delay", newsAge: tt.newsAge}
			m.play()
			m.log(t)
			is.True(m.inAim(isShort) >= tt.inAim)
			is.True(m.inAim(isLong) >= tt.inAim)
			is.True(m.begun(mixPatience, isShort) >= tt.served)
			is.True(m.begun(mixPatience, isLong) >= tt.served)
			is.True(m.largestKeepShare())
		})
	}
}

// TestMixUnderTrouble brings trouble about half way, which leaves at most four fifths of the
// upstreams busy.
func TestMixUnderTrouble(t *testing.T) {
	tests := []struct {
		name        string
		utilisation float64
		trouble     func(m *mix, now time.Time)
	}{
		{name: "half of the instances are gone", utilisation: 0.8, trouble: func(m *mix, _ time.Time) {
			m.fleets = m.fleets[:mixInstances/2]
			var names []string
			for _, f := range m.fleets {
				names = append(names, f.instance)
			}
			for _, f := range m.fleets {
				f.SetInstances(names)
			}
		}},
		{name: "most upstreams are cold", utilisation: 0.3, trouble: func(m *mix, now time.Time) {
			for _, f := range m.fleets {
				f.SetColdRate("s", 9)
				for i, id := range m.ids {
					if u := f.byID[id].Upstream; i%5 > 1 {
						u.ColdLeft = 10 * time.Second
						f.Register(now, u)
					}
				}
			}
		}},
		{name: "a domain is cut", utilisation: 0.5, trouble: func(m *mix, _ time.Time) {
			for _, f := range m.fleets {
				f.SetDomainDisabled("d0", true)
			}
		}},
		{name: "news stops", utilisation: 0.7, trouble: func(m *mix, _ time.Time) { m.newsStops = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := mix{utilisation: tt.utilisation, policy: "by delay", newsAge: time.Second, trouble: tt.trouble}
			m.play()
			m.log(t)
			is.True(m.inAim(isShort) >= 0.9)
			is.True(m.inAim(isLong) >= 0.9)
			is.True(m.largestKeepShare())
		})
	}
}

// TestExpect tells the wait at an upstream with unread prompts.
func TestExpect(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.SetLoad(start, load.Sum{Instances: 1, Running: map[string]int{"u0": 4}, Unread: map[string]int{"u0": 500}, Pace: map[string]load.Pace{"u0": {1000, 690, 500}}})
	busy, _ := f.Expect(start.Add(time.Second), "u0")
	free, _ := f.Expect(start.Add(time.Second), "u1")
	is.True(busy.Slowness > 1.5 && free.Slowness == 1)
	is.True(busy.Wait > 10*free.Wait)
	is.True(busy.Gap > free.Gap)
	is.Equal(busy.Unread, 50_000.0)
	is.Equal(busy.Age, time.Second)
	_, known := f.Expect(start, "u9")
	is.True(!known)
}
