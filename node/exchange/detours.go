package exchange

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/reach"
	"banyanyard/io/tunnel"

	"github.com/pkg/errors"
)

const (
	// minDialTime is the time from which on a connection that could not be opened in time
	// is a sign against its path: a caller's deadline may have cut the wait short.
	minDialTime = 200 * time.Millisecond
	// maxAskedInstances is the number of instances that are asked at once which
	// upstreams they have reached.
	maxAskedInstances = 3
	// idlePathInterval is the time between two looks at the paths while none fails.
	idlePathInterval = time.Minute
	// pathCheckTimeout bounds the check of a direct path.
	pathCheckTimeout = 250 * time.Millisecond
)

// A ReachClient asks the instance at an address which upstreams it has reached.
type ReachClient interface {
	AskReach(ctx context.Context, address string, q reach.Question) (reach.Answer, error)
}

// A Detour is a connection to an upstream through another instance. Nothing of the attempt
// is sent before the upstream is connected.
type Detour struct {
	Peer reach.Peer
	// Silent is true if open connections to the upstream are probably dead.
	Silent bool
}

// detours are the paths of this instance to upstreams. It is safe for concurrent use.
type detours struct {
	// tunnels returns the number of connections that this instance has opened for others;
	// nil means none.
	tunnels func() int

	mu     sync.Mutex
	table  reach.Table // guarded by mu
	random *rand.Rand  // guarded by mu
	wake   chan struct{}
}

func newDetours(domain string) detours {
	return detours{table: reach.Table{Domain: domain}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), wake: make(chan struct{}, 1)}
}

// SetTunnelCount sets the function that returns the number of connections that this
// instance has opened for others. It must be called before the first request.
func (r *Router) SetTunnelCount(count func() int) { r.detours.tunnels = count }

// SetPeers replaces the other instances through which connections to upstreams may go: those
// that live, also while they stop, and that accepts allows.
func (r *Router) SetPeers(all []member.Status, accepts func(member.Status) bool) {
	var peers []reach.Peer
	for _, m := range all {
		if m.State <= member.Leaving && m.Instance != r.instance && m.TunnelAddress != "" && accepts(m) {
			peers = append(peers, reach.Peer{ID: m.ID, Instance: m.Instance, Address: m.Address, Tunnel: m.TunnelAddress, FailureDomain: m.FailureDomain, Leaving: m.State == member.Leaving})
		}
	}
	r.detours.mu.Lock()
	defer r.detours.mu.Unlock()
	r.detours.table.SetPeers(peers)
	r.detours.signal()
}

// RecordDial records that a direct connection to an upstream was opened, or that it could
// not be, after a time.
func (r *Router) RecordDial(address string, err error, took time.Duration) {
	failure := reach.Refused
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
	case errors.Is(err, context.Canceled), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return // says nothing about the path
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		if took < minDialTime {
			return
		}
		failure = reach.Silent
	}
	d := &r.detours
	d.mu.Lock()
	ended := false
	if err == nil {
		ended = d.table.RecordOpened(time.Now(), address)
	} else {
		d.table.RecordFailed(time.Now(), address, failure)
	}
	d.mu.Unlock()
	if ended {
		r.Log.Line("path").Str("address", address).Str("state", "direct").End()
		r.WithFleet(func(_ time.Time, f *placement.Fleet) {
			f.ForgetUnreachable(func(a string) bool { return a == address })
		})
	}
	if err != nil {
		d.signal()
	}
}

// signal makes RunDetours look whether something is due.
func (d *detours) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// recordAnswered records that the upstream of an attempt has answered.
func (r *Router) recordAnswered(a *Attempt) {
	r.detours.mu.Lock()
	defer r.detours.mu.Unlock()
	if a.Detour != nil {
		r.detours.table.RecordTunnelOpened(a.Detour.Peer.ID)
		return
	}
	r.detours.table.RecordHeard(time.Now(), a.Upstream.Address)
}

// recordDetourFailed records why an attempt through another instance got no answer, if that
// says something about the instance.
func (r *Router) recordDetourFailed(a *Attempt, err error) {
	if a.Detour == nil {
		return
	}
	d, id, now := &r.detours, a.Detour.Peer.ID, time.Now()
	var refused *tunnel.RefusedError
	var upstream *tunnel.UpstreamError
	doubted := false
	d.mu.Lock()
	switch {
	case errors.As(err, &refused) && refused.ForUpstream:
		d.table.AvoidFor(now, id, a.Upstream.Address)
	case errors.As(err, &refused), errors.Is(err, syscall.ETIMEDOUT):
		d.table.Avoid(now, id)
	case errors.As(err, &upstream):
		doubted = d.table.RecordTunnelFailed(now, id, a.Upstream.Address)
	}
	d.mu.Unlock()
	d.signal()
	if doubted {
		r.Log.Line("path").Str("instance", a.Detour.Peer.Instance).Str("state", "doubted").Err(err).End()
		r.WithFleet(func(_ time.Time, f *placement.Fleet) { f.ForgetUnreachable(r.isDetoured) })
	}
}

