package placement

import (
	"math"
	"slices"
	"time"

	"banyanyard/core/share"
)

const (
	// refusalWindow is the span over which a brittle upstream counts its refusals. A refused
	// attempt holds its place for at least that long.
	refusalWindow = time.Second
	// maxExtraHold bounds the random time for which the place is held beyond that, so that
	// instances which were refused together do not come back together.
	maxExtraHold = 2 * time.Second
	// placeRetry is the wait for a place that an attempt in progress takes: it may end at any
	// moment.
	placeRetry = 20 * time.Millisecond
	// usedRefusals is the share of the refusals that a brittle upstream bears for which there
	// are places. The others are left for instances that not all know yet, and for
	// connections that hold a slot.
	usedRefusals = 0.75
	// presumeInterval is the time for which an upstream that has said that it is not brittle is
	// not taken for it because others of its service are.
	presumeInterval = 3 * time.Second
)

// A BrittleNotice is what an upstream says in its answers about what it bears.
type BrittleNotice struct {
	Upstream    string
	StartUnixMs int64
	Brittle     bool // it falls over if it refuses more than MaxRefusals requests in a second
	MaxRefusals int
	Version     uint64 // increases with each change
}

// A brittleness is what is known of an upstream that may be brittle.
//
// All instances together have a number of places at a brittle upstream, of which each has
// its own. An attempt takes a place from the moment it is picked, and, if it is refused, for
// refusalWindow longer.
//
// An upstream of a plain service has as many places as slots, and some for refusals that it
// bears. An attempt keeps its place until it ends. While the upstream refuses a request, its
// slots are taken, so that the other places bound its refusals in any second.
//
// How much room a model engine has depends on the prompts that wait to be read. It has
// places for refusals only, and an attempt keeps its place until its answer begins.
type brittleness struct {
	notice   BrittleNotice
	presumed bool // the upstream itself has not said what notice says
	learntAt time.Time

	// admitted is the largest number of attempts of this instance there with which one was
	// admitted since refusedAt.
	admitted  int
	refusedAt time.Time   // when one was refused last
	held      []time.Time // when the places of refused attempts become free

	places      int // of this instance
	placesOf    int // number of all places that places was computed from
	placesRound int // value of Fleet.memberRound that places was computed from
}

// placeWait returns the time until this instance may have a place at a brittle upstream;
// never if it holds none there.
func (f *Fleet) placeWait(now time.Time, s *service, u *upstream) time.Duration {
	places := f.placesAt(now, s, u)
	if places == 0 {
		return never
	}
	b := &u.brittle
	held, next := 0, never
	for _, until := range b.held {
		if now.Before(until) {
			held++
			next = min(next, until.Sub(now))
		}
	}
	taken := u.runningAttempts
	if s.hasModels {
		taken = u.unanswered
	} else {
		places = min(places, b.admitted+1)
	}
	switch {
	case taken+held < places:
		return 0
	case taken > 0:
		return min(next, placeRetry)
	}
	return next
}

// placesAt returns the number of places that this instance has at a brittle upstream.
func (f *Fleet) placesAt(now time.Time, s *service, u *upstream) int {
	refusals := usedRefusals * float64(u.brittle.notice.MaxRefusals)
	all := max(1, u.Slots+int(refusals))
	if s.hasModels {
		all = max(1, int(math.Ceil(refusals)))
	}
	if f.isJoining(now) {
		return share.PlacesOf(all, u.ID, f.instance, f.joinNames())
	}
	b := &u.brittle
	if b.placesRound != f.memberRound || b.placesOf != all {
		b.places = share.PlacesOf(all, u.ID, f.instance, f.instanceNames)
		b.placesRound, b.placesOf = f.memberRound, all
	}
	return b.places
}

// recordRefusal records that an attempt, which has ended, was refused. Its place is held.
func (f *Fleet) recordRefusal(now time.Time, u *upstream) {
	b := &u.brittle
	if !b.notice.Brittle {
		return
	}
	b.refusedAt = now
	b.admitted = min(b.admitted, u.runningAttempts)
	b.held = slices.DeleteFunc(b.held, func(until time.Time) bool { return !now.Before(until) })
	extra := time.Duration(f.random.Float64() * float64(maxExtraHold))
	b.held = append(b.held, now.Add(refusalWindow+extra))
}

