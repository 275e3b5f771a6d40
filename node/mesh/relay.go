package mesh

import (
	"context"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/io/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// followers is the number of instances of a failure domain that follow the
	// store for the others.
	followers = 2
	// relayInterval is the longest time between two relays to the same
	// instance.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds a relay.
	relayTimeout = time.Second
	// freshTime is how long an instance that hears nothing waits before it
	// follows the store itself: two relays and some delay.
	freshTime = 1300 * time.Millisecond
	// largeRow is the size from which on a row is not relayed but read from the
	// store by each instance: relays of it would fill the link of a small
	// machine.
	largeRow = 8 << 10
)

// A Source is an instance's own view of the store.
type Source interface {
	// Fresh reports whether the instance follows the store without trouble.
	Fresh() bool
	// Doubtful reports whether a row that is missing may come back.
	Doubtful() bool
	// Rare reports whether a row changes rarely, as operators' rows do.
	Rare(key string) bool
	// Reread asks to read from the store what is too large to relay.
	Reread()
}

// Follows reports whether this instance follows the store itself, rather than
// hear of its rows from another one. It is safe for concurrent use.
func (m *Mesh) Follows() bool { return m.follows.Load() }

// relay keeps the relays going. It runs with every tick.
func (s *state) relay(now time.Time) {
	elected := s.elected()
	was := s.mesh.follows.Load()
	follows := elected || now.Sub(s.heardFresh) > freshTime
	if follows != was {
		s.mesh.follows.Store(follows)
		s.mesh.log.Line("store-following").Bool("follows", follows).Bool("elected", elected).Millis("heard-ms", now.Sub(s.heardFresh)).
			Int("relays-failed", s.mesh.relayFailures.Load()).End()
	}
	if elected && now.Sub(s.relayed) >= relayInterval {
		s.sendRows(now)
	}
}

// elected reports whether this instance is among those of its failure domain
// that follow the store for the others. All of them order themselves alike.
func (s *state) elected() bool {
	own := xxhash.Sum64String(s.mesh.self.Instance)
	ahead := 0
	for _, m := range s.detector.Members() {
		if m.State == member.Live && m.FailureDomain == s.mesh.self.FailureDomain && m.Instance != s.mesh.self.Instance &&
			xxhash.Sum64String(m.Instance) > own {
			ahead++
		}
	}
	return ahead < followers
}

// sendRows relays the rows that have changed since the last relay, and that
// this instance is up to date, to the others of its failure domain.
func (s *state) sendRows(now time.Time) {
	if !s.mesh.source.Fresh() {
		return
	}
	s.relayed = now
	message := peer.Rows{From: s.mesh.self.Address, Orders: s.copies.rares.rows.Sum(), Rows: s.copies.often.rows.Sum(), Doubtful: s.mesh.source.Doubtful()}
	for _, e := range s.unsent {
		if len(e.Data) >= largeRow {
			message.Reread = true
			continue
		}
		message.Entries = append(message.Entries, e)
	}
	s.unsent = nil
	for _, m := range s.detector.Members() {
		if m.State < member.Suspect && m.FailureDomain == s.mesh.self.FailureDomain {
			go s.mesh.sendRows(s.ctx, m.Address, message)
		}
	}
}

func (m *Mesh) sendRows(ctx context.Context, address string, message peer.Rows) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if err := m.client.Rows(callCtx, address, message); err != nil && ctx.Err() == nil {
		m.relayFailures.Add(1) // the other instance follows the store when it hears nothing
	}
}

// Rows implements peer.Handler's relay.
func (h handler) Rows(ctx context.Context, message peer.Rows) (peer.Done, error) {
	return ask(ctx, h.Mesh, func(s *state) peer.Done {
		now := time.Now()
		s.heardFresh = now
		s.learnRows(message.Entries, message.Doubtful)
		if message.Reread {
			s.mesh.source.Reread()
			s.copies.rares.changed = now // time to read it
		}
		s.compare(now, message.From, message.Orders, message.Rows)
		return peer.Done{}
	})
}

// Hold keeps a row of the store for instances that do not follow it.
func (m *Mesh) Hold(ctx context.Context, e gossip.Entry) {
	m.do(ctx, func(s *state) {
		if !s.copies.hold(time.Now(), e) {
			return
		}
		s.unsent = append(s.unsent, e)
		if !s.flushing {
			s.flushing = true
			time.AfterFunc(flushDelay, func() { m.do(ctx, (*state).flush) })
		}
	})
}

// flushDelay is how long a changed row waits for others that change with it.
const flushDelay = 20 * time.Millisecond

func (s *state) flush() {
	s.flushing = false
	if s.elected() {
		s.sendRows(time.Now())
	} else {
		s.unsent = nil
	}
}
