// Package charge keeps the charges that are not yet written to the platform's
// table.
//
// An Outbox belongs to the instance that made the charges. It gives each a
// rising sequence number, hands out batches to write, and forgets a charge only
// when its write is known to have taken effect. A Custody keeps copies for
// other instances, which it writes itself when their owner is gone.
//
// The key of a charge in the table is its request's identifier and writes only
// insert, so that a charge that is written twice counts once.
//
// Invariant: from Add until its write is acknowledged, a charge is in the
// Outbox.
package charge

import (
	"maps"
	"slices"
	"time"
)

// MaxBatch is the most charges in one write.
const MaxBatch = 100

// A Charge is what an organisation owes for one request.
type Charge struct {
	Request      string    `json:"request"` // unique in the deployment
	Organisation string    `json:"organisation"`
	Class        string    `json:"class"`
	Model        string    `json:"model"`
	Version      string    `json:"version"`
	InputTokens  int       `json:"input-tokens"`
	OutputTokens int       `json:"output-tokens"`
	Cost         int64     `json:"cost"` // millionths of a cost unit, all attempts together
	At           time.Time `json:"at"`
}

// A Numbered is a charge with its place in the owner's sequence.
type Numbered struct {
	Sequence uint64 `json:"sequence"`
	Charge   Charge `json:"charge"`
}

// An Outbox holds one instance's unwritten charges. The zero Outbox has no
// room; use New.
type Outbox struct {
	capacity int
	reserved int // requests that run and will add a charge
	next     uint64
	waiting  []Numbered // rising sequence
	writing  []Numbered // the batch that is being written
}

// New returns an Outbox with room for capacity charges.
func New(capacity int) *Outbox {
	return &Outbox{capacity: capacity, next: 1}
}

// Reserve makes room for the charge of a request before it runs. It returns
// false when the outbox is full, so that the request is refused and no charge
// is lost.
func (o *Outbox) Reserve() bool {
	if o.Len()+o.reserved >= o.capacity {
		return false
	}
	o.reserved++
	return true
}

// Unreserve gives the room of a request back that made no charge.
func (o *Outbox) Unreserve() { o.reserved-- }

// Add keeps the charge of a request whose room was reserved.
func (o *Outbox) Add(c Charge) Numbered {
	o.reserved--
	n := Numbered{Sequence: o.next, Charge: c}
	o.next++
	o.waiting = append(o.waiting, n)
	return n
}

// AddAll keeps charges that another instance made, also beyond the capacity,
// since nothing else would keep them.
func (o *Outbox) AddAll(charges []Charge) {
	for _, c := range charges {
		o.waiting = append(o.waiting, Numbered{Sequence: o.next, Charge: c})
		o.next++
	}
}

// Len returns the number of unwritten charges.
func (o *Outbox) Len() int { return len(o.waiting) + len(o.writing) }

// Batch returns the next charges to write, the same ones until Written or
// Failed is called. It returns nil when there is nothing to write.
func (o *Outbox) Batch() []Numbered {
	if len(o.writing) == 0 {
		n := min(MaxBatch, len(o.waiting))
		o.writing = slices.Clone(o.waiting[:n])
		// The rest is not moved: append drops what is before it when it grows.
		o.waiting = o.waiting[n:]
	}
	return o.writing
}

// Written forgets the batch and returns the highest sequence number below
// which every charge has been written.
func (o *Outbox) Written() uint64 {
	var upTo uint64
	if n := len(o.writing); n > 0 {
		upTo = o.writing[n-1].Sequence
	}
	o.writing = nil
	return upTo
}

// All returns every unwritten charge, oldest first.
func (o *Outbox) All() []Numbered {
	return slices.Concat(o.writing, o.waiting)
}

// A Custody holds copies of other instances' charges. The zero Custody is
// empty and ready to use.
type Custody struct {
	owners map[string]map[uint64]Charge
}

// Hold keeps copies for their owner.
func (c *Custody) Hold(owner string, charges []Numbered) {
	if c.owners == nil {
		c.owners = map[string]map[uint64]Charge{}
	}
	held := c.owners[owner]
	if held == nil {
		held = map[uint64]Charge{}
		c.owners[owner] = held
	}
	for _, n := range charges {
		held[n.Sequence] = n.Charge
	}
}

// Release forgets the owner's charges up to the sequence number, since the
// owner has written them.
func (c *Custody) Release(owner string, upTo uint64) {
	held := c.owners[owner]
	for sequence := range held {
		if sequence <= upTo {
			delete(held, sequence)
		}
	}
	if len(held) == 0 {
		delete(c.owners, owner)
	}
}

// Take removes and returns the charges of an owner that is gone, oldest first.
// The caller adds them to its own Outbox.
func (c *Custody) Take(owner string) []Charge {
	held := c.owners[owner]
	delete(c.owners, owner)
	charges := make([]Charge, 0, len(held))
	for _, sequence := range slices.Sorted(maps.Keys(held)) {
		charges = append(charges, held[sequence])
	}
	return charges
}

// Owners returns the instances whose charges are held, sorted.
func (c *Custody) Owners() []string {
	return slices.Sorted(maps.Keys(c.owners))
}

// Len returns the number of charges held for others.
func (c *Custody) Len() int {
	n := 0
	for _, held := range c.owners {
		n += len(held)
	}
	return n
}