// RecordAnswer records that the answer to an attempt, other than a refusal, has begun.
func (f *Fleet) RecordAnswer(slot *Slot) {
	if slot.answered {
		return
	}
	u := slot.u
	slot.answered = true
	u.unanswered--
	if slot.pickedAt.After(u.brittle.refusedAt) {
		u.brittle.admitted = max(u.brittle.admitted, slot.Running)
	}
}

// RecordBrittle records whether the answer to an attempt of this instance says that the
// upstream is brittle, and how many refusals a second it bears. It returns the notice and
// reports true if the other instances are to be told.
func (f *Fleet) RecordBrittle(now time.Time, slot *Slot, brittle bool, maxRefusals int) (BrittleNotice, bool) {
	u := slot.u
	b := &u.brittle
	known := !b.presumed && brittle == b.notice.Brittle && maxRefusals == b.notice.MaxRefusals
	if known || !brittle && slot.pickedAt.Before(b.learntAt) {
		return BrittleNotice{}, false // an answer without the notice may be older than one with it
	}
	f.setBrittle(now, u, BrittleNotice{
		Upstream: u.ID, StartUnixMs: u.StartUnixMs, Brittle: brittle, MaxRefusals: maxRefusals,
		Version: max(b.notice.Version+1, uint64(now.UnixMilli())),
	})
	return b.notice, true
}

// SetBrittle adopts the notice of an upstream that another instance has learnt, also while
// the upstream is not registered. It reports whether it is newer than the known one.
func (f *Fleet) SetBrittle(now time.Time, n BrittleNotice) bool {
	if n.MaxRefusals < 0 {
		return false
	}
	start := Start{Upstream: n.Upstream, StartUnixMs: n.StartUnixMs}
	u := f.byID[n.Upstream]
	if u == nil || u.start() != start {
		u = f.absentUpstream(now, start)
	}
	if n.Version <= u.brittle.notice.Version {
		return false
	}
	f.setBrittle(now, u, n)
	return true
}

// setBrittle sets the notice of an upstream. Until they answer, the others of its service
// are taken for as brittle, unless they have said lately that they are not.
func (f *Fleet) setBrittle(now time.Time, u *upstream, n BrittleNotice) {
	u.setBrittle(now, n)
	if !n.Brittle || f.services[u.Service] == nil {
		return
	}
	for _, other := range f.services[u.Service].upstreams {
		if now.Sub(other.brittle.learntAt) >= presumeInterval {
			other.presumeBrittle(now, n.MaxRefusals)
		}
	}
}

// presumeAsOthers takes a new upstream for as brittle as the others of its service, and as
// an earlier start of its own, until its first answer.
func (f *Fleet) presumeAsOthers(now time.Time, s *service, u *upstream) {
	if u.brittle.notice.Version > 0 {
		return
	}
	for _, other := range s.upstreams {
		if other.brittle.notice.Brittle {
			u.presumeBrittle(now, other.brittle.notice.MaxRefusals)
		}
	}
}

// presumeBrittle takes an upstream for brittle, unless it is known to be.
func (u *upstream) presumeBrittle(now time.Time, maxRefusals int) {
	n := u.brittle.notice
	if n.Brittle {
		return
	}
	u.setBrittle(now, BrittleNotice{Upstream: u.ID, StartUnixMs: u.StartUnixMs, Brittle: true, MaxRefusals: maxRefusals, Version: n.Version})
	u.brittle.presumed = true
}

func (u *upstream) setBrittle(now time.Time, n BrittleNotice) {
	b := &u.brittle
	if n.Brittle && !b.notice.Brittle {
		b.admitted = u.runningAttempts
	}
	b.notice = n
	b.presumed = false
	b.learntAt = now
}

// BrittleNotices returns the notices of upstreams that are brittle at present, those that
// are not registered last.
func (f *Fleet) BrittleNotices() []BrittleNotice {
	var notices []BrittleNotice
	add := func(b *brittleness) {
		if b.notice.Brittle && !b.presumed {
			notices = append(notices, b.notice)
		}
	}
	for _, u := range f.byID {
		add(&u.brittle)
	}
	for _, a := range f.absent {
		add(&a.upstream.brittle)
	}
	return notices
}
