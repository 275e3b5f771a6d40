// Package platform speaks to the platform's table service, object store, list
// of instances and rating service.
//
// Rows and objects travel over HTTP with conditional requests (RFC 9110,
// section 13): If-None-Match inserts, If-Match replaces. A row's version is its
// entity tag. The client never repeats a request itself; whoever calls decides,
// knowing whether the write can be repeated.
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

// A ConflictError reports a conditional write whose condition did not hold.
type ConflictError struct{ Table, Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s has changed or exists already: read it and decide again", e.Table, e.Key)
}

// An UnavailableError reports that the platform gave no answer that counts.
type UnavailableError struct {
	Op                 string
	MayHaveTakenEffect bool
	Cause              error
}

func (e *UnavailableError) Error() string {
	effect := "it had no effect"
	if e.MayHaveTakenEffect {
		effect = "read the row back, since it may have taken effect"
	}
	return fmt.Sprintf("platform: %s failed (%v): %s", e.Op, e.Cause, effect)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// A Row is a value of a table with its version.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version string          `json:"version,omitempty"` // changes with each write
}

// An Instance is an entry of the list of live and leaving instances. The list
// lags behind the truth.
type Instance struct {
	ID            string `json:"id"`      // instance.id in the instance's settings
	Address       string `json:"address"` // IP:port for other instances
	FailureDomain string `json:"failure-domain"`
	Leaving       bool   `json:"leaving"`
}

// An Answer is what the rating service judges.
type Answer struct {
	Request string `json:"request"`
	Class   string `json:"class"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Text    string `json:"text"`
}

// A Rating is the rating service's judgement of one answer.
type Rating struct {
	Score float64 `json:"score"` // 0 to 1
}

// DefaultTimeout bounds a call to the platform whose context has no deadline.
const DefaultTimeout = 2 * time.Second
