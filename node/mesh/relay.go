package mesh

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/outage"
	"banyanyard/core/relay"
	"banyanyard/io/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// followersPerDomain is the number of instances of a failure domain that
	// follow the store for the others.
	followersPerDomain = 2
	// largeDomain is the number of instances of a failure domain from which on only
	// the first follower polls all tables. The second replaces it within followDelay.
	largeDomain = 12
	// relayInterval is the longest time between two relays to the same
	// instance.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds a relay.
	relayTimeout = time.Second
	// pullDelay is the age of its rows from which on an instance asks others for theirs:
	// that at which the second follower leads, and the time in which its relays arrive.
	pullDelay = 1400 * time.Millisecond
	// maxQuickPulls is the number of instances that are asked one directly after the
	// other: the first followers of this failure domain and of two others.
	maxQuickPulls = 3
	// treeSettleTime is how long the members of a failure domain may take to agree on
	// a change.
	treeSettleTime = 4 * time.Second
	// pullTimeout bounds such a call.
	pullTimeout = 600 * time.Millisecond
	// followDelay is the age of the relayed rows from which on the second follower asks the
	// store in place of the first. An upstream that leaves must be known everywhere 2 s
	// after the store has acknowledged it.
	followDelay = 1200 * time.Millisecond
	// followersFailedDelay is how much longer the next instance waits, so that the second
	// follower's relays arrive before.
	followersFailedDelay = 200 * time.Millisecond
	// followDelayStep is how much longer each further instance waits before it
	// follows the store in place of the followers: the time of a call to the store
	// and a relay.
	followDelayStep = 300 * time.Millisecond
	// joinDelay is how long a starting instance waits before it may follow the
	// store, so that it knows the others: two ticks, which send probes, and the
	// answers.
	joinDelay = 500 * time.Millisecond
	// rereadBytes is the compressed size at which rows are no longer relayed, but
	// read from the store by each instance: relays to a failure domain of thirty
	// instances would fill a link of 10 Mbit/s for more than a second.
	rereadBytes = 32 << 10
)

// A StoreFollower follows the platform's store for this instance. Its methods are
// called by the loop and must not block.
type StoreFollower interface {
	// UpToDate reports whether the instance has recent answers from the store and
	// no call is failing.
	UpToDate() bool
	// AsOf returns the time up to which all changes that the store has acknowledged are
	// known from its responses to this instance. It is zero if there were none.
	AsOf() time.Time
	// StoreTime returns a time that the store's steady clock had reached at a time of this
	// instance; false if it is not known.
	StoreTime(at time.Time) (time.Duration, bool)
	// LocalTime returns the earliest time of this instance at which the store's steady clock may
	// have shown the time told; false if that is not known. reached is a time that the clock has
	// reached by now, as another instance knows.
	LocalTime(now time.Time, told, reached time.Duration) (time.Time, bool)
	// Recheck asks the store at once for changes, although polls are outstanding.
	Recheck()
	// ChangesRarely reports whether the row with the key changes rarely, as
	// operators' rows do.
	ChangesRarely(key string) bool
	// Reread asks for the rows that are too large to relay to be read from the store.
	Reread()
}

// FollowsStore reports whether this instance follows the store itself rather than
// receive its rows from other instances.
func (m *Mesh) FollowsStore() bool { return m.followsStore.Load() }

// FollowsAllTables reports whether this instance also follows the tables other than
// the operators'. Of the instances that follow the store for a large failure domain
// only the first does.
func (m *Mesh) FollowsAllTables() bool { return m.followsAll.Load() }

// LeadsDomain reports whether this instance is the first of those that follow the store
// for its failure domain, or replaces them.
func (m *Mesh) LeadsDomain() bool { return m.leads.Load() }

// HigherRanked returns the number of live instances of this failure domain that
// have a higher rank.
func (m *Mesh) HigherRanked() int { return int(m.higherRanked.Load()) }

