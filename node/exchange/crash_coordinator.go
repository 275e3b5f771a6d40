package exchange

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/suspect"
)

const (
	// judgeInterval is the minimum time between two evaluations of the crashes.
	judgeInterval = 100 * time.Millisecond
	// verdictWriteRetry is the time between attempts to write a verdict to the store.
	verdictWriteRetry = time.Second
	// verdictWriters is the number of instances that write a verdict, one after the
	// other until one has written it.
	verdictWriters = 5
)

// A VerdictStore keeps verdicts, so that an instance learns them after a restart.
type VerdictStore interface {
	// Write writes a verdict if the stored one on the same traits is the newest known
	// here. Of several instances that write the same version, only one succeeds.
	Write(ctx context.Context, v suspect.Verdict) error
	// Newest returns the version of the stored verdict with the key, as far as known
	// here; 0 if there is none.
	Newest(key string) uint64
}

// A CrashCoordinator evaluates the crashes that a router and the other instances report,
// adopts the verdicts of others and of the store, and writes those of the router to it.
type CrashCoordinator struct {
	Router   *Router
	Instance string

	members []member.Status      // guarded by Router.mu
	writes  map[string]time.Time // when to write the verdict with a key; used by writeLoop only
	judged  time.Time            // when the crashes were last evaluated; used by Run only
}

// SetMembers replaces the instances that may be running.
func (c *CrashCoordinator) SetMembers(all []member.Status) {
	c.Router.mu.Lock()
	defer c.Router.mu.Unlock()
	c.members = all
}

// HandleEntry processes a gossip entry of another instance.
func (c *CrashCoordinator) HandleEntry(e gossip.Entry) {
	var err error
	m := &c.Router.crashes
	switch {
	case strings.HasPrefix(e.Key, crashKeyPrefix):
		var report suspect.Crash
		if err = json.Unmarshal(e.Data, &report); err == nil {
			m.mu.Lock()
			m.table.RecordCrash(time.Now(), report)
			m.mu.Unlock()
			m.signalEvidence()
		}
	case strings.HasPrefix(e.Key, turnKeyPrefix):
		key, _, _ := strings.Cut(strings.TrimPrefix(e.Key, turnKeyPrefix), "/")
		m.mu.Lock()
		m.table.HoldTurn(time.Now(), key)
		m.mu.Unlock()
	case strings.HasPrefix(e.Key, verdictKeyPrefix):
		var v suspect.Verdict
		if err = json.Unmarshal(e.Data, &v); err == nil {
			c.adopt(v, "instance", (*suspect.Table).Merge)
		}
	}
	if err != nil {
		c.Router.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
	}
}

// maxIntroduced bounds the verdicts that an instance is told of when it starts; it reads
// the others in the store.
const maxIntroduced = 32

// Introduction returns the entries of verdicts that another instance needs when it
// starts.
func (c *CrashCoordinator) Introduction() []gossip.Entry {
	m := &c.Router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []gossip.Entry
	for _, v := range m.table.Verdicts() {
		if data, err := json.Marshal(v); err == nil && !v.Cleared && len(entries) < maxIntroduced {
			entries = append(entries, gossip.Entry{Key: verdictKeyPrefix + v.Traits.Key(), Version: v.Version(), Data: data})
		}
	}
	return entries
}

// ApplyStored adopts a verdict of the store.
func (c *CrashCoordinator) ApplyStored(v suspect.Verdict) {
	c.adopt(v, "store", (*suspect.Table).MergeStored)
}

// RewriteStored writes verdicts to the store again that it has lost.
func (c *CrashCoordinator) RewriteStored() { c.Router.crashes.signalEvidence() }

// RemoveStored removes a verdict whose row an operator has removed.
func (c *CrashCoordinator) RemoveStored(key string) {
	m := &c.Router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Remove(key)
	c.Router.Log.Line("suspect").Str("key", key).Str("state", "removed").Str("source", "store").End()
}

