// Package exchange answers requests whose bodies are forwarded unchanged. It
// admits a request, picks an upstream, sends the request, relays the answer,
// retries at another upstream where that is allowed, and logs and counts the
// result.
//
// A Router holds the state of an instance. Its methods apply the changes that
// operators and upstreams make. A request loads the routing table once and keeps
// it. State that changes with every request is guarded by one mutex.
//
// Invariants:
//   - a request whose kind may not be repeated is sent again only after an
//     upstream reported that it did not run it, or if no byte of it was sent;
//   - a refusal says "not run" only if that holds for every attempt;
//   - an attempt is made only if no verdict says that the request crashes upstreams,
//     or as a probe of one;
//   - the upstream of an attempt is picked from the current state of the fleet
//     immediately before the attempt is sent.
package exchange

import (
	"context"
	"net/http"
	"strings"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/io/http1"
)

// A PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// A Prompt describes the prompt of a request.
type Prompt struct {
	Tokens int          // of the whole prompt
	Parts  []PromptPart // in order; the last one belongs to this request or its session
}

// CacheKey returns the key of requests that profit from the same prompt cache:
// the ID of the last part before this request's own, which ends the longest
// shared prefix. It is empty if nothing is shared.
func (p *Prompt) CacheKey() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// PartIDs returns the IDs of the parts, separated by commas.
func (p *Prompt) PartIDs() string {
	ids := make([]string, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}

// A Request is one request of a caller with everything that routing depends on.
type Request struct {
	ID           string // of the attempt, as the caller sent it
	Route        *routing.Route
	Organisation string // empty on public routes
	Priority     int    // 0 is the highest
	TableVersion int64  // of the routing table in use
	Service      string
	Method       string
	Target       string // path and query, as the caller sent them
	Host         string
	Header       []http1.Field // fields that are forwarded
	Body         []byte
	Arrived      time.Time
	Deadline     time.Time
	Session      string // empty if the request belongs to none
	Prompt       Prompt
	LastEventID  string // last event that the caller has received; empty if none
	OutputHint   int    // the caller's estimate of the tokens of the answer; 0 for none
	OutputMax    int    // tokens that the answer may have; 0 for no bound
	// CallerModel is true if the caller named the model.
	CallerModel bool
}

// An Attempt is one attempt to have a request answered by an upstream.
type Attempt struct {
	Request     *Request
	Upstream    placement.Upstream
	Model       string        // empty if the caller's choice is forwarded
	LastEventID string        // last event that the caller has received; empty if none
	TimeLeft    time.Duration // until the caller's deadline
	// HeadTimeout bounds the wait for the head of the answer; 0 means TimeLeft.
	HeadTimeout time.Duration
	// GiveUp is called when a bounded wait for the head or for an event is over. If it
	// returns false, the wait goes on, and GiveUp is called again later. It is called by
	// the goroutine that waits; nil means true.
	GiveUp func() bool
	// SilenceTimeout is how long the upstream may acknowledge or read nothing; 0 means the
	// transport's default.
	SilenceTimeout time.Duration
	// Detour is the instance through which a new connection to the upstream is opened; nil
	// for a direct one. Send sets it to nil if it uses an open connection instead.
	Detour *Detour
}

// A Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header // to be forwarded
	// NotRun is true if the upstream reported that it did not run the request.
	NotRun bool
	// NotStream is true if the body is of another type than streams of events.
	NotStream bool
	// Misdirected is true if another upstream now has the address.
	Misdirected bool
	// Confidence is the model's confidence in its answer, from 0 to 100, or -1
	// if it reports none.
	Confidence int
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
	// Pause is how long the upstream, which refused the request, wants nothing from this
	// instance; 0 if it does not say.
	Pause time.Duration
	// Limit is the number of requests a second that the upstream takes from all instances
	// together, as long as its answers say so; 0 if it names none.
	Limit float64
	// Brittle is true if the upstream says that it falls over when it has to refuse more
	// than MaxRefusals requests in a second.
	Brittle     bool
	MaxRefusals int
}

// An Event is one event of a stream, with its framing.
type Event struct {
	ID   string // empty if it has none
	Data []byte // valid until the next event is read
}

// An Answer is an upstream's answer to an attempt. It isn't safe for concurrent
// use.
type Answer interface {
	Head() Head
	// NextEvent returns the next whole event of a stream, or io.EOF after the
	// last event of a complete stream. It waits for at most the gap, unless
	// Attempt.GiveUp prolongs that; 0 means no bound.
	NextEvent(gap time.Duration) (Event, error)
	// ReadBody returns the whole body of an answer that isn't a stream. A body of
	// more than limit bytes is an error, and one that does not end within the time; 0
	// means no bound.
	ReadBody(limit int, within time.Duration) ([]byte, error)
	// Close ends the attempt, and aborts an answer that is not read to its end.
	Close()
}

// A Transport sends attempts. Its errors have the types of package http1. One that wraps a
// tunnel.RefusedError says nothing about the upstream.
type Transport interface {
	Send(ctx context.Context, a *Attempt) (Answer, error)
}

// An AnswerWriter writes the answer to the caller. It isn't safe for concurrent
// use.
type AnswerWriter interface {
	// WriteAnswer writes a whole answer that isn't a stream.
	WriteAnswer(h Head, body []byte) error
	// BeginStream writes the head of a stream.
	BeginStream(h Head) error
	// WriteEvent writes an event and flushes it.
	WriteEvent(data []byte) error
	// EndStream ends a stream as complete.
	EndStream() error
}
