// Package charge buffers the charges that are not yet written to the platform's
// table.
//
// An Outbox belongs to the instance that made the charges. It gives each an
// increasing sequence number, returns batches to write, and drops a charge only
// after its write is acknowledged. Replicas holds copies for other instances;
// when such an instance fails, the holder moves them to its own Outbox and
// writes them.
//
// The key of a charge in the table is its request's identifier and writes only
// insert, so that a charge that is written twice counts once.
//
// Invariant: from Add until its write is acknowledged, a charge is in the
// Outbox.
//
// No type of this package is safe for concurrent use.
package charge

import (
	"maps"
	"slices"
	"time"
)

// MaxBatch is the maximum number of charges in one write.
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
	Cost         int64     `json:"cost"` // of all attempts, in millionths of a cost unit
	At           time.Time `json:"at"`
}

// An Entry is a charge with its sequence number in its owner's outbox.
type Entry struct {
	Sequence uint64 `json:"sequence"`
	Charge   Charge `json:"charge"`
}

// An Outbox holds one instance's unwritten charges. The zero Outbox has
// capacity 0; use NewOutbox.
type Outbox struct {
	capacity int
	reserved int     // running requests that may add a charge
	next     uint64  // next sequence number
	waiting  []Entry // in increasing sequence
	writing  []Entry // the current batch
}

// NewOutbox returns an Outbox that holds up to capacity charges.
func NewOutbox(capacity int) *Outbox {
	return &Outbox{capacity: capacity, next: 1}
}

// Reserve reserves space for the charge of a request before it runs. It returns
// false when the outbox is full; the request must then be refused, so that no
// charge is lost.
func (o *Outbox) Reserve() bool {
	if o.Len()+o.reserved >= o.capacity {
		return false
	}
	o.reserved++
	return true
}

// Unreserve releases the reservation of a request that made no charge.
func (o *Outbox) Unreserve() { o.reserved-- }

// Add stores the charge of a request and uses up its reservation.
func (o *Outbox) Add(c Charge) Entry {
	o.reserved--
	n := Entry{Sequence: o.next, Charge: c}
	o.next++
	o.waiting = append(o.waiting, n)
	return n
}

// AddTakenOver stores charges that another instance made. It ignores the
// capacity, since no other copy may exist.
func (o *Outbox) AddTakenOver(charges []Charge) {
	for _, c := range charges {
		o.waiting = append(o.waiting, Entry{Sequence: o.next, Charge: c})
		o.next++
	}
}

// Len returns the number of unwritten charges.
func (o *Outbox) Len() int { return len(o.waiting) + len(o.writing) }

// Batch returns the next charges to write, the same ones until MarkWritten is
// called. It returns an empty batch when there is nothing to write.
func (o *Outbox) Batch() []Entry {
	if len(o.writing) == 0 {
		n := min(MaxBatch, len(o.waiting))
		o.writing = slices.Clone(o.waiting[:n])
		// The rest stays in the same array: append copies it to a new one when it
		// grows, which frees the batch.
		o.waiting = o.waiting[n:]
	}
	return o.writing
}

// MarkWritten drops the batch and returns the sequence number up to which every
// charge has been written, or 0 when there was no batch.
func (o *Outbox) MarkWritten() uint64 {
	var upTo uint64
	if n := len(o.writing); n > 0 {
		upTo = o.writing[n-1].Sequence
	}
	o.writing = nil
	return upTo
}

// All returns every unwritten charge, oldest first.
func (o *Outbox) All() []Entry {
	return slices.Concat(o.writing, o.waiting)
}

// Replicas holds copies of other instances' charges. The zero Replicas is empty
// and ready to use.
type Replicas struct {
	owners map[string]map[uint64]Charge
}

// Hold stores copies of the owner's charges.
func (r *Replicas) Hold(owner string, charges []Entry) {
	if r.owners == nil {
		r.owners = map[string]map[uint64]Charge{}
	}
	held := r.owners[owner]
	if held == nil {
		held = map[uint64]Charge{}
		r.owners[owner] = held
	}
	for _, n := range charges {
		held[n.Sequence] = n.Charge
	}
}

// Release drops the owner's charges up to and including the sequence number,
// which the owner has written.
func (r *Replicas) Release(owner string, upTo uint64) {
	held := r.owners[owner]
	for sequence := range held {
		if sequence <= upTo {
			delete(held, sequence)
		}
	}
	if len(held) == 0 {
		delete(r.owners, owner)
	}
}

// TakeOver removes and returns the charges of an owner that has failed, oldest
// first. The caller adds them to its own Outbox with AddTakenOver.
func (r *Replicas) TakeOver(owner string) []Charge {
	held := r.owners[owner]
	delete(r.owners, owner)
	charges := make([]Charge, 0, len(held))
	for _, sequence := range slices.Sorted(maps.Keys(held)) {
		charges = append(charges, held[sequence])
	}
	return charges
}

// Owners returns the instances whose charges are held, sorted.
func (r *Replicas) Owners() []string {
	return slices.Sorted(maps.Keys(r.owners))
}

// Len returns the number of charges held for others.
func (r *Replicas) Len() int {
	n := 0
	for _, held := range r.owners {
		n += len(held)
	}
	return n
}
