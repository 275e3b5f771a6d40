package dispatch

import (
	"time"

	"banyanyard/core/slot"
)

// maxNeed is the most requests for which one need asks.
const maxNeed = 8

// A Need is what waiting tickets lack.
type Need struct {
	Pool     Pool
	Upstream string // the only upstream that helps; empty for any of the pool
	Requests int
	Tokens   int // of the largest single request
}

// Needs returns what the waiting tickets of each pool lack.
func (d *Dispatcher) Needs(now time.Time) []Need {
	var needs []Need
	for key, p := range d.pools {
		if p.queue.size == 0 {
			continue
		}
		n := Need{Pool: key, Requests: min(maxNeed, p.queue.size)}
		p.queue.each(func(t *Ticket) { n.Tokens = max(n.Tokens, t.Tokens) })
		n.Upstream = p.short(now, n.Tokens)
		needs = append(needs, n)
	}
	return needs
}

// short returns the upstream whose share of tokens is too small for a single
// request though none is held, so that only more of the same upstream helps.
func (p *pool) short(now time.Time, tokens int) string {
	var best *upstream
	for _, us := range [...][]*upstream{p.near, p.far} {
		for _, u := range us {
			if u.rule.MaxTokens == 0 || now.Before(u.downUntil) {
				continue
			}
			if best == nil || u.share.Tokens > best.share.Tokens {
				best = u
			}
		}
	}
	if best == nil || best.share.Tokens >= min(tokens, best.rule.MaxTokens) {
		return ""
	}
	return best.rule.ID
}

// Spare returns the part of this instance's shares that another instance's need
// may have: half of what is free at the upstream with the most room, and at
// least one request. The caller takes the part away from the shares.
func (d *Dispatcher) Spare(now time.Time, n Need) (upstreamID string, part slot.Share) {
	p := d.pools[n.Pool]
	if p == nil || p.queue.size > 0 {
		return "", slot.Share{}
	}
	var best *upstream
	for _, us := range [...][]*upstream{p.far, p.near} {
		for _, u := range us {
			if n.Upstream != "" && u.rule.ID != n.Upstream || now.Before(u.downUntil) || u.room() <= 0 {
				continue
			}
			if best == nil || u.room() > best.room() {
				best = u
			}
		}
	}
	if best == nil {
		return "", slot.Share{}
	}
	return best.rule.ID, best.part(n)
}

// room returns the requests that the upstream could take now, or 0 when it has
// no tokens left.
func (u *upstream) room() int {
	if u.rule.MaxTokens > 0 && u.tokensHeld >= u.share.Tokens {
		return 0
	}
	return u.limit() - u.requests
}

// part returns what an upstream with room gives up for a need.
func (u *upstream) part(n Need) slot.Share {
	half := (u.room() + 1) / 2
	part := slot.Share{Requests: min(n.Requests, half)}
	part.Cold = min(part.Requests, u.share.Cold)
	if u.rule.MaxTokens > 0 {
		free := u.share.Tokens - u.tokensHeld
		part.Tokens = min(free, max(n.Tokens, u.share.Tokens*part.Requests/u.share.Requests))
	}
	return part
}
