package slot

import (
	"fmt"
	"testing"

	"banyanyard/core/rules"
	_ "banyanyard/core/seeded"

	"pgregory.net/rapid"
)

func newMembers(n, domains int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprintf("i%03d", i), Instance: fmt.Sprintf("m%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return list
}

func TestSubsetSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "members")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		upstream := rapid.String().Draw(t, "upstream")
		subset := Subset(upstream, "d0", newMembers(n, 3))
		if len(subset) != min(n, maxSubsetSize) {
			t.Fatalf("the subset has %d of %d members", len(subset), n)
		}
		sum := 0
		seen := map[string]bool{}
		for rank, m := range subset {
			sum += LimitForRank(limit, rank, len(subset))
			seen[m.ID] = true
		}
		if sum != limit || len(seen) != len(subset) {
			t.Fatalf("%d distinct members have shares that add up to %d, want %d", len(seen), sum, limit)
		}
		if subset[0].FailureDomain != "d0" {
			t.Fatal("the first rank is outside the upstream's failure domain")
		}
	})
}

const testLimit = 12

func oneUpstreamRules(t testing.TB, requests int) *rules.Set {
	set, err := rules.Parse(fmt.Sprintf(`failure-domain = { id = "d0", state = "in" } # T
service = { id = "s" } # T
upstream = { id = "u", failure-domain = "d0", address = "10.0.0.1:80", service = "s", max-requests = %d, max-tokens = 1000, cold-requests = 2 } # T
`, requests))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A cluster simulates several instances that learn of epochs and of each other
// late, in any order, or not at all.
type cluster struct {
	set       *rules.Set
	current   Epoch   // in the platform's table
	history   []Epoch // all epochs that were committed
	shares    map[string]*Shares
	ended     map[string]bool // instances by identifier
	transfers []Transfer      // sent and not delivered
	started   int             // number of instances
	adopt     func(*Shares, Epoch)
}

func newCluster(set *rules.Set, adopt func(*Shares, Epoch)) *cluster {
	return &cluster{set: set, shares: map[string]*Shares{}, ended: map[string]bool{}, adopt: adopt}
}

func (c *cluster) commit(e Epoch) {
	c.current = e
	c.history = append(c.history, e)
}

func (c *cluster) pick(t *rapid.T) *Shares {
	ids := make([]string, 0, len(c.shares))
	for i := range c.started {
		if id := fmt.Sprintf("i%d", i); !c.ended[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return c.shares[rapid.SampledFrom(ids).Draw(t, "instance")]
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"join": func(*rapid.T) {
			if c.started >= 7 {
				return
			}
			id := fmt.Sprintf("i%d", c.started)
			c.started++
			s := NewShares(id)
			s.SetRules(c.set)
			c.shares[id] = s
			c.commit(c.current.Next(0, Member{ID: id, FailureDomain: "d0"}, func(Member) bool { return false }))
		},
		"end": func(t *rapid.T) {
			if s := c.pick(t); s != nil {
				c.ended[s.self] = true
			}
		},
		"remove ended": func(*rapid.T) {
			c.commit(c.current.Next(0, Member{}, func(m Member) bool { return c.ended[m.ID] }))
		},
		"learn epoch": func(t *rapid.T) {
			if s := c.pick(t); s != nil && len(c.history) > 0 {
				c.adopt(s, rapid.SampledFrom(c.history).Draw(t, "epoch"))
			}
		},
		"hear epoch of another": func(t *rapid.T) {
			if a, b := c.pick(t), c.pick(t); a != nil && a != b {
				a.RecordActing(b.self, b.epoch.Number)
			}
		},
		"give": func(t *rapid.T) {
			if s := c.pick(t); s != nil {
				tr := Transfer{ID: fmt.Sprint(len(c.transfers)), Epoch: s.epoch.Number, Upstream: "u",
					Share: Share{Requests: rapid.IntRange(0, 3).Draw(t, "requests"), ColdRequests: rapid.IntRange(0, 1).Draw(t, "cold"), Tokens: rapid.IntRange(0, 300).Draw(t, "tokens")}}
				if s.TransferOut(tr) {
					c.transfers = append(c.transfers, tr)
				}
			}
		},
		"take": func(t *rapid.T) {
			if s := c.pick(t); s != nil && len(c.transfers) > 0 {
				i := rapid.IntRange(0, len(c.transfers)-1).Draw(t, "transfer")
				s.TransferIn(c.transfers[i])
				// A duplicate delivery to the same instance must have no effect.
				s.TransferIn(c.transfers[i])
				c.transfers = append(c.transfers[:i], c.transfers[i+1:]...)
			}
		},
	}
}

// excess returns a description of the running instances' shares if together
// they exceed a limit, or an empty string.
func (c *cluster) excess() string {
	var sum Share
	for id, s := range c.shares {
		if c.ended[id] {
			continue
		}
		o := s.Of("u")
		sum.Requests += o.Requests
		sum.ColdRequests += o.ColdRequests
		sum.Tokens += o.Tokens
	}
	if sum.Requests > testLimit || sum.ColdRequests > 2 || sum.Tokens > 1000 {
		return fmt.Sprintf("the shares of the running instances add up to %+v, more than the limits", sum)
	}
	return ""
}

func TestSharesNeverExceedLimit(t *testing.T) {
	set := oneUpstreamRules(t, testLimit)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(set, func(s *Shares, e Epoch) { s.Adopt(e, 0) })
		actions := c.actions()
		actions[""] = func(t *rapid.T) {
			if e := c.excess(); e != "" {
				t.Fatal(e)
			}
		}
		t.Repeat(actions)
	})
}