// updateFollowing decides whether this instance follows the store, and relays or pulls
// rows when that is due. It is called on every tick.
func (s *state) updateFollowing(now time.Time) {
	s.mesh.ObserveStore()
	higher := s.higherRanked()
	age := s.relayedAge(now)
	s.setRole(now, higher, age)
	if s.mesh.followsStore.Load() && now.Sub(s.relaySent) >= relayInterval {
		s.relayRows(now)
	}
	if now.Sub(s.mesh.AsOf()) > pullDelay && now.Sub(s.pullSent) >= s.pullInterval() {
		s.pullRows(now)
	}
	if left := followDelayBehind(higher) - age; left > 0 && left < tickInterval {
		time.AfterFunc(left, func() { s.mesh.enqueue(s.ctx, func(s *state) { s.updateFollowing(time.Now()) }) })
	}
}

// setRole decides whether this instance follows the store, and leads those that do, by the
// number of instances with a higher rank and the age of the relayed rows.
func (s *state) setRole(now time.Time, higher int, age time.Duration) {
	followed, led := s.mesh.followsStore.Load(), s.mesh.leads.Load()
	replaces := age >= followDelayBehind(higher) // no instance of a higher rank relays recent rows
	follows := now.Sub(s.started) >= joinDelay && (higher < followersPerDomain || replaces)
	leads := follows && (higher == 0 || replaces)
	s.mesh.higherRanked.Store(int64(higher))
	s.mesh.leads.Store(leads)
	s.mesh.followsAll.Store(leads || follows && s.domainSize() < largeDomain)
	s.mesh.followsStore.Store(follows)
	if follows != followed || leads != led {
		s.mesh.log.Line("store-following").Bool("follows", follows).Bool("leads", leads).Int("behind", int64(higher)).Millis("age-ms", age).
			Int("relays-failed", s.mesh.relayFailures.Load()).End()
	}
	if leads && !led {
		s.mesh.store.Recheck()
	}
}

// AsOf returns the time up to which this instance knows all changes that the store has
// acknowledged, from its own polls or from other instances.
//
// Relays of earlier releases, and those that arrive before this instance has had a response of
// the store, are taken for newer than they are by the time that they take to arrive.
func (m *Mesh) AsOf() time.Time {
	own := m.store.AsOf()
	if heard := m.heardAsOf.Load(); heard != nil {
		return latest(own, *heard)
	}
	return own
}

// ObserveStore records how old the rows are that this instance knows. It is called before
// they become more recent.
func (m *Mesh) ObserveStore() {
	m.outageMu.Lock()
	defer m.outageMu.Unlock()
	m.outage.Observe(time.Now(), m.AsOf())
}

// RecordLoss records that the store has lost rows, as when it comes back from a copy.
func (m *Mesh) RecordLoss() {
	m.outageMu.Lock()
	defer m.outageMu.Unlock()
	m.outage.RecordLoss(time.Now())
}

// RemovalsUncertainFor returns for how long a registration that is gone may come back,
// because neither this instance nor one that it hears has had responses of the store.
func (m *Mesh) RemovalsUncertainFor() time.Duration {
	m.outageMu.Lock()
	defer m.outageMu.Unlock()
	now := time.Now()
	m.outage.Observe(now, m.AsOf())
	return m.outage.UncertainFor(now)
}

// NoticesOutages reports whether this instance has run for long enough to have noticed an
// outage in which registrations that may still come back have lapsed.
func (m *Mesh) NoticesOutages() bool { return time.Since(m.created) > outage.MinLapse+outage.Grace }

