// Package caller speaks to callers: chat completions with server-sent events,
// the list of models, and plain services, over HTTP.
//
// The handler authenticates a call, reads it within its limits and hands it to
// a Router. What the router sends back passes through a bounded buffer, so that
// a slow caller holds a bounded amount of memory.
//
// Invariants:
//   - a stream ends with the done event only after the router said that the
//     answer is whole; every other end is an error event or a cut connection;
//   - a refusal is written only before the first byte of an answer.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"banyanyard/core/idempotency"
	"banyanyard/core/rules"
	"banyanyard/core/session"
)

// A Router answers calls. Its methods are called from many goroutines.
type Router interface {
	// Rules returns the rules in force and their revision, or nil when the
	// instance has none yet.
	Rules() (*rules.Set, int64)
	// OpenSession returns the session of a call, or a new one.
	OpenSession(ctx context.Context, organisation, token, id string) (*session.Session, error)
	// SealSession returns the token that continues a session.
	SealSession(s *session.Session) (string, error)
	// Complete answers a completion through out. An error before out.Begin is a
	// refusal; a later one ends the stream with an error event.
	Complete(ctx context.Context, c *Completion, out Output) error
	// Call answers a call of a plain service.
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, error)
	// Outcome returns what is known about a non-idempotent call.
	Outcome(ctx context.Context, organisation, service, key string) (*idempotency.Record, error)
}

// A Request is what all calls have.
type Request struct {
	ID           string // unique in the deployment
	Organisation *rules.Organisation
	Rules        *rules.Set
	Revision     int64
}

// A Completion is a request for an answer of a model.
type Completion struct {
	Request
	Name      string // model, model@version or class
	Stream    bool
	Usage     bool // the caller wants the usage at the end of a stream
	MaxTokens int  // most tokens of the answer; 0 when the caller set none
	Prompt    int  // estimated tokens of the prompt
	Fields    map[string]json.RawMessage
	Session   *session.Session
}

// A Meta tells where an answer comes from.
type Meta struct {
	Target   rules.Target
	Upstream string
	Revision int64
	Moved    rules.Target // withdrawn version that the session had to leave
	Session  *session.Session
}

// An Output takes the answer to a completion. Its methods are called by one
// goroutine.
type Output interface {
	// Begin sets what the caller learns about the answer. It is called once,
	// before the first Event or Whole.
	Begin(Meta)
	// Event sends a piece of a stream. It waits while the buffer is full and
	// returns a SlowReaderError when the caller doesn't read for a while; the
	// piece is then not taken.
	Event(data []byte) error
	// Room waits until the buffer has room again.
	Room(ctx context.Context) error
	// Whole sends the answer to a completion that doesn't stream.
	Whole(body []byte)
	// Done says that the stream is whole.
	Done()
}

// A ServiceCall is a call of a plain service.
type ServiceCall struct {
	Request
	Service        string
	Method         string
	Path           string // below the service, begins with "/", unescaped and cleaned; for the rules
	EscapedPath    string // the same as the caller sent it; for the service
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// A ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Answer   idempotency.Answer
	Upstream string
	Replayed bool // the answer was stored by an earlier call
}

// Limits bound what callers may send and hold. Every field must be positive.
type Limits struct {
	BodyBytes         int64
	DefaultTimeout    time.Duration // of a request that names none
	MaxTimeout        time.Duration // of any request
	WriteTimeout      time.Duration // for one write to the caller
	StreamBufferBytes int           // for one stream
	OrganisationBytes int64         // for all streams of an organisation
	InstanceBytes     int64         // for all streams
	StallTimeout      time.Duration // after which a full buffer counts as a slow reader
}

// Headers that callers send or receive.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotency-Replayed"
	HeaderSession        = "Banyanyard-Session"
	HeaderSessionID      = "Banyanyard-Session-Id"
	HeaderSessionMoved   = "Banyanyard-Session-Moved"
	HeaderTimeout        = "Banyanyard-Timeout-Ms"
	HeaderModel          = "Banyanyard-Model"
	HeaderVersion        = "Banyanyard-Version"
	HeaderUpstream       = "Banyanyard-Upstream"
	HeaderRevision       = "Banyanyard-Revision"
)
