package node

import (
	"context"
	"encoding/json"
	"time"

	"banyanyard/core/rules"
	"banyanyard/io/platform"
)

// tryCheaper runs a cheaper model and reports whether its answer sufficed and
// was delivered. The answer is held back until it is rated, since an answer
// that a caller has begun to read is never taken back.
func (r *completion) tryCheaper(ctx context.Context, t rules.Target) (bool, error) {
	body, meta, err := r.whole(ctx, t)
	if err != nil {
		// The next step may still answer the request.
		return false, ctx.Err()
	}
	if !r.suffices(ctx, t, body) {
		r.series().escalations.Inc()
		return false, nil
	}
	return true, r.deliver(ctx, body, meta)
}

// suffices asks the rating service. Without a rating the answer doesn't
// suffice.
func (r *completion) suffices(ctx context.Context, t rules.Target, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.node.settings.Timeouts.Rating))
	defer cancel()
	rating, err := r.node.store.Rate(ctx, platform.Answer{
		Request: r.request.ID, Class: r.plan.ClassName(), Model: t.Model, Version: t.Version,
		Prompt: string(r.request.Fields["messages"]), Text: answerText(body),
	})
	if err != nil {
		r.node.log.WithError(err).WithField("request", r.request.ID).Warn("the answer could not be rated and goes to the next model")
		return false
	}
	return rating.Score >= r.plan.Class.QualityTarget
}

type wholeAnswer struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

func answerText(body []byte) string {
	var w wholeAnswer
	var m struct {
		Content string `json:"content"`
	}
	if json.Unmarshal(body, &w) != nil || len(w.Choices) == 0 || json.Unmarshal(w.Choices[0].Message, &m) != nil {
		return ""
	}
	return m.Content
}

type pieceChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type piece struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []pieceChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// pieces returns a whole answer as the pieces of a stream.
func pieces(body []byte, usage bool) [][]byte {
	var w wholeAnswer
	if json.Unmarshal(body, &w) != nil {
		return nil
	}
	p := piece{ID: w.ID, Object: "chat.completion.chunk", Created: w.Created, Model: w.Model, Choices: []pieceChoice{}}
	text := p
	for _, c := range w.Choices {
		text.Choices = append(text.Choices, pieceChoice{Index: c.Index, Delta: c.Message, FinishReason: c.FinishReason})
	}
	all := [][]byte{mustMarshal(text)}
	if usage {
		p.Usage = w.Usage
		all = append(all, mustMarshal(p))
	}
	return all
}

// mustMarshal encodes a value whose raw parts were decoded from JSON before.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