// Reach returns which upstreams this instance has reached.
func (r *Router) Reach(q reach.Question) reach.Answer {
	r.detours.mu.Lock()
	defer r.detours.mu.Unlock()
	a := r.detours.table.Answer(time.Now(), &q)
	if r.detours.tunnels != nil {
		a.Tunnels = r.detours.tunnels()
	}
	return a
}

// RunDetours asks other instances about upstreams to which this one cannot connect, and
// checks direct paths while connections are detoured, until the context ends.
func (r *Router) RunDetours(ctx context.Context, client ReachClient, connect func(ctx context.Context, address string) error) {
	d := &r.detours
	for {
		d.mu.Lock()
		next, active := d.table.Next(time.Now())
		d.mu.Unlock()
		if !active {
			next = time.Now().Add(idlePathInterval)
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-d.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		d.mu.Lock()
		d.table.Expire(time.Now())
		d.mu.Unlock()
		r.askPeers(ctx, client)
		r.checkPaths(ctx, connect)
	}
}

// askPeers asks other instances if that is due.
func (r *Router) askPeers(ctx context.Context, client ReachClient) {
	d := &r.detours
	d.mu.Lock()
	q, peers := d.table.Ask(time.Now(), d.random, maxAskedInstances)
	d.mu.Unlock()
	for _, p := range peers {
		go func() {
			answer, err := client.AskReach(ctx, p.Address, *q)
			if err != nil {
				r.Log.Line("reach").Str("asked", p.Instance).Int("addresses", int64(len(q.Addresses))).Err(err).End()
				return
			}
			r.handleAnswer(p, q, answer)
		}()
	}
}

// handleAnswer logs and adopts what another instance has seen.
func (r *Router) handleAnswer(from reach.Peer, q *reach.Question, a reach.Answer) {
	d := &r.detours
	d.mu.Lock()
	known := d.table.Detours()
	detoured, lost := d.table.RecordAnswer(time.Now(), from, q, a)
	d.mu.Unlock()
	if known && !lost && len(detoured) == 0 {
		return // changes nothing
	}
	r.Log.Line("reach").Str("asked", from.Instance).Int("addresses", int64(len(q.Addresses))).Millis("any-reached-ms", a.AnyReached).
		Bool("lost-there", a.Lost).Int("tunnels", int64(a.Tunnels)).Int("detoured", int64(len(detoured))).Bool("lost", lost).End()
	for _, address := range detoured {
		r.Log.Line("path").Str("address", address).Str("state", "detoured").Str("reached-by", from.Instance).End()
	}
	if lost {
		r.Log.Line("path").Str("address", "all").Str("state", "detoured").Str("reached-by", from.Instance).Millis("reached-ms", a.AnyReached).End()
	}
	if lost || len(detoured) > 0 {
		d.signal()
		r.WithFleet(func(_ time.Time, f *placement.Fleet) { f.ForgetUnreachable(r.isDetoured) })
	}
}

// checkPaths checks direct paths if that is due.
func (r *Router) checkPaths(ctx context.Context, connect func(ctx context.Context, address string) error) {
	d := &r.detours
	d.mu.Lock()
	active := d.table.Detours()
	d.mu.Unlock()
	if !active {
		return
	}
	var addresses []string
	r.WithFleet(func(_ time.Time, f *placement.Fleet) { addresses = f.Addresses() })
	d.mu.Lock()
	due := d.table.Checks(time.Now(), addresses)
	d.mu.Unlock()
	for _, address := range due {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
			defer cancel()
			// The result is recorded where connections are opened.
			_ = connect(ctx, address)
		}()
	}
}

// isDetoured reports whether new connections to an address take a detour.
func (r *Router) isDetoured(address string) bool {
	r.detours.mu.Lock()
	defer r.detours.mu.Unlock()
	detoured, _ := r.detours.table.Detoured(address)
	return detoured
}

// detourTo returns the detour that a new connection to an address takes, or nil.
func (r *Router) detourTo(address string) *Detour {
	d := &r.detours
	d.mu.Lock()
	defer d.mu.Unlock()
	detoured, silent := d.table.Detoured(address)
	if !detoured {
		return nil
	}
	p, ok := d.table.Choose(time.Now(), d.random, address)
	if !ok {
		d.signal()
		return nil
	}
	return &Detour{Peer: p, Silent: silent}
}

// ErrPathLost reports that this instance itself has no path to an upstream.
var ErrPathLost = errors.New("this instance has no path to the upstream")

// AllowTunnel returns an error if the instance whose start has the ID may not connect to
// the upstream through this one.
func (r *Router) AllowTunnel(from, upstream, address string) error {
	r.detours.mu.Lock()
	known := r.detours.table.Knows(from)
	detoured, _ := r.detours.table.Detoured(address)
	r.detours.mu.Unlock()
	switch {
	case !known:
		return errors.New("the instance is not a live member of this deployment")
	case detoured:
		return ErrPathLost
	}
	accepted := false
	r.WithFleet(func(now time.Time, f *placement.Fleet) { accepted = f.AcceptsWorkAt(now, upstream, address) })
	if !accepted {
		return errors.Errorf("upstream %s is not known at %s, or takes no work", upstream, address)
	}
	return nil
}
