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

// memberStatusTimeout bounds the wait for the control goroutine.
const memberStatusTimeout = time.Second

// statusAsked asks for what is known about all instances.
type statusAsked struct {
	answer chan<- []operator.MemberStatus
}

func (e statusAsked) apply(c *control) {
	all := append([]member.Status{c.detector.Self()}, c.detector.Members()...)
	list := make([]operator.MemberStatus, 0, len(all))
	for _, s := range all {
		force, _ := c.gossip.Get(keyForce + s.ID)
		list = append(list, operator.MemberStatus{
			ID: s.ID, FailureDomain: s.FailureDomain, State: s.State.String(), Since: s.Since, Revision: int64(force.Version),
		})
	}
	e.answer <- list
}

func (n *Node) memberStatus() []operator.MemberStatus {
	ctx, cancel := context.WithTimeout(context.Background(), memberStatusTimeout)
	defer cancel()
	answer := make(chan []operator.MemberStatus, 1)
	list, err := ask(ctx, n, statusAsked{answer: answer}, answer)
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

func (c *charges) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Len()
}

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

// status returns the roll-outs of the rules, sorted.
func (r *rollouts) status(set *rules.Set) []operator.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []operator.RolloutStatus
	for _, model := range slices.Sorted(maps.Keys(set.Rollouts)) {
		rule := set.Rollouts[model]
		t := r.trial(rule)
		errors := t.total().New.Errors
		list = append(list, operator.RolloutStatus{
			Rollout: rule.StateKey(), SharePercent: t.state.SharePercent(rule.SharesPercent), Done: t.state.Done,
			StopReason: t.state.Stopped, Requests: errors.N(), Errors: errors.Bad,
		})
	}
	return list
}

// status returns what is known about the classes, sorted.
func (l *learners) status(now time.Time) []operator.ClassStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []operator.ClassStatus
	for k := range l.own {
		known := l.all(k)
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
