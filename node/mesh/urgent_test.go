package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"

	"github.com/matryer/is"
)

func newTestState() *state {
	now := time.Now()
	m := &Mesh{calls: make(chan func(*state), callBacklog)}
	return &state{mesh: m, ctx: context.Background(), detector: member.New(member.Identity{ID: "i0-1", Instance: "i0"}, 1, 1), started: now}
}

// TestUrgentEntriesAreForgotten checks that urgent entries do not collect, however many
// come, and that ordinary ones stay.
func TestUrgentEntriesAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newTestState()
	now := time.Now()
	is.True(s.putEntry(now, gossip.Entry{Key: "ordinary", Version: 1}))
	for i := range 2 * maxUrgentKept {
		is.True(s.putEntry(now, gossip.Entry{Key: fmt.Sprint("urgent-", i), Version: 1, Urgent: true}))
	}
	s.forgetUrgent(now)
	is.Equal(s.entries.Len(), maxUrgentKept+1)
	s.forgetUrgent(now.Add(urgentSendTime))
	is.Equal(len(s.entries.Outgoing(8, 1<<30)), 1) // the ordinary one
	s.forgetUrgent(now.Add(urgentRetention))
	is.Equal(s.entries.Len(), 1)
}

// TestNewerVersionOutlivesOlderOne checks that an entry which has changed is kept from its
// newest change on.
func TestNewerVersionOutlivesOlderOne(t *testing.T) {
	is := is.New(t)
	s := newTestState()
	now := time.Now()
	is.True(s.putEntry(now, gossip.Entry{Key: "k", Version: 1, Urgent: true}))
	is.True(s.putEntry(now.Add(urgentSendTime-time.Second), gossip.Entry{Key: "k", Version: 2, Urgent: true}))
	s.forgetUrgent(now.Add(urgentSendTime))
	is.Equal(len(s.entries.Outgoing(8, 1<<30)), 1)
}
