package duty

import (
	"slices"
	"time"

	"banyanyard/core/era"
)

const (
	// rankDelay is how much longer an instance waits before it takes the tenure for each
	// live instance before it in the ranking, so that few try at once.
	rankDelay = 300 * time.Millisecond
	// watchers is the number of instances that read the record soon, watchInterval after
	// they last read or heard of it. Others wait the longer the further behind they are, by
	// idleInterval for each rank.
	watchers      = 3
	watchInterval = 1600 * time.Millisecond
	idleInterval  = 2 * time.Second
	// minRetry and maxRetry bound the time from a call to the store that failed to the next
	// one, which doubles with each further one. Instances that read rarely retry as rarely.
	minRetry = 300 * time.Millisecond
	maxRetry = 2400 * time.Millisecond
)

// A StepKind says what a Step is.
type StepKind uint8

// The kinds of steps.
const (
	Wait  StepKind = iota // nothing is due
	Read                  // read the row; report it to LearnRow, or Fail
	Write                 // write the record if the row has the version Expect; report to Written, Conflict or Fail
)

// A Step is a call to the store that is due.
type Step struct {
	Kind   StepKind
	Record Record
	Expect era.Version
}

// A Tenure is what one start of an instance knows of the tenure. Its exported fields are set
// before the first call. Times are on the instance's steady clock. One step is carried out
// at a time; one whose outcome is not known has failed, and may still take effect.
//
// Invariants, over all instances of a deployment:
//   - from when Begin grants a token until the last call with it ends, no other token is
//     granted;
//   - a token that is granted later is not lower;
//   - an instance that begins calls again after another instance has, had none in progress
//     for Terms.Lease before.
type Tenure struct {
	Instance string // name, the same across restarts
	Start    string // unique for each start
	Terms    Terms

	started   bool          // began is set
	began     time.Duration // when Next was first called
	row       Row
	known     bool          // row has been read
	seen      time.Duration // when this version of row was first seen
	eraSeen   time.Duration // when the era of row was first seen
	asked     time.Duration // when the row was last read, written or heard of
	number    uint64        // of the newest write
	begun     map[uint64]time.Duration
	stale     bool          // row has to be read again
	rank      int           // as Next was last told
	failures  int           // of calls to the store since the last that was answered
	retryAt   time.Duration // no call to the store before this time
	leased    bool          // a write of this start has been confirmed; leasedAt is set
	leasedAt  time.Duration // when the newest confirmed write was begun
	tookAt    time.Duration // when this tenure began
	calls     int           // to the platform, in progress
	leaving   bool
	abstainTo time.Duration // no attempt to take the tenure before this time
}

// Row returns the newest known row.
func (t *Tenure) Row() Row { return t.row }

// Age returns the time since the newest confirmed write of this start was begun, and false if
// the tenure is not that of this start.
func (t *Tenure) Age(now time.Duration) (time.Duration, bool) { return now - t.leasedAt, t.leased }

// Holds reports whether a call that takes up to the given time may be sent now.
func (t *Tenure) Holds(now, longest time.Duration) bool {
	return t.leased && !t.leaving && now+longest <= t.leasedAt+t.Terms.Lease
}

// Begin returns the fencing token for a call that takes up to the given time, if it may be
// sent now. End reports that it has ended.
func (t *Tenure) Begin(now, longest time.Duration) (token uint64, ok bool) {
	if !t.Holds(now, longest) {
		return 0, false
	}
	t.calls++
	return t.row.Token(), true
}

// End takes the news that a call has ended, and that nothing of it is sent any more.
func (t *Tenure) End() { t.calls-- }

// LeaseEnds returns when the newest lease ends.
func (t *Tenure) LeaseEnds() time.Duration { return t.leasedAt + t.Terms.Lease }

// GiveUp makes the tenure end once no call is in progress, and keeps this start from taking
// it again before a time.
func (t *Tenure) GiveUp(abstainTo time.Duration) {
	t.leaving = true
	t.abstainTo = abstainTo
}

// Releasing reports whether the tenure has to be given up and is still held.
func (t *Tenure) Releasing() bool { return t.leaving && t.own() }

func (t *Tenure) own() bool {
	return t.known && t.row.Exists() && t.row.Record.Start == t.Start && !t.row.Record.Released
}

// Next returns the step that is due. The rank is the number of live instances that come
// before this one when a new holder is sought.
func (t *Tenure) Next(now time.Duration, rank int) Step {
	t.rank = rank
	if !t.started {
		t.started, t.began = true, now
	}
	step := Step{}
	switch {
	case now < t.retryAt:
		return Step{}
	case t.stale:
		return t.read(now)
	case !t.known:
		// Others may tell of the row before.
		if rank > 0 && now-t.began < readInterval(rank) {
			return Step{}
		}
		return t.read(now)
	case t.own():
		step = t.nextOwn(now)
	case now >= t.abstainTo && now >= t.takeAt(rank):
		t.leaving = false
		t.tookAt = now
		step = t.write(now, Record{Holder: t.Instance, Start: t.Start, Before: t.holdersBefore()})
	}
	if step.Kind == Wait && !t.leased && now-t.asked >= readInterval(rank) {
		return t.read(now)
	}
	return step
}

