// Package mesh connects the instances of a deployment: it detects which of them
// are live, spreads entries among them by gossip, and lets an instance that cannot
// reach the platform's store get its rows from those that can.
//
// One goroutine, the loop, owns the state. Other goroutines send it functions to
// run.
//
// Invariant: the version of a row never decreases.
package mesh

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/load"
	"banyanyard/core/member"
	"banyanyard/core/outage"
	"banyanyard/core/reach"
	"banyanyard/core/relay"
	"banyanyard/io/jsonlog"
	"banyanyard/io/peer"
	"banyanyard/io/tcp"
)

const (
	// tickInterval is the time between checks of timers: probes, relays and
	// following the store.
	tickInterval = 200 * time.Millisecond
	// callBacklog bounds the calls that wait for the loop.
	callBacklog = 256
	// maxEntriesBytes bounds the entries in one probe, maxPushBytes those in a message
	// with urgent entries.
	maxEntriesBytes = 2400
	maxPushBytes    = 24 << 10
	// pushFanout is the number of instances that urgent entries are sent to at once, by
	// each instance that learns of them.
	pushFanout = 6
	// pushDelay is how long an urgent entry waits, so that those that come together are
	// passed on together, and pushInterval the minimum time between two pushes.
	pushDelay    = 20 * time.Millisecond
	pushInterval = 150 * time.Millisecond
	// urgentSendTime is how long an urgent entry is passed on, and urgentRetention how long
	// its version is remembered: much longer, so that no other instance still sends it.
	urgentSendTime  = time.Minute
	urgentRetention = 10 * time.Minute
	// maxUrgentKept bounds the urgent entries that are remembered.
	maxUrgentKept = 8192
	// settleTime is how long the rows must be unchanged before they are compared
	// with those of another instance: the store reports a change to most
	// instances at nearly the same time.
	settleTime = 400 * time.Millisecond
)

// An EventHandler receives what the mesh learns. Its methods must not block; all
// but HandleReport and Reach are called by the loop.
type EventHandler interface {
	// HandleMembers takes the statuses of all known instances, this one and gone
	// ones included, after a change.
	HandleMembers(all []member.Status)
	// HandleEntry takes an entry that another instance has published.
	HandleEntry(e gossip.Entry)
	// Introduction returns entries that another instance needs when it starts.
	Introduction() []gossip.Entry
	// HandleReport takes what another instance has observed, and returns a summary
	// of the observations of all. It is called concurrently.
	HandleReport(e gossip.Entry) gossip.Entry
	// HandleRow takes a row from another instance. Its data is empty if the row was
	// removed; as far as that instance knows, it may be written again within the given time.
	HandleRow(e gossip.Entry, mayReturnWithin time.Duration)
	// RunningAttempts returns the attempts of this instance in progress, by upstream.
	RunningAttempts() map[string]int
	// HandleLoad takes the load of the instances of this failure domain.
	HandleLoad(l load.Sum)
	// Demand returns what this instance sees of the services whose upstreams are ordered;
	// nil if there are none.
	Demand() map[string]load.Demand
	// Reach returns which upstreams this instance has reached. It is called
	// concurrently.
	Reach(q reach.Question) reach.Answer
	// HandleDemand takes what the instances of each failure domain see of them.
	HandleDemand(all []load.DomainDemand)
}

// A Mesh connects one instance to the others. Its methods are safe for concurrent
// use. Create it with New.
type Mesh struct {
	self   member.Identity
	events EventHandler
	log    *jsonlog.Logger
	client *peer.Client
	// reachClient has connections of its own: a question that is not answered in time closes its
	// connection, which must not be that of the probes.
	reachClient *peer.Client
	traffic     peer.Traffic
	calls       chan func(*state) // run by the loop
	store       StoreFollower

	followsStore  atomic.Bool
	followsAll    atomic.Bool
	leads         atomic.Bool
	higherRanked  atomic.Int64
	created       time.Time
	relayFailures atomic.Int64
	heardAsOf     atomic.Pointer[time.Time] // changes up to this time are known from other instances; nil for none

	outageMu sync.Mutex
	outage   outage.Tracker // guarded by outageMu
}

// A state is owned by the loop.
type state struct {
	mesh           *Mesh
	ctx            context.Context
	detector       *member.Detector
	entries        gossip.Store // spread by gossip
	replica        replica
	comparing      bool // a comparison of rows is running
	seeds          []member.Seed
	started        time.Time
	relayedAsOf    time.Time      // changes up to this time are known from relays; see recordRelay
	pulledAsOf     time.Time      // changes up to this time are known from pulls of rows
	pullSent       time.Time      // when rows were last pulled
	stalePulls     int            // number of pulls in a row that brought no recent rows
	relaySent      time.Time      // when this instance last sent a relay
	unsentRows     []gossip.Entry // rows to relay
	pullSource     int            // index of the instance that pullRows asks
	flushScheduled bool           // flushRows is scheduled
	loads          load.Collector
	demands        load.Domains
	demandShared   time.Time     // when the other failure domains were told this one's demand
	pushScheduled  bool          // pushEntries is scheduled
	pushed         time.Time     // when pushEntries was last called
	urgent         []urgentEntry // oldest first
	urgentSent     int           // number of the oldest in urgent that have been retired
	relayNumber    uint64        // of the newest relay of this instance
	rowsNumber     uint64        // of the newest that others must have to know its rows
	relaysSeen     relay.Seen
	coverage       relay.Coverage
	rereadAsked    time.Time // when the store was last asked for rows that are too large to relay
}

