package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"banyanyard/core/charge"
	"banyanyard/core/member"
	"banyanyard/io/peer"
	"banyanyard/io/platform"
)

const (
	// chargeInterval is the longest time that a charge waits for its write in a
	// small deployment while the table can be reached.
	chargeInterval = 2 * time.Second
	// recoveryWrites bounds them while a backlog is written.
	recoveryWrites = 200
	// chargeWrites bounds the writes a second of all instances together: a tenth
	// of what the table bears.
	chargeWrites = 30
	// chargeTimeout bounds one write of charges.
	chargeTimeout = 5 * time.Second
	// copies is the number of other instances that hold a charge before the
	// last byte of its answer leaves.
	copies = 2
	// holdTimeout bounds the wait for one copy.
	holdTimeout = 300 * time.Millisecond
)

// charges writes the outbox to the table, has other instances hold copies, and
// holds theirs.
type charges struct {
	node *Node

	mu         sync.Mutex
	outbox     *charge.Outbox  // guarded by mu
	custody    charge.Replicas // guarded by mu
	custodians []member.Status // guarded by mu; that hold this instance's charges

	writing sync.Mutex // held during a write, so that batches are written one by one
}

func newCharges(n *Node) *charges {
	return &charges{node: n, outbox: charge.NewOutbox(n.settings.Limits.PendingCharges)}
}

func (c *charges) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Reserve()
}

func (c *charges) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outbox.Unreserve()
}

// commit keeps a charge whose room was reserved, and returns when other
// instances hold copies or none can be reached.
func (c *charges) commit(ctx context.Context, ch charge.Charge) {
	c.mu.Lock()
	n := c.outbox.Add(ch)
	pending := c.outbox.Len()
	custodians := c.custodians
	c.mu.Unlock()
	c.node.metrics.charges.Inc()
	c.node.metrics.pendingCharges.Set(float64(pending))
	c.hold(ctx, custodians, []charge.Entry{n})
}

// hold sends copies to the custodians at the same time.
func (c *charges) hold(ctx context.Context, custodians []member.Status, numbered []charge.Entry) {
	if len(numbered) == 0 {
		return
	}
	// A caller that has left still owes its charge.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	defer cancel()
	var held sync.WaitGroup
	for _, m := range custodians {
		held.Go(func() {
			if err := c.node.peers.HoldCharges(ctx, m.Address, peer.HoldRequest{Owner: c.node.identity.ID, Charges: numbered}); err != nil {
				c.node.log.WithError(err).WithField("member", m.ID).Warn("a member could not hold a copy of a charge")
			}
		})
	}
	held.Wait()
}

// membersChanged chooses the custodians anew and gives new ones everything that
// is not written.
func (c *charges) membersChanged(m *members) {
	chosen := m.custodians(copies)
	c.mu.Lock()
	defer c.mu.Unlock()
	added := slices.DeleteFunc(slices.Clone(chosen), c.isCustodian)
	c.custodians = chosen
	// The pending charges of an outage are many; they are copied only for an
	// instance that lacks them.
	if len(added) > 0 && c.outbox.Len() > 0 {
		go c.hold(context.Background(), added, c.outbox.All())
	}
}

// isCustodian reports whether a member holds copies. Its caller holds mu.
func (c *charges) isCustodian(m member.Status) bool {
	return slices.ContainsFunc(c.custodians, func(o member.Status) bool { return o.ID == m.ID })
}

// takeOver makes the charges of an instance that is gone this instance's own.
// If it still runs, both write the same rows, which count once.
func (c *charges) takeOver(owner string) {
	c.mu.Lock()
	taken := c.custody.Take(owner)
	c.outbox.AddTakenOver(taken)
	c.mu.Unlock()
	if len(taken) > 0 {
		c.node.log.WithField("member", owner).WithField("charges", len(taken)).Warn("charges of a member that is gone are taken over")
	}
}

// HoldCharges implements peer.Handler.
func (p peerHandler) HoldCharges(_ context.Context, h peer.HoldRequest) (peer.Empty, error) {
	p.charges.mu.Lock()
	defer p.charges.mu.Unlock()
	p.charges.custody.Hold(h.Owner, h.Charges)
	return peer.Empty{}, nil
}

// ReleaseCharges implements peer.Handler.
func (p peerHandler) ReleaseCharges(_ context.Context, r peer.ReleaseRequest) (peer.Empty, error) {
	p.charges.mu.Lock()
	defer p.charges.mu.Unlock()
	p.charges.custody.Release(r.Owner, r.UpTo)
	return peer.Empty{}, nil
}

// run writes charges until the context ends.
func (c *charges) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, jittered(c.interval()))
		c.flush(ctx, c.every(recoveryWrites))
	}
}

// interval is the time between writes. It grows with the deployment, so that
// the writes stay bounded.
func (c *charges) interval() time.Duration { return max(chargeInterval, c.every(chargeWrites)) }

// every returns the time between writes of this instance when all instances
// together make so many a second.
func (c *charges) every(writes int) time.Duration {
	instances := 1
	if m := c.node.members.Load(); m != nil {
		instances += len(m.live)
	}
	return time.Duration(instances) * time.Second / time.Duration(writes)
}

// flush writes batches, with a pause between them, until none is left or a write
// fails. It reports whether everything was written.
func (c *charges) flush(ctx context.Context, between time.Duration) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	var upTo uint64
	defer func() { c.release(ctx, upTo) }()
	for {
		batch := c.batch()
		if len(batch) == 0 {
			return true
		}
		if err := c.write(ctx, batch); err != nil {
			c.node.log.WithError(err).WithField("charges", len(batch)).Warn("charges could not be written and are kept")
			return false
		}
		upTo = c.written()
		if len(batch) == charge.MaxBatch {
			pause(ctx, jittered(between))
		}
	}
}

func (c *charges) batch() []charge.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Batch()
}

func (c *charges) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	upTo := c.outbox.MarkWritten()
	c.node.metrics.pendingCharges.Set(float64(c.outbox.Len()))
	return upTo
}

// release tells the custodians what they need not hold any longer.
func (c *charges) release(ctx context.Context, upTo uint64) {
	if upTo == 0 {
		return
	}
	c.mu.Lock()
	custodians := c.custodians
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for _, m := range custodians {
		// A custodian that misses it writes the rows again, which has no effect.
		_ = c.node.peers.ReleaseCharges(ctx, m.Address, peer.ReleaseRequest{Owner: c.node.identity.ID, UpTo: upTo})
	}
}

// write inserts a batch. Repeating it is safe, since rows that exist stay as
// they are.
func (c *charges) write(ctx context.Context, batch []charge.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	rows := make([]platform.Row, 0, len(batch))
	for _, n := range batch {
		value, err := json.Marshal(n.Charge)
		if err != nil {
			return err
		}
		rows = append(rows, platform.Row{Key: n.Charge.Request, Value: value})
	}
	return c.node.store.InsertAll(ctx, platform.TableCharges, rows)
}
