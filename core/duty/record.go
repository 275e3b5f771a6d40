package duty

import (
	"time"

	"banyanyard/core/era"
)

// maxBefore bounds Record.Before.
const maxBefore = 8

// Terms are the times of a tenure. All instances of a deployment must have the same.
type Terms struct {
	// Lease is how long a write of the record lets its writer act, from when the writer
	// began it.
	Lease time.Duration
	// Margin is how much longer than Lease a successor watches a record that does not
	// change, for clocks that run at different rates.
	Margin time.Duration
	// Renewal is the age of a lease from which on it is renewed.
	Renewal time.Duration
	// Call bounds a call to the platform. It ends within the lease.
	Call time.Duration
}

// NewTerms returns terms by which an instance that has had a predecessor acts again only
// after it has not acted for the given time.
func NewTerms(apart time.Duration) Terms {
	lease := apart * 3 / 2
	return Terms{Lease: lease, Margin: lease / 10, Renewal: lease / 2, Call: lease / 3}
}

// wait is how long a successor watches a record that does not change.
func (t Terms) wait() time.Duration { return t.Lease + t.Margin }

// A Record is the row in the store that says who holds the tenure.
type Record struct {
	Holder string `json:"holder"` // name of the instance
	Start  string `json:"start"`  // identifies the start of the instance
	// Token is the fencing token; 0 in the record that begins a tenure, whose version in the
	// store is the token.
	Token uint64 `json:"token,omitempty"`
	// Number counts the writes of a start.
	Number   uint64 `json:"number"`
	Released bool   `json:"released,omitempty"`
	// Before names earlier holders that may have acted within the last Terms.Lease.
	Before []string `json:"before,omitempty"`
}

// A Row is the record as the store has it. If there is none, the record is zero, and the
// number of the version is 0.
type Row struct {
	Record  Record      `json:"record"`
	Version era.Version `json:"version"`
}

// Exists reports whether the store has the record.
func (r Row) Exists() bool { return r.Version.Number() > 0 }

// Token returns the fencing token of the record's tenure.
func (r Row) Token() uint64 {
	if r.Record.Token > 0 {
		return r.Record.Token
	}
	return uint64(r.Version)
}
