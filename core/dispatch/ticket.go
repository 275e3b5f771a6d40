package dispatch

import (
	"time"

	"banyanyard/core/rules"
)

// A Pool names the upstreams that can serve a ticket: those of a model's
// version, or those of a plain service.
type Pool struct {
	Target  rules.Target
	Service string // empty for model engines
}

// A Ticket asks for one slot. Its owner sets the exported fields before Offer
// and doesn't change them afterwards.
type Ticket struct {
	Organisation string
	Weight       int // share of contended upstreams; 0 means 1
	Priority     rules.Priority
	Pool         Pool
	Tokens       int       // most tokens that the request will hold
	Deadline     time.Time // zero means none
	Avoid        string    // upstream that failed an earlier attempt
	Only         string    // the one upstream that can serve it; empty for any
	// Suspect keeps the ticket apart from other suspects at one upstream.
	Suspect bool
	// OnGrant is called from Release or Update when a waiting ticket gets a
	// slot, and must not block. It is not called for a grant by Offer.
	OnGrant func(*Ticket)
	// OnRefuse is called when a waiting ticket can no longer be served, and
	// must not block.
	OnRefuse func(*Ticket, error)

	upstream *upstream       // set while granted
	rule     *rules.Upstream // of upstream, as it was at the grant
	pool     *pool           // that counts it while granted
	held     int             // tokens that it holds at upstream
	epoch    uint32          // ramp epoch at the grant
	waiting  bool
	alone    bool      // no other suspect can run beside it
	granted  time.Time // when upstream was set
}

// Upstream returns the granted upstream, or nil.
func (t *Ticket) Upstream() *rules.Upstream { return t.rule }

// Alone reports whether the ticket was granted as the only suspect at its
// upstream.
func (t *Ticket) Alone() bool { return t.alone }

// Granted returns when the ticket got its slot.
func (t *Ticket) Granted() time.Time { return t.granted }

func (t *Ticket) weight() float64 {
	return float64(max(t.Weight, 1))
}

// An Outcome tells how an attempt at an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	Answered    Outcome = iota // whole answer
	Abandoned                  // the caller left or the deadline passed
	Refused                    // the upstream refused it as overloaded or starting
	Unreachable                // no connection
	Broken                     // the connection or the answer broke after the start
	Failed                     // the upstream runs, and answered that the request failed
)
