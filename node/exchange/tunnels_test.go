package exchange

import (
	"testing"
	"time"

	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/reach"

	"github.com/matryer/is"
)

// addPeers adds other instances that live.
func addPeers(r *Router, ids ...string) {
	var all []member.Status
	for _, id := range ids {
		all = append(all, member.Status{State: member.Live, Identity: member.Identity{ID: id, Instance: "of " + id, Address: "call " + id, TunnelAddress: "tunnel " + id, FailureDomain: "d0"}})
	}
	r.SetPeers(all, func(member.Status) bool { return true })
}

// answerReached hands the router the answer of an instance which has just reached addresses.
func answerReached(r *Router, from string, addresses ...string) {
	q := &reach.Question{Addresses: addresses, At: time.Now().Add(time.Second)} // after all failures
	p := reach.Peer{ID: from, Instance: "of " + from, Address: "call " + from, Tunnel: "tunnel " + from, FailureDomain: "d0"}
	r.handleAnswer(p, q, reach.Answer{Reached: make([]time.Duration, len(addresses))})
}

func TestAllowTunnel(t *testing.T) {
	setDraining := func(r *Router, draining bool) {
		r.WithFleet(func(now time.Time, f *placement.Fleet) {
			f.Register(now, placement.Upstream{ID: "u0", Service: "s", Address: "0", FailureDomain: "d0", Version: "v1", Slots: 4, Draining: draining})
		})
	}
	tests := []struct {
		name                    string
		prepare                 func(r *Router)
		from, upstream, address string // a, u0 and its address if empty
		want                    bool
	}{
		{name: "known upstream", want: true},
		{name: "unknown member", from: "b"},
		{name: "member that has left", prepare: func(r *Router) { addPeers(r, "c") }},
		{name: "unknown upstream", upstream: "u9"},
		{name: "address of another upstream", address: "1"},
		{name: "address of no upstream", address: "9"},
		{name: "draining", prepare: func(r *Router) { setDraining(r, true) }},
		{name: "failure domain out", prepare: func(r *Router) {
			r.WithFleet(func(_ time.Time, f *placement.Fleet) { f.SetDomainDisabled("d0", true) })
		}},
		{name: "own path detoured", prepare: func(r *Router) { loseTestPaths(r, "0", "1") }},
		{name: "own path to another upstream detoured", prepare: func(r *Router) { loseTestPaths(r, "1") }, want: true},
		{name: "own path direct again", prepare: func(r *Router) { loseTestPaths(r, "0", "1"); r.RecordDial("0", nil, 0) }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(2)
			defer r.Log.Close()
			addPeers(r, "a")
			if tt.prepare != nil {
				tt.prepare(r)
			}
			orDefault := func(s, byDefault string) string {
				if s == "" {
					return byDefault
				}
				return s
			}
			err := r.AllowTunnel(orDefault(tt.from, "a"), orDefault(tt.upstream, "u0"), orDefault(tt.address, "0"))
			is.New(t).Equal(err == nil, tt.want)
		})
	}
}