// An urgentEntry is an urgent entry that is to be retired and forgotten.
type urgentEntry struct {
	key     string
	version uint64
	learnt  time.Time
}

// New returns the Mesh of the instance self. A nil dial means tcp.DialContext.
func New(self member.Identity, events EventHandler, store StoreFollower, log *jsonlog.Logger, dial tcp.DialFunc) *Mesh {
	m := &Mesh{self: self, events: events, store: store, log: log, calls: make(chan func(*state), callBacklog), created: time.Now()}
	m.client = peer.NewClient(dial, nil, &m.traffic)
	m.reachClient = peer.NewClient(dial, nil, &m.traffic)
	return m
}

// Run connects to the seeds and serves other instances on the listener until the
// context ends. It closes the listener.
func (m *Mesh) Run(ctx context.Context, l net.Listener, seeds []string) error {
	server := peer.NewServer(handler{m}, &m.traffic)
	server.OnAcceptError = func(err error) { m.log.Line("accept-failed").Str("listener", "peers").Err(err).End() }
	defer server.Close()
	defer m.client.Close()
	defer m.reachClient.Close()
	go m.runLoop(ctx, seeds)
	go func() {
		<-ctx.Done()
		// Serve returns when its listener is closed.
		_ = l.Close()
	}()
	return server.Serve(ctx, l)
}

func (m *Mesh) runLoop(ctx context.Context, seeds []string) {
	h := fnv.New64a()
	h.Write([]byte(m.self.ID)) // never fails
	now := time.Now()
	s := &state{mesh: m, ctx: ctx, detector: member.New(m.self, uint64(now.UnixMilli()), h.Sum64()), started: now, relayedAsOf: now}
	s.replica.changesRarely = m.store.ChangesRarely
	s.addSeeds(seeds)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case call := <-m.calls:
			call(s)
		case now := <-ticker.C:
			s.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) enqueue(ctx context.Context, call func(*state)) {
	select {
	case m.calls <- call:
	case <-ctx.Done():
	}
}

// runInLoop runs a call in the loop and returns its result. It fails if the
// context ends first.
func runInLoop[R any](ctx context.Context, m *Mesh, call func(*state) R) (R, error) {
	result := make(chan R, 1)
	m.enqueue(ctx, func(s *state) { result <- call(s) })
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// AddSeeds adds addresses at which other instances may be reached.
func (m *Mesh) AddSeeds(ctx context.Context, addresses []string) {
	m.enqueue(ctx, func(s *state) { s.addSeeds(addresses) })
}

// Publish spreads an entry by gossip. An urgent entry is sent to some instances at
// once, which pass it on at once; others go out with the next probes.
func (m *Mesh) Publish(ctx context.Context, e gossip.Entry, urgent bool) {
	e.Urgent = urgent
	m.enqueue(ctx, func(s *state) { s.putEntry(time.Now(), e) })
}

// putEntry stores an entry, and schedules a push if it is urgent. It reports whether the
// entry is newer than the stored one.
func (s *state) putEntry(now time.Time, e gossip.Entry) bool {
	if !s.entries.Put(e) {
		return false
	}
	if !e.Urgent {
		return true
	}
	s.urgent = append(s.urgent, urgentEntry{key: e.Key, version: e.Version, learnt: now})
	s.schedulePush(now)
	return true
}

// schedulePush schedules a push unless one is scheduled.
func (s *state) schedulePush(now time.Time) {
	if s.pushScheduled {
		return
	}
	s.pushScheduled = true
	time.AfterFunc(max(pushDelay, pushInterval-now.Sub(s.pushed)), func() { s.mesh.enqueue(s.ctx, (*state).pushEntries) })
}

// forgetUrgent retires urgent entries that have been passed on, and removes old ones.
func (s *state) forgetUrgent(now time.Time) {
	for s.urgentSent < len(s.urgent) && now.Sub(s.urgent[s.urgentSent].learnt) >= urgentSendTime {
		s.entries.Retire(s.urgent[s.urgentSent].key, s.urgent[s.urgentSent].version)
		s.urgentSent++
	}
	n := 0
	for n < len(s.urgent) && (now.Sub(s.urgent[n].learnt) >= urgentRetention || len(s.urgent)-n > maxUrgentKept) {
		s.entries.DeleteVersion(s.urgent[n].key, s.urgent[n].version)
		n++
	}
	s.urgent = slices.Delete(s.urgent, 0, n)
	s.urgentSent = max(0, s.urgentSent-n)
}

// Report sends the instance at an address what this one has observed, and returns
// its summary of the observations of all.
func (m *Mesh) Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return m.client.Report(ctx, address, e)
}

