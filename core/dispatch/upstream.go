package dispatch

import (
	"time"

	"banyanyard/core/ramp"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

// The bounds of the backoff after a failed attempt at an upstream.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// An upstream is the state of one upstream as this instance knows it.
type upstream struct {
	rule      *rules.Upstream
	poolKeys  []PoolKey // derived from rule
	inService bool
	share     slot.Share // of this instance
	firstRank bool       // see Shares.HasFirstRank
	ramp      ramp.Ramp

	heldRequests        int // granted and not released
	heldSuspects        int // those of heldRequests that are suspect
	heldTokens          int // of heldRequests
	consecutiveFailures int
	backoffUntil        time.Time // no request is granted before
}

// brokenBeforeBackoff is the number of consecutive broken attempts that start a
// backoff. A single one may be caused by the request itself.
const brokenBeforeBackoff = 2

// limit returns the number of requests that this instance may hold now. After a
// failure it is at most one, which probes whether the upstream has recovered.
func (u *upstream) limit() int {
	limit := u.ramp.Level().Limit(u.share.ColdRequests, u.share.Requests)
	if u.consecutiveFailures > 0 {
		return min(limit, 1)
	}
	return limit
}

// canTake reports whether the upstream is usable and has a request, the tokens
// and, for a suspect, no other suspect in the way.
func (u *upstream) canTake(now time.Time, t *Ticket) bool {
	if !u.inService || u.heldRequests >= u.limit() || now.Before(u.backoffUntil) {
		return false
	}
	if t.Suspect && u.heldSuspects > 0 {
		return false
	}
	return u.rule.MaxTokens == 0 || u.heldTokens+u.tokensOf(t) <= u.share.Tokens
}

// tokensOf returns the tokens that the ticket holds at this upstream: its
// estimate, capped at the upstream's limit so that it can be granted at all.
func (u *upstream) tokensOf(t *Ticket) int {
	if u.rule.MaxTokens == 0 {
		return t.Tokens
	}
	return min(t.Tokens, u.rule.MaxTokens)
}

// load returns the utilisation that one more request would cause, relative to
// the limit. Lower is better.
func (u *upstream) load() float64 {
	return float64(u.heldRequests+1) / float64(max(u.limit(), 1))
}

// acquire assigns a slot to the ticket.
func (u *upstream) acquire(now time.Time, t *Ticket) {
	u.heldRequests++
	t.heldTokens = u.tokensOf(t)
	u.heldTokens += t.heldTokens
	if t.Suspect {
		u.heldSuspects++
	}
	t.upstream = u
	t.rule = u.rule
	t.grantedAt = now
	t.epoch = u.ramp.Level().Epoch
	t.waiting = false
	t.onlySuspect = t.Suspect && u.firstRank
}

// release returns the slot of the ticket.
func (u *upstream) release(t *Ticket) {
	u.heldRequests--
	u.heldTokens -= t.heldTokens
	if t.Suspect {
		u.heldSuspects--
	}
}

// recordOutcome updates the backoff and the ramp from the outcome of an attempt
// that was granted in the ramp epoch.
func (u *upstream) recordOutcome(now time.Time, epoch uint32, o Outcome, firstToken time.Duration) {
	switch o {
	case Completed:
		u.consecutiveFailures = 0
		u.backoffUntil = time.Time{}
		u.ramp.RecordResponse(epoch, firstToken)
	case Refused, Unreachable:
		u.ramp.RecordColdStart(epoch)
		u.backOff(now)
	case Broken:
		u.ramp.RecordColdStart(epoch)
		if u.consecutiveFailures++; u.consecutiveFailures >= brokenBeforeBackoff {
			u.backOff(now)
		}
	case Canceled, Failed:
	}
}

// backOff makes the upstream unavailable for a time that doubles with each
// consecutive failure.
func (u *upstream) backOff(now time.Time) {
	u.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(u.consecutiveFailures, 10)))
	u.consecutiveFailures++
}
