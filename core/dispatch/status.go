package dispatch

import (
	"time"

	"banyanyard/core/ramp"
)

// An UpstreamStatus is the state of one upstream as this instance knows it.
type UpstreamStatus struct {
	ID        string
	InService bool
	Reachable bool
	Level     ramp.Level
	Requests  int // granted by this instance and not released
	Share     int // requests that this instance may hold when the upstream is warm
	Limit     int // requests that this instance may hold now
}

// UpstreamStatuses returns the state of every upstream, sorted by identifier.
func (d *Dispatcher) UpstreamStatuses(now time.Time) []UpstreamStatus {
	if d.rules == nil {
		return nil
	}
	statuses := make([]UpstreamStatus, 0, len(d.upstreams))
	for _, rule := range d.rules.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		statuses = append(statuses, UpstreamStatus{
			ID:        rule.ID,
			InService: u.inService,
			Reachable: !now.Before(u.backoffUntil),
			Level:     u.ramp.Level(),
			Requests:  u.heldRequests,
			Share:     u.share.Requests,
			Limit:     u.limit(),
		})
	}
	return statuses
}

// RampLevels returns the ramp level of every upstream by its identifier.
func (d *Dispatcher) RampLevels() map[string]ramp.Level {
	levels := make(map[string]ramp.Level, len(d.upstreams))
	for id, u := range d.upstreams {
		levels[id] = u.ramp.Level()
	}
	return levels
}

// MergeRampLevel merges another instance's ramp level of an upstream into this
// instance's and grants slots that this frees.
func (d *Dispatcher) MergeRampLevel(now time.Time, id string, level ramp.Level) {
	u := d.upstreams[id]
	if u == nil {
		return
	}
	u.ramp.Merge(level)
	d.serveQueuesOf(now, u)
}

// serveQueuesOf serves the queues of all pools that the upstream belongs to.
func (d *Dispatcher) serveQueuesOf(now time.Time, u *upstream) {
	for _, key := range u.poolKeys {
		if p := d.pools[key]; p != nil && p.queue.size > 0 {
			d.serve(now, p)
		}
	}
}
