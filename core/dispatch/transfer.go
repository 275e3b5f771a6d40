package dispatch

import (
	"time"

	"banyanyard/core/slot"
)

// maxNeededRequests is the most requests that one Need asks for.
const maxNeededRequests = 8

// A Need is the capacity that the waiting tickets of a pool lack.
type Need struct {
	Pool     PoolKey
	Upstream string // identifier of the upstream whose share is too small; empty for any of the pool
	Requests int    // number of requests to add to the share
	Tokens   int    // of the largest waiting request
}

// Needs returns a Need for each pool with waiting tickets.
func (d *Dispatcher) Needs(now time.Time) []Need {
	var needs []Need
	for key, p := range d.pools {
		if p.queue.size == 0 {
			continue
		}
		n := Need{Pool: key, Requests: min(maxNeededRequests, p.queue.size)}
		p.queue.each(func(t *Ticket) { n.Tokens = max(n.Tokens, t.Tokens) })
		n.Upstream = p.upstreamShortOfTokens(now, n.Tokens)
		needs = append(needs, n)
	}
	return needs
}

// upstreamShortOfTokens returns the identifier of the reachable upstream with
// the largest share of tokens if even that, with nothing held, is too small for
// a request of this size, so that only a larger share of it helps. Otherwise it
// returns the empty string.
func (p *pool) upstreamShortOfTokens(now time.Time, tokens int) string {
	var best *upstream
	for _, us := range [...][]*upstream{p.local, p.remote} {
		for _, u := range us {
			if u.rule.MaxTokens == 0 || now.Before(u.backoffUntil) {
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

// SpareShare returns the part of this instance's shares that can be transferred
// to another instance for its need: up to half of the free requests, rounded up,
// at the upstream with the most. It returns an empty identifier if there is
// none. The caller subtracts the part from the shares.
func (d *Dispatcher) SpareShare(now time.Time, n Need) (upstreamID string, part slot.Share) {
	p := d.pools[n.Pool]
	if p == nil || p.queue.size > 0 {
		return "", slot.Share{}
	}
	var best *upstream
	for _, us := range [...][]*upstream{p.remote, p.local} {
		for _, u := range us {
			if n.Upstream != "" && u.rule.ID != n.Upstream || now.Before(u.backoffUntil) || u.freeRequests() <= 0 {
				continue
			}
			if best == nil || u.freeRequests() > best.freeRequests() {
				best = u
			}
		}
	}
	if best == nil {
		return "", slot.Share{}
	}
	return best.rule.ID, best.spareShare(n)
}

// freeRequests returns the number of requests that the upstream could take now,
// or 0 if it has no tokens left.
func (u *upstream) freeRequests() int {
	if u.rule.MaxTokens > 0 && u.heldTokens >= u.share.Tokens {
		return 0
	}
	return u.limit() - u.heldRequests
}

// spareShare returns the part of the share of an upstream with free requests
// that can be transferred for a need.
func (u *upstream) spareShare(n Need) slot.Share {
	half := (u.freeRequests() + 1) / 2
	part := slot.Share{Requests: min(n.Requests, half)}
	part.ColdRequests = min(part.Requests, u.share.ColdRequests)
	if u.rule.MaxTokens > 0 {
		free := u.share.Tokens - u.heldTokens
		part.Tokens = min(free, max(n.Tokens, u.share.Tokens*part.Requests/u.share.Requests))
	}
	return part
}
