package placement

import (
	"math"
	"time"
)

// A Room is what the upstreams that are to get prompts of a size can do in time.
type Room struct {
	Wait     time.Duration // predicted until an upstream has read the prompts that it has, on average over picks
	Shortest time.Duration // the same where that is shortest
	PerToken time.Duration // for which a typical upstream reads a token of the largest model
	Spills   bool          // Wait is so much longer than usual that prompts go to the others, too
	Age      time.Duration // of the news that this rests on
}

// Room returns the room for large or small prompts. It reports false if too little is
// known: without recent news, and where few instances decide by their own attempts.
func (f *Fleet) Room(now time.Time, service string, large bool) (Room, bool) {
	s := f.services[service]
	if s == nil || !f.knowsLoad(now) {
		return Room{}, false
	}
	var usable []*upstream
	for _, u := range s.upstreams {
		if f.acceptsWork(now, u) && !u.isDown(now) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return Room{}, false
	}
	e := &s.engine
	part := s.partition.divide(now, usable, large, 0, (*upstream).pace)
	shortest := math.Inf(1)
	for _, u := range usable {
		shortest = min(shortest, e.wait(u))
	}
	return Room{
		Wait:     seconds(f.meanWait(now, e, part)),
		Shortest: seconds(shortest),
		PerToken: seconds(e.perToken),
		Spills:   median(part, e.wait) > 2*median(usable, e.wait),
		Age:      now.Sub(f.loadSetAt) + f.loadAge,
	}, true
}

// meanWait returns the predicted wait at the upstreams, in seconds, on average over the requests:
// those that are far behind get few.
func (f *Fleet) meanWait(now time.Time, e *engine, us []*upstream) float64 {
	total, weights := 0.0, 0.0
	for _, u := range us {
		weight := f.headroom(now, u) * u.pace()
		total += weight * e.wait(u)
		weights += weight
	}
	return total / weights
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// IsLarge reports whether prompts of some prompt work count as large.
func IsLarge(work float64) bool { return work >= largePromptWork }
