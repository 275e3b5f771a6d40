package placement

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestExplainNamesEachExclusion(t *testing.T) {
	end := func(o Outcome) func(*Fleet) {
		return func(f *Fleet) {
			s, _ := f.Pick(start, Criteria{Service: "s", Exclude: []string{"u1"}})
			f.Release(start, s, o)
		}
	}
	tests := []struct {
		name     string
		prepare  func(f *Fleet)
		criteria Criteria
		want     Exclusion
		wait     time.Duration
	}{
		{name: "none", prepare: func(*Fleet) {}},
		{name: "draining", prepare: func(f *Fleet) { u := testUpstream(0); u.Draining = true; f.Register(start, u) }, want: Draining},
		{name: "gone", prepare: func(f *Fleet) { f.Withdraw("u0", start) }, want: Gone},
		{name: "failure domain out", prepare: func(f *Fleet) { f.SetDomainDisabled("d0", true) }, want: DomainOut},
		{name: "version", prepare: func(f *Fleet) { u := testUpstream(0); u.Version = "v2"; f.Register(start, u) },
			criteria: Criteria{AcceptsVersion: func(v string) bool { return v == "v1" }}, want: OtherVersion},
		{name: "tried", prepare: func(*Fleet) {}, criteria: Criteria{Exclude: []string{"u0"}}, want: AlreadyTried},
		{name: "down", prepare: end(Closed), want: Down, wait: minBackoff},
		{name: "domain unreachable", prepare: func(f *Fleet) { f.domainHealth("d0").downUntil = start.Add(time.Second) }, want: DomainUnreachable, wait: time.Second},
		{name: "pausing", prepare: func(f *Fleet) { f.byID["u0"].pausedUntil = start.Add(3 * time.Second) }, want: Pausing, wait: 3 * time.Second},
		{name: "cold limit", prepare: func(f *Fleet) {
			f.SetColdRate("s", 0.5)
			f.byID["u0"].coldUntil = start.Add(time.Minute)
			f.byID["u0"].cold.bucket.Take(start, f.partOf(start, f.byID["u0"], f.limiters(start, f.services["s"], f.byID["u0"])[0]))
		}, want: ColdLimit, wait: -1},
		{name: "named limit", prepare: func(f *Fleet) {
			f.SetNamedLimit(start, NamedLimit{Upstream: "u0", Rate: 0.001, Version: 1})
		}, want: NamedLimitReached, wait: -1},
		{name: "brittle", prepare: func(f *Fleet) {
			f.SetBrittle(start, BrittleNotice{Upstream: "u0", Brittle: true, Version: 1})
			end(Refused)(f)
			f.byID["u0"].brittle.held[0] = start.Add(refusalWindow)
		}, want: NoPlace, wait: refusalWindow},
		{name: "outlier", prepare: func(f *Fleet) {
			for range 5 {
				end(Failed)(f)
			}
			for range 60 {
				f.service("s").errorRate.record(false)
			}
		}, want: AvoidedOutlier, wait: outlierRetestInterval},
		{name: "refused just now", prepare: end(Refused), want: AvoidedRefusing, wait: refusedPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2)
			tt.prepare(f)
			tt.criteria.Service = "s"
			for _, c := range f.Explain(start, tt.criteria).Candidates {
				if c.Upstream.ID != "u0" {
					continue
				}
				is.Equal(c.Excluded, tt.want)
				is.True(c.Wait == tt.wait || tt.wait < 0 && c.Wait != 0) // the wait is that of the exclusion
				is.Equal(c.Chance > 0, tt.want == "")
			}
		})
	}
}

// testDraws is enough to see whether a choice is among the possible ones.
const testDraws = 4

// drawnStates each make an upstream be excluded.
var drawnStates = []func(f *Fleet, u *upstream){
	func(_ *Fleet, u *upstream) { u.Draining = true },
	func(_ *Fleet, u *upstream) { u.goneAt = start },
	func(f *Fleet, u *upstream) { f.SetDomainDisabled(u.FailureDomain, true) },
	func(_ *Fleet, u *upstream) { u.Version = "v2" },
	func(_ *Fleet, u *upstream) { u.downUntil = start.Add(time.Second) },
	func(f *Fleet, u *upstream) { f.domainHealth(u.FailureDomain).downUntil = start.Add(time.Second) },
	func(_ *Fleet, u *upstream) { u.pausedUntil = start.Add(time.Second) },
	func(_ *Fleet, u *upstream) { u.coldUntil = start.Add(time.Second) },
	func(f *Fleet, u *upstream) { f.SetNamedLimit(start, NamedLimit{Upstream: u.ID, Rate: 3, Version: 1}) },
	func(_ *Fleet, u *upstream) { u.errorRate, u.lastAttempt = movingRate{value: 1, samples: 9}, start },
	func(_ *Fleet, u *upstream) { u.refusingUntil = start.Add(time.Second) },
}

