package dispatch

import (
	"time"

	"banyanyard/core/rules"
)

// A PoolKey identifies the upstreams that can serve a ticket: those of a model
// version, or those of a service that isn't a model engine.
type PoolKey struct {
	Target  rules.Target
	Service string // empty for model versions
}

// A Ticket is a request for one slot. Its owner sets the exported fields before
// Offer and doesn't change them afterwards.
type Ticket struct {
	Organisation  string
	Weight        int // of the organisation in its share of contended upstreams; 0 means 1
	Priority      rules.Priority
	Pool          PoolKey
	Tokens        int       // estimate of the most tokens that the request will hold
	Deadline      time.Time // zero means none
	AvoidUpstream string    // identifier of the upstream that failed an earlier attempt; used only if no other is free
	OnlyUpstream  string    // identifier of the only upstream that can serve it; empty for any
	// Suspect marks a request that may have crashed an upstream. An instance
	// runs at most one suspect at an upstream at a time.
	Suspect bool
	// OnGrant is called when a waiting ticket is granted a slot, from any method
	// of the Dispatcher that frees one. It must not block. It is not called
	// when Offer grants the slot.
	OnGrant func(*Ticket)
	// OnRefuse is called from Update when the new rules no longer allow a
	// waiting ticket. It must not block.
	OnRefuse func(*Ticket, error)

	upstream    *upstream       // set while granted
	rule        *rules.Upstream // rule of upstream at the grant
	grantedPool *pool           // whose usage counts the ticket while granted
	heldTokens  int             // tokens held at upstream
	epoch       uint32          // ramp epoch at the grant
	waiting     bool
	onlySuspect bool      // see OnlySuspect
	grantedAt   time.Time // time of the grant
}

// Upstream returns the granted upstream, or nil if none is.
func (t *Ticket) Upstream() *rules.Upstream { return t.rule }

// OnlySuspect reports whether the ticket is suspect and was granted at an
// upstream where no suspect of any instance can run beside it.
func (t *Ticket) OnlySuspect() bool { return t.onlySuspect }

// GrantedAt returns the time at which the ticket was granted a slot.
func (t *Ticket) GrantedAt() time.Time { return t.grantedAt }

func (t *Ticket) weight() float64 {
	return float64(max(t.Weight, 1))
}

// An Outcome is the way in which an attempt at an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	Completed   Outcome = iota // a complete response arrived
	Canceled                   // the caller disconnected or the deadline passed
	Refused                    // rejected by the upstream because it is overloaded or starting
	Unreachable                // no connection to the upstream
	Broken                     // the response is missing, truncated, malformed or late
	Failed                     // the upstream is running and reported that the request failed
)
