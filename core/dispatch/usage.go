package dispatch

import "time"

const (
	// activeFor is the time after its newest ticket for which an organisation
	// counts as using a pool.
	activeFor = 10 * time.Second
	// headroom is the part of a pool's slots that an organisation beyond its
	// fair share leaves free.
	headroom = 0.1
)

// usage is what organisations hold of one pool. Where several use it, one that
// holds its fair share or more leaves a part free, so that the others need not
// wait for one of its requests to end.
type usage struct {
	heldBy   map[string]int
	held     int
	seen     map[string]time.Time
	active   int // organisations seen lately, as of the newest tick
	capacity int // slots, as of the newest tick
}

// note records that an organisation uses the pool.
func (u *usage) note(now time.Time, organisation string) {
	if u.seen == nil {
		u.seen = map[string]time.Time{}
		u.heldBy = map[string]int{}
	}
	u.seen[organisation] = now
}

func (u *usage) take(organisation string) {
	u.held++
	u.heldBy[organisation]++
}

func (u *usage) give(organisation string) {
	u.held--
	u.heldBy[organisation]--
}

// tick counts the organisations and slots anew.
func (u *usage) tick(now time.Time, capacity int) {
	u.capacity = capacity
	for organisation, at := range u.seen {
		if now.Sub(at) > activeFor && u.heldBy[organisation] == 0 {
			delete(u.seen, organisation)
			delete(u.heldBy, organisation)
		}
	}
	u.active = len(u.seen)
}

// leavesFree reports whether the organisation has to leave the remaining slots
// to others.
func (u *usage) leavesFree(organisation string) bool {
	if u.active < 2 || u.heldBy[organisation] < u.capacity/u.active {
		return false
	}
	return u.held >= u.capacity-max(1, int(headroom*float64(u.capacity)))
}

// below reports whether the organisation holds less than its fair share, so
// that waiting tickets of others don't come before it.
func (u *usage) below(organisation string) bool {
	return u.active >= 2 && u.heldBy[organisation] < u.capacity/u.active
}
