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
	// backlog bounds the calls that wait for the goroutine.
	backlog = 256
	// newsBytes bounds the news in one message.
	newsBytes = 2400
	// pushes is the number of instances that hear urgent news at once.
	pushes = 6
	// settleTime is how long copies of the rows may differ before they are
	// compared: the store tells most instances the same at nearly the same
	// time.
	settleTime = 400 * time.Millisecond
)

// A Listener takes what the mesh learns. Its methods are called by the mesh's
// goroutine and must not block.
type Listener interface {
	// Members takes the names of all instances that may be running.
	Members(all []member.Status)
	// News takes an entry that another instance has published.
	News(e gossip.Entry)
	// Report takes what another instance has seen, and returns what all have.
	// Unlike the others it is called by many goroutines.
	Report(e gossip.Entry) gossip.Entry
	// Row takes a row that another instance knows. Its data is empty when the
	// row was removed; doubtful says that it may come back.
	Row(e gossip.Entry, doubtful bool)
}

// A Mesh is one instance's part of the mesh. Use New.
type Mesh struct {
	self     member.Identity
	listener Listener
	log      *jsonlog.Logger
	client   *peer.Client
	traffic  peer.Traffic
	calls    chan func(*state)
	source   Source

	follows       atomic.Bool
	relayFailures atomic.Int64
}

// A state is what the goroutine owns.
type state struct {
	mesh       *Mesh
	ctx        context.Context
	detector   *member.Detector
	news       gossip.Store
	copies     copies
	syncing    bool
	seeds      []member.Seed
	started    time.Time
	heardFresh time.Time      // when another instance has relayed rows last
	relayed    time.Time      // when this one has
	unsent     []gossip.Entry // rows to relay
	flushing   bool           // a relay is due
}

// New returns a mesh for the instance with the identity. A nil dial means TCP.
func New(self member.Identity, l Listener, source Source, log *jsonlog.Logger, dial tcp.DialFunc) *Mesh {
	m := &Mesh{self: self, listener: l, source: source, log: log, calls: make(chan func(*state), backlog)}
	m.client = peer.NewClient(dial, nil, &m.traffic)
	return m
}

// Run serves other instances on the listener until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener, seeds []string) error {
	server := peer.NewServer(handler{m}, &m.traffic)
	defer server.Close()
	defer m.client.Close()
	go m.own(ctx, seeds)
	go func() {
		<-ctx.Done()
		// Serve returns when its listener is closed.
		_ = l.Close()
	}()
	return server.Serve(ctx, l)
}

func (m *Mesh) own(ctx context.Context, seeds []string) {
	h := fnv.New64a()
	h.Write([]byte(m.self.ID)) // never fails
	now := time.Now()
	s := &state{mesh: m, ctx: ctx, detector: member.New(m.self, uint64(now.UnixMilli()), h.Sum64()), started: now, heardFresh: now}
	s.copies.rare = m.source.Rare
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

func (m *Mesh) do(ctx context.Context, call func(*state)) {
	select {
	case m.calls <- call:
	case <-ctx.Done():
	}
}

// ask runs a call in the goroutine and returns its result.
func ask[R any](ctx context.Context, m *Mesh, call func(*state) R) (R, error) {
	result := make(chan R, 1)
	m.do(ctx, func(s *state) { result <- call(s) })
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// Seed names addresses at which other instances may be found.
func (m *Mesh) Seed(ctx context.Context, addresses []string) {
	m.do(ctx, func(s *state) { s.addSeeds(addresses) })
}

// Publish spreads an entry. Urgent entries are sent to some instances at once.
func (m *Mesh) Publish(ctx context.Context, e gossip.Entry, urgent bool) {
	m.do(ctx, func(s *state) {
		if s.news.Put(e) && urgent {
			s.push()
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
	m.do(ctx, func(s *state) {
		s.detector.Leave()
		s.noteMembers()
		s.push()
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
		go s.mesh.probe(s.ctx, a, s.message(a.ID))
	}
	s.noteMembers()
	s.relay(now)
}

// push sends the news to some live instances at once.
func (s *state) push() {
	sent := 0
	for _, other := range s.detector.Members() {
		if other.State >= member.Suspect || sent == pushes {
			continue
		}
		sent++
		go s.mesh.probe(s.ctx, member.Action{Address: other.Address, ID: other.ID}, s.message(other.ID))
	}
}

// message returns what another instance is told with a probe or its answer.
func (s *state) message(to string) peer.Exchange {
	entries := s.news.Outgoing(len(s.detector.Members())+1, newsBytes)
	if doubts, ok := s.detector.Doubts(to); ok {
		entries = append(entries, memberEntry(doubts))
	}
	return peer.Exchange{From: peer.NewStatus(s.detector.Self()), Entries: entries, FrequentSum: s.copies.often.rows.Sum(), RareSum: s.copies.rares.rows.Sum()}
}

// heard takes the message of another instance into account.
func (s *state) heard(now time.Time, e peer.Exchange) {
	s.detector.Answered(now, e.From.Member())
	for _, entry := range e.Entries {
		s.learn(now, entry)
	}
	s.noteMembers()
	s.compare(now, e.From.Address, e.RareSum, e.FrequentSum, false)
}

// compare starts a comparison of rows with an instance whose sums differ. relayed
// says that it follows the store for this one.
func (s *state) compare(now time.Time, address string, orders, rows uint64, relayed bool) {
	if s.syncing {
		return
	}
	all := s.copies.often.differs(now, rows) && s.lacksRegistrations(now, relayed)
	if !all && !s.copies.rares.differs(now, orders) {
		return
	}
	s.syncing = true
	go s.mesh.syncRows(s.ctx, address, all)
}

// lacksRegistrations reports whether an instance with other registrations may
// have newer ones. Registrations change all the time in a large deployment, so
// that the sums of two instances hardly ever agree: one that follows the store
// knows them, and others only compare with those that do.
func (s *state) lacksRegistrations(now time.Time, relayed bool) bool {
	if s.mesh.follows.Load() {
		return !s.mesh.source.Fresh()
	}
	return relayed || now.Sub(s.heardFresh) > freshTime
}

// noteMembers spreads and passes on what has changed about members.
func (s *state) noteMembers() {
	changes := s.detector.Changes()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.news.Put(memberEntry(c))
		s.mesh.log.Line("member").Str("instance", c.Instance).Str("start", c.ID).Str("address", c.Address).
			Str("state", c.State.String()).Int("incarnation", int64(c.Incarnation)).End()
	}
	s.mesh.listener.Members(append(s.detector.Members(), s.detector.Self()))
}
