package slot

import (
	"fmt"
	"testing"

	"banyanyard/core/rules"
	_ "banyanyard/core/seeded"

	"pgregory.net/rapid"
)

func members(n, domains int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprintf("i%03d", i), Instance: fmt.Sprintf("m%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return list
}

func TestDealAddsUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "members")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		upstream := rapid.String().Draw(t, "upstream")
		subset := Subset(upstream, "d0", members(n, 3))
		if len(subset) != min(n, subsetSize) {
			t.Fatalf("%d of %d members in the subset", len(subset), n)
		}
		sum := 0
		seen := map[string]bool{}
		for rank, m := range subset {
			sum += Part(limit, rank, len(subset))
			seen[m.ID] = true
		}
		if sum != limit || len(seen) != len(subset) {
			t.Fatalf("%d members got %d of %d", len(seen), sum, limit)
		}
		if subset[0].FailureDomain != "d0" {
			t.Fatal("the upstream's own failure domain has no share")
		}
	})
}

const limit = 12

func oneUpstream(t testing.TB, requests int) *rules.Set {
	set, err := rules.Parse(fmt.Sprintf(`failure-domain = { id = "d0", state = "in" } # T
service = { id = "s" } # T
upstream = { id = "u", failure-domain = "d0", address = "10.0.0.1:80", service = "s", max-requests = %d, max-tokens = 1000, cold-requests = 2 } # T
`, requests))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A world is several instances that learn of epochs and of each other late, in
// any order, or not at all.
type world struct {
	set       *rules.Set
	row       Epoch // the table's
	history   []Epoch
	shares    map[string]*Shares
	ended     map[string]bool
	transfers []Transfer
	made      int
	adopt     func(*Shares, Epoch)
}

func newWorld(set *rules.Set, adopt func(*Shares, Epoch)) *world {
	return &world{set: set, shares: map[string]*Shares{}, ended: map[string]bool{}, adopt: adopt}
}

func (w *world) commit(e Epoch) {
	w.row = e
	w.history = append(w.history, e)
}

func (w *world) pick(t *rapid.T) *Shares {
	ids := make([]string, 0, len(w.shares))
	for i := range w.made {
		if id := fmt.Sprintf("i%d", i); !w.ended[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return w.shares[rapid.SampledFrom(ids).Draw(t, "instance")]
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"join": func(*rapid.T) {
			if w.made >= 7 {
				return
			}
			id := fmt.Sprintf("i%d", w.made)
			w.made++
			s := NewShares(id)
			s.SetRules(w.set)
			w.shares[id] = s
			w.commit(w.row.Next(0, Member{ID: id, FailureDomain: "d0"}, func(Member) bool { return false }))
		},
		"end": func(t *rapid.T) {
			if s := w.pick(t); s != nil {
				w.ended[s.self] = true
			}
		},
		"remove ended": func(*rapid.T) {
			w.commit(w.row.Next(0, Member{}, func(m Member) bool { return w.ended[m.ID] }))
		},
		"learn epoch": func(t *rapid.T) {
			if s := w.pick(t); s != nil && len(w.history) > 0 {
				w.adopt(s, rapid.SampledFrom(w.history).Draw(t, "epoch"))
			}
		},
		"hear of another": func(t *rapid.T) {
			if a, b := w.pick(t), w.pick(t); a != nil && a != b {
				a.Acts(b.self, b.epoch.Number)
			}
		},
		"give": func(t *rapid.T) {
			if s := w.pick(t); s != nil {
				tr := Transfer{ID: fmt.Sprint(len(w.transfers)), Epoch: s.epoch.Number, Upstream: "u",
					Share: Share{Requests: rapid.IntRange(0, 3).Draw(t, "requests"), Cold: rapid.IntRange(0, 1).Draw(t, "cold"), Tokens: rapid.IntRange(0, 300).Draw(t, "tokens")}}
				if s.Give(tr) {
					w.transfers = append(w.transfers, tr)
				}
			}
		},
		"take": func(t *rapid.T) {
			if s := w.pick(t); s != nil && len(w.transfers) > 0 {
				i := rapid.IntRange(0, len(w.transfers)-1).Draw(t, "transfer")
				s.Take(w.transfers[i])
				// Another delivery to the same instance must have no effect.
				s.Take(w.transfers[i])
				w.transfers = append(w.transfers[:i], w.transfers[i+1:]...)
			}
		},
	}
}

// excess returns what the live instances hold beyond the limits.
func (w *world) excess() string {
	var sum Share
	for id, s := range w.shares {
		if w.ended[id] {
			continue
		}
		o := s.Of("u")
		sum.Requests += o.Requests
		sum.Cold += o.Cold
		sum.Tokens += o.Tokens
	}
	if sum.Requests > limit || sum.Cold > 2 || sum.Tokens > 1000 {
		return fmt.Sprintf("together the instances hold %+v", sum)
	}
	return ""
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	set := oneUpstream(t, limit)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(set, func(s *Shares, e Epoch) { s.Adopt(e, 0) })
		actions := w.actions()
		actions[""] = func(t *rapid.T) {
			if e := w.excess(); e != "" {
				t.Fatal(e)
			}
		}
		t.Repeat(actions)
	})
}