// reachTimeout bounds a question about the paths to upstreams.
const reachTimeout = 300 * time.Millisecond

// AskReach asks the instance at an address which upstreams it has reached.
func (m *Mesh) AskReach(ctx context.Context, address string, q reach.Question) (reach.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return m.reachClient.Reach(ctx, address, q)
}

// Traffic returns what has been exchanged with other instances.
func (m *Mesh) Traffic() *peer.Traffic { return &m.traffic }

// Leave tells the other instances that this one takes no new work.
func (m *Mesh) Leave(ctx context.Context) {
	m.enqueue(ctx, func(s *state) {
		s.detector.MarkLeaving()
		s.publishMemberChanges()
		s.pushEntries()
	})
}

func (s *state) addSeeds(addresses []string) {
	for _, a := range addresses {
		s.seeds = append(s.seeds, member.Seed{Address: a})
	}
	s.detector.SetSeeds(s.seeds)
}

func (s *state) tick(now time.Time) {
	for _, p := range s.detector.Tick(now) {
		go s.mesh.probe(s.ctx, p, s.newExchange(p.ID))
	}
	s.publishMemberChanges()
	s.updateFollowing(now)
	s.forgetUrgent(now)
}

// pushEntries sends pending entries to up to pushFanout live instances at once, chosen at
// random.
func (s *state) pushEntries() {
	s.pushScheduled = false
	s.pushed = time.Now()
	others := slices.DeleteFunc(s.detector.Members(), func(m member.Status) bool { return m.State >= member.Suspect })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), pushFanout)]
	entries := s.entries.OutgoingCopies(len(others), len(s.detector.Members())+1, maxPushBytes)
	for _, other := range others {
		go s.mesh.probe(s.ctx, member.Probe{Address: other.Address, ID: other.ID}, s.newExchangeWith(other.ID, slices.Clone(entries)))
	}
	if len(others) > 0 && s.entries.HasUrgent() {
		s.schedulePush(s.pushed)
	}
}

// newExchange returns the message for another instance that is sent as a probe or
// as the answer to one.
func (s *state) newExchange(to string) peer.Exchange {
	return s.newExchangeWith(to, s.entries.Outgoing(len(s.detector.Members())+1, maxEntriesBytes))
}

func (s *state) newExchangeWith(to string, entries []gossip.Entry) peer.Exchange {
	if suspicion, ok := s.detector.Suspicion(to); ok {
		entries = append(entries, memberEntry(suspicion))
	}
	return peer.Exchange{From: peer.NewStatus(s.detector.Self()), Entries: entries, FrequentChecksum: s.replica.frequent.rows.Checksum(), RareChecksum: s.replica.rare.rows.Checksum()}
}

// handleExchange processes the message of another instance.
func (s *state) handleExchange(now time.Time, e peer.Exchange) {
	s.detector.HeardFrom(now, e.From.Member())
	for _, entry := range e.Entries {
		s.handleEntry(now, entry)
	}
	s.publishMemberChanges()
	s.compareIfDiffering(now, e.From.Address, e.RareChecksum, e.FrequentChecksum, false)
}

// compareIfDiffering starts a comparison of rows with another instance if its
// checksums differ. peerFollows says that it follows the store for this one.
func (s *state) compareIfDiffering(now time.Time, address string, rareChecksum, frequentChecksum uint64, peerFollows bool) {
	if s.comparing {
		return
	}
	all := s.replica.frequent.differsFrom(now, frequentChecksum) && s.mayLackRegistrations(now, peerFollows)
	if !all && !s.replica.rare.differsFrom(now, rareChecksum) {
		return
	}
	compare := s.mesh.compareRareRows
	if all {
		compare = s.mesh.compareAllRows
	}
	s.startSync(address, compare, syncTimeout, nil)
}

// mayLackRegistrations reports whether an instance with other registrations may
// have newer ones than this one. In a large deployment registrations change all
// the time, so that the checksums of two instances hardly ever match. An instance
// that polls the store for them has the newest ones; others compare only with those
// that do, or when they receive no relays.
func (s *state) mayLackRegistrations(now time.Time, peerFollows bool) bool {
	if s.mesh.followsAll.Load() {
		return !s.mesh.store.UpToDate()
	}
	return peerFollows || now.Sub(s.relayedAsOf) > followDelay
}

// publishMemberChanges spreads changes of members by gossip, logs them, and passes
// all members to the EventHandler.
func (s *state) publishMemberChanges() {
	changes := s.detector.Changes()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.entries.Put(memberEntry(c))
		s.mesh.log.Line("member").Str("instance", c.Instance).Str("start", c.ID).Str("address", c.Address).
			Str("state", c.State.String()).Int("incarnation", int64(c.Incarnation)).End()
	}
	s.mesh.events.HandleMembers(append(s.detector.Members(), s.detector.Self()))
}
