// Package peer implements the protocol between instances: JSON-RPC 2.0 over one
// connection from each instance to each other one, with mutual TLS if configured.
//
// A call that is not answered in time closes its connection, so that the next
// call replaces a connection that is open but no longer delivers anything.
package peer

import (
	"time"

	"banyanyard/core/charge"
	"banyanyard/core/gossip"
	"banyanyard/core/load"
	"banyanyard/core/member"
	"banyanyard/core/revision"
	"banyanyard/core/slot"
)

// Names of the JSON-RPC methods.
const (
	methodExchange       = "exchange"
	methodProbe          = "probe"
	methodSync           = "sync"
	methodUpdateRows     = "rows"
	methodReport         = "report"
	methodReach          = "reach"
	methodFetchRules     = "rules"
	methodHoldCharges    = "hold-charges"
	methodReleaseCharges = "release-charges"
	methodRequestSlots   = "ask-slots"
	methodInheritSlots   = "inherit-slots"
)

// An Exchange is a probe or the answer to one. Both carry gossip.
type Exchange struct {
	From    Status         `json:"from"`
	Entries []gossip.Entry `json:"entries,omitempty"`
	// RareChecksum and FrequentChecksum are checksums of the sender's copies of
	// the store's rows: of those that change rarely, such as operators' orders,
	// and of those that change often.
	RareChecksum     uint64 `json:"orders,omitempty"`
	FrequentChecksum uint64 `json:"rows,omitempty"`
}

// A Status is the encoding of a member.Status in messages.
type Status struct {
	member.Identity
	Incarnation uint64       `json:"incarnation"`
	State       member.State `json:"state"`
}

// NewStatus encodes a member.Status.
func NewStatus(s member.Status) Status {
	return Status{Identity: s.Identity, Incarnation: s.Incarnation, State: s.State}
}

// Member decodes the status.
func (s Status) Member() member.Status {
	return member.Status{Identity: s.Identity, Incarnation: s.Incarnation, State: s.State}
}

// A ProbeRequest asks an instance to probe another member.
type ProbeRequest struct {
	Address string `json:"address"`
	ID      string `json:"id"`
}

// A ProbeResult says who answered the probe.
type ProbeResult struct {
	From *Status `json:"from"` // nil when nothing answered
}

// A SyncRequest compares the entries of two instances, or delivers entries that
// the other one lacks.
type SyncRequest struct {
	Checksum uint64            `json:"sum"`
	Digest   map[string]uint64 `json:"digest,omitempty"`  // nil asks for the checksum only
	Entries  []gossip.Entry    `json:"entries,omitempty"` // entries that the receiver asked for
	// RareOnly says that the digest covers only rows that change rarely.
	RareOnly bool `json:"orders-only,omitempty"`
}

// A SyncResult answers a SyncRequest: Entries are newer than its digest, Wanted are
// the keys of which the digest has newer versions.
type SyncResult struct {
	Checksum uint64 `json:"sum"` // of the rows that change rarely, as Exchange.RareChecksum
	// FrequentChecksum is as in Exchange.
	FrequentChecksum uint64         `json:"rows,omitempty"`
	Entries          []gossip.Entry `json:"entries,omitempty"`
	Wanted           []string       `json:"wanted,omitempty"`
	// Age is how old the sender's rows may be: it knows all changes that the store
	// acknowledged longer ago. Nil if it does not know.
	Age *time.Duration `json:"age,omitempty"`
}

// A RowUpdate relays changes of the platform's store to an instance that does not
// follow the store itself, and that forwards it to others.
type RowUpdate struct {
	From string `json:"from"` // address of the follower that sent it first
	Root string `json:"root"` // name of that instance
	Hops int    `json:"hops"` // number of instances that have forwarded it
	// Stream identifies the start of the root, and Number the update among those that
	// it has sent.
	Stream string `json:"stream"`
	Number uint64 `json:"number"`
	// Previous is the number of the newest update before this one that had rows, or was sent
	// after the root had learnt of rows without relaying them; 0 for none. Nil if the root does
	// not tell, as in earlier releases.
	Previous         *uint64 `json:"previous,omitempty"`
	RareChecksum     uint64  `json:"orders"` // as in Exchange
	FrequentChecksum uint64  `json:"rows"`   // as in Exchange
	Entries          Bundle  `json:"entries,omitempty"`
	Rank             uint64  `json:"rank"` // rank of the root; the instance with the highest rank relays if it can
	// RemovalsUncertainFor is for how long a removed row may come back.
	RemovalsUncertainFor time.Duration `json:"doubtful-for,omitempty"`
	Reread               bool          `json:"reread,omitempty"` // the rows are too large to relay; read them from the store
	// Age is how old the root's rows may be when it sends the update: it knows all changes
	// that the store acknowledged longer ago, from the store itself. Nil if it does not know.
	// It holds for a receiver that has the same rows, or all updates before this one.
	Age *time.Duration `json:"age,omitempty"`
	// AsOf is Age as a time of the store's steady clock, to which the time that the update takes
	// to arrive adds nothing. Nil if the root does not know it.
	AsOf *time.Duration `json:"as-of,omitempty"`
	// Load is the load of the root's failure domain.
	Load load.Sum `json:"load"`
	// Demand is what the instances of each failure domain see of the services whose
	// upstreams are ordered.
	Demand []load.DomainDemand `json:"demand,omitempty"`
}

// A RowResult answers a RowUpdate.
type RowResult struct {
	// Load is the load of the receiver and those to which it forwards such updates.
	Load load.Sum `json:"load"`
}

// A RulesRequest asks for the configuration in force if it is newer.
type RulesRequest struct {
	NewerThan int64 `json:"newer"` // number that the configuration must exceed
}

// A RulesResult is a configuration.
type RulesResult struct {
	Head revision.Head `json:"head"` // zero if there is no newer one
	Text string        `json:"text"`
}

// A HoldRequest asks an instance to keep copies of charges until they are released.
type HoldRequest struct {
	Owner   string         `json:"owner"`
	Charges []charge.Entry `json:"charges"`
}

// A ReleaseRequest says that charges of an owner were written.
type ReleaseRequest struct {
	Owner string `json:"owner"`
	UpTo  uint64 `json:"up-to"` // highest sequence number written
}

// A SlotsRequest asks an instance for slots that it can spare.
type SlotsRequest struct {
	Epoch    uint64 `json:"epoch"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"` // empty for any upstream of the pool
	Requests int    `json:"requests"`
	Tokens   int    `json:"tokens"`
}

// A SlotsResult holds the slots that were granted, or nil if none were.
type SlotsResult struct {
	Transfer *slot.Transfer `json:"transfer"`
}

// An InheritRequest hands over all slots of an instance that leaves.
type InheritRequest struct {
	Transfers []slot.Transfer `json:"transfers"`
}

// Empty is the result of methods that return nothing.
type Empty struct{}
