// Package node implements one entry instance.
//
// One goroutine, control, owns the control state: the configuration in force,
// the list of instances and the gossip of other instances. It publishes an
// immutable Snapshot through an atomic pointer. Each request loads the snapshot
// once and passes it down. State that changes with every request, such as the
// slots and the unwritten charges, is guarded by mutexes of its own.
//
// Invariants:
//   - the revision of the published snapshot never decreases;
//   - an instance without rules is not ready and answers no request;
//   - after shutdown has begun, the instance is not ready, and it answers every
//     request that it has accepted before it ends.
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

// A Store gives access to the platform's tables, objects, list of instances and
// ratings. It must be safe for concurrent use.
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

// A Snapshot is the control state that requests use. It is immutable.
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
	// TLS settings for calls between instances; nil means plain text.
	peerClientTLS *tls.Config
	peerServerTLS *tls.Config
	traffic       peer.Traffic
	log           log.Interface
	logsAnswers   bool // log every answered request
	metrics       *Metrics
	handler       *caller.Handler
	handOver      *handOverHandler
	aborted       chan struct{}
	abortOnce     sync.Once

	snapshot  atomic.Pointer[Snapshot]
	members   atomic.Pointer[members]
	hasShares atomic.Bool // the instance has shares of upstreams
	leaving   atomic.Bool
	// epochPollDue is set when another instance acts on a newer epoch, so that
	// the next poll reads the epoch.
	epochPollDue atomic.Bool
	wakePoll     chan struct{} // starts a poll early; capacity 1
	slots        *slots
	charges      *charges
	sessions     *sessionStore
	crashes      *crashTracker
	rollouts     *rollouts
	learners     *learners
	retryBudgets *retryBudgets
	events       chan event // to the control goroutine
	// background counts goroutines that may outlive their request but end
	// before the instance does.
	background sync.WaitGroup
}

// A Config holds the settings and dependencies of an instance.
type Config struct {
	Settings   settings.Settings
	SessionKey []byte // must be the same at all instances
	Store      Store
	Log        log.Interface
	// Dial opens connections to upstreams and other instances; nil means TCP.
	Dial tcp.DialFunc
}

// New returns an instance that has not started. It fails if the TLS files for
// calls between instances cannot be used.
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
		events:       make(chan event, eventQueueLength),
		wakePoll:     make(chan struct{}, 1),
		aborted:      make(chan struct{}),
		logsAnswers:  c.Settings.Log.Level == log.DebugLevel.String(),
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

// idSuffixLength is the length of the random suffix of a Node's identifier.
const idSuffixLength = 8

// newIdentity returns an identity whose identifier is unique to this start of
// the instance.
func newIdentity(s *settings.Settings) member.Identity {
	return member.Identity{
		ID:            s.Instance.ID + "-" + strings.ToLower(rand.Text()[:idSuffixLength]),
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

// ID returns the identifier of this start of the instance. A restart gets
// another.
func (n *Node) ID() string { return n.identity.ID }

// Rules implements caller.Router.
func (n *Node) Rules() (*rules.Set, int64) {
	s := n.snapshot.Load()
	if s == nil {
		return nil, 0
	}
	return s.Rules, s.Head.Number
}

// Ready reports whether the instance should receive requests: it is not
// shutting down, has rules, and has either shares or another instance to hand
// requests over to.
func (n *Node) Ready() bool {
	if n.snapshot.Load() == nil || n.leaving.Load() {
		return false
	}
	return n.hasShares.Load() || len(n.members.Load().addressesWithShares(1)) > 0
}
