// Package node is one entry instance.
//
// One goroutine, control, owns the control state: the configuration in force,
// the list of instances and what other instances say. It publishes an immutable
// Snapshot through an atomic pointer. Each request loads the snapshot once and
// passes it down; what changes with every request, the slots and the unwritten
// charges, is guarded by a mutex of its own.
//
// Invariants:
//   - the revision of the published snapshot never falls;
//   - an instance without rules is not ready and answers no request;
//   - after Shutdown has begun, the instance is not ready, and every request
//     that it has accepted is answered before it ends.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"banyanyard/core/member"
	"banyanyard/core/revision"
	"banyanyard/core/rules"
	"banyanyard/io/caller"
	"banyanyard/io/engine"
	"banyanyard/io/peer"
	"banyanyard/io/platform"
	"banyanyard/io/service"
	"banyanyard/io/tcp"
	"banyanyard/node/settings"

	"github.com/apex/log"
)

// A Store is what an instance needs of the platform.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Insert(ctx context.Context, table, key string, value any) (string, error)
	Replace(ctx context.Context, table, key, version string, value any) (string, error)
	InsertAll(ctx context.Context, table string, rows []platform.Row) error
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	Instances(ctx context.Context) ([]platform.Instance, error)
	Rate(ctx context.Context, a platform.RatingRequest) (platform.Rating, error)
}

// A Snapshot is the control state that requests see. It is never changed.
type Snapshot struct {
	Head  revision.Head
	Rules *rules.Set
}

// A Node is one entry instance. Use New.
type Node struct {
	settings   settings.Settings
	identity   member.Identity
	sessionKey []byte
	store      Store
	engines    engine.Client
	services   *service.Client
	peers      *peer.Client
	// TLS between instances; nil means plain text.
	peerClientTLS *tls.Config
	peerServerTLS *tls.Config
	traffic       peer.Traffic
	log           log.Interface
	verbose       bool // answered requests are logged
	metrics       *Metrics
	handler       *caller.Handler
	handOver      *handOverHandler
	aborted       chan struct{}
	abortOnce     sync.Once

	snapshot atomic.Pointer[Snapshot]
	members  atomic.Pointer[members]
	sharing  atomic.Bool // the instance has shares of its own
	leaving  atomic.Bool
	// epochNewer says that another instance acts on a newer epoch.
	epochNewer   atomic.Bool
	pollNow      chan struct{} // wakes the poll, capacity 1
	slots        *slots
	charges      *charges
	sessions     *sessionStore
	crashes      *crashTracker
	rollouts     *rollouts
	learners     *learners
	retryBudgets *retryBudgets
	events       chan event // to the control goroutine
	// background counts what outlives its request and ends before the
	// instance does.
	background sync.WaitGroup
}

// A Config is what an instance is made from.
type Config struct {
	Settings   settings.Settings
	SessionKey []byte // the same at all instances
	Store      Store
	Log        log.Interface
	// Dial opens connections to upstreams and other instances; nil means TCP.
	Dial tcp.DialFunc
}

// New returns an instance that has not started.
func New(c Config) (*Node, error) {
	n := &Node{
		settings:     c.Settings,
		identity:     newIdentity(&c.Settings),
		sessionKey:   c.SessionKey,
		store:        c.Store,
		engines:      engine.Client{Dial: c.Dial},
		services:     service.New(c.Dial),
		metrics:      newMetrics(),
		retryBudgets: newRetryBudgets(),
		events:       make(chan event, eventBacklog),
		pollNow:      make(chan struct{}, 1),
		aborted:      make(chan struct{}),
		verbose:      c.Settings.Log.Level == log.DebugLevel.String(),
	}
	var err error
	if n.peerClientTLS, n.peerServerTLS, err = peerTLS(&c.Settings.Security); err != nil {
		return nil, err
	}
	n.log = c.Log.WithField("instance", n.identity.ID)
	n.slots = newSlots(n.identity.ID, n.identity.FailureDomain)
	n.peers = peer.NewClient(c.Dial, n.peerClientTLS, &n.traffic)
	n.charges = newCharges(n)
	n.sessions = newSessionStore(c.Store)
	n.crashes = &crashTracker{self: n.identity.ID}
	n.rollouts = &rollouts{}
	n.learners = newLearners()
	n.handler = caller.NewHandler(n, callerLimits(&c.Settings))
	n.handOver = newHandOverHandler(n, c.Dial, n.peerClientTLS)
	return n, nil
}

// startIDLength is the length of the random part of an instance's identifier.
const startIDLength = 8

func newIdentity(s *settings.Settings) member.Identity {
	return member.Identity{
		ID:            s.Instance.ID + "-" + strings.ToLower(rand.Text()[:startIDLength]),
		Instance:      s.Instance.ID,
		Address:       s.Listen.Peers,
		CallerAddress: s.Listen.Callers,
		FailureDomain: s.Instance.FailureDomain,
	}
}

func callerLimits(s *settings.Settings) caller.Limits {
	return caller.Limits{
		BodyBytes:         s.Limits.BodyBytes,
		DefaultTimeout:    time.Duration(s.Timeouts.Request),
		MaxTimeout:        time.Duration(s.Timeouts.MaxRequest),
		WriteTimeout:      time.Duration(s.Timeouts.Write),
		StreamBufferBytes: s.Limits.StreamBufferBytes,
		OrganisationBytes: s.Limits.OrganisationBufferBytes,
		InstanceBytes:     s.Limits.InstanceBufferBytes,
		StallTimeout:      time.Duration(s.Timeouts.Stall),
	}
}

// ID returns the identifier of this start of the instance.
func (n *Node) ID() string { return n.identity.ID }

// Rules implements caller.Router.
func (n *Node) Rules() (*rules.Set, int64) {
	s := n.snapshot.Load()
	if s == nil {
		return nil, 0
	}
	return s.Rules, s.Head.Number
}

// Ready reports whether the instance should get requests: it has rules, and
// either shares of its own or another instance to hand requests over to.
func (n *Node) Ready() bool {
	if n.snapshot.Load() == nil || n.leaving.Load() {
		return false
	}
	return n.sharing.Load() || len(n.members.Load().sharers(1)) > 0
}
