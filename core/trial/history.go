package trial

import (
	"cmp"
	"maps"
	"slices"

	"banyanyard/core/era"
)

// maxHistory bounds the versions of a History. Those of the oldest orders are forgotten:
// their upstreams left long ago.
const maxHistory = 32

// A History is what the orders for a service have made of its versions. It tells the
// version in force, which upstreams of other versions that are still there have lost, or
// never had. The zero History knows of no order.
//
// Invariant: as long as there are at most maxHistory versions, the result of merging histories
// depends neither on their order nor on how often each is merged, so that instances which
// have learnt the same agree.
type History struct {
	fates map[string]fate // by version
}

// A fate is what the orders for one version have made of it.
type fate struct {
	latest    Ended
	completed era.Version // the newest order that was completed; 0 if none was
}

// An Ended is the state of the newest order for a version. An order that is Running has not
// ended, or has been replaced or withdrawn before its end.
type Ended struct {
	Order era.Version
	State State
}

// A VersionRecord is what a History knows of one version.
type VersionRecord struct {
	Version   string
	Latest    Ended
	Completed era.Version // the newest order for it that was completed; 0 if none was
}

// Record records the state of an order for a version. It reports whether the history
// changed.
func (h *History) Record(version string, order era.Version, s State) bool {
	r := VersionRecord{Version: version, Latest: Ended{Order: order, State: s}}
	if s == Completed {
		r.Completed = order
	}
	return h.merge(r)
}

// Merge adds what another history knows. It reports whether the history changed.
func (h *History) Merge(records []VersionRecord) bool {
	changed := false
	for _, r := range records {
		changed = h.merge(r) || changed
	}
	return changed
}

func (h *History) merge(r VersionRecord) bool {
	known, ok := h.fates[r.Version]
	merged := fate{latest: later(known.latest, r.Latest), completed: max(known.completed, r.Completed)}
	if ok && merged == known || !ok && len(h.fates) >= maxHistory && !h.makeRoom(r) {
		return false
	}
	if h.fates == nil {
		h.fates = map[string]fate{}
	}
	h.fates[r.Version] = merged
	return true
}

// later returns the state of the newer order. Of the same order, an end replaces what came
// before it, and a completion a stop, as in the order's record.
func later(a, b Ended) Ended {
	if c := cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(precedence(a.State), precedence(b.State))); c >= 0 {
		return a
	}
	return b
}

func precedence(s State) int {
	return slices.Index([]State{Running, Stopped, Completed}, s)
}

// makeRoom forgets the version of the oldest order, unless that is older than r.
func (h *History) makeRoom(r VersionRecord) bool {
	oldest := h.Records()[0]
	if compareRecords(oldest, r) > 0 {
		return false
	}
	delete(h.fates, oldest.Version)
	return true
}

// Records returns what is known of each version, by the age of its order.
func (h *History) Records() []VersionRecord {
	all := make([]VersionRecord, 0, len(h.fates))
	for version, f := range h.fates {
		all = append(all, VersionRecord{Version: version, Latest: f.latest, Completed: f.completed})
	}
	slices.SortFunc(all, compareRecords)
	return all
}

// compareRecords orders by what decides on the version in force: the newest completion, and
// then the newest order.
func compareRecords(a, b VersionRecord) int {
	return cmp.Or(cmp.Compare(a.Completed, b.Completed), cmp.Compare(a.Latest.Order, b.Latest.Order), cmp.Compare(a.Version, b.Version))
}

// Covers reports whether the history knows all that another one does.
func (h *History) Covers(other []VersionRecord) bool {
	c := h.Clone()
	return !c.Merge(other)
}

// Clone returns a copy.
func (h *History) Clone() History { return History{fates: maps.Clone(h.fates)} }

// Current returns the version to which the service was moved last, or "" if no order was
// completed.
func (h *History) Current() string {
	current, newest := "", era.Version(0)
	for version, f := range h.fates {
		if f.completed > newest || f.completed == newest && newest > 0 && version > current {
			current, newest = version, f.completed
		}
	}
	return current
}

// InForce returns which versions serve the requests that no running order concerns: the
// one to which the service was moved last, or, if no order was completed, those for which
// there was none.
func (h *History) InForce() func(version string) bool {
	if current := h.Current(); current != "" {
		return func(version string) bool { return version == current }
	}
	return func(version string) bool { _, ordered := h.fates[version]; return !ordered }
}

// StoppedBy reports whether an order, or a later one for its version, was stopped.
func (h *History) StoppedBy(o Order) bool {
	return h.Stopped(o.To) && h.fates[o.To].latest.Order >= o.Revision
}

// Stopped reports whether the newest order for a version was stopped.
func (h *History) Stopped(version string) bool { return h.fates[version].latest.State == Stopped }
