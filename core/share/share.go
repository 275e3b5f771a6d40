// Package share divides a rate limit, or a number of places, among the instances that keep
// it together.
//
// Each instance has a part of the limit and spends it from a token bucket of its own, so
// that no instance waits for another. Where a part would be too small to ever send a
// request, a few instances hold all of it; every instance computes the same ones.
//
// Invariant: if all instances know the same members, the requests of all of them in any
// span of time d are at most Rate*d + burst, where the burst is burstRatio of the
// requests in a Window and burstSlack more. Half of the excess that upstreams tolerate
// is left for members that instances do not know of yet.
package share

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstRatio and burstSlack say how far the bursts of all instances add up: that part
	// of the requests in a window, and so many more.
	burstRatio = 0.25
	burstSlack = 2.5
)

// A Limit is a rate limit that all instances keep together. The zero Limit is none.
type Limit struct {
	Rate   float64       // requests per second
	Window time.Duration // span over which the requests are counted
}

// A Part is one instance's part of a limit. The zero Part allows nothing.
type Part struct {
	Rate  float64 // requests per second
	Burst float64 // tokens of a full bucket; 1 or more unless the part is zero
}

// PartOf returns the part of the instance self, which is one of the members. The key
// identifies what is limited.
func (l Limit) PartOf(key, self string, members []string) Part {
	burst := burstRatio*l.Rate*l.Window.Seconds() + burstSlack
	n := float64(len(members))
	if n <= burst {
		return Part{Rate: l.Rate / n, Burst: burst / n}
	}
	holders := math.Floor(burst)
	if float64(rank(key, self, members)) >= holders {
		return Part{}
	}
	return Part{Rate: l.Rate / holders, Burst: 1}
}

// PlacesOf returns how many of a number of places the instance self holds, which is one of
// the members. What all members hold adds up to that number. The key identifies what the
// places are of.
func PlacesOf(places int, key, self string, members []string) int {
	n := len(members)
	held := places / n
	if remainder := places % n; rank(key, self, members) < remainder {
		held++
	}
	return held
}

// rank returns the number of other members that come before self in the key's rendezvous
// order.
func rank(key, self string, members []string) int {
	ahead := 0
	own := weight(key, self)
	for _, member := range members {
		if member != self && weight(key, member) > own {
			ahead++
		}
	}
	return ahead
}

func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// A Bucket holds the tokens of a part. The zero Bucket is full. It is not safe for
// concurrent use.
type Bucket struct {
	tokens float64
	at     time.Time // when tokens was computed; zero if never
}

// Wait returns the time until the bucket has a token, 0 if it has one, and reports false
// if it never will.
func (b *Bucket) Wait(now time.Time, p Part) (time.Duration, bool) {
	b.refill(now, p)
	switch {
	case b.tokens >= 1:
		return 0, true
	case p.Rate <= 0:
		return 0, false
	}
	return time.Duration(math.Ceil((1 - b.tokens) / p.Rate * float64(time.Second))), true
}

// Take spends a token. It is called when Wait has returned 0.
func (b *Bucket) Take(now time.Time, p Part) {
	b.refill(now, p)
	b.tokens--
}

func (b *Bucket) refill(now time.Time, p Part) {
	if b.at.IsZero() {
		b.tokens = p.Burst
	} else {
		b.tokens = min(p.Burst, b.tokens+p.Rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
