package idempotency

import "time"

const (
	// claimTime bounds the time that an attempt spends on its record before it
	// gives up.
	claimTime = 5 * time.Second
	// retryPause is the time between tries to reach the table.
	retryPause = 100 * time.Millisecond
	// waitPause is the time between looks at another attempt's record.
	waitPause = 250 * time.Millisecond
	// maxSettlePause bounds the time between tries of a settlement, which begins
	// at retryPause and doubles.
	maxSettlePause = 5 * time.Second
)

// An Op is what an Attempt or a Settlement wants to be done next.
type Op int

// The operations. Those from RunCall on end an Attempt, Finished ends a
// Settlement.
const (
	Insert     Op = iota // insert Record under the key
	Read                 // read the record of the key
	Rewrite              // replace the row of Version by Record
	RunCall              // run the call; its row has Version
	SendBack             // send the stored answer of Record
	Conflict             // refuse: the key was used for another call
	InProgress           // refuse: another attempt may still be running
	Lost                 // refuse: another attempt ended without a known outcome
	GiveUp               // refuse as not run, and settle Record in the background
	Finished             // nothing more to do
)

// A Step is an operation with what it needs.
type Step struct {
	Op      Op
	After   time.Duration // to wait before it
	Record  Record
	Version string
}

// A Status is how an operation on the table ended.
type Status int

// The statuses.
const (
	OK      Status = iota
	Exists         // the condition of a write did not hold
	Missing        // a read found no row
	Unclear        // no answer that counts; a write may have taken effect
)

// A Result is the end of an operation on the table.
type Result struct {
	Status  Status
	Version string // of the row that was written or read
	Record  Record // that was read
}

// An Attempt decides, step by step, whether one caller's call may run.
//
// Invariant: it ends in RunCall only after the table has shown a record with
// this attempt's identifier, or has acknowledged writing it.
type Attempt struct {
	record   Record
	deadline time.Time
	op       Op
}

// Begin returns an attempt and its first step.
func Begin(record Record, now time.Time) (*Attempt, Step) {
	a := &Attempt{record: record, deadline: now.Add(claimTime)}
	return a, a.do(Insert, 0, "")
}

func (a *Attempt) do(op Op, after time.Duration, version string) Step {
	a.op = op
	return Step{Op: op, After: after, Record: a.record, Version: version}
}

// Next returns the step after an operation has ended.
func (a *Attempt) Next(now time.Time, r Result) Step {
	switch {
	case r.Status == Unclear && !now.Before(a.deadline):
		return a.do(GiveUp, 0, "")
	case a.op == Read:
		return a.afterRead(now, r)
	case r.Status == OK:
		return a.do(RunCall, 0, r.Version)
	case r.Status == Exists:
		return a.do(Read, 0, "")
	case a.op == Insert:
		return a.do(Insert, retryPause, "")
	}
	// A rewrite whose answer is lost shows in the row.
	return a.do(Read, retryPause, "")
}

func (a *Attempt) afterRead(now time.Time, r Result) Step {
	switch r.Status {
	case Missing:
		return a.do(Insert, 0, "")
	case OK:
		return a.decide(now, r)
	}
	return a.do(Read, retryPause, "")
}

func (a *Attempt) decide(now time.Time, r Result) Step {
	switch Decide(r.Record, a.record.Attempt, a.record.Fingerprint, now) {
	case Run:
		return a.do(RunCall, 0, r.Version)
	case Replace:
		return a.do(Rewrite, 0, r.Version)
	case Replay:
		return Step{Op: SendBack, Record: r.Record}
	case Mismatch:
		return Step{Op: Conflict}
	case Unknown:
		return Step{Op: Lost}
	}
	if !now.Before(a.deadline) {
		return Step{Op: InProgress}
	}
	return a.do(Read, waitPause, "")
}

// A Settlement writes what became of an attempt, however often the table fails.
//
// Invariant: it changes only a row that has the attempt's identifier and says
// that the attempt is running, or makes a row where there is none.
type Settlement struct {
	record Record // to write
	op     Op
	tries  int // that had no clear end
}

// Settle returns a settlement of an attempt whose row has the version, and its
// first step.
func Settle(record Record, version string) (*Settlement, Step) {
	s := &Settlement{record: record}
	return s, s.do(Rewrite, 0, version)
}

// Withdraw returns a settlement of an attempt that has given up, whose record
// may or may not be in the table, or get there late, and its first step.
func Withdraw(record Record) (*Settlement, Step) {
	s := &Settlement{record: record.Abandon()}
	return s, s.do(Insert, 0, "")
}

func (s *Settlement) do(op Op, after time.Duration, version string) Step {
	s.op = op
	return Step{Op: op, After: after, Record: s.record, Version: version}
}

// Next returns the step after an operation has ended.
func (s *Settlement) Next(r Result) Step {
	switch {
	case s.op == Read && r.Status == OK:
		if r.Record.Attempt != s.record.Attempt || r.Record.State != Running {
			return s.do(Finished, 0, "")
		}
		return s.do(Rewrite, 0, r.Version)
	case s.op == Read && r.Status == Missing:
		return s.do(Insert, 0, "")
	case r.Status == OK:
		return s.do(Finished, 0, "")
	case r.Status == Exists:
		return s.do(Read, 0, "")
	case s.op == Insert:
		return s.do(Insert, s.pause(), "")
	}
	return s.do(Read, s.pause(), "")
}

func (s *Settlement) pause() time.Duration {
	s.tries++
	return min(maxSettlePause, retryPause<<min(s.tries-1, 10))
}