func (c *CrashCoordinator) adopt(v suspect.Verdict, source string, merge func(t *suspect.Table, now time.Time, v suspect.Verdict) (bool, *suspect.Verdict)) {
	m := &c.Router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	changed, reply := merge(&m.table, time.Now(), v)
	if !changed {
		return
	}
	if reply != nil {
		c.Router.publishVerdict(*reply, "answered here")
		return
	}
	c.Router.logVerdict(&v, source)
	m.stop(&v)
	m.signalEvidence()
}

// Run evaluates the crashes until ctx is done.
func (c *CrashCoordinator) Run(ctx context.Context) {
	// The store may be slow or silent, which must not delay an evaluation.
	changed := make(chan struct{}, 1)
	go c.writeLoop(ctx, changed)
	var again <-chan time.Time
	for {
		select {
		case <-c.Router.crashes.evidence:
		case <-again:
		case <-ctx.Done():
			return
		}
		again = nil
		if c.judge(time.Now()) {
			again = time.After(judgeInterval)
		}
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// writeLoop writes verdicts to the store when they change, until ctx is done.
func (c *CrashCoordinator) writeLoop(ctx context.Context, changed <-chan struct{}) {
	c.writes = map[string]time.Time{}
	var again <-chan time.Time
	for {
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
			return
		}
		again = nil
		if c.writeVerdicts(ctx) {
			again = time.After(judgeInterval)
		}
	}
}

// judge evaluates the crashes unless that has just been done. It reports whether it is
// to be called again.
func (c *CrashCoordinator) judge(now time.Time) (again bool) {
	if now.Sub(c.judged) < judgeInterval {
		return true
	}
	c.judged = now
	m := &c.Router.crashes
	m.mu.Lock()
	defer m.mu.Unlock()
	found, enforced, again := m.table.Judge(now)
	for _, v := range found {
		c.Router.publishVerdict(v, "found here")
		m.stop(&v)
	}
	for _, v := range enforced {
		c.Router.logVerdict(&v, "enforced")
		m.stop(&v)
	}
	return again
}

// writeVerdicts writes the verdicts that the store lacks and that are due. It reports
// whether more are to be written.
func (c *CrashCoordinator) writeVerdicts(ctx context.Context) (more bool) {
	store := c.Router.Verdicts
	if store == nil {
		return false
	}
	m := &c.Router.crashes
	m.mu.Lock()
	verdicts := m.table.Verdicts()
	m.mu.Unlock()
	for _, v := range verdicts {
		key := v.Traits.Key()
		if !v.IsLasting() || store.Newest(key) >= v.Version() {
			continue
		}
		due, writes := c.writeDue(key)
		if writes && !time.Now().Before(due) {
			c.writeVerdict(ctx, v)
		}
		more = more || writes
	}
	if !more {
		clear(c.writes)
	}
	return more
}

// writeDue returns when this instance writes the verdict with a key. Instances of a
// higher rank wait longer, so that usually only one writes.
func (c *CrashCoordinator) writeDue(key string) (due time.Time, writes bool) {
	if due, ok := c.writes[key]; ok {
		return due, true
	}
	rank := c.rank(key)
	if rank >= verdictWriters {
		return time.Time{}, false
	}
	due = time.Now().Add(time.Duration(rank) * rankDelay)
	c.writes[key] = due
	return due, true
}

func (c *CrashCoordinator) writeVerdict(ctx context.Context, v suspect.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	err := c.Router.Verdicts.Write(ctx, v)
	c.Router.Log.Line("suspect-record").Str("key", v.Traits.Key()).Int("version", int64(v.Version())).Err(err).End()
	c.writes[v.Traits.Key()] = time.Now().Add(verdictWriteRetry)
}

// rank returns the rank of this instance among the live ones for a key, by rendezvous
// hashing.
func (c *CrashCoordinator) rank(key string) int {
	c.Router.mu.Lock()
	defer c.Router.mu.Unlock()
	rank := 0
	for _, other := range c.members {
		if other.State <= member.Leaving && other.Instance != c.Instance && rendezvousWeight(key, other.Instance) > rendezvousWeight(key, c.Instance) {
			rank++
		}
	}
	return rank
}
