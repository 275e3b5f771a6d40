package slot

import (
	"cmp"
	"slices"

	"banyanyard/core/rules"
)

// An Epoch is a list of members among which limits are dealt. Epochs are
// numbered by compare-and-set of one row of the platform's table.
type Epoch struct {
	Number   uint64   `json:"number"`
	Revision int64    `json:"revision"` // of the rules whose limits are dealt, or a later one
	Members  []Member `json:"members"`  // sorted by ID
}

// Has reports whether the instance is a member.
func (e *Epoch) Has(id string) bool {
	_, found := slices.BinarySearchFunc(e.Members, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	return found
}

// Next returns the epoch that follows, without the members that are gone and
// with one added. An empty member adds none.
func (e *Epoch) Next(revision int64, add Member, gone func(Member) bool) Epoch {
	members := slices.DeleteFunc(slices.Clone(e.Members), gone)
	if add.ID != "" && !e.Has(add.ID) {
		members = append(members, add)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Epoch{Number: e.Number + 1, Revision: max(revision, e.Revision), Members: members}
}

// A Share is what one instance may hold at one upstream.
type Share struct {
	Requests int `json:"requests"`
	Cold     int `json:"cold"`   // requests while the upstream is cold
	Tokens   int `json:"tokens"` // 0 where the upstream has no limit of tokens
}

func (s Share) min(o Share) Share {
	return Share{Requests: min(s.Requests, o.Requests), Cold: min(s.Cold, o.Cold), Tokens: min(s.Tokens, o.Tokens)}
}

// Shares are one instance's shares of all upstreams.
//
// An instance that adopts an epoch shrinks its shares to the new deal at once.
// They grow to it only when every other member is known to act on the same
// epoch, and has therefore shrunk its own. Within an epoch, members may
// transfer shares to each other: the giver's shrinks before the receiver's
// grows. A share that is lost with its holder comes back with the next epoch.
//
// Invariant: at any moment, the shares of one upstream at all instances
// together are at most its limit, whatever messages are late, lost or doubled,
// provided that instances which are removed from the members have ended.
type Shares struct {
	self      string
	epoch     Epoch
	acting    map[string]uint64 // newest epoch that each other member is known to act on
	agreed    bool              // every member acts on epoch
	upstreams map[string]*dealt
	known     map[string]bool // upstreams that the rules had since the epoch was adopted
	received  map[string]bool // transfers already taken in this epoch
	stale     bool            // a limit has changed since the epoch was adopted
}

// dealt is the share of one upstream.
type dealt struct {
	rule    *rules.Upstream
	first   bool  // this instance has the first rank
	target  Share // by the deal of the epoch
	current Share
}

// NewShares returns the shares of an instance that is no member yet: none.
func NewShares(self string) *Shares {
	return &Shares{
		self:      self,
		acting:    map[string]uint64{},
		upstreams: map[string]*dealt{},
		known:     map[string]bool{},
		received:  map[string]bool{},
	}
}

// Epoch returns the epoch that the instance acts on.
func (s *Shares) Epoch() Epoch { return s.epoch }

// Member reports whether the instance is a member of its epoch.
func (s *Shares) Member() bool { return s.epoch.Has(s.self) }

// Agreed reports whether every member is known to act on the epoch.
func (s *Shares) Agreed() bool { return s.agreed }

// Stale reports whether a limit has changed in a way that only a new epoch can
// deal.
func (s *Shares) Stale() bool { return s.stale }

// Adopt acts on a newer epoch, once the rules are as new as the epoch's. It
// reports whether it did.
func (s *Shares) Adopt(e Epoch, revision int64) bool {
	if e.Number <= s.epoch.Number || revision < e.Revision {
		return false
	}
	s.epoch = e
	s.agreed = false
	s.stale = false
	clear(s.received)
	clear(s.known)
	for id, d := range s.upstreams {
		s.known[id] = true
		d.target, d.first = s.deal(d.rule)
		d.current = d.current.min(d.target)
	}
	s.grow()
	return true
}

// Acts records the epoch that another instance acts on.
func (s *Shares) Acts(id string, number uint64) {
	if number <= s.acting[id] {
		return
	}
	s.acting[id] = number
	s.grow()
}

// Acting returns the newest epoch that another instance is known to act on.
func (s *Shares) Acting(id string) uint64 { return s.acting[id] }

// grow raises the shares to the deal when every member acts on the same epoch.
// A member that acts on a newer one may have left this one out and kept more.
func (s *Shares) grow() {
	if s.agreed || !s.Member() {
		return
	}
	for _, m := range s.epoch.Members {
		if m.ID != s.self && s.acting[m.ID] != s.epoch.Number {
			return
		}
	}
	s.agreed = true
	for _, d := range s.upstreams {
		d.current = d.target
	}
}

// SetRules takes new rules into account. A limit that changed shrinks the share
// at once and grows it with the next epoch, and so does an upstream that the
// rules had before in this epoch, since members that have missed a revision may
// still hold transfers of it.
func (s *Shares) SetRules(set *rules.Set) {
	for id := range s.upstreams {
		if set.Upstreams[id] == nil {
			delete(s.upstreams, id)
		}
	}
	for id, rule := range set.Upstreams {
		s.setRule(id, rule)
		s.known[id] = true
	}
}

func (s *Shares) setRule(id string, rule *rules.Upstream) {
	d := s.upstreams[id]
	if d != nil && sameLimits(d.rule, rule) {
		d.rule = rule
		return
	}
	target, first := s.deal(rule)
	switch {
	case d != nil:
		d.rule, d.first, d.target, d.current = rule, first, target, d.current.min(target)
		s.stale = true
	case s.known[id]:
		s.upstreams[id] = &dealt{rule: rule, first: first, target: target}
		s.stale = true
	case s.agreed:
		s.upstreams[id] = &dealt{rule: rule, first: first, target: target, current: target}
	default:
		s.upstreams[id] = &dealt{rule: rule, first: first, target: target}
	}
}

func sameLimits(a, b *rules.Upstream) bool {
	return a.FailureDomain == b.FailureDomain && a.MaxRequests == b.MaxRequests && a.MaxTokens == b.MaxTokens && a.ColdRequests == b.ColdRequests
}

// deal returns this instance's share of an upstream, and whether it has the
// first rank.
func (s *Shares) deal(u *rules.Upstream) (Share, bool) {
	subset := Subset(u.ID, u.FailureDomain, s.epoch.Members)
	rank := slices.IndexFunc(subset, func(m Member) bool { return m.ID == s.self })
	return Share{
		Requests: Part(u.MaxRequests, rank, len(subset)),
		Cold:     Part(max(u.ColdRequests, 1), rank, len(subset)),
		Tokens:   Part(u.MaxTokens, rank, len(subset)),
	}, rank == 0
}

// Of returns the share of an upstream.
func (s *Shares) Of(upstream string) Share {
	if d := s.upstreams[upstream]; d != nil {
		return d.current
	}
	return Share{}
}

// First reports whether this instance has the first rank at an upstream. At
// most one instance of those that act on the epoch has it.
func (s *Shares) First(upstream string) bool {
	d := s.upstreams[upstream]
	return d != nil && d.first && s.agreed
}

// Any reports whether the instance has a share of any upstream.
func (s *Shares) Any() bool {
	for _, d := range s.upstreams {
		if d.current.Requests > 0 {
			return true
		}
	}
	return false
}

// A Transfer moves a share from one member to another.
type Transfer struct {
	ID       string `json:"id"` // unique; a transfer is taken once
	Epoch    uint64 `json:"epoch"`
	Upstream string `json:"upstream"`
	Share    Share  `json:"share"`
}

// Give takes a part of the share away for another member. It returns false
// when the share is smaller.
func (s *Shares) Give(t Transfer) bool {
	d := s.upstreams[t.Upstream]
	if d == nil || t.Epoch != s.epoch.Number || t.Share.min(d.current) != t.Share {
		return false
	}
	d.current.Requests -= t.Share.Requests
	d.current.Cold -= t.Share.Cold
	d.current.Tokens -= t.Share.Tokens
	return true
}

// Take adds a share that another member gave. A transfer of another epoch is
// lost, since its share is dealt anew.
func (s *Shares) Take(t Transfer) bool {
	d := s.upstreams[t.Upstream]
	if d == nil || t.Epoch != s.epoch.Number || !s.Member() || s.received[t.ID] {
		return false
	}
	s.received[t.ID] = true
	d.current.Requests += t.Share.Requests
	d.current.Cold += t.Share.Cold
	d.current.Tokens += t.Share.Tokens
	return true
}
