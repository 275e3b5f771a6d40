package dispatch

import (
	"time"

	"banyanyard/core/ramp"
)

// A View is this instance's view of one upstream.
type View struct {
	ID        string
	InService bool
	Reachable bool
	Level     ramp.Level
	Requests  int // held by this instance
	Share     int // of this instance when the upstream is warm
	Limit     int // of this instance now
}

// Views returns the view of every upstream, sorted by identifier.
func (d *Dispatcher) Views(now time.Time) []View {
	if d.set == nil {
		return nil
	}
	views := make([]View, 0, len(d.upstreams))
	for _, rule := range d.set.UpstreamsByID() {
		u := d.upstreams[rule.ID]
		views = append(views, View{
			ID:        rule.ID,
			InService: u.inService,
			Reachable: !now.Before(u.downUntil),
			Level:     u.ramp.Level(),
			Requests:  u.requests,
			Share:     u.share.Requests,
			Limit:     u.limit(),
		})
	}
	return views
}

// Levels returns the ramp level of every upstream.
func (d *Dispatcher) Levels() map[string]ramp.Level {
	levels := make(map[string]ramp.Level, len(d.upstreams))
	for id, u := range d.upstreams {
		levels[id] = u.ramp.Level()
	}
	return levels
}

// Merge takes another instance's level of an upstream into account.
func (d *Dispatcher) Merge(now time.Time, id string, level ramp.Level) {
	u := d.upstreams[id]
	if u == nil {
		return
	}
	u.ramp.Merge(level)
	d.serveUpstream(now, u)
}

// serveUpstream grants waiting tickets what an upstream has room for.
func (d *Dispatcher) serveUpstream(now time.Time, u *upstream) {
	for _, key := range u.pools {
		if p := d.pools[key]; p != nil && p.queue.size > 0 {
			d.serve(now, p)
		}
	}
}
