// Package platform is a client of the platform's table service, object store,
// list of instances and rating service.
//
// Rows are written over HTTP with conditional requests (RFC 9110,
// section 13): If-None-Match inserts, If-Match replaces. A row's version is its
// entity tag. The client never retries a request: only its callers know
// whether a write can be repeated.
//
// Invariant: an UnavailableError with MayHaveTakenEffect false is returned only
// for reads and for writes that the service refused before it applied them.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrNotFound reports a row or object that does not exist.
var ErrNotFound = errors.New("platform: not found")

// A ConflictError reports a conditional write whose condition was not met.
type ConflictError struct{ Table, Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s has changed or already exists: read it and retry the change", e.Table, e.Key)
}

// An UnavailableError reports a call without a valid response. MayHaveTakenEffect
// is false if the call certainly had no effect.
type UnavailableError struct {
	Op                 string
	MayHaveTakenEffect bool
	Cause              error
}

func (e *UnavailableError) Error() string {
	effect := "it had no effect"
	if e.MayHaveTakenEffect {
		effect = "it may have taken effect, so read the row back"
	}
	return fmt.Sprintf("platform: %s failed (%v): %s", e.Op, e.Cause, effect)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// A Row is one row of a table, with its version.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version string          `json:"version,omitempty"` // changes with each write
}

// An Instance is an entry of the list of live and leaving instances. The list may
// be out of date.
type Instance struct {
	ID            string `json:"id"`      // instance.id in the instance's settings
	Address       string `json:"address"` // IP:port at which other instances reach it
	FailureDomain string `json:"failure-domain"`
	Leaving       bool   `json:"leaving"`
}

// A RatingRequest is a completion for the rating service to rate.
type RatingRequest struct {
	Request string `json:"request"`
	Class   string `json:"class"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Text    string `json:"text"`
}

// A Rating is the rating service's result for one completion.
type Rating struct {
	Score float64 `json:"score"` // 0 to 1
}

// DefaultTimeout is the timeout of a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second
