// Package admission decides what becomes of a request on its arrival: it is started, held for
// a short time, or refused.
//
// It answers bursts in which the upstreams of a service cannot meet the latency objectives of
// all requests: many callers come at once, one organisation sends many times its usual, or
// upstreams are lost. Requests that would make more urgent ones late, and that have time
// themselves, then wait where they hold nobody up. Elsewhere each request is started at once.
//
// All instances see the same old news of the load. Each request therefore has a random draw
// with which it is compared, so that as the room changes, requests stop or go one by one and
// not all together.
//
// A Gate is owned by one goroutine or guarded by a mutex. Its methods take the current time
// and never block.
//
// Invariants:
//   - a request is held for at most holdShare of its latency objective, and no longer at all
//     once the news of the load stops, except to go one by one;
//   - only a request that no upstream can begin to answer before its deadline, or one of an
//     organisation beyond its share, is refused;
//   - of two held requests for the same upstreams, the one that ranks first goes first.
package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdShare is the part of its latency objective for which a request may be held.
	holdShare = 0.25
	// slackShare is the part of its latency objective within which a request must be expected
	// to begin if it is held on.
	slackShare = 0.8
	// freePressure is the pressure up to which each request is started. At 1, a more urgent kind
	// of request is late on average, and none is started that can be held; waits vary like those
	// of a queue, so that 1 in 28 of that kind is late at freePressure.
	freePressure = 0.3
	// scarcePressure is the pressure from which on organisations are held to their shares: 1 in
	// 4 requests of the kind is late then.
	scarcePressure = 0.7
	// lastingTime is how long there must have been too little room before requests beyond an
	// organisation's share are refused.
	lastingTime = time.Second
	// certainty is how many times as long as its deadline is away the shortest predicted wait
	// must be for a request to be refused: predictions err.
	certainty = 2
	// roomInterval is the time for which a room is used.
	roomInterval = 250 * time.Millisecond
	// maxRetryShare is the part of the time left that callers wait at most before they return.
	maxRetryShare = 1.0 / 3
	// minRetryAfter is the shortest wait.
	minRetryAfter = 200 * time.Millisecond
)

// A Room is what the upstreams that are to get prompts of a size can do in time.
type Room struct {
	Wait     time.Duration // predicted until an upstream has read the prompts that it has
	Shortest time.Duration // the same at the upstream where that is shortest
	PerToken time.Duration // for which an upstream reads a token of a prompt
	Spills   bool          // prompts of this size also go to the upstreams for others
	Age      time.Duration // of the news that this rests on
	Known    bool
}

// Rooms are the rooms of a service for small and for large prompts.
type Rooms struct{ Small, Large Room }

func (r *Rooms) of(large bool) *Room {
	if large {
		return &r.Large
	}
	return &r.Small
}

// A Request is what a decision depends on.
type Request struct {
	Organisation string
	Priority     int           // 0 is the highest
	Objective    time.Duration // until the first event
	Work         float64       // prompt work, in tokens
	Large        bool          // the prompt counts as large
	Arrived      time.Time
	Deadline     time.Time
	Draw         float64 // random, from 0 to 1
}

// An Outcome says what becomes of a request.
type Outcome uint8

// The outcomes.
const (
	Take Outcome = iota
	Hold
	Refuse
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return [...]string{"take", "hold", "refuse"}[o] }

// A Decision is an outcome with what it rests on.
type Decision struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // of a refusal
	Room       Room
	Predicted  time.Duration // until the request begins if it is started now
	Pressure   float64       // on the more urgent kind that is nearest to being late; 1 if that is expected to be
}

// A Reason says why a request is not started, or why it is after all.
type Reason string

// The reasons.
const (
	Free        Reason = "room"          // no more urgent request is late for it
	MoreUrgent  Reason = "more-urgent"   // it would make more urgent ones late
	BeyondShare Reason = "beyond-share"  // its organisation has had more than its share
	Bound       Reason = "bound"         // it has been held long enough
	Deadline    Reason = "deadline"      // no upstream begins with it in time
	Unknown     Reason = "load-unknown"  // there is no recent news of the load
	Behind      Reason = "behind-others" // held ones that rank before it go first
)

// A Gate decides on the requests for one service at one instance. The zero Gate is ready for
// use.
type Gate struct {
	Shares *Shares // of the organisations, over all services; nil if these have none

	rooms   Rooms
	roomsAt time.Time
	kinds   kinds
	held    []*Ticket
	strain  strain
}

// A Ticket stands for a request from its arrival until it is started, refused or gone.
type Ticket struct {
	Request
	beyondShare bool
	held        bool
}

// RoomsDue reports whether the rooms must be set before the next decision.
func (g *Gate) RoomsDue(now time.Time) bool {
	return g.roomsAt.IsZero() || now.Sub(g.roomsAt) >= roomInterval
}

// SetRooms sets the rooms of the service.
func (g *Gate) SetRooms(now time.Time, r Rooms) { g.rooms, g.roomsAt = r, now }

// Arrive records a request. The ticket must be passed to Decide, and to Leave at the end.
func (g *Gate) Arrive(now time.Time, q Request) *Ticket {
	g.kinds.record(now, q)
	g.Shares.record(now, q.Organisation, q.Work)
	return &Ticket{Request: q}
}

// Leave records that a request was started or refused, or that its caller has left.
func (g *Gate) Leave(t *Ticket) {
	if t.held {
		g.held = slices.DeleteFunc(g.held, func(o *Ticket) bool { return o == t })
		t.held = false
	}
}