// TestExcessDetectsGrowthWithoutAgreement proves that the check of
// TestSharesNeverExceedLimit can fail.
func TestExcessDetectsGrowthWithoutAgreement(t *testing.T) {
	set := oneUpstreamRules(t, testLimit)
	adoptAndGrow := func(s *Shares, e Epoch) {
		if s.Adopt(e, 0) {
			for _, d := range s.allocations {
				d.current = d.target
			}
		}
	}
	c := newCluster(set, adoptAndGrow)
	for _, id := range []string{"i0", "i1"} {
		c.shares[id] = NewShares(id)
		c.shares[id].SetRules(set)
		c.commit(c.current.Next(0, Member{ID: id, FailureDomain: "d0"}, func(Member) bool { return false }))
	}
	c.adopt(c.shares["i0"], c.history[0])
	c.adopt(c.shares["i1"], c.history[1])
	if c.excess() == "" {
		t.Fatal("excess missed an instance whose share grew before the other's shrank")
	}
}

func TestSharesGrowOnceAllMembersAgree(t *testing.T) {
	set := oneUpstreamRules(t, testLimit)
	a, b := NewShares("a"), NewShares("b")
	epoch := Epoch{Number: 1, Members: []Member{{ID: "a", FailureDomain: "d0"}, {ID: "b", FailureDomain: "d0"}}}
	for _, s := range []*Shares{a, b} {
		s.SetRules(set)
		s.Adopt(epoch, 0)
	}
	a.RecordActing("b", 1)
	if got := a.Of("u").Requests; got != testLimit/2 {
		t.Fatalf("a has a share of %d requests", got)
	}
	if got := b.Of("u").Requests; got != 0 {
		t.Fatalf("b has a share of %d before it knows that a acts on the epoch, want 0", got)
	}
	b.RecordActing("a", 1)
	if got := b.Of("u").Requests; got != testLimit/2 {
		t.Fatalf("b has a share of %d requests", got)
	}
}

func TestRaisedLimitAppliesWithNextEpoch(t *testing.T) {
	a := NewShares("a")
	a.SetRules(oneUpstreamRules(t, testLimit))
	a.Adopt(Epoch{Number: 1, Members: []Member{{ID: "a"}}}, 1)
	a.SetRules(oneUpstreamRules(t, 2*testLimit))
	if a.Of("u").Requests != testLimit || !a.NeedsNewEpoch() {
		t.Fatalf("share of %d requests, needs new epoch: %t", a.Of("u").Requests, a.NeedsNewEpoch())
	}
	if a.Adopt(Epoch{Number: 2, Revision: 9, Members: []Member{{ID: "a"}}}, 8) {
		t.Fatal("adopted an epoch of a newer revision than the instance's rules")
	}
	a.Adopt(Epoch{Number: 2, Revision: 9, Members: []Member{{ID: "a"}}}, 9)
	if a.Of("u").Requests != 2*testLimit {
		t.Fatalf("share of %d requests", a.Of("u").Requests)
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{7, 50, 390} {
		list := newMembers(n, 5)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Subset("upstream", "d0", list)
			}
		})
	}
}
