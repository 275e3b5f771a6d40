package node

import (
	"context"
	"encoding/json"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/rollout"
	"banyanyard/core/rules"
	"banyanyard/io/platform"
)

const (
	// typicalAnswerTokens is the size of an answer by which costs are compared.
	typicalAnswerTokens = 256
	// ratedShare is the share of answers that are rated without their caller
	// waiting.
	ratedShare = 0.1
)

func (r *completion) learnerKey() learnerKey {
	return learnerKey{organisation: r.request.Organisation.ID, class: r.plan.ClassName()}
}

// choose returns what to do with the first step of a cascade.
func (r *completion) choose(targets []rules.Target) cascade.Choice {
	if len(targets) < 2 {
		return cascade.Large
	}
	cost := func(t rules.Target) float64 {
		return float64(r.request.Rules.Versions[t].Cost(r.request.PromptTokens, typicalAnswerTokens))
	}
	return r.node.learners.choose(r.learnerKey(), cascade.ChooseParams{
		QualityTarget: r.plan.Class.QualityTarget,
		CheapCost:     cost(targets[0]),
		LargeCost:     cost(targets[len(targets)-1]),
		Bucket:        cascade.BucketOf(r.request.PromptTokens),
	})
}

// tryCheaper runs a cheaper model and reports whether its answer sufficed and
// was delivered. The answer is held back until it is rated, since an answer
// that a caller has begun to read is never taken back.
func (r *completion) tryCheaper(ctx context.Context, t rules.Target, first bool) (bool, error) {
	body, meta, err := r.whole(ctx, t)
	if err != nil {
		// The next step may still answer the request.
		return false, ctx.Err()
	}
	if !r.suffices(ctx, t, body, first) {
		r.series().escalations.Inc()
		return false, nil
	}
	return true, r.deliver(ctx, body, meta)
}

// suffices asks the rating service. Without a rating the answer doesn't
// suffice. The learner follows the first model of the cascade.
func (r *completion) suffices(ctx context.Context, t rules.Target, body []byte, first bool) bool {
	sufficed, err := r.node.rate(ctx, r.ratedAnswer(t, body), r.plan.Class.QualityTarget)
	if err != nil {
		r.node.learners.unrated(r.learnerKey())
		r.node.metrics.unrated.Inc()
		r.node.log.WithError(err).WithField("request", r.request.ID).Warn("the answer could not be rated and goes to the next model")
		return false
	}
	if first {
		r.node.learners.rated(r.learnerKey(), cascade.BucketOf(r.request.PromptTokens), sufficed)
	}
	r.node.rollouts.count(r.request.Rules, t, rollout.Arm{Ratings: outcomeOf(sufficed)})
	return sufficed
}

func (r *completion) ratedAnswer(t rules.Target, body []byte) platform.RatingRequest {
	return platform.RatingRequest{
		Request: r.request.ID, Class: r.plan.ClassName(), Model: t.Model, Version: t.Version,
		Prompt: string(r.request.Fields["messages"]), Text: answerText(body),
	}
}

func (n *Node) rate(ctx context.Context, a platform.RatingRequest, target float64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Timeouts.Rating))
	defer cancel()
	rating, err := n.store.Rate(ctx, a)
	return err == nil && rating.Score >= target, err
}

// rateLater has a sample of the answers rated that were given without a rating,
// so that a change of the model shows.
func (r *completion) rateLater(t rules.Target, body []byte, choice cascade.Choice) {
	inRollout := r.request.Rules.Rollouts[t.Model] != nil
	if r.plan.Class == nil || choice != cascade.Cheap && !inRollout || !r.node.learners.sample() {
		return
	}
	answer := r.ratedAnswer(t, body)
	r.node.background.Go(func() {
		sufficed, err := r.node.rate(context.Background(), answer, r.plan.Class.QualityTarget)
		if err != nil {
			return
		}
		if choice == cascade.Cheap {
			r.node.learners.rated(r.learnerKey(), cascade.BucketOf(r.request.PromptTokens), sufficed)
		}
		r.node.rollouts.count(r.request.Rules, t, rollout.Arm{Ratings: outcomeOf(sufficed)})
	})
}

// answer runs the steps of the plan until one suffices.
func (r *completion) answer(ctx context.Context) error {
	targets := r.plan.Targets()
	choice := r.choose(targets)
	switch choice {
	case cascade.Cheap:
		return r.final(ctx, targets[0], choice)
	case cascade.CheapFirst:
		for i, t := range targets[:len(targets)-1] {
			done, err := r.tryCheaper(ctx, t, i == 0)
			if err != nil || done {
				return err
			}
		}
	}
	return r.final(ctx, targets[len(targets)-1], choice)
}

// final answers with one target, whatever a rating would say.
func (r *completion) final(ctx context.Context, t rules.Target, choice cascade.Choice) error {
	if r.request.Stream {
		return r.stream(ctx, t)
	}
	body, meta, err := r.whole(ctx, t)
	if err != nil {
		return err
	}
	r.rateLater(t, body, choice)
	return r.deliver(ctx, body, meta)
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
