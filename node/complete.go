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

// defaultAnswerTokens is the size of an answer that is assumed when the caller
// sets no limit.
const defaultAnswerTokens = 1024

// A completion is one caller's request while it is answered.
type completion struct {
	node     *Node
	request  *caller.Completion
	out      caller.AnswerWriter
	plan     resolver.Plan
	before   *session.Session // as the caller sent it
	arrived  time.Time
	begun    bool          // the caller has been told where the answer comes from
	mayRan   bool          // an attempt may have run
	spent    charge.Charge // what the attempts have cost so far
	attempts int
	print    crash.Fingerprint // empty until it is needed
	lastAt   time.Time         // of the newest piece
	gap      prometheus.Observer
}

// Complete implements caller.Router.
func (n *Node) Complete(ctx context.Context, c *caller.Completion, out caller.AnswerWriter) error {
	r := &completion{node: n, request: c, out: out, arrived: time.Now()}
	err := r.run(ctx)
	r.observe(err)
	return err
}

func (r *completion) run(ctx context.Context) error {
	if err := r.resolve(ctx, r.node.rollouts); err != nil {
		return err
	}
	r.node.retries.request(r.request.Organisation.ID)
	if err := r.admit(); err != nil {
		if r.plan.EnteredRollout != nil {
			r.node.rollouts.leave(r.plan.EnteredRollout, true)
		}
		return err
	}
	r.spent = charge.Charge{Request: r.request.ID, Organisation: r.request.Organisation.ID, Class: r.plan.ClassName()}
	err := r.answerByTrial(ctx)
	if r.spent.At.IsZero() {
		r.node.charges.unreserve()
	}
	return r.asRefusal(err)
}

// resolve makes the plan and keeps the versions that the session gets. Where
// another instance has kept the session in the meantime, its versions win. A
// session that tries a new version keeps it once that has answered.
func (r *completion) resolve(ctx context.Context, rollouts resolver.Rollouts) error {
	for {
		after := r.request.Session.Clone()
		plan, refused := resolver.Resolve(r.request.Rules, r.request.Organisation, r.request.ModelName, after, rollouts)
		if refused != nil {
			return refused
		}
		if plan.EnteredRollout == nil {
			if kept := r.node.sessions.keep(ctx, r.request.Session, after); kept != nil {
				r.request.Session = kept
				continue
			}
		}
		r.plan = plan
		r.before = r.request.Session
		r.request.Session = after
		return nil
	}
}

// noTrials gives every new session the old version.
type noTrials struct{ *rollouts }

// Enter implements resolver.Rollouts.
func (noTrials) Enter(*rules.Rollout, int) bool { return false }

// answerByTrial answers with the new version of a roll-out, and with the old one
// where that fails before the caller has got anything of it.
func (r *completion) answerByTrial(ctx context.Context) error {
	trial := r.plan.EnteredRollout
	if trial == nil {
		return r.answer(ctx)
	}
	err := r.answer(ctx)
	r.node.rollouts.leave(trial, err == nil || ctx.Err() != nil)
	if err == nil || r.begun || ctx.Err() != nil {
		return err
	}
	r.request.Session = r.before
	if err := r.resolve(ctx, noTrials{r.node.rollouts}); err != nil {
		return err
	}
	return r.answer(ctx)
}

// admit refuses a request that no model can hold, or whose charge couldn't be
// kept. It reserves room for the charge.
func (r *completion) admit() error {
	if err := r.checkContext(); err != nil {
		return err
	}
	if !r.node.charges.reserve() {
		return refusal.New(refusal.ChargesPending, "send the request to another instance", "too many charges wait for the platform").WithRetryAfter(time.Second)
	}
	return nil
}

func (r *completion) checkContext() error {
	model := r.request.Rules.Models[r.plan.Steps[0].Model]
	if r.request.MaxTokens > model.ContextTokens {
		return refusal.New(refusal.ContextTooLong, "ask for a shorter answer", "%d tokens are more than the %d that model %q can hold", r.request.MaxTokens, model.ContextTokens, model.ID)
	}
	return nil
}

// deliver sends a whole answer in the form that the caller asked for.
func (r *completion) deliver(ctx context.Context, body []byte, meta caller.AnswerMetadata) error {
	r.begin(ctx, meta)
	if !r.request.Stream {
		r.commit(ctx)
		r.out.SendWhole(body)
		return nil
	}
	for _, piece := range pieces(body, r.request.IncludeUsage) {
		if err := r.push(ctx, piece); err != nil {
			return err
		}
	}
	r.commit(ctx)
	r.out.EndStream()
	return nil
}

// push sends a piece that no engine waits for, however slowly the caller reads.
func (r *completion) push(ctx context.Context, piece []byte) error {
	for r.out.SendEvent(piece) != nil {
		if err := r.out.WaitEmpty(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *completion) begin(ctx context.Context, meta caller.AnswerMetadata) {
	now := time.Now()
	r.begun = true
	if r.plan.EnteredRollout != nil {
		r.node.sessions.keep(ctx, r.before, r.request.Session)
	}
	r.lastAt = now
	r.out.BeginAnswer(meta)
	r.gap = r.series().gap
	r.series().firstToken.Observe(now.Sub(r.arrived).Seconds())
}

// commit makes the one charge of the request, before its last byte leaves.
func (r *completion) commit(ctx context.Context) {
	r.spent.At = time.Now().UTC()
	r.node.charges.commit(ctx, r.spent)
	r.series().spent.Add(float64(r.spent.Cost))
}

// spend adds the cost of a whole answer of one attempt.
func (r *completion) spend(t rules.Target, u engine.Usage) {
	r.spent.Model = t.Model
	r.spent.Version = t.Version
	r.spent.InputTokens += u.PromptTokens
	r.spent.OutputTokens += u.CompletionTokens
	if v := r.request.Rules.Versions[t]; v != nil {
		r.spent.Cost += v.Cost(u.PromptTokens, u.CompletionTokens)
	}
}

// series returns the metrics of the organisation and class.
func (r *completion) series() *series {
	return r.node.metrics.of(r.request.Organisation.ID, r.plan.ClassName())
}

func (r *completion) observe(err error) {
	if r.plan.Len > 0 {
		r.series().request.Observe(time.Since(r.arrived).Seconds())
	}
	if err == nil {
		if r.node.verbose {
			r.entry().WithDuration(time.Since(r.arrived)).Debug("answered")
		}
		return
	}
	var refused *refusal.Error
	kind := "left"
	if errors.As(err, &refused) {
		kind = string(refused.Kind)
	}
	r.node.metrics.refusals.WithLabelValues(r.request.Organisation.ID, kind).Inc()
	r.entry().WithField("kind", kind).WithError(err).Info("not answered")
}

func (r *completion) entry() *log.Entry {
	return r.node.log.WithField("request", r.request.ID).WithField("organisation", r.request.Organisation.ID).
		WithField("model", r.spent.Model).WithField("version", r.spent.Version).WithField("attempts", r.attempts)
}

// engineBody returns the request as an engine gets it: the caller's members, but
// for those that the router sets.
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

// enginePriority returns the engine's number for a priority; lower goes first.
func enginePriority(p rules.Priority) string {
	if p == rules.Batch {
		return "1"
	}
	return "0"
}
