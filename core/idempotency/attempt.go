package idempotency

import "time"

const (
	// claimTimeout bounds how long an attempt tries to write or read its record
	// before it gives up.
	claimTimeout = 5 * time.Second
	// retryPause is the time before a table operation without a clear result is
	// retried.
	retryPause = 100 * time.Millisecond
	// pollPause is the interval at which another attempt's record is read again.
	pollPause = 250 * time.Millisecond
	// maxWritePause bounds the pause between retries of an OutcomeWriter, which
	// starts at retryPause and doubles.
	maxWritePause = 5 * time.Second
)

// An Op is the operation that an Attempt or an OutcomeWriter needs next.
type Op int

// The operations. RunCall to GiveUp end an Attempt, Finished ends an
// OutcomeWriter.
const (
	Insert           Op = iota // insert Record under the key
	Read                       // read the record of the key
	Rewrite                    // replace the row by Record if it still has Version
	RunCall                    // run the call; the row of its record has Version
	SendStored                 // send the answer that is stored in Record
	RefuseKeyReuse             // refuse: the key was used for another call
	RefuseInProgress           // refuse: another attempt may still be running
	RefuseUnknown              // refuse: another attempt ended without a known outcome
	GiveUp                     // refuse as not run, and write that for Record in the background
	Finished                   // nothing more to do
)

// A Step is an operation and its arguments.
type Step struct {
	Op      Op
	After   time.Duration // how long to wait before the operation
	Record  Record
	Version string // of the row; empty for Insert and Read
}

// A Status is the outcome of a table operation.
type Status int

// The statuses.
const (
	OK            Status = iota
	Exists               // the condition of a write did not hold
	Missing              // a read found no row
	Indeterminate        // the operation failed or its reply was lost; a write may have taken effect
)

// A Result is the result of a table operation.
type Result struct {
	Status  Status
	Version string // version of the row that was written or read
	Record  Record // the record that was read
}

// An Attempt is the state machine that decides whether one caller's call may
// run. It isn't safe for concurrent use.
//
// Invariant: it ends in RunCall only after the table has shown a record with
// this attempt's identifier, or has acknowledged writing it.
type Attempt struct {
	record   Record
	deadline time.Time
	op       Op
}

// NewAttempt returns an attempt for the record and its first step.
func NewAttempt(record Record, now time.Time) (*Attempt, Step) {
	a := &Attempt{record: record, deadline: now.Add(claimTimeout)}
	return a, a.newStep(Insert, 0, "")
}

func (a *Attempt) newStep(op Op, after time.Duration, version string) Step {
	a.op = op
	return Step{Op: op, After: after, Record: a.record, Version: version}
}

// Next takes the result of the previous step and returns the next one.
func (a *Attempt) Next(now time.Time, r Result) Step {
	switch {
	case r.Status == Indeterminate && !now.Before(a.deadline):
		return a.newStep(GiveUp, 0, "")
	case a.op == Read:
		return a.afterRead(now, r)
	case r.Status == OK:
		return a.newStep(RunCall, 0, r.Version)
	case r.Status == Exists:
		return a.newStep(Read, 0, "")
	case a.op == Insert:
		return a.newStep(Insert, retryPause, "")
	}
	// Reading the row shows whether the rewrite took effect.
	return a.newStep(Read, retryPause, "")
}

func (a *Attempt) afterRead(now time.Time, r Result) Step {
	switch r.Status {
	case Missing:
		return a.newStep(Insert, 0, "")
	case OK:
		return a.decide(now, r)
	}
	return a.newStep(Read, retryPause, "")
}

func (a *Attempt) decide(now time.Time, r Result) Step {
	switch Decide(r.Record, a.record.Attempt, a.record.Fingerprint, now) {
	case Run:
		return a.newStep(RunCall, 0, r.Version)
	case Replace:
		return a.newStep(Rewrite, 0, r.Version)
	case Replay:
		return Step{Op: SendStored, Record: r.Record}
	case Mismatch:
		return Step{Op: RefuseKeyReuse}
	case Unknown:
		return Step{Op: RefuseUnknown}
	}
	if !now.Before(a.deadline) {
		return Step{Op: RefuseInProgress}
	}
	return a.newStep(Read, pollPause, "")
}

// An OutcomeWriter is the state machine that writes the outcome of an attempt,
// retrying while the table fails. It isn't safe for concurrent use.
//
// Invariant: it changes only a row that has the attempt's identifier and the
// state Running, or inserts a row where there is none.
type OutcomeWriter struct {
	record   Record // the record to write
	op       Op
	failures int // operations that ended as Indeterminate
}

// NewOutcomeWriter returns a writer for the record of an attempt whose row has
// the version, and its first step.
func NewOutcomeWriter(record Record, version string) (*OutcomeWriter, Step) {
	w := &OutcomeWriter{record: record}
	return w, w.newStep(Rewrite, 0, version)
}

// NewNotRunWriter returns a writer that marks the record of an attempt that gave
// up as not run, and its first step. The attempt's insert may have failed, have
// taken effect, or take effect later.
func NewNotRunWriter(record Record) (*OutcomeWriter, Step) {
	w := &OutcomeWriter{record: record.MarkNotRun()}
	return w, w.newStep(Insert, 0, "")
}

func (w *OutcomeWriter) newStep(op Op, after time.Duration, version string) Step {
	w.op = op
	return Step{Op: op, After: after, Record: w.record, Version: version}
}

// Next takes the result of the previous step and returns the next one.
func (w *OutcomeWriter) Next(r Result) Step {
	switch {
	case w.op == Read && r.Status == OK:
		if r.Record.Attempt != w.record.Attempt || r.Record.State != Running {
			return w.newStep(Finished, 0, "")
		}
		return w.newStep(Rewrite, 0, r.Version)
	case w.op == Read && r.Status == Missing:
		return w.newStep(Insert, 0, "")
	case r.Status == OK:
		return w.newStep(Finished, 0, "")
	case r.Status == Exists:
		return w.newStep(Read, 0, "")
	case w.op == Insert:
		return w.newStep(Insert, w.backoff(), "")
	}
	return w.newStep(Read, w.backoff(), "")
}

func (w *OutcomeWriter) backoff() time.Duration {
	w.failures++
	return min(maxWritePause, retryPause<<min(w.failures-1, 10))
}