// Decide decides on a request. It is asked again about one that is held.
func (g *Gate) Decide(now time.Time, t *Ticket) Decision {
	room := *g.rooms.of(t.Large)
	d := Decision{Outcome: Take, Reason: Unknown, Room: room}
	if !room.Known {
		return g.release(now, t, d)
	}
	d.Predicted = room.Wait + time.Duration(t.Work*float64(room.PerToken))
	if room.Shortest > certainty*t.Deadline.Sub(now) {
		d.Outcome, d.Reason, d.RetryAfter = Refuse, Deadline, g.retryAfter(now, t, room.Shortest)
		return d
	}
	// Others go before an organisation that is beyond its share, unless they are less urgent.
	kind, pressure := g.pressure(t, g.kinds.recent(now), func(k *Kind) bool { return k.Priority <= t.Priority })
	lasting := g.strain.lasts(now, pressure)
	if t.beyondShare = t.Draw < g.Shares.beyond(now, t.Organisation, pressure/scarcePressure); !t.beyondShare {
		kind, pressure = g.pressure(t, g.kinds.recent(now), t.yieldsTo)
	}
	d.Pressure = pressure
	isPressed := pressure > freePressure+(1-freePressure)*t.Draw
	if isPressed && lasting && t.beyondShare && !t.held {
		d.Outcome, d.Reason, d.RetryAfter = Refuse, BeyondShare, g.retryAfter(now, t, room.Wait)
		return d
	}
	return g.takeOrHold(now, t, d, isPressed && g.helps(now, t, kind, d))
}

// takeOrHold decides on a request that is not refused. It is to be held if that helps.
func (g *Gate) takeOrHold(now time.Time, t *Ticket, d Decision, helps bool) Decision {
	switch {
	case !now.Before(t.heldUntil(d.Predicted)):
		d.Reason = Bound
		return d
	case helps:
		d.Reason = MoreUrgent
	case g.isBehind(t):
		d.Reason = Behind
	default:
		d.Reason = Free
		return d
	}
	d.Outcome = Hold
	if !t.held {
		t.held = true
		g.held = append(g.held, t)
	}
	return d
}

// helps reports whether a more urgent kind may be in time if the request is held for as long as
// possible, in which upstreams go on reading.
func (g *Gate) helps(now time.Time, t *Ticket, k Kind, d Decision) bool {
	left := t.heldUntil(d.Predicted).Sub(now)
	return g.rooms.of(k.Large).Wait-left < k.Objective
}

// release starts a request because the news of the load has stopped. Those that are held go one
// by one, at random times before their bounds.
func (g *Gate) release(now time.Time, t *Ticket, d Decision) Decision {
	if t.held && now.Before(t.Arrived.Add(time.Duration(t.Draw*holdShare*float64(t.Objective)))) {
		d.Outcome = Hold
	}
	return d
}

// heldUntil returns the time up to which the request may be held if it is expected to begin
// some time after its start.
func (t *Ticket) heldUntil(predicted time.Duration) time.Time {
	share := func(s float64) time.Duration { return time.Duration(s * float64(t.Objective)) }
	return t.Arrived.Add(min(share(holdShare), share(slackShare)-predicted))
}

// pressure returns how near one of the kinds that precede a request is to being late, of those
// that go to the same upstreams, and that kind.
func (g *Gate) pressure(t *Ticket, all []Kind, precedes func(*Kind) bool) (nearest Kind, pressure float64) {
	for _, k := range all {
		if !precedes(&k) {
			continue
		}
		room := g.rooms.of(k.Large)
		if !room.Known || k.Large != t.Large && !g.rooms.of(t.Large).Spills {
			continue // the request does not go where this kind goes
		}
		wait := room.Wait + time.Duration(k.Work*float64(room.PerToken))
		if p := float64(wait) / float64(k.Objective); p > pressure {
			nearest, pressure = k, p
		}
	}
	return nearest, pressure
}

// isBehind reports whether a held request that ranks before this one is to use the same
// upstreams.
func (g *Gate) isBehind(t *Ticket) bool {
	return slices.ContainsFunc(g.held, func(o *Ticket) bool {
		return o != t && o.Large == t.Large && rank(o, t) < 0
	})
}

// rank orders held requests: by urgency, then those within their organisation's share, then
// by the time at which they are late.
func rank(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.beyondShare, b.beyondShare),
		a.Arrived.Add(a.Objective).Compare(b.Arrived.Add(b.Objective)),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// retryAfter returns when a caller that is refused is to return: at a random time around the
// one at which room is expected.
func (g *Gate) retryAfter(now time.Time, t *Ticket, room time.Duration) time.Duration {
	most := time.Duration(maxRetryShare * float64(t.Deadline.Sub(now)))
	after := time.Duration((0.5 + t.Draw) * float64(max(room, minRetryAfter)))
	return max(min(after, most), min(minRetryAfter, most))
}

// A strain tells for how long there has been too little room.
type strain struct {
	since, last time.Time
}

// lasts records the pressure and reports whether there has been too little room for long.
func (l *strain) lasts(now time.Time, pressure float64) bool {
	if pressure > scarcePressure {
		if l.since.IsZero() || now.Sub(l.last) > lastingTime/2 {
			l.since = now
		}
		l.last = now
	}
	return !l.since.IsZero() && now.Sub(l.last) < lastingTime/2 && now.Sub(l.since) >= lastingTime
}
