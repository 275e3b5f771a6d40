package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"banyanyard/core/duty"
)

const (
	// minBackoff and maxBackoff bound the wait after a call that failed, which doubles with
	// each further one about the same subject.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// rateShare is the part of the rate of all instances that a holder uses: a predecessor
	// may have used it within the same second.
	rateShare = 0.4
	// handOverAfter is for how long no call has been answered when a holder lets another
	// instance try, and abstainTime how long it leaves the tenure to others then.
	handOverAfter = 6 * time.Second
	abstainTime   = 20 * time.Second
)

var errLeaseOver = errors.New("the lease ended before the call was sent")

// A leaseContext also ends when the lease of the call ends. Err looks at the steady clock,
// so that it holds directly after a pause of the process, when no timer has fired yet.
type leaseContext struct {
	context.Context
	now  func() time.Duration
	ends time.Duration
}

// Err implements context.Context.
func (c leaseContext) Err() error {
	if c.now() > c.ends {
		return errLeaseOver
	}
	return c.Context.Err()
}

// A subject is what calls are about, which go out one after another.
type subject struct {
	busy      bool
	failures  int           // since the last call that was accepted
	notBefore time.Duration // time of the next call
}

// makeCalls starts the calls that are due while this instance holds the tenure.
func (r *Runner) makeCalls(ctx context.Context) {
	if !r.tenure.Holds(r.now(), r.Terms.Call) {
		r.health = callHealth{}
		return
	}
	for _, task := range r.Tasks {
		for _, c := range task.Next(time.Now()) {
			r.start(ctx, task, c)
		}
	}
}

// start starts a call unless its subject has to wait.
func (r *Runner) start(ctx context.Context, task duty.Task, c duty.Call) {
	key := c.Duty + "/" + c.Subject
	s := r.subjects[key]
	if s == nil {
		s = &subject{}
		r.subjects[key] = s
	}
	if c.Timeout <= 0 || c.Timeout > r.Terms.Call {
		c.Timeout = r.Terms.Call
	}
	now := r.now()
	if s.busy || now < s.notBefore || !r.pacer.take(now, r.MaxRate*rateShare) {
		return
	}
	token, ok := r.tenure.Begin(now, c.Timeout)
	if !ok {
		return
	}
	s.busy = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		err := r.Caller.Call(leaseContext{Context: callCtx, now: r.now, ends: now + c.Timeout}, r.Instance, token, c)
		r.enqueue(ctx, func(context.Context) {
			r.tenure.End()
			s.busy = false
			r.finish(task, c, s, token, now, err)
		})
	}()
}

// finish records the result of a call that was begun at a time.
func (r *Runner) finish(task duty.Task, c duty.Call, s *subject, token uint64, began time.Duration, err error) {
	now := r.now()
	outcome := "accepted"
	var rejected *RejectedError
	switch {
	case err == nil:
		s.failures = 0
	case errors.As(err, &rejected):
		outcome = "rejected"
	default:
		outcome = "no-answer"
	}
	if err != nil {
		s.failures++
		s.notBefore = now + backoff(s.failures)
	}
	r.Metrics.countCall(c.Duty, outcome)
	age, _ := r.tenure.Age(now)
	r.Log.Line("duty-call").Str("duty", c.Duty).Str("subject", c.Subject).Int("token", int64(token)).Str("outcome", outcome).
		Int("failures", int64(s.failures)).Millis("took-ms", now-began).Millis("lease-age-ms", age).Err(err).End()
	task.Done(time.Now(), c, err)
	if r.health.record(now, began, outcome != "no-answer") && r.Ranking().Live > 1 && r.released == nil {
		r.Log.Line("duty-handed-over").Millis("unanswered-ms", handOverAfter).Millis("abstain-ms", abstainTime).End()
		r.tenure.GiveUp(now + abstainTime)
	}
}

func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 8), maxBackoff)
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// A callHealth tells for how long no call has been answered. The zero value is ready to use.
type callHealth struct {
	failing bool
	since   time.Duration // when the first call that was not answered began
}

// record records the outcome of a call, and reports whether another instance should try.
func (h *callHealth) record(now, began time.Duration, answered bool) bool {
	if answered {
		*h = callHealth{}
		return false
	}
	if !h.failing {
		*h = callHealth{failing: true, since: began}
	}
	return now-h.since >= handOverAfter
}

// A pacer bounds the rate of calls. The zero pacer has a full second's calls left.
type pacer struct {
	started bool
	left    float64
	at      time.Duration
}

// take takes a call's place in a rate, in calls a second; 0 means no bound.
func (p *pacer) take(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return true
	}
	most := max(1, rate)
	if !p.started {
		*p = pacer{started: true, left: most, at: now}
	}
	p.left = min(most, p.left+rate*(now-p.at).Seconds())
	p.at = now
	if p.left < 1 {
		return false
	}
	p.left--
	return true
}
