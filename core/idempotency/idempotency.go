// Package idempotency decides whether a non-idempotent call may run.
//
// A call is identified by its organisation, service and idempotency key. Before
// its first byte is sent, the instance inserts a Record with a new attempt
// identifier into the platform's table. Only the attempt whose record was
// inserted may run, and no other instance ever takes a record over, so a holder
// that pauses or dies leaves the outcome unknown but never a second run.
//
// Invariant: for one key, at most one attempt is ever told to run, unless the
// record says that the attempt before it did not run.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Retention is the time that a record is kept after it was made.
const Retention = 7 * 24 * time.Hour

// MaxStoredBody is the largest answer that is kept for replay, in bytes.
const MaxStoredBody = 64 << 10

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 255

// A State is what is known about a call.
type State string

// The states of a record.
const (
	Running State = "running" // the attempt may be running, or its end is unknown
	Done    State = "done"    // the answer is stored
	NotRun  State = "not-run" // the attempt is certain not to have run
)

// A Record is the row of one call.
type Record struct {
	Attempt     string    `json:"attempt"`     // unique for each attempt
	Fingerprint string    `json:"fingerprint"` // hash of method, path and body
	State       State     `json:"state"`
	Since       time.Time `json:"since"`
	Expiry      time.Time `json:"expiry"`
	Answer      *Answer   `json:"answer,omitempty"` // set when State is Done
}

// An Answer is a stored response.
type Answer struct {
	Status    int         `json:"status"`
	Header    http.Header `json:"header"`
	Body      []byte      `json:"body"`
	Truncated bool        `json:"truncated"` // the body was larger than MaxStoredBody
}

// New returns the record that an attempt inserts before it runs.
func New(attempt, fingerprint string, now time.Time) Record {
	return Record{
		Attempt:     attempt,
		Fingerprint: fingerprint,
		State:       Running,
		Since:       now,
		Expiry:      now.Add(Retention),
	}
}

// Fingerprint identifies the content of a call, so that another call under the
// same key is noticed.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [...]string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// A Decision tells what to do with a call whose key has a record.
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

// Patience is the time after which a running attempt counts as one whose
// outcome is unknown.
const Patience = 2 * time.Minute

// Decide returns what an attempt does about the record that it found.
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
	if now.Sub(found.Since) < Patience {
		return Wait
	}
	return Unknown
}

// Finish returns the record with its answer.
func (r Record) Finish(a Answer) Record {
	if len(a.Body) > MaxStoredBody {
		a.Body = nil
		a.Truncated = true
	}
	r.State = Done
	r.Answer = &a
	return r
}

// Abandon returns the record of an attempt that is certain not to have run.
func (r Record) Abandon() Record {
	r.State = NotRun
	return r
}