// drawFleet draws a fleet in which each kind of exclusion occurs.
func drawFleet(t *rapid.T) *Fleet {
	f := newFleet(rapid.IntRange(0, 8).Draw(t, "upstreams"))
	var names []string
	for i := range rapid.SampledFrom([]int{1, 3, 20}).Draw(t, "instances") {
		names = append(names, "i"+string(rune('0'+i)))
	}
	f.SetInstances(names)
	f.SetColdRate("s", 2)
	running := map[string]int{}
	for _, u := range f.service("s").upstreams {
		running[u.ID] = rapid.IntRange(0, 20).Draw(t, "running")
		if state := rapid.IntRange(0, 16).Draw(t, "state"); state < len(drawnStates) {
			drawnStates[state](f, u)
		}
	}
	if rapid.Bool().Draw(t, "news") {
		f.SetLoad(start, running, 1)
	}
	return f
}

func drawCriteria(t *rapid.T) Criteria {
	c := Criteria{Service: "s", Isolate: rapid.IntRange(0, 9).Draw(t, "isolate") == 0}
	c.AffinityKey = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key")
	c.PromptWork = rapid.SampledFrom([]float64{0, 300, 9000}).Draw(t, "work")
	if rapid.Bool().Draw(t, "old only") {
		c.AcceptsVersion = func(v string) bool { return v == "v1" }
	}
	return c
}

// TestExplainAgreesWithPick checks that Pick does what Explain tells: with the same result,
// at an upstream that is not excluded.
func TestExplainAgreesWithPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, c := drawFleet(t), drawCriteria(t)
		x := f.explain(start, c, testDraws)
		chance := 0.0
		possible := map[string]bool{}
		preferred := slices.ContainsFunc(x.Candidates, func(k Candidate) bool { return k.Excluded == "" })
		for _, k := range x.Candidates {
			chance += k.Chance
			possible[k.Upstream.ID] = k.Excluded == "" || k.Excluded.Avoids() && !preferred
			if k.Chance > 0 && !possible[k.Upstream.ID] {
				t.Fatalf("%s has chance %v although it is excluded (%s)", k.Upstream.ID, k.Chance, k.Excluded)
			}
		}
		if picked := x.Result == Picked; picked != (chance > 0.999) || picked != (x.Rule != "") {
			t.Fatalf("%s with chances that add up to %v by rule %q", x.Result, chance, x.Rule)
		}
		slot, result := f.Pick(start, c)
		if result != x.Result || slot != nil && !possible[slot.Upstream.ID] {
			t.Fatalf("Pick: %s %+v, Explain: %+v", result, slot, x)
		}
	})
}

// TestExplainExcludesWhatPickRefuses checks that an upstream is excluded if and only if Pick
// refuses it when there is no other.
func TestExplainExcludesWhatPickRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, c := drawFleet(t), drawCriteria(t)
		for _, k := range f.explain(start, c, testDraws).Candidates {
			only := c
			for id := range f.byID {
				if id != k.Upstream.ID {
					only.Exclude = append(only.Exclude, id)
				}
			}
			_, result := f.Copy("s").Pick(start, only)
			if excluded := k.Excluded != "" && !k.Excluded.Avoids(); excluded == (result == Picked) {
				t.Fatalf("%s: excluded %q, but the result is %s", k.Upstream.ID, k.Excluded, result)
			}
		}
	})
}

// TestExplainChangesNothing compares the choices of two equal fleets, of which one explains
// each choice before and after it.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := drawFleet(t)
		explained := plain.Copy("s")
		plain.random = newRandom("copy at i0")
		now := start
		for range 8 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			c := drawCriteria(t)
			explained.explain(now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "before"))*time.Millisecond), c, testDraws)
			a, resultA := plain.Pick(now, c)
			b, resultB := explained.Pick(now, c)
			if resultA != resultB || a != nil && a.Upstream.ID != b.Upstream.ID {
				t.Fatalf("%s %+v without explanations, %s %+v with them", resultA, a, resultB, b)
			}
			explained.explain(now, c, testDraws)
			if a != nil && rapid.Bool().Draw(t, "release") {
				o := rapid.SampledFrom([]Outcome{Completed, Refused, Failed, Closed, Unreachable}).Draw(t, "outcome")
				plain.Release(now, a, o)
				explained.Release(now, b, o)
			}
		}
		if !reflect.DeepEqual(plain, explained) {
			t.Fatal("the fleets differ")
		}
	})
}
