package dispatch

import (
	"time"

	"banyanyard/core/ramp"
	"banyanyard/core/rules"
	"banyanyard/core/slot"
)

// The bounds of the time that an unreachable upstream is left alone.
const (
	minDown = 250 * time.Millisecond
	maxDown = 8 * time.Second
)

// An upstream is this instance's view of one upstream.
type upstream struct {
	rule      *rules.Upstream
	pools     []Pool // that the rule names
	inService bool
	share     slot.Share // of this instance
	first     bool       // no other instance runs suspects here
	ramp      ramp.Ramp

	requests   int // granted now
	suspects   int // of requests, that are suspect
	tokensHeld int // granted now
	failures   int // attempts in a row that failed
	downUntil  time.Time
}

// brokenBeforeDown is the number of broken answers in a row after which an
// upstream is left alone for a while. One may be the request's own fault.
const brokenBeforeDown = 2

// limit returns the requests that this instance may hold now. An upstream that
// has failed gets one request to show whether it has recovered.
func (u *upstream) limit() int {
	limit := u.ramp.Level().Limit(u.share.Cold, u.share.Requests)
	if u.failures > 0 {
		return min(limit, 1)
	}
	return limit
}

// free reports whether the upstream can take the ticket.
func (u *upstream) free(now time.Time, t *Ticket) bool {
	if !u.inService || u.requests >= u.limit() || now.Before(u.downUntil) {
		return false
	}
	if t.Suspect && u.suspects > 0 {
		return false
	}
	return u.rule.MaxTokens == 0 || u.tokensHeld+u.tokensOf(t) <= u.share.Tokens
}

// tokensOf returns the tokens that the ticket holds at this upstream. An
// estimate beyond what the upstream bears counts as all of it.
func (u *upstream) tokensOf(t *Ticket) int {
	if u.rule.MaxTokens == 0 {
		return t.Tokens
	}
	return min(t.Tokens, u.rule.MaxTokens)
}

// load orders upstreams that could take a ticket; lower is better.
func (u *upstream) load() float64 {
	return float64(u.requests+1) / float64(max(u.limit(), 1))
}

func (u *upstream) take(now time.Time, t *Ticket) {
	u.requests++
	t.held = u.tokensOf(t)
	u.tokensHeld += t.held
	if t.Suspect {
		u.suspects++
	}
	t.upstream = u
	t.rule = u.rule
	t.granted = now
	t.epoch = u.ramp.Level().Epoch
	t.waiting = false
	t.alone = t.Suspect && u.first
}

func (u *upstream) give(t *Ticket) {
	u.requests--
	u.tokensHeld -= t.held
	if t.Suspect {
		u.suspects--
	}
}

// observe learns from the outcome of an attempt that began in the epoch.
func (u *upstream) observe(now time.Time, epoch uint32, o Outcome, firstToken time.Duration) {
	switch o {
	case Answered:
		u.failures = 0
		u.downUntil = time.Time{}
		u.ramp.Answered(epoch, firstToken)
	case Refused, Unreachable:
		u.ramp.Cold(epoch)
		u.failed(now)
	case Broken:
		u.ramp.Cold(epoch)
		if u.failures++; u.failures >= brokenBeforeDown {
			u.failed(now)
		}
	case Abandoned, Failed:
	}
}

// failed leaves the upstream alone for a time that doubles with each failure.
func (u *upstream) failed(now time.Time) {
	u.downUntil = now.Add(min(maxDown, minDown<<min(u.failures, 10)))
	u.failures++
}