// hearAsOf records that changes up to a time are known from another instance.
func (s *state) hearAsOf(known *time.Time, asOf time.Time) {
	s.mesh.ObserveStore()
	*known = latest(*known, asOf)
	heard := latest(s.relayedAsOf, s.pulledAsOf)
	s.mesh.heardAsOf.Store(&heard)
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// ageOf returns the time since asOf for a message, or nil if asOf is zero.
func ageOf(now, asOf time.Time) *time.Duration {
	if asOf.IsZero() {
		return nil
	}
	age := max(0, now.Sub(asOf))
	return &age
}

// relayedAge returns how old the relayed rows may be. Rows that this instance pulls count as
// relayed for a while, until the other instances have noticed a change of members and agree
// on the trees again.
func (s *state) relayedAge(now time.Time) time.Duration {
	age := now.Sub(s.relayedAsOf)
	if age < treeSettleTime {
		return min(age, now.Sub(s.pulledAsOf))
	}
	return age
}

// pullInterval returns the minimum time between two pulls of rows: short while there are
// instances that have not been asked yet.
func (s *state) pullInterval() time.Duration {
	if s.stalePulls > 0 && s.stalePulls < maxQuickPulls {
		return tickInterval
	}
	return relayInterval
}

// pullRows compares the rows with those of an instance that probably follows the
// store, in this failure domain or another: with the same one as long as its rows are
// recent.
func (s *state) pullRows(now time.Time) {
	if s.comparing {
		return
	}
	followers := s.likelyFollowers()
	if len(followers) == 0 {
		return
	}
	s.pullSent = now
	s.startSync(followers[s.pullSource%len(followers)].Address, s.mesh.pullFrom, pullTimeout, func(s *state, age *time.Duration) {
		if age != nil {
			s.hearAsOf(&s.pulledAsOf, now.Add(-*age))
		}
		if age != nil && *age <= pullDelay {
			s.stalePulls = 0
			return
		}
		s.pullSource++
		s.stalePulls++
	})
}

// likelyFollowers returns the live members that have the highest rank of their failure
// domain, that of this one first, and then those with the second highest. Instances differ
// in which of the other domains comes next.
func (s *state) likelyFollowers() []member.Status {
	byDomain := map[string][]member.Status{}
	for _, m := range s.detector.Members() {
		if m.State == member.Live {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	domains = slices.DeleteFunc(domains, func(d string) bool { return d == s.mesh.self.FailureDomain })
	if n := uint64(len(domains)); n > 0 {
		first := rank(s.mesh.self.Instance) % n
		domains = slices.Concat(domains[first:], domains[:first])
	}
	domains = append([]string{s.mesh.self.FailureDomain}, domains...)
	var followers []member.Status
	for place := range followersPerDomain {
		for _, domain := range domains {
			all := byDomain[domain]
			slices.SortFunc(all, func(a, b member.Status) int { return cmp.Compare(rank(b.Instance), rank(a.Instance)) })
			if place < len(all) {
				followers = append(followers, all[place])
			}
		}
	}
	return followers
}

// followDelayBehind returns the age of the relayed rows from which on an instance leads
// its failure domain, given the number of instances with a higher rank. They
// take over one after another, so that an outage does not send all of them to the
// store at once.
func followDelayBehind(higher int) time.Duration {
	if higher < followersPerDomain {
		return followDelay
	}
	return followDelay + followersFailedDelay + time.Duration(higher-followersPerDomain)*followDelayStep
}

// domainSize returns the number of live instances of this failure domain.
func (s *state) domainSize() int {
	n := 1
	for _, m := range s.detector.Members() {
		if m.State == member.Live && m.FailureDomain == s.mesh.self.FailureDomain && m.Instance != s.mesh.self.Instance {
			n++
		}
	}
	return n
}

// rank returns the rank of an instance in its failure domain. It depends on the
// name alone, so that all instances compute the same order.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }

// higherRanked returns how many other live instances of this failure domain have a
// higher rank. The followersPerDomain highest follow the store for the others.
func (s *state) higherRanked() int {
	own := rank(s.mesh.self.Instance)
	higher := 0
	for _, m := range s.detector.Members() {
		if m.State == member.Live && m.FailureDomain == s.mesh.self.FailureDomain && m.Instance != s.mesh.self.Instance && rank(m.Instance) > own {
			higher++
		}
	}
	return higher
}

// RelayAge tells the other instances of this failure domain that the store has been
// checked, if this one leads the domain.
func (m *Mesh) RelayAge(ctx context.Context) {
	if !m.leads.Load() {
		return
	}
	m.enqueue(ctx, func(s *state) { s.relayRows(time.Now()) })
}

// relayRows sends the rows that have changed since the last relay to the other
// instances of this failure domain. Also without rows, a relay tells them how recent the
// rows are; it sends none while the store fails.
func (s *state) relayRows(now time.Time) {
	if !s.mesh.store.UpToDate() {
		return
	}
	s.relaySent = now
	s.relayNumber++
	previous := s.rowsNumber
	message := peer.RowUpdate{
		Stream: s.mesh.self.ID, Number: s.relayNumber, Previous: &previous,
		From: s.mesh.self.Address, Root: s.mesh.self.Instance, Rank: rank(s.mesh.self.Instance), RemovalsUncertainFor: s.mesh.RemovalsUncertainFor(),
		RareChecksum: s.replica.rare.rows.Checksum(), FrequentChecksum: s.replica.frequent.rows.Checksum(),
		Load: s.totalLoad(now, s.mesh.self.Instance),
	}
	if s.mesh.followsAll.Load() {
		message.Age, message.AsOf = s.ageOfRows(now)
	}
	s.mesh.events.HandleLoad(message.Load)
	message.Demand = s.recordDemand(now, message.Load.Demand)
	bundle, err := peer.NewBundle(s.unsentRows)
	if err != nil {
		s.mesh.log.Line("rows-not-relayed").Int("rows", int64(len(s.unsentRows))).Err(err).End()
	}
	message.Reread = err != nil || len(bundle) >= rereadBytes
	if !message.Reread {
		message.Entries = bundle
	}
	if len(s.unsentRows) > 0 {
		s.rowsNumber = s.relayNumber
	}
	s.unsentRows = nil
	s.forwardRows(s.mesh.self.Instance, message)
}

// ageOfRows returns how old the rows may be that this instance knows from the store itself, and
// the same as a time of the store's clock.
func (s *state) ageOfRows(now time.Time) (age, asOf *time.Duration) {
	at := s.mesh.store.AsOf()
	age = ageOf(now, at)
	if told, known := s.mesh.store.StoreTime(at); known && age != nil {
		asOf = &told
	}
	return age, asOf
}

// skipRelayNumber leaves out a number, as if a relay with rows were lost: others must compare
// their rows with those of this instance to know them all.
func (s *state) skipRelayNumber() {
	s.relayNumber++
	s.rowsNumber = s.relayNumber
}

// forwardRows sends a relay to the children of an instance in the tree of the
// relay's root: to those of this instance, or of one that could not be reached.
func (s *state) forwardRows(parent string, message peer.RowUpdate) {
	if message.Hops >= relay.MaxHops {
		return
	}
	addresses := map[string]string{} // of the members of this failure domain, by instance
	members := []string{s.mesh.self.Instance}
	for _, m := range s.detector.Members() {
		if m.State >= member.Suspect || m.FailureDomain != s.mesh.self.FailureDomain || m.Instance == s.mesh.self.Instance {
			continue
		}
		if addresses[m.Instance] == "" {
			members = append(members, m.Instance)
		}
		addresses[m.Instance] = m.Address
	}
	for _, child := range relay.Children(message.Root, parent, members) {
		if child != s.mesh.self.Instance {
			go s.mesh.sendRows(s.ctx, child, addresses[child], message)
		}
	}
}

// sendRows sends a relay to an instance. If that fails, it sends it to the
// instance's children.
func (m *Mesh) sendRows(ctx context.Context, instance, address string, message peer.RowUpdate) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	result, err := m.client.UpdateRows(callCtx, address, message)
	m.enqueue(ctx, func(s *state) {
		if err != nil {
			m.relayFailures.Add(1)
			s.forwardRows(instance, message)
			return
		}
		s.loads.Put(time.Now(), message.Root, instance, result.Load)
	})
}

// UpdateRows implements peer.RowHandler.
func (h handler) UpdateRows(ctx context.Context, message peer.RowUpdate) (peer.RowResult, error) {
	entries, err := message.Entries.Entries()
	if err != nil {
		h.log.Line("news-rejected").Str("key", "rows of "+message.From).Err(err).End()
		return peer.RowResult{}, err
	}
	return runInLoop(ctx, h.Mesh, func(s *state) peer.RowResult {
		now := time.Now()
		if !s.relaysSeen.First(message.Stream, message.Number) {
			return peer.RowResult{} // the load is in the answer to the first copy
		}
		forwarded := message
		forwarded.Hops++
		s.forwardRows(s.mesh.self.Instance, forwarded)
		asOf := s.localAsOf(now, &message)
		s.logRows("rows-relayed", message.Root, message.Hops, s.applyRows(entries, message.RemovalsUncertainFor), ageOf(now, asOf))
		switch {
		case !s.recordCoverage(&message):
			s.compareMissed(now, &message)
		case !asOf.IsZero():
			s.recordRelay(asOf, message.Rank)
		}
		if message.Reread {
			s.mesh.store.Reread()
			s.rereadAsked = now
			s.replica.rare.lastChange = now // gives the reread settleTime before rows are compared
		}
		s.compareIfDiffering(now, message.From, message.RareChecksum, message.FrequentChecksum, true)
		s.mesh.events.HandleLoad(message.Load)
		if len(message.Demand) > 0 {
			s.mesh.events.HandleDemand(message.Demand)
		}
		return peer.RowResult{Load: s.totalLoad(now, message.Root)}
	})
}

// localAsOf returns the time up to which the root of a relay knew all changes as it sent it;
// the zero time if it does not tell.
func (s *state) localAsOf(now time.Time, message *peer.RowUpdate) time.Time {
	if message.Age == nil {
		return time.Time{}
	}
	asOf := now.Add(-*message.Age)
	if message.AsOf == nil {
		return asOf
	}
	if at, known := s.mesh.store.LocalTime(now, *message.AsOf, *message.AsOf+*message.Age); known && at.Before(asOf) {
		return at
	}
	return asOf
}

// recordCoverage records a relay whose rows have been applied. It reports whether this instance
// knows all rows that the root knew when it sent it, and not only those in it: relays before it
// may be lost or late.
func (s *state) recordCoverage(message *peer.RowUpdate) bool {
	if message.RareChecksum == s.replica.rare.rows.Checksum() && message.FrequentChecksum == s.replica.frequent.rows.Checksum() {
		s.coverage.Prove(message.Stream, message.Number)
		return true
	}
	return message.Previous != nil && !message.Reread && s.coverage.Receive(message.Stream, message.Number, *message.Previous)
}

// compareMissed gets the rows that earlier relays of a root have failed to bring from the root,
// unless this instance is getting them from the store.
func (s *state) compareMissed(now time.Time, message *peer.RowUpdate) {
	rereading := message.Reread || now.Sub(s.rereadAsked) < settleTime
	polling := s.mesh.followsAll.Load() && s.mesh.store.UpToDate()
	if s.comparing || rereading || polling || message.Previous == nil || message.Age == nil {
		return
	}
	stream, number := message.Stream, message.Number
	s.startSync(message.From, s.mesh.compareAllRows, pullTimeout, func(s *state, age *time.Duration) {
		if age != nil {
			s.coverage.Prove(stream, number)
			s.hearAsOf(&s.pulledAsOf, now.Add(-*age))
		}
	})
}

// recordRelay records that the rows of a relay are known, with all changes up to asOf. A
// follower that is up to date ignores relays from lower-ranked instances, so that of two
// instances that follow the store in place of others the one with the higher rank
// continues.
func (s *state) recordRelay(asOf time.Time, senderRank uint64) {
	if senderRank > rank(s.mesh.self.Instance) || !s.mesh.followsStore.Load() || !s.mesh.store.UpToDate() {
		s.hearAsOf(&s.relayedAsOf, asOf)
	}
}

// PutRow adds a row read from the store. If it is newer than the one held, it is
// relayed to instances that do not follow the store.
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

// flushDelay is how long a changed row waits, so that rows that change together
// are relayed together.
const flushDelay = 20 * time.Millisecond

// flushRows relays the unsent rows, or drops them if this instance does not follow
// the store. Others then cannot tell by its later relays that they know them.
func (s *state) flushRows() {
	s.flushScheduled = false
	if s.mesh.followsStore.Load() {
		s.relayRows(time.Now())
	} else {
		s.unsentRows = nil
		s.skipRelayNumber()
	}
}
