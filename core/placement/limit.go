package placement

import (
	"math"
	"strconv"
	"time"

	"banyanyard/core/share"
)

const (
	// coldWindow and namedWindow are the spans over which the requests to a cold upstream,
	// and to one that names a limit, are counted.
	coldWindow  = time.Second
	namedWindow = 4 * time.Second
	// joinTime is the time after the first registration in which an instance may not know
	// the others yet. It then takes them to be at least minJoinInstances.
	joinTime         = 2 * time.Second
	minJoinInstances = 8
	// limitChange is the relative change of a named limit from which the other instances
	// are told.
	limitChange = 0.1
	// never is a wait that outlasts all requests.
	never = time.Duration(math.MaxInt64)
)

// A limiter keeps this instance's part of one limit of an upstream.
type limiter struct {
	limit  share.Limit
	bucket share.Bucket

	part      share.Part
	partLimit share.Limit // that part was computed from
	partRound int         // value of Fleet.memberRound that part was computed from
}

// A NamedLimit is the number of requests per second that an upstream takes from all
// instances together, as it says in its answers.
type NamedLimit struct {
	Upstream    string
	StartUnixMs int64
	Rate        float64 // 0 if it names none any more
	Version     uint64  // increases with each change
}

// wait returns the time until this instance may send to the upstream by its limits, by the
// pause that it asked for and by its places there if it is brittle, and never if this
// instance has no part of a limit, or no place.
func (f *Fleet) wait(now time.Time, s *service, u *upstream) time.Duration {
	longest := time.Duration(0)
	if !u.pausedUntil.IsZero() {
		longest = max(0, u.pausedUntil.Sub(now))
	}
	if u.brittle.notice.Brittle {
		longest = max(longest, f.placeWait(now, s, u))
	}
	for _, l := range f.limiters(now, s, u) {
		wait, ok := l.bucket.Wait(now, f.partOf(now, u, l))
		if !ok {
			return never
		}
		longest = max(longest, wait)
	}
	return longest
}

// spend takes a token of each limit of the upstream.
func (f *Fleet) spend(now time.Time, s *service, u *upstream) {
	for _, l := range f.limiters(now, s, u) {
		l.bucket.Take(now, f.partOf(now, u, l))
	}
}

// limiters returns the limits that apply to the upstream at a time.
func (f *Fleet) limiters(now time.Time, s *service, u *upstream) []*limiter {
	var apply []*limiter
	if s.coldRate > 0 && f.isCold(now, u) {
		u.cold.limit = share.Limit{Rate: s.coldRate, Window: coldWindow}
		apply = append(apply, &u.cold)
	}
	if u.named.limit.Rate > 0 {
		apply = append(apply, &u.named)
	}
	return apply
}

// partOf returns this instance's part of a limit.
func (f *Fleet) partOf(now time.Time, u *upstream, l *limiter) share.Part {
	members := f.instanceNames
	if f.isJoining(now) {
		return l.limit.PartOf(u.ID, f.instance, f.joinNames())
	}
	if l.partRound != f.memberRound || l.partLimit != l.limit {
		l.part = l.limit.PartOf(u.ID, f.instance, members)
		l.partRound, l.partLimit = f.memberRound, l.limit
	}
	return l.part
}

// isJoining reports whether this instance may not know the others yet.
func (f *Fleet) isJoining(now time.Time) bool {
	return now.Sub(f.firstRegistered) < joinTime && len(f.instanceNames) < minJoinInstances
}

// joinNames returns the known instances, and made-up ones up to minJoinInstances.
func (f *Fleet) joinNames() []string {
	names := append([]string(nil), f.instanceNames...)
	for n := len(names); n < minJoinInstances; n++ {
		names = append(names, "unknown-"+strconv.Itoa(n))
	}
	return names
}

// ReadyIn returns the time after which the limits of an upstream that meets the criteria
// let this instance send to it; false if none ever does. Upstreams that are unreachable
// may come back at any time.
func (f *Fleet) ReadyIn(now time.Time, c Criteria) (time.Duration, bool) {
	earliest := never
	s := f.service(c.Service)
	for _, u := range s.upstreams {
		if f.meets(now, u, c) {
			earliest = min(earliest, f.wait(now, s, u))
		}
	}
	return earliest, earliest != never
}

// RecordLimit records the limit that the answer to an attempt of this instance named, 0
// if it named none, where the attempt was sent at the given time. It returns the limit
// and reports true if the other instances are to be told.
func (f *Fleet) RecordLimit(now time.Time, slot *Slot, rate float64, sentAt time.Time) (NamedLimit, bool) {
	u := slot.u
	known := u.named.limit.Rate
	if rate == known || rate == 0 && sentAt.Before(u.namedAt) {
		return NamedLimit{}, false // an answer without a limit may be older than one with it
	}
	u.named.limit = share.Limit{Rate: rate, Window: namedWindow}
	u.namedAt = now
	if rate > 0 && math.Abs(rate-u.namedTold) < limitChange*u.namedTold {
		return NamedLimit{}, false
	}
	u.namedTold = rate
	u.namedVersion = max(u.namedVersion+1, uint64(now.UnixMilli()))
	return u.namedLimit(), true
}

// SetNamedLimit sets the limit of an upstream that another instance has learnt, also while
// the upstream is not registered. It reports whether it is newer than the known one.
func (f *Fleet) SetNamedLimit(now time.Time, l NamedLimit) bool {
	if l.Rate < 0 || math.IsNaN(l.Rate) {
		return false
	}
	start := Start{Upstream: l.Upstream, StartUnixMs: l.StartUnixMs}
	u := f.byID[l.Upstream]
	if u == nil || u.start() != start {
		u = f.absentUpstream(now, start)
	}
	if l.Version <= u.namedVersion {
		return false
	}
	u.named.limit = share.Limit{Rate: l.Rate, Window: namedWindow}
	u.namedAt = now
	u.namedTold = l.Rate
	u.namedVersion = l.Version
	return true
}

// maxPause bounds the time for which an upstream is left alone because it asked for that.
const maxPause = 10 * time.Minute

// RecordPause records that the upstream of an attempt wants nothing from this instance for
// a time, of which at most maxPause is used.
func (f *Fleet) RecordPause(now time.Time, slot *Slot, pause time.Duration) {
	until := now.Add(min(pause, maxPause))
	if !until.After(slot.u.pausedUntil) {
		return
	}
	slot.u.pausedUntil = until
}

// NamedLimits returns the limits that upstreams name at present, those that are not
// registered last.
func (f *Fleet) NamedLimits() []NamedLimit {
	var limits []NamedLimit
	for _, u := range f.byID {
		if u.named.limit.Rate > 0 {
			limits = append(limits, u.namedLimit())
		}
	}
	for _, a := range f.absent {
		if a.upstream.named.limit.Rate > 0 {
			limits = append(limits, a.upstream.namedLimit())
		}
	}
	return limits
}

func (u *upstream) namedLimit() NamedLimit {
	return NamedLimit{Upstream: u.ID, StartUnixMs: u.StartUnixMs, Rate: u.named.limit.Rate, Version: u.namedVersion}
}
