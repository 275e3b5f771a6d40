// Package buffer divides a bounded amount of memory among answers that are buffered at the
// same time.
//
// Small answers are always accepted. What an answer holds beyond Small comes from a Pool,
// of which it may hold a fraction of what is free: a few large answers get much, and many
// get little each, so that answers without end cannot keep out others.
//
// Invariant: what answers hold beyond Small each is at most Pool.Limit in sum.
package buffer

import "sync"

const (
	// Small is the number of bytes that an answer may hold in any case.
	Small = 16 << 10
	// freeFraction is the part of the free memory that one answer may hold.
	freeFraction = 0.25
)

// A Pool is the memory that large answers share. The zero Pool and a nil one have no limit. It is
// safe for concurrent use.
type Pool struct {
	Limit int64 // bytes; 0 for none; not changed after the first use

	mu   sync.Mutex
	held int64 // bytes that answers hold beyond Small; guarded by mu
}

// Grow reports whether an answer that holds some bytes may hold more, and reserves these.
func (p *Pool) Grow(holds, more int64) bool {
	after := beyondSmall(holds + more)
	if p == nil || after == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Limit > 0 && float64(after) > freeFraction*float64(p.Limit-p.held) {
		return false
	}
	p.held += after - beyondSmall(holds)
	return true
}

// Release returns what an answer holds, which is all that it was granted.
func (p *Pool) Release(holds int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= beyondSmall(holds)
}

// Held returns the bytes that all answers hold beyond Small.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

func beyondSmall(holds int64) int64 { return max(0, holds-Small) }
