package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"banyanyard/core/refusal"
)

// bytesPerToken estimates the tokens of a prompt from its size.
const bytesPerToken = 4

// completionFields are the members of a completion that the router reads.
// Others pass through unread.
type completionFields struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

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
	h.answer(ctx, cancel, w, c)
}

// answer runs the router beside the goroutine that writes to the caller.
func (h *Handler) answer(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, c *Completion) {
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

func parseCompletion(body []byte) (*Completion, *refusal.Error) {
	var known completionFields
	if err := json.Unmarshal(body, &known); err != nil {
		return nil, refusal.New(refusal.BadRequest, "send a chat completion as a JSON object", "the body is not valid (%v)", err)
	}
	if known.Model == "" {
		return nil, refusal.New(refusal.BadRequest, "set model to a name that GET /v1/models lists", "the body names no model")
	}
	if len(known.Messages) == 0 {
		return nil, refusal.New(refusal.BadRequest, "set messages to the messages of the chat", "the body has no messages")
	}
	if known.MaxTokens < 0 || known.MaxCompletionTokens < 0 {
		return nil, refusal.New(refusal.BadRequest, "set it to a positive number or leave it out", "the limit of tokens is negative")
	}
	c := &Completion{
		Name:      known.Model,
		Stream:    known.Stream,
		Usage:     known.StreamOptions.IncludeUsage,
		MaxTokens: max(known.MaxTokens, known.MaxCompletionTokens),
	}
	for _, m := range known.Messages {
		c.Prompt += len(m)/bytesPerToken + 1
	}
	// The body is known to be an object.
	_ = json.Unmarshal(body, &c.Fields)
	return c, nil
}

// setMeta writes the headers of an answer.
func setMeta(w http.ResponseWriter, m Meta, router Router) {
	h := w.Header()
	h.Set(HeaderModel, m.Target.Model)
	h.Set(HeaderVersion, m.Target.Version)
	h.Set(HeaderUpstream, m.Upstream)
	h.Set(HeaderRevision, strconv.FormatInt(m.Revision, 10))
	if m.Moved.Model != "" {
		h.Set(HeaderSessionMoved, m.Moved.String())
	}
	if token, err := router.SealSession(m.Session); err == nil {
		h.Set(HeaderSession, token)
	}
}