// TestCheckCatchesGrowthWithoutAgreement proves that the check above can fail.
func TestCheckCatchesGrowthWithoutAgreement(t *testing.T) {
	set := oneUpstream(t, limit)
	unsafe := func(s *Shares, e Epoch) {
		if s.Adopt(e, 0) {
			for _, d := range s.upstreams {
				d.current = d.target
			}
		}
	}
	w := newWorld(set, unsafe)
	for _, id := range []string{"i0", "i1"} {
		w.shares[id] = NewShares(id)
		w.shares[id].SetRules(set)
		w.commit(w.row.Next(0, Member{ID: id, FailureDomain: "d0"}, func(Member) bool { return false }))
	}
	w.adopt(w.shares["i0"], w.history[0])
	w.adopt(w.shares["i1"], w.history[1])
	if w.excess() == "" {
		t.Fatal("the check missed an instance that grew before the other shrank")
	}
}

func TestSharesReachTheDealOnceAllAgree(t *testing.T) {
	set := oneUpstream(t, limit)
	a, b := NewShares("a"), NewShares("b")
	epoch := Epoch{Number: 1, Members: []Member{{ID: "a", FailureDomain: "d0"}, {ID: "b", FailureDomain: "d0"}}}
	for _, s := range []*Shares{a, b} {
		s.SetRules(set)
		s.Adopt(epoch, 0)
	}
	a.Acts("b", 1)
	if got := a.Of("u").Requests; got != limit/2 {
		t.Fatalf("a holds %d", got)
	}
	if got := b.Of("u").Requests; got != 0 {
		t.Fatalf("b holds %d before it knows that a acts on the epoch", got)
	}
	b.Acts("a", 1)
	if got := b.Of("u").Requests; got != limit/2 {
		t.Fatalf("b holds %d", got)
	}
}

func TestChangedLimitGrowsWithTheNextEpoch(t *testing.T) {
	a := NewShares("a")
	a.SetRules(oneUpstream(t, limit))
	a.Adopt(Epoch{Number: 1, Members: []Member{{ID: "a"}}}, 1)
	a.SetRules(oneUpstream(t, 2*limit))
	if a.Of("u").Requests != limit || !a.Stale() {
		t.Fatalf("holds %d, stale %t", a.Of("u").Requests, a.Stale())
	}
	if a.Adopt(Epoch{Number: 2, Revision: 9, Members: []Member{{ID: "a"}}}, 8) {
		t.Fatal("adopted an epoch whose rules it does not have")
	}
	a.Adopt(Epoch{Number: 2, Revision: 9, Members: []Member{{ID: "a"}}}, 9)
	if a.Of("u").Requests != 2*limit {
		t.Fatalf("holds %d", a.Of("u").Requests)
	}
}

func BenchmarkDeal(b *testing.B) {
	for _, n := range []int{7, 50, 390} {
		list := members(n, 5)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Subset("upstream", "d0", list)
			}
		})
	}
}
