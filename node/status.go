package node

import (
	"time"

	"banyanyard/io/operator"
)

// Status implements operator.Instance.
func (n *Node) Status() operator.Status {
	s := operator.Status{
		Instance:       n.identity.ID,
		FailureDomain:  n.settings.Instance.FailureDomain,
		Ready:          n.Ready(),
		Leaving:        n.leaving.Load(),
		PendingCharges: n.charges.pending(),
		HeldBytes:      n.handler.HeldBytes(),
		Upstreams:      n.slots.status(time.Now()),
	}
	if snapshot := n.snapshot.Load(); snapshot != nil {
		s.Revision = snapshot.Head.Number
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
	views := s.dispatcher.Views(now)
	list := make([]operator.UpstreamStatus, 0, len(views))
	for _, v := range views {
		list = append(list, operator.UpstreamStatus{
			ID: v.ID, InService: v.InService, Warm: int(v.Level.Percent),
			Requests: v.Requests, Share: v.Share, Limit: v.Limit, Reachable: v.Reachable,
		})
	}
	return list
}
