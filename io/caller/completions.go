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

// bytesPerToken estimates the tokens of a prompt from its size.
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
		h.stream(ctx, cancel, w, c)
		return
	}
	out := &wholeOutput{writer: w, handler: h, account: h.memory.account(c.Organisation.ID)}
	out.finish(h.router.Complete(ctx, c, out))
}

// stream runs the router beside the goroutine that writes to the caller.
func (h *Handler) stream(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, c *Completion) {
	out := newOutput(h.memory, h.limits, c)
	go func() {
		out.finish(h.router.Complete(ctx, c, out))
	}()
	if err := out.writeTo(w, h.router); err != nil {
		// The caller is gone: stop the router and wait until it has let go.
		cancel()
		out.drop()
	}
	<-out.finished
}

func (h *Handler) readCompletion(w http.ResponseWriter, r *http.Request) (*Completion, *refusal.Error) {
	request, refused := h.identify(w, r)
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

// parseCompletion reads the members that the router needs. Others pass through
// unread.
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
	if c.Name == "" {
		return nil, refusal.New(refusal.BadRequest, "set model to a name that GET /v1/models lists", "the body names no model")
	}
	if c.Prompt == 0 {
		return nil, refusal.New(refusal.BadRequest, "set messages to the messages of the chat", "the body has no messages")
	}
	return c, nil
}

// typicalFields is the number of members that most completions have.
const typicalFields = 6

// rawValue returns a value as it stands in the body. The parser leaves out the
// quotes of strings, which stand around it.
func rawValue(body, value []byte, kind jsonparser.ValueType, end int) json.RawMessage {
	if kind != jsonparser.String {
		return value
	}
	return body[end-len(value)-2 : end]
}

// setField reads one member of the body.
func (c *Completion) setField(name string, value []byte, kind jsonparser.ValueType) error {
	var err error
	switch name {
	case "model":
		if kind != jsonparser.String {
			return badMember(name, "a string")
		}
		c.Name, err = jsonparser.ParseString(value)
	case "stream":
		c.Stream, err = jsonparser.ParseBoolean(value)
	case "max_tokens", "max_completion_tokens":
		var n int64
		n, err = jsonparser.ParseInt(value)
		if err != nil || n < 0 {
			return badMember(name, "a number that is not negative")
		}
		c.MaxTokens = max(c.MaxTokens, int(min(n, math.MaxInt32)))
	case "messages":
		if kind != jsonparser.Array {
			return badMember(name, "an array")
		}
		_, err = jsonparser.ArrayEach(value, func(message []byte, _ jsonparser.ValueType, _ int, _ error) {
			c.Prompt += len(message)/bytesPerToken + 1
		})
		if errors.Is(err, jsonparser.MalformedObjectError) || len(value) <= len("[]") {
			err = nil
		}
	case "stream_options":
		c.Usage, _ = jsonparser.GetBoolean(value, "include_usage")
	}
	if err != nil {
		return badMember(name, "of another type")
	}
	return nil
}

func badMember(name, want string) *refusal.Error {
	return refusal.New(refusal.BadRequest, "correct the member as the API describes it", "%s must be %s", name, want)
}

// setMeta writes the headers of an answer. The values share one array, and the
// names are in canonical form, since this is done for every answer.
func setMeta(w http.ResponseWriter, m Meta, router Router) {
	token, err := router.SealSession(m.Session)
	values := [...]string{m.Target.Model, m.Target.Version, m.Upstream, strconv.FormatInt(m.Revision, 10), token}
	h := w.Header()
	h[HeaderModel] = values[0:1:1]
	h[HeaderVersion] = values[1:2:2]
	h[HeaderUpstream] = values[2:3:3]
	h[HeaderRevision] = values[3:4:4]
	if err == nil {
		h[HeaderSession] = values[4:5:5]
	}
	if m.Moved.Model != "" {
		h.Set(HeaderSessionMoved, m.Moved.String())
	}
}
