package placement

import "time"

const (
	// departedRetention is how long the start of an upstream that leaves is remembered, so
	// that it stays out if its registration comes back.
	departedRetention = 30 * time.Minute
	// unknownStartRetention is the same for an upstream that does not say when it started:
	// another start under the same ID may follow.
	unknownStartRetention = 30 * time.Second
	// maxDeparted bounds the starts that are remembered.
	maxDeparted = 4096
)

// A Start is one start of an upstream.
type Start struct {
	Upstream    string
	StartUnixMs int64 // 0 if it is unknown
}

// start returns the start that the registration is of.
func (r *Upstream) start() Start { return Start{Upstream: r.ID, StartUnixMs: r.StartUnixMs} }

// RecordLeaving records that the upstream of an attempt says that it leaves. It returns
// the start that leaves, and reports whether that is news.
func (f *Fleet) RecordLeaving(now time.Time, slot *Slot) (Start, bool) {
	start := slot.Upstream.start()
	return start, f.SetLeaving(now, start)
}

// SetLeaving records that a start of an upstream leaves: it gets no new attempts any more.
// It reports whether that is news.
func (f *Fleet) SetLeaving(now time.Time, start Start) bool {
	if _, known := f.departed[start]; known {
		return false
	}
	if len(f.departed) >= maxDeparted {
		f.forgetOldestDeparted()
	}
	f.departed[start] = now
	if u := f.byID[start.Upstream]; u != nil && u.start() == start {
		u.Draining = true
	}
	return true
}

// Leaving returns the starts of registered upstreams that leave.
func (f *Fleet) Leaving() []Start {
	var leaving []Start
	for start := range f.departed {
		if u := f.byID[start.Upstream]; u != nil && u.start() == start {
			leaving = append(leaving, start)
		}
	}
	return leaving
}

// hasDeparted reports whether a start of an upstream is known to leave.
func (f *Fleet) hasDeparted(start Start) bool {
	_, ok := f.departed[start]
	return ok
}

// expireStarts forgets starts that left long ago.
func (f *Fleet) expireStarts(now time.Time) {
	for start, at := range f.departed {
		if now.Sub(at) > start.retention() {
			delete(f.departed, start)
		}
	}
	for start, a := range f.absent {
		if now.Sub(a.since) > start.retention() {
			delete(f.absent, start)
		}
	}
}

// retention returns how long a start is remembered that is not registered.
func (s Start) retention() time.Duration {
	if s.StartUnixMs == 0 {
		return unknownStartRetention
	}
	return departedRetention
}

func (f *Fleet) forgetOldestDeparted() {
	var oldest Start
	var oldestAt time.Time
	for start, at := range f.departed {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = start, at
		}
	}
	delete(f.departed, oldest)
}
