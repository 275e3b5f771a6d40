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
	// takeOver is how much longer each further instance waits before it follows
	// the store in place of those that should: a call to the store and a relay.
	takeOver = 300 * time.Millisecond
	// joinTime is how long an instance that starts waits until it knows the
	// others: two looks at what is to be probed, and their answers.
	joinTime = 500 * time.Millisecond
	// largeBundle is the compressed size from which on rows are not relayed but
	// read from the store by each instance: relays to a failure domain of thirty
	// instances would fill a link of 10 Mbit/s for more than a second.
	largeBundle = 32 << 10
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
	behind := s.behind()
	was := s.mesh.follows.Load()
	follows := now.Sub(s.started) >= joinTime && (behind < followers || now.Sub(s.heardFresh) > patience(behind))
	if follows != was {
		s.mesh.follows.Store(follows)
		s.mesh.log.Line("store-following").Bool("follows", follows).Int("behind", int64(behind)).Millis("heard-ms", now.Sub(s.heardFresh)).
			Int("relays-failed", s.mesh.relayFailures.Load()).End()
	}
	if follows && now.Sub(s.relayed) >= relayInterval {
		s.sendRows(now)
	}
}

// patience returns how long an instance behind so many others hears nothing
// until it follows the store itself. They take over one after another, so that
// an outage does not bring all of them to the store at once.
func patience(behind int) time.Duration {
	return freshTime + time.Duration(max(0, behind-followers))*takeOver
}

// rank orders the instances of a failure domain; all of them order themselves
// alike.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }

// behind returns how many live instances of the own failure domain have a higher
// rank. The first of them follow the store for the others.
func (s *state) behind() int {
	own := rank(s.mesh.self.Instance)
	ahead := 0
	for _, m := range s.detector.Members() {
		if m.State == member.Live && m.FailureDomain == s.mesh.self.FailureDomain && m.Instance != s.mesh.self.Instance && rank(m.Instance) > own {
			ahead++
		}
	}
	return ahead
}

// sendRows relays the rows that have changed since the last relay, and that
// this instance is up to date, to the others of its failure domain.
func (s *state) sendRows(now time.Time) {
	if !s.mesh.source.Fresh() {
		return
	}
	s.relayed = now
	message := peer.RowUpdate{
		From: s.mesh.self.Address, Rank: rank(s.mesh.self.Instance), RemovalsUncertain: s.mesh.source.Doubtful(),
		RareSum: s.copies.rares.rows.Sum(), FrequentSum: s.copies.often.rows.Sum(),
	}
	bundle, err := peer.NewBundle(s.unsent)
	if err != nil {
		s.mesh.log.Line("rows-not-relayed").Int("rows", int64(len(s.unsent))).Err(err).End()
	}
	message.Reread = err != nil || len(bundle) >= largeBundle
	if !message.Reread {
		message.Entries = bundle
	}
	s.unsent = nil
	for _, m := range s.detector.Members() {
		if m.State < member.Suspect && m.FailureDomain == s.mesh.self.FailureDomain {
			go s.mesh.sendRows(s.ctx, m.Address, message)
		}
	}
}

func (m *Mesh) sendRows(ctx context.Context, address string, message peer.RowUpdate) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if err := m.client.UpdateRows(callCtx, address, message); err != nil && ctx.Err() == nil {
		m.relayFailures.Add(1) // the other instance follows the store when it hears nothing
	}
}

// UpdateRows implements peer.Handler's relay.
func (h handler) UpdateRows(ctx context.Context, message peer.RowUpdate) (peer.Empty, error) {
	entries, err := message.Entries.Entries()
	if err != nil {
		h.log.Line("news-rejected").Str("key", "rows of "+message.From).Err(err).End()
		return peer.Empty{}, err
	}
	return ask(ctx, h.Mesh, func(s *state) peer.Empty {
		now := time.Now()
		s.heardRows(now, message.Rank)
		s.learnRows(entries, message.RemovalsUncertain)
		if message.Reread {
			s.mesh.source.Reread()
			s.copies.rares.changed = now // time to read it
		}
		s.compare(now, message.From, message.RareSum, message.FrequentSum, true)
		return peer.Empty{}
	})
}

// heardRows notes a relay. Of two instances that follow the store in place of
// others the one with the higher rank goes on.
func (s *state) heardRows(now time.Time, sender uint64) {
	if sender > rank(s.mesh.self.Instance) || !s.mesh.follows.Load() || !s.mesh.source.Fresh() {
		s.heardFresh = now
	}
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
	if s.mesh.follows.Load() {
		s.sendRows(time.Now())
	} else {
		s.unsent = nil
	}
}
