// Package caller is the HTTP server for callers: chat completions with
// server-sent events, the list of models, and plain services.
//
// The handler authenticates a call, reads it within its limits and passes it to
// a Router. A streamed answer goes through a bounded buffer, so that a slow
// caller uses a bounded amount of memory.
//
// Invariants:
//   - a stream ends with the done event only after the router called EndStream;
//     otherwise it ends with an error event or a closed connection;
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

// A Router answers calls. Its methods must be safe for concurrent use.
type Router interface {
	// Rules returns the current rules and their revision, or nil when the
	// instance hasn't received any yet.
	Rules() (*rules.Set, int64)
	// OpenSession returns the session of a token or, without one, of a session
	// identifier. It returns a new session when the call has neither.
	OpenSession(ctx context.Context, organisation, token, id string) (*session.Session, error)
	// SessionToken returns the token with which a caller continues a session.
	SessionToken(s *session.Session) (string, error)
	// Complete answers a completion through out. An error before
	// out.BeginAnswer is a refusal; a later one ends the stream with an error
	// event.
	Complete(ctx context.Context, c *Completion, out AnswerWriter) error
	// CallService runs a call of a plain service and returns its answer.
	CallService(ctx context.Context, c *ServiceCall) (*ServiceAnswer, error)
	// CallOutcome returns the record of a non-idempotent call, or nil when there
	// is none.
	CallOutcome(ctx context.Context, organisation, service, key string) (*idempotency.Record, error)
}

// A Request holds what completions and service calls have in common.
type Request struct {
	ID           string // unique in the deployment
	Organisation *rules.Organisation
	Rules        *rules.Set
	Revision     int64
}

// A Completion is a chat completion request.
type Completion struct {
	Request
	ModelName    string // a model, model@version or class
	Stream       bool
	IncludeUsage bool                       // the caller asked for the usage at the end of a stream
	MaxTokens    int                        // maximum tokens of the answer; 0 when the caller set none
	PromptTokens int                        // estimated
	Fields       map[string]json.RawMessage // all fields of the body, as they were sent
	Session      *session.Session
}

// AnswerMetadata is sent in the headers of an answer to a completion.
type AnswerMetadata struct {
	Target    rules.Target
	Upstream  string
	Revision  int64
	MovedFrom rules.Target // withdrawn version that the session used before; zero when there is none
	Session   *session.Session
}

// An AnswerWriter writes the answer to a completion. Its methods are called by
// one goroutine.
type AnswerWriter interface {
	// BeginAnswer sets the metadata of the answer. It is called once, before the
	// first SendEvent or SendWhole.
	BeginAnswer(AnswerMetadata)
	// SendEvent sends the data of one event of a stream. It blocks while the
	// buffer is full and returns a SlowReaderError after Limits.StallTimeout; the
	// event is then not sent.
	SendEvent(data []byte) error
	// WaitEmpty blocks until the buffer of a stream is empty or ctx is done.
	WaitEmpty(ctx context.Context) error
	// SendWhole sends the body of an answer that isn't streamed.
	SendWhole(body []byte)
	// EndStream sends the done event, which tells the caller that the stream is
	// complete.
	EndStream()
}

// A ServiceCall is a call of a plain service.
type ServiceCall struct {
	Request
	Service        string
	Method         string
	Path           string // below the service, begins with "/", unescaped and cleaned; the rules match it
	EscapedPath    string // Path as the caller sent it; forwarded to the service
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// A ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Answer   idempotency.Answer
	Upstream string
	Replayed bool // the answer is the stored one of an earlier call
}

// Limits bound the requests of callers and the memory that they use. Every field
// must be positive.
type Limits struct {
	BodyBytes         int64         // of a request body
	DefaultTimeout    time.Duration // of a request without HeaderTimeout
	MaxTimeout        time.Duration // upper bound for HeaderTimeout
	WriteTimeout      time.Duration // of one write to the caller
	StreamBufferBytes int           // buffered for one stream
	OrganisationBytes int64         // buffered for all answers of an organisation
	InstanceBytes     int64         // buffered for all answers
	StallTimeout      time.Duration // after which a caller with a full buffer counts as a slow reader
}

// Headers that callers send or receive. Their names are in canonical form.
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
