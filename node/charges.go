package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"banyanyard/core/charge"
	"banyanyard/io/platform"

	"github.com/apex/log"
)

const (
	// chargeInterval is the longest time that a charge waits for its write
	// while the table can be reached.
	chargeInterval = 2 * time.Second
	// chargeTimeout bounds one write of charges.
	chargeTimeout = 5 * time.Second
)

// A chargeTable is what writing charges needs of the platform.
type chargeTable interface {
	InsertAll(ctx context.Context, table string, rows []platform.Row) error
}

// charges writes the outbox to the table.
type charges struct {
	table   chargeTable
	log     log.Interface
	metrics *Metrics

	mu     sync.Mutex
	outbox *charge.Outbox // guarded by mu

	writing sync.Mutex // held during a write, so that batches are written one by one
}

func newCharges(capacity int, table chargeTable, logger log.Interface, metrics *Metrics) *charges {
	return &charges{table: table, log: logger, metrics: metrics, outbox: charge.New(capacity)}
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

// add keeps a charge whose room was reserved.
func (c *charges) add(ch charge.Charge) charge.Numbered {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.metrics.charges.Inc()
	n := c.outbox.Add(ch)
	c.metrics.pendingCharges.Set(float64(c.outbox.Len()))
	return n
}

// run writes charges until the context ends.
func (c *charges) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, chargeInterval)
		c.flush(ctx)
	}
}

// flush writes batches until none is left or a write fails. It reports whether
// everything was written.
func (c *charges) flush(ctx context.Context) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	for {
		batch := c.batch()
		if len(batch) == 0 {
			return true
		}
		if err := c.write(ctx, batch); err != nil {
			c.log.WithError(err).WithField("charges", len(batch)).Warn("charges could not be written and are kept")
			return false
		}
		c.written()
	}
}

func (c *charges) batch() []charge.Numbered {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Batch()
}

func (c *charges) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outbox.Written()
	c.metrics.pendingCharges.Set(float64(c.outbox.Len()))
}

// write inserts a batch. Repeating it is safe, since rows that exist stay as
// they are.
func (c *charges) write(ctx context.Context, batch []charge.Numbered) error {
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
	return c.table.InsertAll(ctx, platform.TableCharges, rows)
}
