// Package exchange answers requests that are passed on as they are: it admits a
// request, places it at an upstream, sends it, relays the answer, goes on
// elsewhere where that is allowed, and settles what became of it.
//
// A Router holds what an instance knows. What operators and upstreams say comes
// in through its methods; requests load the routing table once and pass it
// down. What changes with every request is guarded by one mutex.
//
// Invariants:
//   - a request whose kind may not be repeated is sent again only after an
//     upstream said that it did not run it, or where no byte of it was sent;
//   - a refusal that says "not run" is made only where that holds for every
//     attempt;
//   - the upstream of an attempt is chosen, and checked against what is known,
//     immediately before it is sent.
package exchange

import (
	"context"
	"net/http"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/io/http1"
)

// A Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// A Prompt is what an engine has to read.
type Prompt struct {
	Tokens int    // of the whole prompt
	Parts  []Part // in order; the last one belongs to this request or its session
}

// Key returns what requests share that profit from the same prompt cache: the
// longest part of the prompt that is not this request's own. It is empty where
// nothing is shared.
func (p *Prompt) Key() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// A Request is one request of a caller, and all that decides where it goes.
type Request struct {
	ID           string // of this attempt of the caller
	Route        *routing.Route
	Organisation string // empty on public routes
	Priority     int    // 0 is the highest
	Version      int64  // of the routing table
	Service      string
	Method       string
	Target       string // path and query, as the caller sent them
	Host         string
	Header       []http1.Field // that are passed on
	Body         []byte
	Arrived      time.Time
	Deadline     time.Time
	Session      string // empty when the request belongs to none
	Prompt       Prompt
	After        string // newest event that the caller has; empty at the beginning
	// OwnModel says that the caller has named the model.
	OwnModel bool
}

// An Attempt is one sending of a request.
type Attempt struct {
	Request  *Request
	Upstream placement.Upstream
	Model    string // empty where the caller's is passed on
	After    string // newest event that the caller has
	Left     time.Duration
	// HeadTimeout bounds the wait for the answer to begin; 0 means Left.
	HeadTimeout time.Duration
}

// A Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header // to be passed on
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Confidence is what the model thinks of its answer, from 0 to 100; -1
	// when it doesn't say.
	Confidence int
}

// An Event is one event of a stream, with its framing.
type Event struct {
	ID   string // empty when it has none
	Data []byte // valid until the next event is read
}

// An Answer is an upstream's answer to an attempt. It is used by one goroutine.
type Answer interface {
	Head() Head
	// Next returns the next whole event of a stream, and io.EOF behind the last
	// one of a complete stream.
	Next(gap time.Duration) (Event, error)
	// Whole returns the whole body of an answer that is no stream.
	Whole(limit int) ([]byte, error)
	// Close ends the attempt; the upstream learns that the rest is not wanted.
	Close()
}

// A Transport sends attempts. Errors are of the types of package http1.
type Transport interface {
	Send(ctx context.Context, a *Attempt) (Answer, error)
}

// An Output is the way back to the caller. It is used by one goroutine.
type Output interface {
	// Whole sends a whole answer.
	Whole(h Head, body []byte) error
	// Begin sends the head of a stream.
	Begin(h Head) error
	// Event sends an event at once.
	Event(data []byte) error
	// End completes a stream.
	End() error
}
