package placement

import "time"

// maxAbsent bounds the starts without a registration that are remembered.
const maxAbsent = 1024

// An absence is an upstream that has no registration. A registration ends when its upstream
// cannot reach the store, too; the upstream serves on, and what it has said of itself and
// its record at this instance hold when the registration is back.
type absence struct {
	upstream *upstream
	since    time.Time
}

// retain keeps what is known of an upstream whose registration is gone.
func (f *Fleet) retain(now time.Time, u *upstream) {
	if len(f.absent) >= maxAbsent {
		f.forgetOldestAbsent()
	}
	f.absent[u.start()] = absence{upstream: u, since: now}
}

// returning returns the upstream of a new registration, with what is known of its start.
func (f *Fleet) returning(r Upstream) *upstream {
	start := r.start()
	a, known := f.absent[start]
	delete(f.absent, start)
	if !known || a.upstream.Service != "" && a.upstream.Service != r.Service {
		return &upstream{Upstream: r, partitionRank: rendezvousScore("", r.ID)}
	}
	u := a.upstream
	u.Upstream = r
	u.partitionRank = rendezvousScore("", r.ID)
	u.goneAt = time.Time{}
	u.connectFailures = 0
	u.downUntil = time.Time{}
	return u
}

// absentUpstream returns the upstream of a start that is not registered. Its service is
// empty if it has not been registered here.
func (f *Fleet) absentUpstream(now time.Time, start Start) *upstream {
	if a, known := f.absent[start]; known {
		return a.upstream
	}
	u := &upstream{Upstream: Upstream{ID: start.Upstream, StartUnixMs: start.StartUnixMs}}
	f.retain(now, u)
	return u
}

func (f *Fleet) forgetOldestAbsent() {
	var oldest Start
	var oldestAt time.Time
	for start, a := range f.absent {
		if oldestAt.IsZero() || a.since.Before(oldestAt) {
			oldest, oldestAt = start, a.since
		}
	}
	delete(f.absent, oldest)
}
