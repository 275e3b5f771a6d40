// Package peer speaks between entry instances: JSON-RPC 2.0 over one
// connection for each pair of instances, with mutual TLS where it is
// configured.
//
// A call that isn't answered in time closes its connection, so that a
// connection which swallows everything is replaced by the next call.
package peer

import (
	"banyanyard/core/charge"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/revision"
	"banyanyard/core/slot"
)

// Methods.
const (
	methodExchange = "exchange"
	methodProbe    = "probe"
	methodSync     = "sync"
	methodRows     = "rows"
	methodReport   = "report"
	methodRules    = "rules"
	methodHold     = "hold-charges"
	methodRelease  = "release-charges"
	methodAsk      = "ask-slots"
	methodInherit  = "inherit-slots"
)

// An Exchange is a probe and its answer. Both carry gossip.
type Exchange struct {
	From    Status         `json:"from"`
	Entries []gossip.Entry `json:"entries,omitempty"`
	// Orders and Rows identify the sender's copies of the store's rows: those of
	// operators, and the others.
	Orders uint64 `json:"orders,omitempty"`
	Rows   uint64 `json:"rows,omitempty"`
}

// A Status is a member.Status in messages.
type Status struct {
	member.Identity
	Incarnation uint64       `json:"incarnation"`
	State       member.State `json:"state"`
}

// NewStatus returns a status for messages.
func NewStatus(s member.Status) Status {
	return Status{Identity: s.Identity, Incarnation: s.Incarnation, State: s.State}
}

// Member returns the status for the detector.
func (s Status) Member() member.Status {
	return member.Status{Identity: s.Identity, Incarnation: s.Incarnation, State: s.State}
}

// A Probe asks to probe another member.
type Probe struct {
	Address string `json:"address"`
	ID      string `json:"id"`
}

// A ProbeResult tells who answered.
type ProbeResult struct {
	From *Status `json:"from"` // nil when nothing answered
}

// A Sync compares two gossip stores.
type Sync struct {
	Sum     uint64            `json:"sum"`
	Digest  map[string]uint64 `json:"digest,omitempty"`  // nil asks for the sum only
	Entries []gossip.Entry    `json:"entries,omitempty"` // that the other side wanted
	// OrdersOnly says that the digest has operators' rows only.
	OrdersOnly bool `json:"orders-only,omitempty"`
}

// A SyncResult answers a Sync.
type SyncResult struct {
	Sum     uint64         `json:"sum"`
	Entries []gossip.Entry `json:"entries,omitempty"`
	Wanted  []string       `json:"wanted,omitempty"`
}

// Rows tells an instance that does not follow the platform's store what has
// changed there.
type Rows struct {
	From     string `json:"from"`   // address of the sender
	Orders   uint64 `json:"orders"` // as in Exchange
	Rows     uint64 `json:"rows"`   // as in Exchange
	Entries  Bundle `json:"entries,omitempty"`
	Rank     uint64 `json:"rank"`               // of the sender; the highest that can relays to all
	Doubtful bool   `json:"doubtful,omitempty"` // rows that are missing may come back
	Reread   bool   `json:"reread,omitempty"`   // rows are too large to be told
}

// A RulesQuery asks for the configuration in force.
type RulesQuery struct {
	Newer int64 `json:"newer"` // only one with a higher number
}

// A RulesResult is a configuration.
type RulesResult struct {
	Head revision.Head `json:"head"` // zero when there is none newer
	Text string        `json:"text"`
}

// A Hold asks to keep copies of charges.
type Hold struct {
	Owner   string         `json:"owner"`
	Charges []charge.Entry `json:"charges"`
}

// A Release says that charges were written.
type Release struct {
	Owner string `json:"owner"`
	UpTo  uint64 `json:"up-to"` // sequence number
}

// An Ask asks for shares that the other instance can spare.
type Ask struct {
	Epoch    uint64 `json:"epoch"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"` // empty for any of the pool
	Requests int    `json:"requests"`
	Tokens   int    `json:"tokens"`
}

// An AskResult is what was given; nil for nothing.
type AskResult struct {
	Transfer *slot.Transfer `json:"transfer"`
}

// An Inherit passes on all shares of an instance that leaves.
type Inherit struct {
	Transfers []slot.Transfer `json:"transfers"`
}

// Done is the result of calls that return nothing.
type Done struct{}
