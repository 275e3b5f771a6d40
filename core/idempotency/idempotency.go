// Package idempotency decides whether a non-idempotent call may run, so that
// each idempotency key runs at most once.
//
// A call is identified by its organisation, service and idempotency key. Before
// its first byte is sent, the instance inserts a Record with a new attempt
// identifier into the platform's table. Only the attempt whose record was
// inserted may run, and no other instance takes a running record over: an
// instance that pauses or dies leaves the outcome unknown, but never causes a
// second run.
//
// Invariant: for one key, at most one attempt is told to run until its record
// expires, unless the record says that the attempt before it did not run.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Retention is how long a record is kept after its creation.
const Retention = 7 * 24 * time.Hour

// MaxStoredBody is the largest answer body that is stored for replay, in bytes.
const MaxStoredBody = 64 << 10

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// A State is the stored state of a call.
type State string

// The states of a record.
const (
	Running State = "running" // the attempt may be running, or its outcome is unknown
	Done    State = "done"    // the answer is stored
	NotRun  State = "not-run" // the attempt did certainly not run
)

// A Record is the table row of one call.
type Record struct {
	Attempt     string    `json:"attempt"`     // unique for each attempt
	Fingerprint string    `json:"fingerprint"` // of the call's content; see Fingerprint
	State       State     `json:"state"`
	Since       time.Time `json:"since"`
	Expiry      time.Time `json:"expiry"`
	Answer      *Answer   `json:"answer,omitempty"` // set when State is Done
}

// An Answer is the service's response to a call.
type Answer struct {
	Status    int         `json:"status"`
	Header    http.Header `json:"header"`
	Body      []byte      `json:"body"`
	Truncated bool        `json:"truncated"` // the body exceeded MaxStoredBody and is not stored
}

// NewRecord returns the record that an attempt inserts before it runs. The
// attempt identifier must be unique.
func NewRecord(attempt, fingerprint string, now time.Time) Record {
	return Record{
		Attempt:     attempt,
		Fingerprint: fingerprint,
		State:       Running,
		Since:       now,
		Expiry:      now.Add(Retention),
	}
}

// Fingerprint returns a hash of a call's content, which detects that a key is
// reused for a different call.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [...]string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// A Decision is what to do with a call whose key already has a record.
type Decision int

// The decisions.
const (
	Run      Decision = iota // the record is this attempt's own
	Replace                  // the earlier attempt did not run or has expired: replace its record, then run
	Replay                   // send the stored answer
	Wait                     // another attempt may still be running
	Unknown                  // another attempt ended without a known outcome
	Mismatch                 // the key was used for another call
)

// UnknownAfter is the age from which a record that is still Running counts as
// one whose outcome is unknown.
const UnknownAfter = 2 * time.Minute

// Decide returns what the attempt does with a record that was found under its
// key.
func Decide(found Record, attempt, fingerprint string, now time.Time) Decision {
	if found.Attempt == attempt {
		return Run
	}
	if !now.Before(found.Expiry) {
		return Replace
	}
	if found.Fingerprint != fingerprint {
		return Mismatch
	}
	switch found.State {
	case Done:
		return Replay
	case NotRun:
		return Replace
	}
	if now.Sub(found.Since) < UnknownAfter {
		return Wait
	}
	return Unknown
}

// MarkDone returns a copy of the record in state Done with the answer. A body
// above MaxStoredBody is dropped.
func (r Record) MarkDone(a Answer) Record {
	if len(a.Body) > MaxStoredBody {
		a.Body = nil
		a.Truncated = true
	}
	r.State = Done
	r.Answer = &a
	return r
}

// MarkNotRun returns a copy of the record in state NotRun. The attempt must
// certainly not have run.
func (r Record) MarkNotRun() Record {
	r.State = NotRun
	return r
}
