package network

import (
	"sync"
	"time"
)

// A link connects a location to the others, at the same rate in both directions. A nil link
// is unlimited.
type link struct {
	mu            sync.Mutex
	rate          int       // bytes a second, 0 for no limit; guarded by mu
	outEnd, inEnd time.Time // when what has been sent, or is to be received, has passed; guarded by mu
}

func (l *link) setRate(rate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// out returns when n bytes that are sent at a time have left.
func (l *link) out(at time.Time, n int) time.Time {
	if l == nil {
		return at
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outEnd = l.pass(l.outEnd, at, n)
	return l.outEnd
}

// in returns when n bytes that reach the link at a time have been received.
func (l *link) in(at time.Time, n int) time.Time {
	if l == nil {
		return at
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inEnd = l.pass(l.inEnd, at, n)
	return l.inEnd
}

// pass returns when n bytes have passed a direction that is free from a time on. The caller
// holds mu.
func (l *link) pass(free, at time.Time, n int) time.Time {
	if l.rate == 0 {
		return at
	}
	if free.Before(at) {
		free = at
	}
	return free.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
}
