// Package mesh connects the instances of a deployment: it finds out which of
// them are live, spreads news among them, and lets an instance that cannot reach
// the platform's store learn its rows from those that can.
//
// One goroutine owns the state. Calls from outside are handed to it as
// functions.
//
// Invariant: the version of a row never falls.
package mesh

import (
	"context"
	"hash/fnv"
	"net"
	"sync/atomic"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/io/jsonlog"
	"banyanyard/io/peer"
	"banyanyard/io/tcp"
)

const (
	// tickInterval is the time between looks at what changes with time.
	tickInterval = 200 * time.Millisecond
	// callBacklog bounds the calls that wait for the goroutine.
	callBacklog = 256
	// maxEntriesBytes bounds the news in one message.
	maxEntriesBytes = 2400
	// pushFanout is the number of instances that hear urgent news at once.
	pushFanout = 6
	// settleTime is how long copies of the rows may differ before they are
	// compared: the store tells most instances the same at nearly the same
	// time.
	settleTime = 400 * time.Millisecond
)

// A EventHandler takes what the mesh learns. Its methods are called by the mesh's
// goroutine and must not block.
type EventHandler interface {
	// HandleMembers takes the names of all instances that may be running.
	HandleMembers(all []member.Status)
	// HandleEntry takes an entry that another instance has published.
	HandleEntry(e gossip.Entry)
	// HandleReport takes what another instance has seen, and returns what all have.
	// Unlike the others it is called by many goroutines.
	HandleReport(e gossip.Entry) gossip.Entry
	// HandleRow takes a row that another instance knows. Its data is empty when the
	// row was removed; doubtful says that it may come back.
	HandleRow(e gossip.Entry, doubtful bool)
}

// A Mesh is one instance's part of the mesh. Use New.
type Mesh struct {
	self    member.Identity
	events  EventHandler
	log     *jsonlog.Logger
	client  *peer.Client
	traffic peer.Traffic
	calls   chan func(*state)
	store   StoreFollower

	followsStore  atomic.Bool
	relayFailures atomic.Int64
}

// A state is what the goroutine owns.
type state struct {
	mesh           *Mesh
	ctx            context.Context
	detector       *member.Detector
	entries        gossip.Store
	replica        replica
	comparing      bool
	seeds          []member.Seed
	started        time.Time
	relayReceived  time.Time      // when another instance has relayed rows last
	relaySent      time.Time      // when this one has
	unsentRows     []gossip.Entry // rows to relay
	flushScheduled bool           // a relay is due
}

// New returns a mesh for the instance with the identity. A nil dial means TCP.
func New(self member.Identity, l EventHandler, source StoreFollower, log *jsonlog.Logger, dial tcp.DialFunc) *Mesh {
	m := &Mesh{self: self, events: l, store: source, log: log, calls: make(chan func(*state), callBacklog)}
	m.client = peer.NewClient(dial, nil, &m.traffic)
	return m
}

// Run serves other instances on the listener until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener, seeds []string) error {
	server := peer.NewServer(handler{m}, &m.traffic)
	defer server.Close()
	defer m.client.Close()
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
	s := &state{mesh: m, ctx: ctx, detector: member.New(m.self, uint64(now.UnixMilli()), h.Sum64()), started: now, relayReceived: now}
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

// runInLoop runs a call in the goroutine and returns its result.
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

// AddSeeds names addresses at which other instances may be found.
func (m *Mesh) AddSeeds(ctx context.Context, addresses []string) {
	m.enqueue(ctx, func(s *state) { s.addSeeds(addresses) })
}

// Publish spreads an entry. Urgent entries are sent to some instances at once.
func (m *Mesh) Publish(ctx context.Context, e gossip.Entry, urgent bool) {
	m.enqueue(ctx, func(s *state) {
		if s.entries.Put(e) && urgent {
			s.pushEntries()
		}
	})
}

// Report tells the instance at an address what this one has seen, and returns
// what it knows of all.
func (m *Mesh) Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return m.client.Report(ctx, address, e)
}

// Leave tells the others that this instance takes no new work.
func (m *Mesh) Leave(ctx context.Context) {
	m.enqueue(ctx, func(s *state) {
		s.detector.Leave()
		s.publishMemberChanges()
		s.pushEntries()
	})
}

func (s *state) addSeeds(addresses []string) {
	for _, a := range addresses {
		s.seeds = append(s.seeds, member.Seed{Address: a})
	}
	s.detector.Seed(s.seeds)
}

func (s *state) tick(now time.Time) {
	for _, a := range s.detector.Tick(now) {
		go s.mesh.probe(s.ctx, a, s.newExchange(a.ID))
	}
	s.publishMemberChanges()
	s.updateFollowing(now)
}

// pushEntries sends the news to some live instances at once.
func (s *state) pushEntries() {
	sent := 0
	for _, other := range s.detector.Members() {
		if other.State >= member.Suspect || sent == pushFanout {
			continue
		}
		sent++
		go s.mesh.probe(s.ctx, member.Action{Address: other.Address, ID: other.ID}, s.newExchange(other.ID))
	}
}

// newExchange returns what another instance is told with a probe or its answer.
func (s *state) newExchange(to string) peer.Exchange {
	entries := s.entries.Outgoing(len(s.detector.Members())+1, maxEntriesBytes)
	if doubts, ok := s.detector.Doubts(to); ok {
		entries = append(entries, memberEntry(doubts))
	}
	return peer.Exchange{From: peer.NewStatus(s.detector.Self()), Entries: entries, FrequentSum: s.replica.frequent.rows.Sum(), RareSum: s.replica.rare.rows.Sum()}
}

// handleExchange takes the message of another instance into account.
func (s *state) handleExchange(now time.Time, e peer.Exchange) {
	s.detector.Answered(now, e.From.Member())
	for _, entry := range e.Entries {
		s.handleEntry(now, entry)
	}
	s.publishMemberChanges()
	s.compareIfDiffering(now, e.From.Address, e.RareSum, e.FrequentSum, false)
}

// compareIfDiffering starts a comparison of rows with an instance whose sums differ. relayed
// says that it follows the store for this one.
func (s *state) compareIfDiffering(now time.Time, address string, orders, rows uint64, relayed bool) {
	if s.comparing {
		return
	}
	all := s.replica.frequent.differsFrom(now, rows) && s.mayLackRegistrations(now, relayed)
	if !all && !s.replica.rare.differsFrom(now, orders) {
		return
	}
	s.comparing = true
	go s.mesh.syncRows(s.ctx, address, all)
}

// mayLackRegistrations reports whether an instance with other registrations may
// have newer ones. Registrations change all the time in a large deployment, so
// that the sums of two instances hardly ever agree: one that follows the store
// knows them, and others only compare with those that do.
func (s *state) mayLackRegistrations(now time.Time, relayed bool) bool {
	if s.mesh.followsStore.Load() {
		return !s.mesh.store.UpToDate()
	}
	return relayed || now.Sub(s.relayReceived) > followDelay
}

// publishMemberChanges spreads and passes on what has changed about members.
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
