package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// exclusion returns why an upstream would get no attempt, and for how long.
func exclusion(f *Fleet, id string) (Exclusion, time.Duration) {
	for _, c := range f.Explain(start, Criteria{Service: "s"}).Candidates {
		if c.Upstream.ID == id {
			return c.Excluded, c.Wait
		}
	}
	return "no candidate", 0
}

// TestForgetUnreachable lets two upstreams of each failure domain be unreachable, and forgets
// that one of them was.
func TestForgetUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFleet(9) // u6, u7 and u8 are not tried
	for range 2 {
		for i := range 6 {
			u := f.byID[testUpstream(i).ID]
			u.noteUnreachable(start)
			f.domainHealth(u.FailureDomain).noteUnreachable(start, u.ID)
		}
	}
	check := func(want ...Exclusion) {
		t.Helper()
		for i := range want {
			got, _ := exclusion(f, testUpstream(i).ID)
			is.Equal(got, want[i])
		}
	}
	check(Down, Down, Down, Down, Down, Down, DomainUnreachable, DomainUnreachable, DomainUnreachable)
	f.ForgetUnreachable(func(address string) bool { return address == testUpstream(0).Address })
	check("", Down, Down, Down, Down, Down, "", DomainUnreachable, DomainUnreachable)

	slot, _ := f.Pick(start, Criteria{Service: "s", Exclude: []string{"u6"}})
	is.Equal(slot.Upstream.ID, "u0")
	f.Release(start, slot, Unreachable)
	check(Down, Down, Down, Down, Down, Down, "") // one failure says nothing of the domain
	_, wait := exclusion(f, "u0")
	is.Equal(wait, minBackoff) // as after a first failure
}

func TestAcceptsWorkAt(t *testing.T) {
	const at = "10.0.0.0:80" // of u0
	tests := []struct {
		name    string
		change  func(f *Fleet)
		id      string // u0 if empty
		address string // at if empty
		want    bool
	}{
		{name: "registered", want: true},
		{name: "unknown", id: "u9"},
		{name: "address of another one", address: "10.0.0.1:80"},
		{name: "address that it has left", change: func(f *Fleet) { u := testUpstream(0); u.Address = "10.0.9.9:80"; f.Register(start, u) }},
		{name: "address that it has moved to", change: func(f *Fleet) { u := testUpstream(0); u.Address = "10.0.9.9:80"; f.Register(start, u) }, address: "10.0.9.9:80", want: true},
		{name: "draining", change: func(f *Fleet) { u := testUpstream(0); u.Draining = true; f.Register(start, u) }},
		{name: "gone", change: func(f *Fleet) { f.Withdraw("u0", start) }},
		{name: "gone later", change: func(f *Fleet) { f.Withdraw("u0", start.Add(time.Second)) }, want: true},
		{name: "failure domain out", change: func(f *Fleet) { f.SetDomainDisabled("d0", true) }},
		{name: "another failure domain out", change: func(f *Fleet) { f.SetDomainDisabled("d1", true) }, want: true},
		{name: "down", change: func(f *Fleet) { f.byID["u0"].noteUnreachable(start) }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3)
			if tt.change != nil {
				tt.change(f)
			}
			if tt.id == "" {
				tt.id = "u0"
			}
			if tt.address == "" {
				tt.address = at
			}
			is.New(t).Equal(f.AcceptsWorkAt(start, tt.id, tt.address), tt.want)
		})
	}
}
