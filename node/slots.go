package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/ramp"
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

// slots makes a dispatcher safe for concurrent use and lets requests wait for
// its grants.
type slots struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher // guarded by mu
}

func newSlots(id, domain string) *slots {
	return &slots{dispatcher: dispatch.New(domain, hash64(id))}
}

// update applies new rules and shares.
func (s *slots) update(now time.Time, set *rules.Set, shares dispatch.Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Update(now, set, shares)
}

// setShare applies a new share of one upstream.
func (s *slots) setShare(now time.Time, upstream string, share slot.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetShare(now, upstream, share)
}

// needs returns the slots that waiting tickets lack.
func (s *slots) needs(now time.Time) []dispatch.Need {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Needs(now)
}

// rampLevels returns the ramp level of every upstream.
func (s *slots) rampLevels() map[string]ramp.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.RampLevels()
}

// mergeRampLevel merges another instance's ramp level of an upstream.
func (s *slots) mergeRampLevel(now time.Time, upstream string, level ramp.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.MergeRampLevel(now, upstream, level)
}

// tick grants tickets whose upstreams have become usable with time.
func (s *slots) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Tick(now)
}

// acquire waits until the ticket is granted or refused or the context ends. A
// nil error means that it was granted; the caller must release it.
func (s *slots) acquire(ctx context.Context, t *dispatch.Ticket) error {
	decided := make(chan error, 1)
	t.OnGrant = func(*dispatch.Ticket) { decided <- nil }
	t.OnRefuse = func(_ *dispatch.Ticket, err error) { decided <- err }
	s.mu.Lock()
	granted, err := s.dispatcher.Offer(time.Now(), t)
	s.mu.Unlock()
	if granted || err != nil {
		return err
	}
	select {
	case err := <-decided:
		return err
	case <-ctx.Done():
		return s.cancel(ctx, t, decided)
	}
}

// cancel cancels a ticket whose context has ended. It releases a grant that
// came at the same moment.
func (s *slots) cancel(ctx context.Context, t *dispatch.Ticket, decided <-chan error) error {
	s.mu.Lock()
	waiting := s.dispatcher.Cancel(t)
	s.mu.Unlock()
	if !waiting && <-decided == nil {
		s.release(t, dispatch.Canceled, 0)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineExceeded, "send the request again with a later deadline", "no slot became free before the deadline")
	}
	return ctx.Err()
}

// release ends the use of a granted ticket. firstToken is the time to the first
// token; 0 means that it is unknown.
func (s *slots) release(t *dispatch.Ticket, o dispatch.Outcome, firstToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Release(time.Now(), t, o, firstToken)
}
