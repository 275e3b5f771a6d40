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
	// typicalAnswerTokens is the answer length that is assumed when the costs of
	// models are compared.
	typicalAnswerTokens = 256
	// backgroundRatingShare is the share of answers that are rated in the
	// background, without delaying the caller.
	backgroundRatingShare = 0.1
)

func (r *completion) learnerKey() learnerKey {
	return learnerKey{organisation: r.request.Organisation.ID, class: r.plan.ClassName()}
}

// chooseStep decides how the cascade over targets begins.
func (r *completion) chooseStep(targets []rules.Target) cascade.Choice {
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

// tryCheaper runs a cheaper model and reports whether its answer was good enough
// and was sent. The answer is buffered until it is rated, since an answer can't
// be withdrawn once the caller has begun to read it.
func (r *completion) tryCheaper(ctx context.Context, t rules.Target, first bool) (bool, error) {
	body, meta, err := r.fetchWhole(ctx, t)
	if err != nil {
		// The next step may still answer the request.
		return false, ctx.Err()
	}
	if !r.suffices(ctx, t, body, first) {
		r.series().escalations.Inc()
		return false, nil
	}
	return true, r.sendWhole(ctx, body, meta)
}

// suffices reports whether the rating service scores the answer at or above the
// quality target of the class. An answer that can't be rated doesn't suffice.
// The learner gets the ratings of the first model of the cascade only.
func (r *completion) suffices(ctx context.Context, t rules.Target, body []byte, first bool) bool {
	sufficed, err := r.node.rateAnswer(ctx, r.answerToRate(t, body), r.plan.Class.QualityTarget)
	if err != nil {
		r.node.learners.recordRatingFailure(r.learnerKey())
		r.node.metrics.ratingFailures.Inc()
		r.node.log.WithError(err).WithField("request", r.request.ID).Warn("the answer could not be rated; trying the next model")
		return false
	}
	if first {
		r.node.learners.recordRating(r.learnerKey(), cascade.BucketOf(r.request.PromptTokens), sufficed)
	}
	r.node.rollouts.addEvidence(r.request.Rules, t, rollout.Arm{Ratings: countOf(sufficed)})
	return sufficed
}

func (r *completion) answerToRate(t rules.Target, body []byte) platform.RatingRequest {
	return platform.RatingRequest{
		Request: r.request.ID, Class: r.plan.ClassName(), Model: t.Model, Version: t.Version,
		Prompt: string(r.request.Fields["messages"]), Text: answerText(body),
	}
}

func (n *Node) rateAnswer(ctx context.Context, a platform.RatingRequest, target float64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Timeouts.Rating))
	defer cancel()
	rating, err := n.store.Rate(ctx, a)
	return err == nil && rating.Score >= target, err
}

// rateInBackground rates a sample of the answers that were sent unrated, so that
// a change in the model's quality is noticed.
func (r *completion) rateInBackground(t rules.Target, body []byte, choice cascade.Choice) {
	inRollout := r.request.Rules.Rollouts[t.Model] != nil
	if r.plan.Class == nil || choice != cascade.Cheap && !inRollout || !r.node.learners.samplesRating() {
		return
	}
	answer := r.answerToRate(t, body)
	r.node.background.Go(func() {
		sufficed, err := r.node.rateAnswer(context.Background(), answer, r.plan.Class.QualityTarget)
		if err != nil {
			return
		}
		if choice == cascade.Cheap {
			r.node.learners.recordRating(r.learnerKey(), cascade.BucketOf(r.request.PromptTokens), sufficed)
		}
		r.node.rollouts.addEvidence(r.request.Rules, t, rollout.Arm{Ratings: countOf(sufficed)})
	})
}

// runPlan runs the steps of the plan until an answer suffices.
func (r *completion) runPlan(ctx context.Context) error {
	targets := r.plan.Targets()
	choice := r.chooseStep(targets)
	switch choice {
	case cascade.Cheap:
		return r.answerWith(ctx, targets[0], choice)
	case cascade.CheapFirst:
		for i, t := range targets[:len(targets)-1] {
			done, err := r.tryCheaper(ctx, t, i == 0)
			if err != nil || done {
				return err
			}
		}
	}
	return r.answerWith(ctx, targets[len(targets)-1], choice)
}

// answerWith answers from one target, without rating the answer first.
func (r *completion) answerWith(ctx context.Context, t rules.Target, choice cascade.Choice) error {
	if r.request.Stream {
		return r.streamAnswer(ctx, t)
	}
	body, meta, err := r.fetchWhole(ctx, t)
	if err != nil {
		return err
	}
	r.rateInBackground(t, body, choice)
	return r.sendWhole(ctx, body, meta)
}

// A chatCompletion is an engine's answer that is not streamed.
type chatCompletion struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

// answerText returns the text of the first choice, or "" if body is malformed.
func answerText(body []byte) string {
	var w chatCompletion
	var m struct {
		Content string `json:"content"`
	}
	if json.Unmarshal(body, &w) != nil || len(w.Choices) == 0 || json.Unmarshal(w.Choices[0].Message, &m) != nil {
		return ""
	}
	return m.Content
}
