package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/member"
	"banyanyard/core/rules"
	"banyanyard/core/tally"
	"banyanyard/io/operator"
)

// memberStatusTimeout bounds the wait for the control goroutine's answer.
const memberStatusTimeout = time.Second

// memberStatusEvent asks for the statuses of all known members, this instance
// first.
type memberStatusEvent struct {
	answer chan<- []operator.MemberStatus
}

func (e memberStatusEvent) apply(c *control) {
	all := append([]member.Status{c.detector.Self()}, c.detector.Members()...)
	list := make([]operator.MemberStatus, 0, len(all))
	for _, s := range all {
		inForce, _ := c.gossip.Get(keyInForce + s.ID)
		list = append(list, operator.MemberStatus{
			ID: s.ID, FailureDomain: s.FailureDomain, State: s.State.String(), Since: s.Since, Revision: int64(inForce.Version),
		})
	}
	e.answer <- list
}

// memberStatus returns the statuses of all known members, or nil if the control
// goroutine does not answer in time.
func (n *Node) memberStatus() []operator.MemberStatus {
	ctx, cancel := context.WithTimeout(context.Background(), memberStatusTimeout)
	defer cancel()
	answer := make(chan []operator.MemberStatus, 1)
	list, err := sendAndWait(ctx, n, memberStatusEvent{answer: answer}, answer)
	if err != nil {
		return nil
	}
	return list
}

// Status implements operator.Instance.
func (n *Node) Status() operator.Status {
	s := operator.Status{
		Instance:       n.identity.ID,
		FailureDomain:  n.settings.Instance.FailureDomain,
		Ready:          n.Ready(),
		Leaving:        n.leaving.Load(),
		PendingCharges: n.charges.pending(),
		HeldBytes:      n.handler.HeldBytes(),
		Members:        n.memberStatus(),
		Upstreams:      n.slots.status(time.Now()),
		Classes:        n.learners.status(time.Now()),
	}
	if snapshot := n.snapshot.Load(); snapshot != nil {
		s.Revision = snapshot.Head.Number
		s.Rollouts = n.rollouts.status(snapshot.Rules)
	}
	return s
}

// pending returns the number of charges that are not written to the table.
func (c *charges) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Len()
}

// status returns the statuses of the upstreams.
func (s *slots) status(now time.Time) []operator.UpstreamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	views := s.dispatcher.UpstreamStatuses(now)
	list := make([]operator.UpstreamStatus, 0, len(views))
	for _, v := range views {
		list = append(list, operator.UpstreamStatus{
			ID: v.ID, InService: v.InService, WarmPercent: int(v.Level.Percent),
			Inflight: v.Requests, Share: v.Share, Limit: v.Limit, Reachable: v.Reachable,
		})
	}
	return list
}

// status returns the statuses of the rules' roll-outs, sorted by model.
func (r *rollouts) status(set *rules.Set) []operator.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []operator.RolloutStatus
	for _, model := range slices.Sorted(maps.Keys(set.Rollouts)) {
		rule := set.Rollouts[model]
		t := r.progress(rule)
		errors := t.total().New.Errors
		list = append(list, operator.RolloutStatus{
			Rollout: rule.StateKey(), SharePercent: t.state.SharePercent(rule.SharesPercent), Done: t.state.Done,
			StopReason: t.state.Stopped, Requests: errors.N(), Errors: errors.Bad,
		})
	}
	return list
}

// status returns the statuses of the classes for which this instance has a
// learner, sorted by organisation and class.
func (l *learners) status(now time.Time) []operator.ClassStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []operator.ClassStatus
	for k := range l.own {
		known := l.merged(k)
		var sum tally.Counts
		for b := range known.Ratings {
			sum = sum.Plus(known.Ratings[b].Sum(now, cascade.SlotLength))
		}
		list = append(list, operator.ClassStatus{
			Organisation: k.organisation, Class: k.class, Ratings: sum.N(), Sufficed: sum.Rate(), NewestRating: known.NewestRating,
		})
	}
	slices.SortFunc(list, func(a, b operator.ClassStatus) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return list
}
