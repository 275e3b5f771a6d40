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

// slots guards a dispatcher and lets requests wait for its grants.
type slots struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher // guarded by mu
}

func newSlots(id, domain string) *slots {
	return &slots{dispatcher: dispatch.New(domain, seedOf(id))}
}

// update puts new rules and shares in force.
func (s *slots) update(now time.Time, set *rules.Set, shares dispatch.Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Update(now, set, shares)
}

// setShare puts a new share of one upstream in force.
func (s *slots) setShare(now time.Time, upstream string, share slot.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetShare(now, upstream, share)
}

// needs returns what waiting tickets lack.
func (s *slots) needs(now time.Time) []dispatch.Need {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Needs(now)
}

// levels returns the ramp level of every upstream.
func (s *slots) levels() map[string]ramp.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.RampLevels()
}

// merge takes another instance's ramp level into account.
func (s *slots) merge(now time.Time, upstream string, level ramp.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.MergeRampLevel(now, upstream, level)
}

// tick serves tickets whose upstreams have become usable with time.
func (s *slots) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Tick(now)
}

// acquire waits until the ticket is granted, refused or the context ends.
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
		return s.giveUp(ctx, t, decided)
	}
}

// giveUp ends a ticket whose caller no longer waits. A grant that came at the
// same moment is released.
func (s *slots) giveUp(ctx context.Context, t *dispatch.Ticket, decided <-chan error) error {
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

func (s *slots) release(t *dispatch.Ticket, o dispatch.Outcome, firstToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Release(time.Now(), t, o, firstToken)
}
