package slot

import (
	"cmp"
	"slices"

	"banyanyard/core/rules"
)

// An Epoch is a numbered list of the members among which limits are divided. The
// number is incremented by compare-and-set of one row of the platform's table.
type Epoch struct {
	Number   uint64   `json:"number"`
	Revision int64    `json:"revision"` // least revision of the rules with which a member may adopt the epoch
	Members  []Member `json:"members"`  // sorted by ID
}

// HasMember reports whether the epoch has a member with the identifier.
func (e *Epoch) HasMember(id string) bool {
	_, found := slices.BinarySearchFunc(e.Members, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	return found
}

// Next returns the following epoch, without the members for which gone is true
// and with add. An empty add adds none.
func (e *Epoch) Next(revision int64, add Member, gone func(Member) bool) Epoch {
	members := slices.DeleteFunc(slices.Clone(e.Members), gone)
	if add.ID != "" && !e.HasMember(add.ID) {
		members = append(members, add)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Epoch{Number: e.Number + 1, Revision: max(revision, e.Revision), Members: members}
}

// A Share is the part of one upstream's limits that one instance may use.
type Share struct {
	Requests     int `json:"requests"`
	ColdRequests int `json:"cold"`   // requests while the upstream is cold
	Tokens       int `json:"tokens"` // 0 if the upstream has no token limit
}

// min returns the lesser of each part of two shares.
func (s Share) min(o Share) Share {
	return Share{Requests: min(s.Requests, o.Requests), ColdRequests: min(s.ColdRequests, o.ColdRequests), Tokens: min(s.Tokens, o.Tokens)}
}

// Shares tracks one instance's shares of all upstreams.
//
// An instance that adopts an epoch shrinks its shares to the new allocation at
// once. They grow to it only when every other member is known to act on the same
// epoch, and has therefore shrunk its own. Within an epoch, members may transfer
// shares to each other: the sender's share shrinks before the receiver's grows.
// A share that is lost with its holder is allocated again in the next epoch.
//
// Shares is not safe for concurrent use.
//
// Invariant: at any moment, the shares of one upstream at all instances together
// are at most its limit, even if messages are late, lost or duplicated, provided
// that instances which are removed from the members have ended.
type Shares struct {
	self              string
	epoch             Epoch
	actingEpochs      map[string]uint64 // newest epoch that each other member is known to act on
	agreed            bool              // every member has been known to act on epoch
	allocations       map[string]*allocation
	seenUpstreams     map[string]bool // upstreams in the rules at any time since the epoch was adopted
	receivedTransfers map[string]bool // identifiers of the transfers applied in this epoch
	needsNewEpoch     bool            // limits have changed since the epoch was adopted
}

// An allocation is this instance's share of one upstream.
type allocation struct {
	rule      *rules.Upstream
	firstRank bool  // this instance has the first rank
	target    Share // allocated by the epoch
	current   Share
}

// NewShares returns the empty shares of an instance that isn't a member of an
// epoch yet.
func NewShares(self string) *Shares {
	return &Shares{
		self:              self,
		actingEpochs:      map[string]uint64{},
		allocations:       map[string]*allocation{},
		seenUpstreams:     map[string]bool{},
		receivedTransfers: map[string]bool{},
	}
}

// Epoch returns the epoch that this instance acts on.
func (s *Shares) Epoch() Epoch { return s.epoch }

// IsMember reports whether this instance is a member of its epoch.
func (s *Shares) IsMember() bool { return s.epoch.HasMember(s.self) }

// Agreed reports whether every member of the epoch has been known to act on it.
func (s *Shares) Agreed() bool { return s.agreed }

// NeedsNewEpoch reports whether limits have changed in a way that only a new
// epoch can put into effect.
func (s *Shares) NeedsNewEpoch() bool { return s.needsNewEpoch }

// Adopt acts on a newer epoch if the instance has at least the epoch's revision
// of the rules. It reports whether it did.
func (s *Shares) Adopt(e Epoch, revision int64) bool {
	if e.Number <= s.epoch.Number || revision < e.Revision {
		return false
	}
	s.epoch = e
	s.agreed = false
	s.needsNewEpoch = false
	clear(s.receivedTransfers)
	clear(s.seenUpstreams)
	for id, a := range s.allocations {
		s.seenUpstreams[id] = true
		a.target, a.firstRank = s.allocate(a.rule)
		a.current = a.current.min(a.target)
	}
	s.growIfAgreed()
	return true
}

// RecordActing records the number of the epoch that another instance acts on.
func (s *Shares) RecordActing(id string, number uint64) {
	if number <= s.actingEpochs[id] {
		return
	}
	s.actingEpochs[id] = number
	s.growIfAgreed()
}

// ActingEpoch returns the number of the newest epoch that another instance is
// known to act on, or 0.
func (s *Shares) ActingEpoch(id string) uint64 { return s.actingEpochs[id] }

// growIfAgreed raises the shares to the allocation if every member acts on this
// very epoch. A member on a newer epoch, from which this instance may have been
// removed, can hold more than this epoch allocates to it.
func (s *Shares) growIfAgreed() {
	if s.agreed || !s.IsMember() {
		return
	}
	for _, m := range s.epoch.Members {
		if m.ID != s.self && s.actingEpochs[m.ID] != s.epoch.Number {
			return
		}
	}
	s.agreed = true
	for _, a := range s.allocations {
		a.current = a.target
	}
}

// SetRules replaces the rules. If a limit changes, the share shrinks at once but
// grows only with the next epoch. An upstream that was removed and returns in
// the same epoch gets no share until the next one, since members that missed a
// revision may still hold shares of it that were transferred to them.
func (s *Shares) SetRules(set *rules.Set) {
	for id := range s.allocations {
		if set.Upstreams[id] == nil {
			delete(s.allocations, id)
		}
	}
	for id, rule := range set.Upstreams {
		s.setRule(id, rule)
		s.seenUpstreams[id] = true
	}
}

func (s *Shares) setRule(id string, rule *rules.Upstream) {
	a := s.allocations[id]
	if a != nil && sameLimits(a.rule, rule) {
		a.rule = rule
		return
	}
	target, first := s.allocate(rule)
	switch {
	case a != nil:
		a.rule, a.firstRank, a.target, a.current = rule, first, target, a.current.min(target)
		s.needsNewEpoch = true
	case s.seenUpstreams[id]:
		s.allocations[id] = &allocation{rule: rule, firstRank: first, target: target}
		s.needsNewEpoch = true
	case s.agreed:
		s.allocations[id] = &allocation{rule: rule, firstRank: first, target: target, current: target}
	default:
		s.allocations[id] = &allocation{rule: rule, firstRank: first, target: target}
	}
}

func sameLimits(a, b *rules.Upstream) bool {
	return a.FailureDomain == b.FailureDomain && a.MaxRequests == b.MaxRequests && a.MaxTokens == b.MaxTokens && a.ColdRequests == b.ColdRequests
}

// allocate returns this instance's share of an upstream by the epoch, and whether
// it has the first rank.
func (s *Shares) allocate(u *rules.Upstream) (Share, bool) {
	subset := Subset(u.ID, u.FailureDomain, s.epoch.Members)
	rank := slices.IndexFunc(subset, func(m Member) bool { return m.ID == s.self })
	return Share{
		Requests:     LimitForRank(u.MaxRequests, rank, len(subset)),
		ColdRequests: LimitForRank(max(u.ColdRequests, 1), rank, len(subset)),
		Tokens:       LimitForRank(u.MaxTokens, rank, len(subset)),
	}, rank == 0
}

// Of returns the current share of an upstream, which is zero for an unknown one.
func (s *Shares) Of(upstream string) Share {
	if a := s.allocations[upstream]; a != nil {
		return a.current
	}
	return Share{}
}

// HasFirstRank reports whether this instance has the first rank at an upstream
// and all members agree on the epoch, so that no other instance has it.
func (s *Shares) HasFirstRank(upstream string) bool {
	a := s.allocations[upstream]
	return a != nil && a.firstRank && s.agreed
}

// HasAny reports whether this instance may hold requests at any upstream.
func (s *Shares) HasAny() bool {
	for _, a := range s.allocations {
		if a.current.Requests > 0 {
			return true
		}
	}
	return false
}

// A Transfer moves a part of a share from one member to another.
type Transfer struct {
	ID       string `json:"id"` // unique; a receiver applies a transfer once
	Epoch    uint64 `json:"epoch"`
	Upstream string `json:"upstream"`
	Share    Share  `json:"share"`
}

// TransferOut subtracts a transfer to another member. It returns false and
// subtracts nothing if the share is smaller or the epoch differs.
func (s *Shares) TransferOut(t Transfer) bool {
	a := s.allocations[t.Upstream]
	if a == nil || t.Epoch != s.epoch.Number || t.Share.min(a.current) != t.Share {
		return false
	}
	a.current.Requests -= t.Share.Requests
	a.current.ColdRequests -= t.Share.ColdRequests
	a.current.Tokens -= t.Share.Tokens
	return true
}

// TransferIn adds a transfer from another member and reports whether it did. A
// transfer of another epoch is dropped, since that epoch's shares are allocated
// again.
func (s *Shares) TransferIn(t Transfer) bool {
	a := s.allocations[t.Upstream]
	if a == nil || t.Epoch != s.epoch.Number || !s.IsMember() || s.receivedTransfers[t.ID] {
		return false
	}
	s.receivedTransfers[t.ID] = true
	a.current.Requests += t.Share.Requests
	a.current.ColdRequests += t.Share.ColdRequests
	a.current.Tokens += t.Share.Tokens
	return true
}
