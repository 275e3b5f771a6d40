package node

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"time"

	"banyanyard/core/charge"
	"banyanyard/core/crash"
	"banyanyard/core/refusal"
	"banyanyard/core/resolver"
	"banyanyard/core/rules"
	"banyanyard/core/session"
	"banyanyard/io/caller"
	"banyanyard/io/engine"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// defaultAnswerTokens is the answer length that is assumed when the caller sets
// no limit.
const defaultAnswerTokens = 1024

// A completion is the state of one completion request.
type completion struct {
	node              *Node
	request           *caller.Completion
	out               caller.AnswerWriter
	plan              resolver.Plan
	callerSession     *session.Session // before plan was resolved
	arrived           time.Time
	answerBegun       bool          // out.BeginAnswer has been called
	mayHaveRun        bool          // an engine may have run an attempt
	charge            charge.Charge // for all attempts so far; At is zero until it is committed
	attempts          int
	cachedFingerprint crash.Fingerprint // empty until first used
	lastEventAt       time.Time         // when the last event was sent
	eventGap          prometheus.Observer
}

// Complete implements caller.Router.
func (n *Node) Complete(ctx context.Context, c *caller.Completion, out caller.AnswerWriter) error {
	r := &completion{node: n, request: c, out: out, arrived: time.Now()}
	err := r.run(ctx)
	r.recordEnd(err)
	return err
}

func (r *completion) run(ctx context.Context) error {
	if err := r.resolvePlan(ctx, r.node.rollouts); err != nil {
		return err
	}
	r.node.retryBudgets.recordRequest(r.request.Organisation.ID)
	if err := r.admit(); err != nil {
		if r.plan.EnteredRollout != nil {
			r.node.rollouts.recordFinish(r.plan.EnteredRollout, true)
		}
		return err
	}
	r.charge = charge.Charge{Request: r.request.ID, Organisation: r.request.Organisation.ID, Class: r.plan.ClassName()}
	err := r.runPlanWithFallback(ctx)
	if r.charge.At.IsZero() {
		r.node.charges.unreserve()
	}
	return r.asRefusal(err)
}

// resolvePlan sets the plan and saves the model versions assigned to the session.
// If another instance has saved the session in the meantime, its versions win. A
// version under roll-out is saved only when it begins to answer.
func (r *completion) resolvePlan(ctx context.Context, rollouts resolver.Rollouts) error {
	for {
		assigned := r.request.Session.Clone()
		plan, refused := resolver.Resolve(r.request.Rules, r.request.Organisation, r.request.ModelName, assigned, rollouts)
		if refused != nil {
			return refused
		}
		if plan.EnteredRollout == nil {
			if saved := r.node.sessions.save(ctx, r.request.Session, assigned); saved != nil {
				r.request.Session = saved
				continue
			}
		}
		r.plan = plan
		r.callerSession = r.request.Session
		r.request.Session = assigned
		return nil
	}
}

// noNewVersions wraps rollouts so that no session enters one: each gets the old
// version.
type noNewVersions struct{ *rollouts }

// Enter implements resolver.Rollouts.
func (noNewVersions) Enter(*rules.Rollout, int) bool { return false }

// runPlanWithFallback runs the plan. If the plan uses a new version under roll-out
// and that fails before the answer has begun, the old version answers.
func (r *completion) runPlanWithFallback(ctx context.Context) error {
	rollout := r.plan.EnteredRollout
	if rollout == nil {
		return r.runPlan(ctx)
	}
	err := r.runPlan(ctx)
	r.node.rollouts.recordFinish(rollout, err == nil || ctx.Err() != nil)
	if err == nil || r.answerBegun || ctx.Err() != nil {
		return err
	}
	r.request.Session = r.callerSession
	if err := r.resolvePlan(ctx, noNewVersions{r.node.rollouts}); err != nil {
		return err
	}
	return r.runPlan(ctx)
}

// admit refuses a request whose token limit exceeds the context of its model, or
// whose charge doesn't fit in the outbox. It reserves room for the charge.
func (r *completion) admit() error {
	if err := r.checkContextTokens(); err != nil {
		return err
	}
	if !r.node.charges.reserve() {
		return refusal.New(refusal.ChargesPending, "send the request to another instance", "too many charges are waiting to be written to the platform").WithRetryAfter(time.Second)
	}
	return nil
}

