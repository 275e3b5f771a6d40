package dispatch

import "time"

const (
	// activeWindow is how long an organisation counts as active in a pool after
	// its newest ticket.
	activeWindow = 10 * time.Second
	// headroomFraction is the fraction of a pool's slots that an organisation
	// with its fair share or more leaves free.
	headroomFraction = 0.1
)

// usage counts the slots of one pool that each organisation holds. When several
// organisations are active, one that holds its fair share or more must leave
// some slots free, so that the others needn't wait for its requests to end.
type usage struct {
	heldBy   map[string]int // by organisation
	held     int
	lastSeen map[string]time.Time // time of the newest ticket by organisation
	active   int                  // number of active organisations at the last refresh
	capacity int                  // slots of the pool at the last refresh
}

// recordUse records that an organisation has offered a ticket.
func (u *usage) recordUse(now time.Time, organisation string) {
	if u.lastSeen == nil {
		u.lastSeen = map[string]time.Time{}
		u.heldBy = map[string]int{}
	}
	u.lastSeen[organisation] = now
}

func (u *usage) acquire(organisation string) {
	u.held++
	u.heldBy[organisation]++
}

func (u *usage) release(organisation string) {
	u.held--
	u.heldBy[organisation]--
}

// refresh sets the capacity and recounts the active organisations. One that
// still holds slots stays active.
func (u *usage) refresh(now time.Time, capacity int) {
	u.capacity = capacity
	for organisation, at := range u.lastSeen {
		if now.Sub(at) > activeWindow && u.heldBy[organisation] == 0 {
			delete(u.lastSeen, organisation)
			delete(u.heldBy, organisation)
		}
	}
	u.active = len(u.lastSeen)
}

// mustLeaveFree reports whether the organisation must leave the remaining free
// slots to others.
func (u *usage) mustLeaveFree(organisation string) bool {
	if u.active < 2 || u.heldBy[organisation] < u.capacity/u.active {
		return false
	}
	return u.held >= u.capacity-max(1, int(headroomFraction*float64(u.capacity)))
}

// belowFairShare reports whether several organisations are active and this one
// holds less than its fair share.
func (u *usage) belowFairShare(organisation string) bool {
	return u.active >= 2 && u.heldBy[organisation] < u.capacity/u.active
}
