package node

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"banyanyard/core/dispatch"
	"banyanyard/core/refusal"
	"banyanyard/core/rules"
)

// slots guards a dispatcher and lets requests wait for its grants.
type slots struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher // guarded by mu
}

func newSlots(id, domain string) *slots {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return &slots{dispatcher: dispatch.New(id, domain, h.Sum64())}
}

// update puts new rules and members in force.
func (s *slots) update(now time.Time, set *rules.Set, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Update(now, set, members)
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
		s.release(t, dispatch.Abandoned, 0)
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
