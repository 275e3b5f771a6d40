package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"banyanyard/core/refusal"

	"github.com/buger/jsonparser"
)

// bytesPerToken is the ratio that estimates the tokens of a prompt from its size.
const bytesPerToken = 4

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := h.readCompletion(w, r)
	if err != nil {
		WriteRefusal(w, err)
		return
	}
	ctx, cancel, refused := h.withTimeout(r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	defer cancel()
	s, openErr := h.router.OpenSession(ctx, c.Organisation.ID, r.Header.Get(HeaderSession), r.Header.Get(HeaderSessionID))
	if openErr != nil {
		WriteRefusal(w, openErr)
		return
	}
	c.Session = s
	if c.Stream {
		h.serveStream(ctx, cancel, w, c)
		return
	}
	out := &wholeAnswer{writer: w, handler: h, account: h.memory.account(c.Organisation.ID)}
	out.finish(h.router.Complete(ctx, c, out))
}

// serveStream runs the router in a goroutine and writes its output to the caller.
func (h *Handler) serveStream(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, c *Completion) {
	out := newStreamBuffer(h.memory, h.limits, c)
	go func() {
		out.finish(h.router.Complete(ctx, c, out))
	}()
	if err := out.writeTo(w, h.router); err != nil {
		// The caller has disconnected: stop the router and wait until it returns.
		cancel()
		out.discard()
	}
	<-out.finished
}

func (h *Handler) readCompletion(w http.ResponseWriter, r *http.Request) (*Completion, *refusal.Error) {
	request, refused := h.authenticate(w, r)
	if refused != nil {
		return nil, refused
	}
	body, refused := h.readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	c, refused := parseCompletion(body)
	if refused != nil {
		return nil, refused
	}
	c.Request = request
	return c, nil
}

// parseCompletion parses the fields that the router needs. The others are passed
// on unparsed.
func parseCompletion(body []byte) (*Completion, *refusal.Error) {
	if !json.Valid(body) {
		return nil, refusal.New(refusal.BadRequest, "send a chat completion as a JSON object", "the body is not valid JSON")
	}
	c := &Completion{Fields: make(map[string]json.RawMessage, typicalFields)}
	err := jsonparser.ObjectEach(body, func(key, value []byte, kind jsonparser.ValueType, end int) error {
		name := string(key)
		c.Fields[name] = rawValue(body, value, kind, end)
		return c.setField(name, value, kind)
	})
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return nil, refused
	}
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "send a chat completion as a JSON object", "the body is not an object (%v)", err)
	}
	if c.ModelName == "" {
		return nil, refusal.New(refusal.BadRequest, "set model to a name that GET /v1/models lists", "the body names no model")
	}
	if c.PromptTokens == 0 {
		return nil, refusal.New(refusal.BadRequest, "set messages to the messages of the chat", "the body has no messages")
	}
	return c, nil
}

// typicalFields is the number of fields that most completions have.
const typicalFields = 6

// rawValue returns a value as it was sent, with the quotes of a string, which the
// parser leaves out. end is the offset behind the value in the body.
func rawValue(body, value []byte, kind jsonparser.ValueType, end int) json.RawMessage {
	if kind != jsonparser.String {
		return value
	}
	return body[end-len(value)-2 : end]
}

// setField sets the field of c that a field of the body determines, if any.
func (c *Completion) setField(name string, value []byte, kind jsonparser.ValueType) error {
	var err error
	switch name {
	case "model":
		if kind != jsonparser.String {
			return invalidField(name, "a string")
		}
		c.ModelName, err = jsonparser.ParseString(value)
	case "stream":
		c.Stream, err = jsonparser.ParseBoolean(value)
	case "max_tokens", "max_completion_tokens":
		var n int64
		n, err = jsonparser.ParseInt(value)
		if err != nil || n < 0 {
			return invalidField(name, "a number that is not negative")
		}
		c.MaxTokens = max(c.MaxTokens, int(min(n, math.MaxInt32)))
	case "messages":
		if kind != jsonparser.Array {
			return invalidField(name, "an array")
		}
		_, err = jsonparser.ArrayEach(value, func(message []byte, _ jsonparser.ValueType, _ int, _ error) {
			c.PromptTokens += len(message)/bytesPerToken + 1
		})
		if errors.Is(err, jsonparser.MalformedObjectError) || len(value) <= len("[]") {
			err = nil
		}
	case "stream_options":
		c.IncludeUsage, _ = jsonparser.GetBoolean(value, "include_usage")
	}
	if err != nil {
		return invalidField(name, "of the type that the API documents")
	}
	return nil
}

func invalidField(name, want string) *refusal.Error {
	return refusal.New(refusal.BadRequest, "correct the field as the API documents it", "%s must be %s", name, want)
}

// setAnswerHeaders sets the headers of an answer. To save allocations, which
// count for every answer, the values share one array, and the names, which are in
// canonical form, are set directly.
func setAnswerHeaders(w http.ResponseWriter, m AnswerMetadata, router Router) {
	token, err := router.SessionToken(m.Session)
	values := [...]string{m.Target.Model, m.Target.Version, m.Upstream, strconv.FormatInt(m.Revision, 10), token}
	h := w.Header()
	h[HeaderModel] = values[0:1:1]
	h[HeaderVersion] = values[1:2:2]
	h[HeaderUpstream] = values[2:3:3]
	h[HeaderRevision] = values[3:4:4]
	if err == nil {
		h[HeaderSession] = values[4:5:5]
	}
	if m.MovedFrom.Model != "" {
		h.Set(HeaderSessionMoved, m.MovedFrom.String())
	}
}