func (r *completion) checkContextTokens() error {
	model := r.request.Rules.Models[r.plan.Steps[0].Model]
	if r.request.MaxTokens > model.ContextTokens {
		return refusal.New(refusal.ContextTooLong, "ask for a shorter answer", "%d tokens are more than the %d that model %q can hold", r.request.MaxTokens, model.ContextTokens, model.ID)
	}
	return nil
}

// sendWhole sends a complete answer, as a stream if the caller asked for one.
func (r *completion) sendWhole(ctx context.Context, body []byte, meta caller.AnswerMetadata) error {
	r.beginAnswer(ctx, meta)
	if !r.request.Stream {
		r.commitCharge(ctx)
		r.out.SendWhole(body)
		return nil
	}
	for _, chunk := range chunksOf(body, r.request.IncludeUsage) {
		if err := r.sendEvent(ctx, chunk); err != nil {
			return err
		}
	}
	r.commitCharge(ctx)
	r.out.EndStream()
	return nil
}

// sendEvent sends a chunk of an answer that is complete. Since it blocks no
// engine, it waits for as long as the caller takes to read.
func (r *completion) sendEvent(ctx context.Context, chunk []byte) error {
	for r.out.SendEvent(chunk) != nil {
		if err := r.out.WaitEmpty(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *completion) beginAnswer(ctx context.Context, meta caller.AnswerMetadata) {
	now := time.Now()
	r.answerBegun = true
	if r.plan.EnteredRollout != nil {
		r.node.sessions.save(ctx, r.callerSession, r.request.Session)
	}
	r.lastEventAt = now
	r.out.BeginAnswer(meta)
	r.eventGap = r.series().gap
	r.series().firstToken.Observe(now.Sub(r.arrived).Seconds())
}

// commitCharge commits the single charge of the request. It is called before the
// last byte of the answer is sent.
func (r *completion) commitCharge(ctx context.Context) {
	r.charge.At = time.Now().UTC()
	r.node.charges.commit(ctx, r.charge)
	r.series().cost.Add(float64(r.charge.Cost))
}

// addUsage adds the usage and cost of one complete answer to the charge.
func (r *completion) addUsage(t rules.Target, u engine.Usage) {
	r.charge.Model = t.Model
	r.charge.Version = t.Version
	r.charge.InputTokens += u.PromptTokens
	r.charge.OutputTokens += u.CompletionTokens
	if v := r.request.Rules.Versions[t]; v != nil {
		r.charge.Cost += v.Cost(u.PromptTokens, u.CompletionTokens)
	}
}

// series returns the metrics of the request's organisation and class.
func (r *completion) series() *series {
	return r.node.metrics.forClass(r.request.Organisation.ID, r.plan.ClassName())
}

func (r *completion) recordEnd(err error) {
	if r.plan.Len > 0 {
		r.series().request.Observe(time.Since(r.arrived).Seconds())
	}
	if err == nil {
		if r.node.logsAnswers {
			r.logEntry().WithDuration(time.Since(r.arrived)).Debug("answered")
		}
		return
	}
	var refused *refusal.Error
	kind := "left"
	if errors.As(err, &refused) {
		kind = string(refused.Kind)
	}
	r.node.metrics.refusals.WithLabelValues(r.request.Organisation.ID, kind).Inc()
	r.logEntry().WithField("kind", kind).WithError(err).Info("completion was not answered")
}

func (r *completion) logEntry() *log.Entry {
	return r.node.log.WithField("request", r.request.ID).WithField("organisation", r.request.Organisation.ID).
		WithField("model", r.charge.Model).WithField("version", r.charge.Version).WithField("attempts", r.attempts)
}

// engineBody returns the request body for an engine: the caller's JSON members,
// except for those that the router sets itself.
func (r *completion) engineBody(t rules.Target, stream bool) []byte {
	var b bytes.Buffer
	b.WriteString(`{"model":`)
	b.WriteString(strconv.Quote(t.String()))
	b.WriteString(`,"priority":`)
	b.WriteString(enginePriority(r.plan.Priority()))
	if stream {
		b.WriteString(`,"stream":true,"stream_options":{"include_usage":true}`)
	}
	for name, value := range r.request.Fields {
		switch name {
		case "model", "priority", "stream", "stream_options":
			continue
		}
		b.WriteByte(',')
		b.Write(mustMarshal(name))
		b.WriteByte(':')
		b.Write(value)
	}
	b.WriteByte('}')
	return b.Bytes()
}

// enginePriority returns the engine's number for a priority; lower numbers run
// first.
func enginePriority(p rules.Priority) string {
	if p == rules.Batch {
		return "1"
	}
	return "0"
}
