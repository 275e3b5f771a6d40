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
	// chargeInterval is the shortest time between writes. While the table is
	// available, it bounds how long a charge waits in a small deployment.
	chargeInterval = 2 * time.Second
	// backlogWriteRate is the limit on writes per second, over all instances,
	// while a backlog is written.
	backlogWriteRate = 200
	// chargeWriteRate is the limit on writes per second, over all instances, in
	// normal operation: a tenth of what the table can take.
	chargeWriteRate = 30
	// chargeWriteTimeout is the timeout of one write.
	chargeWriteTimeout = 5 * time.Second
	// chargeReplicas is the number of other instances that store a charge before
	// the last byte of its answer is sent.
	chargeReplicas = 2
	// replicaTimeout is the timeout for storing or deleting replicas. An answer is
	// held back for at most this long.
	replicaTimeout = 300 * time.Millisecond
)

// charges writes this instance's charges to the platform's table, replicates
// those not yet written to other instances, and stores replicas for them.
type charges struct {
	node *Node

	mu             sync.Mutex
	outbox         *charge.Outbox  // guarded by mu
	replicas       charge.Replicas // guarded by mu
	replicaHolders []member.Status // guarded by mu; members that store this instance's charges

	writeMu sync.Mutex // serializes the writing of batches
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

// commit adds a charge, whose room must have been reserved, to the outbox. It
// returns when every holder has stored a replica or failed to, after
// replicaTimeout at the latest.
func (c *charges) commit(ctx context.Context, ch charge.Charge) {
	c.mu.Lock()
	entry := c.outbox.Add(ch)
	pending := c.outbox.Len()
	holders := c.replicaHolders
	c.mu.Unlock()
	c.node.metrics.charges.Inc()
	c.node.metrics.pendingCharges.Set(float64(pending))
	c.replicate(ctx, holders, []charge.Entry{entry})
}

// replicate sends entries to all holders in parallel.
func (c *charges) replicate(ctx context.Context, holders []member.Status, entries []charge.Entry) {
	if len(entries) == 0 {
		return
	}
	// The charge is due even when the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicaTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, m := range holders {
		sends.Go(func() {
			if err := c.node.peers.HoldCharges(ctx, m.Address, peer.HoldRequest{Owner: c.node.identity.ID, Charges: entries}); err != nil {
				c.node.log.WithError(err).WithField("member", m.ID).Warn("a member could not store a replica of charges")
			}
		})
	}
	sends.Wait()
}

// membersChanged chooses the replica holders among the members and sends the new
// ones all unwritten charges.
func (c *charges) membersChanged(m *members) {
	chosen := m.replicaHolders(chargeReplicas)
	c.mu.Lock()
	defer c.mu.Unlock()
	added := slices.DeleteFunc(slices.Clone(chosen), c.isReplicaHolder)
	c.replicaHolders = chosen
	// Many charges are pending during an outage, so they are sent only to members
	// that lack them.
	if len(added) > 0 && c.outbox.Len() > 0 {
		go c.replicate(context.Background(), added, c.outbox.All())
	}
}

// isReplicaHolder reports whether m stores this instance's charges. The caller
// must hold mu.
func (c *charges) isReplicaHolder(m member.Status) bool {
	return slices.ContainsFunc(c.replicaHolders, func(o member.Status) bool { return o.ID == m.ID })
}

// takeOver moves the replicated charges of a failed instance to this instance's
// outbox. If the owner still runs, both write the same rows, which count once.
func (c *charges) takeOver(owner string) {
	c.mu.Lock()
	taken := c.replicas.TakeOver(owner)
	c.outbox.AddTakenOver(taken)
	c.mu.Unlock()
	if len(taken) > 0 {
		c.node.log.WithField("member", owner).WithField("charges", len(taken)).Warn("took over the unwritten charges of a failed member")
	}
}

// HoldCharges implements peer.Handler.
func (p peerHandler) HoldCharges(_ context.Context, h peer.HoldRequest) (peer.Empty, error) {
	p.charges.mu.Lock()
	defer p.charges.mu.Unlock()
	p.charges.replicas.Hold(h.Owner, h.Charges)
	return peer.Empty{}, nil
}

// ReleaseCharges implements peer.Handler.
func (p peerHandler) ReleaseCharges(_ context.Context, r peer.ReleaseRequest) (peer.Empty, error) {
	p.charges.mu.Lock()
	defer p.charges.mu.Unlock()
	p.charges.replicas.Release(r.Owner, r.UpTo)
	return peer.Empty{}, nil
}

// run writes charges until ctx is done.
func (c *charges) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleepContext(ctx, withJitter(c.writeInterval()))
		c.flush(ctx, c.intervalForRate(backlogWriteRate))
	}
}

// writeInterval returns the time between writes. It grows with the number of
// instances, so that the load on the table stays bounded.
func (c *charges) writeInterval() time.Duration {
	return max(chargeInterval, c.intervalForRate(chargeWriteRate))
}

// intervalForRate returns the time between this instance's writes at which all
// instances together make the given number of writes per second.
func (c *charges) intervalForRate(writes int) time.Duration {
	instances := 1
	if m := c.node.members.Load(); m != nil {
		instances += len(m.live)
	}
	return time.Duration(instances) * time.Second / time.Duration(writes)
}

// flush writes batches, pausing between full ones, until none is left or a write
// fails. It reports whether everything was written.
func (c *charges) flush(ctx context.Context, between time.Duration) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var upTo uint64
	defer func() { c.releaseReplicas(ctx, upTo) }()
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return true
		}
		if err := c.insertBatch(ctx, batch); err != nil {
			c.node.log.WithError(err).WithField("charges", len(batch)).Warn("charges could not be written and will be retried")
			return false
		}
		upTo = c.markWritten()
		if len(batch) == charge.MaxBatch {
			sleepContext(ctx, withJitter(between))
		}
	}
}

func (c *charges) nextBatch() []charge.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Batch()
}

func (c *charges) markWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	upTo := c.outbox.MarkWritten()
	c.node.metrics.pendingCharges.Set(float64(c.outbox.Len()))
	return upTo
}

// releaseReplicas lets the holders delete the replicas of written charges.
func (c *charges) releaseReplicas(ctx context.Context, upTo uint64) {
	if upTo == 0 {
		return
	}
	c.mu.Lock()
	holders := c.replicaHolders
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	for _, m := range holders {
		// A holder that misses the message may write the rows again, which has no
		// effect.
		_ = c.node.peers.ReleaseCharges(ctx, m.Address, peer.ReleaseRequest{Owner: c.node.identity.ID, UpTo: upTo})
	}
}

// insertBatch inserts a batch. Repeating it is safe, since an insert leaves
// existing rows as they are.
func (c *charges) insertBatch(ctx context.Context, batch []charge.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, chargeWriteTimeout)
	defer cancel()
	rows := make([]platform.Row, 0, len(batch))
	for _, entry := range batch {
		value, err := json.Marshal(entry.Charge)
		if err != nil {
			return err
		}
		rows = append(rows, platform.Row{Key: entry.Charge.Request, Value: value})
	}
	return c.node.store.InsertAll(ctx, platform.TableCharges, rows)
}
