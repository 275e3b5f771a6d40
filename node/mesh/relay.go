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
	// followersPerDomain is the number of instances of a failure domain that follow the
	// store for the others.
	followersPerDomain = 2
	// relayInterval is the longest time between two relays to the same
	// instance.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds a relay.
	relayTimeout = time.Second
	// followDelay is how long an instance that hears nothing waits before it
	// follows the store itself: two relays and some delay.
	followDelay = 1300 * time.Millisecond
	// followDelayStep is how much longer each further instance waits before it follows
	// the store in place of those that should: a call to the store and a relay.
	followDelayStep = 300 * time.Millisecond
	// joinDelay is how long an instance that starts waits until it knows the
	// others: two looks at what is to be probed, and their answers.
	joinDelay = 500 * time.Millisecond
	// rereadBytes is the compressed size from which on rows are not relayed but
	// read from the store by each instance: relays to a failure domain of thirty
	// instances would fill a link of 10 Mbit/s for more than a second.
	rereadBytes = 32 << 10
)

// A StoreFollower is an instance's own view of the store.
type StoreFollower interface {
	// UpToDate reports whether the instance follows the store without trouble.
	UpToDate() bool
	// RemovalsUncertain reports whether a row that is missing may come back.
	RemovalsUncertain() bool
	// ChangesRarely reports whether a row changes rarely, as operators' rows do.
	ChangesRarely(key string) bool
	// Reread asks to read from the store what is too large to relay.
	Reread()
}

// FollowsStore reports whether this instance follows the store itself, rather than
// hear of its rows from another one. It is safe for concurrent use.
func (m *Mesh) FollowsStore() bool { return m.followsStore.Load() }

// updateFollowing keeps the relays going. It runs with every tick.
func (s *state) updateFollowing(now time.Time) {
	behind := s.higherRanked()
	was := s.mesh.followsStore.Load()
	follows := now.Sub(s.started) >= joinDelay && (behind < followersPerDomain || now.Sub(s.relayReceived) > followDelayBehind(behind))
	if follows != was {
		s.mesh.followsStore.Store(follows)
		s.mesh.log.Line("store-following").Bool("follows", follows).Int("behind", int64(behind)).Millis("heard-ms", now.Sub(s.relayReceived)).
			Int("relays-failed", s.mesh.relayFailures.Load()).End()
	}
	if follows && now.Sub(s.relaySent) >= relayInterval {
		s.relayRows(now)
	}
}

// followDelayBehind returns how long an instance behind so many others hears nothing
// until it follows the store itself. They take over one after another, so that
// an outage does not bring all of them to the store at once.
func followDelayBehind(behind int) time.Duration {
	return followDelay + time.Duration(max(0, behind-followersPerDomain))*followDelayStep
}

// rank orders the instances of a failure domain; all of them order themselves
// alike.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }

// higherRanked returns how many live instances of the own failure domain have a higher
// rank. The first of them follow the store for the others.
func (s *state) higherRanked() int {
	own := rank(s.mesh.self.Instance)
	ahead := 0
	for _, m := range s.detector.Members() {
		if m.State == member.Live && m.FailureDomain == s.mesh.self.FailureDomain && m.Instance != s.mesh.self.Instance && rank(m.Instance) > own {
			ahead++
		}
	}
	return ahead
}

// relayRows relays the rows that have changed since the last relay, and that
// this instance is up to date, to the others of its failure domain.
func (s *state) relayRows(now time.Time) {
	if !s.mesh.store.UpToDate() {
		return
	}
	s.relaySent = now
	message := peer.RowUpdate{
		From: s.mesh.self.Address, Rank: rank(s.mesh.self.Instance), RemovalsUncertain: s.mesh.store.RemovalsUncertain(),
		RareSum: s.replica.rare.rows.Sum(), FrequentSum: s.replica.frequent.rows.Sum(),
	}
	bundle, err := peer.NewBundle(s.unsentRows)
	if err != nil {
		s.mesh.log.Line("rows-not-relayed").Int("rows", int64(len(s.unsentRows))).Err(err).End()
	}
	message.Reread = err != nil || len(bundle) >= rereadBytes
	if !message.Reread {
		message.Entries = bundle
	}
	s.unsentRows = nil
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
	return runInLoop(ctx, h.Mesh, func(s *state) peer.Empty {
		now := time.Now()
		s.recordRelay(now, message.Rank)
		s.applyRows(entries, message.RemovalsUncertain)
		if message.Reread {
			s.mesh.store.Reread()
			s.replica.rare.lastChange = now // time to read it
		}
		s.compareIfDiffering(now, message.From, message.RareSum, message.FrequentSum, true)
		return peer.Empty{}
	})
}

// recordRelay notes a relay. Of two instances that follow the store in place of
// others the one with the higher rank goes on.
func (s *state) recordRelay(now time.Time, sender uint64) {
	if sender > rank(s.mesh.self.Instance) || !s.mesh.followsStore.Load() || !s.mesh.store.UpToDate() {
		s.relayReceived = now
	}
}

// PutRow keeps a row of the store for instances that do not follow it.
func (m *Mesh) PutRow(ctx context.Context, e gossip.Entry) {
	m.enqueue(ctx, func(s *state) {
		if !s.replica.put(time.Now(), e) {
			return
		}
		s.unsentRows = append(s.unsentRows, e)
		if !s.flushScheduled {
			s.flushScheduled = true
			time.AfterFunc(flushDelay, func() { m.enqueue(ctx, (*state).flushRows) })
		}
	})
}

// flushDelay is how long a changed row waits for others that change with it.
const flushDelay = 20 * time.Millisecond

func (s *state) flushRows() {
	s.flushScheduled = false
	if s.mesh.followsStore.Load() {
		s.relayRows(time.Now())
	} else {
		s.unsentRows = nil
	}
}