// nextOwn returns the step that is due while the row is of this start.
func (t *Tenure) nextOwn(now time.Duration) Step {
	switch {
	case t.leaving && t.calls > 0:
		return Step{}
	case t.leaving:
		r := t.row.Record
		r.Released = true
		r.Token = t.row.Token()
		return t.write(now, r)
	case t.leased && now-t.leasedAt < t.Terms.Renewal, !t.mayRenew(now):
		return Step{}
	}
	return t.renew(now)
}

func readInterval(rank int) time.Duration {
	if rank < watchers {
		return watchInterval
	}
	return time.Duration(rank) * idleInterval
}

// settled reports whether all leases of an era before have ended. A store that has come back
// from a copy may have lost the record of one.
func (t *Tenure) settled(now time.Duration) bool {
	return t.row.Version.Era() == 0 || now-t.eraSeen >= t.Terms.wait()
}

// mayRenew reports whether the row, which is of this start, may be written again.
func (t *Tenure) mayRenew(now time.Duration) bool {
	return t.settled(now) || t.leased && now < t.leasedAt+t.Terms.Lease
}

func (t *Tenure) renew(now time.Duration) Step {
	r := t.row.Record
	r.Token = t.row.Token()
	if now-t.tookAt > t.Terms.Lease {
		r.Before = nil
	}
	return t.write(now, r)
}

// takeAt returns when this instance may take the tenure from another.
func (t *Tenure) takeAt(rank int) time.Duration {
	delay := time.Duration(rank) * rankDelay
	r := t.row.Record
	firstEver := !t.row.Exists()
	released := r.Released && len(r.Before) < maxBefore && (r.Holder == t.Instance || !slices.Contains(r.Before, t.Instance))
	if t.row.Version.Era() == 0 && (firstEver || released) {
		return t.seen + delay
	}
	return t.seen + t.Terms.wait() + delay
}

// holdersBefore returns Record.Before for a tenure that follows the known row.
func (t *Tenure) holdersBefore() []string {
	r := t.row.Record
	if !t.row.Exists() {
		return nil
	}
	before := []string{r.Holder}
	for _, name := range r.Before {
		if !slices.Contains(before, name) && len(before) < maxBefore {
			before = append(before, name)
		}
	}
	return before
}

func (t *Tenure) read(now time.Duration) Step {
	t.asked = now
	return Step{Kind: Read}
}

func (t *Tenure) write(now time.Duration, r Record) Step {
	t.asked = now
	t.number++
	r.Number = t.number
	if t.begun == nil {
		t.begun = map[uint64]time.Duration{}
	}
	for number, at := range t.begun {
		if now-at > t.Terms.Lease {
			delete(t.begun, number)
		}
	}
	t.begun[r.Number] = now
	return Step{Kind: Write, Record: r, Expect: t.row.Version}
}

// LearnRow takes the row as it was read. Rows older than the known one are ignored.
func (t *Tenure) LearnRow(now time.Duration, r Row) {
	t.stale = false
	t.failures = 0
	if t.known && r.Version < t.row.Version {
		return
	}
	if !t.known || r.Version.Era() > t.row.Version.Era() {
		t.eraSeen = now
	}
	if !t.known || r.Version > t.row.Version {
		t.seen = now
	}
	t.known = true
	t.row = r
	if !t.own() {
		t.leased = false
		return
	}
	// The lease counts from when the write was begun: others may have seen it at once.
	if at, ok := t.begun[r.Record.Number]; ok && (!t.leased || at > t.leasedAt) {
		t.leased = true
		t.leasedAt = at
	}
}

// Hear takes the row as another instance knows it, either newer than it is known here or from
// the holder itself.
func (t *Tenure) Hear(now time.Duration, r Row) {
	if t.known && r.Version < t.row.Version {
		return
	}
	stale, failures := t.stale, t.failures
	t.LearnRow(now, r)
	t.stale, t.failures = stale, failures
	t.asked = now
}

// Written takes the version that a write has given the row.
func (t *Tenure) Written(now time.Duration, s Step, version era.Version) {
	t.LearnRow(now, Row{Record: s.Record, Version: version})
}

// Conflict takes the news that the row has another version than a write expected.
func (t *Tenure) Conflict() {
	t.stale = true
	t.failures = 0
}

// Fail takes the news that a step has failed or that its outcome is not known. A write is
// then tried again as it was: if it took effect after all, the row has another version.
func (t *Tenure) Fail(now time.Duration, _ Step) {
	t.retryAt = now + min(minRetry<<min(t.failures, 16), max(maxRetry, readInterval(t.rank)))
	t.failures++
}
