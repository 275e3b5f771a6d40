package placement

import (
	"fmt"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func testUpstream(i int) Upstream {
	return Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: fmt.Sprintf("d%d", i%3), Version: "v1", Slots: 8}
}

func newFleet(n int) *Fleet {
	f := New("i0", "d0")
	for i := range n {
		f.Register(start, testUpstream(i))
	}
	return f
}

// newDistantFleet returns the fleet of an instance in a failure domain without
// upstreams, which prefers none.
func newDistantFleet(n int) *Fleet {
	f := New("i0", "d-without-upstreams")
	for i := range n {
		f.Register(start, testUpstream(i))
	}
	return f
}

func pickAndRelease(f *Fleet, now time.Time) string {
	s, _ := f.Pick(now, Criteria{Service: "s"})
	if s == nil {
		return ""
	}
	f.Release(now, s, Completed)
	return s.Upstream.ID
}

func TestWithdrawnUpstreamsGetNoNewAttempts(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *Fleet)
		at     time.Duration
		want   bool // u0 may be picked
	}{
		{name: "registered", change: func(*Fleet) {}, want: true},
		{name: "draining", change: func(f *Fleet) { u := testUpstream(0); u.Draining = true; f.Register(start, u) }},
		{name: "draining, then ready again without a restart", change: func(f *Fleet) {
			u := testUpstream(0)
			u.Draining = true
			f.Register(start, u)
			f.Register(start, testUpstream(0))
		}},
		{name: "draining, then restarted", change: func(f *Fleet) {
			u := testUpstream(0)
			u.Draining = true
			f.Register(start, u)
			u = testUpstream(0)
			u.StartUnixMs = 7
			f.Register(start, u)
		}, want: true},
		{name: "withdrawn", change: func(f *Fleet) { f.Withdraw("u0", start) }},
		{name: "withdrawn from later on, before that time", change: func(f *Fleet) { f.Withdraw("u0", start.Add(2*time.Second)) }, at: time.Second, want: true},
		{name: "withdrawn from later on, after that time", change: func(f *Fleet) { f.Withdraw("u0", start.Add(2*time.Second)) }, at: 3 * time.Second},
		{name: "withdrawn from later on, then registered again", change: func(f *Fleet) {
			f.Withdraw("u0", start.Add(2*time.Second))
			f.Register(start, testUpstream(0))
		}, at: 3 * time.Second, want: true},
		{name: "an upstream that started later has its address", change: func(f *Fleet) {
			u := testUpstream(9)
			u.Address, u.StartUnixMs = testUpstream(0).Address, 7
			f.Register(start, u)
		}},
		{name: "an upstream that started earlier has its address", change: func(f *Fleet) {
			u := testUpstream(0)
			u.StartUnixMs = 7
			f.Register(start, u)
			u = testUpstream(9)
			u.Address, u.StartUnixMs = testUpstream(0).Address, 6
			f.Register(start, u)
		}, want: true},
		{name: "domain disabled", change: func(f *Fleet) { f.SetDomainDisabled("d0", true) }},
		{name: "domain disabled, then enabled", change: func(f *Fleet) { f.SetDomainDisabled("d0", true); f.SetDomainDisabled("d0", false) }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			tt.change(f)
			got := map[string]bool{}
			for range 4 {
				got[pickAndRelease(f, start.Add(tt.at))] = true
			}
			is.Equal(got["u0"], tt.want)
		})
	}
}

func TestUnreachableUpstreamBacksOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	s, _ := f.Pick(start, Criteria{Service: "s"})
	f.Release(start, s, Unreachable)
	_, result := f.Pick(start.Add(100*time.Millisecond), Criteria{Service: "s"})
	is.Equal(result, UpstreamsBusy)
	is.Equal(pickAndRelease(f, start.Add(300*time.Millisecond)), "u0")
}

func TestOutlierUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	for range 60 {
		s, _ := f.Pick(start, Criteria{Service: "s"})
		o := Completed
		if s.Upstream.ID == "u3" {
			o = Failed
		}
		f.Release(start, s, o)
	}
	for range 30 {
		is.True(pickAndRelease(f, start) != "u3")
	}
}

func TestUpstreamsThatAllFailAreStillPicked(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for range 60 {
		s, _ := f.Pick(start, Criteria{Service: "s"})
		f.Release(start, s, Failed)
	}
	is.True(pickAndRelease(f, start) != "")
}

func TestAffinityKeyKeepsUpstreamWithinLoadBound(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	first, _ := f.Pick(start, Criteria{Service: "s", AffinityKey: "prefix"})
	second, _ := f.Pick(start, Criteria{Service: "s", AffinityKey: "prefix"})
	is.Equal(first.Upstream.ID, second.Upstream.ID)
	attempts := map[string]int{first.Upstream.ID: 2}
	for range 118 {
		s, _ := f.Pick(start, Criteria{Service: "s", AffinityKey: "prefix"})
		attempts[s.Upstream.ID]++
	}
	for _, n := range attempts {
		is.True(n <= 31) // 1.5 times the average of 20, plus 1
	}
}

func TestExcludedUpstreamsAreNotPicked(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	s, _ := f.Pick(start, Criteria{Service: "s", Exclude: []string{"u0"}})
	is.Equal(s.Upstream.ID, "u1")
	_, result := f.Pick(start, Criteria{Service: "s", Exclude: []string{"u0", "u1"}})
	is.Equal(result, NoUpstream)
}

// maxColdRequests is the number of requests that a cold upstream of the tests
// tolerates in one second: 1.5 times its rate, plus 5.
func maxColdRequests(rate float64) int { return int(1.5*rate) + 5 }

// Checks random schedules of several instances that send to one cold upstream,
// some with an incomplete list of instances: the requests in any second must stay
// within the upstream's cold rate and the deployment's tolerance. The test fails
// if the limits of upstreams are not kept.
func TestColdRateHoldsAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 40).Draw(t, "rate"))
		n := rapid.IntRange(1, 24).Draw(t, "instances")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i%d", i))
		}
		fleets := make([]*Fleet, n)
		for i := range fleets {
			fleets[i] = New(names[i], "d0")
			known := names
			if i%4 == 3 && n > 4 {
				known = names[:n-n/5] // does not know all instances yet
			}
			fleets[i].SetInstances(known)
			fleets[i].SetColdRate("s", rate)
			u := testUpstream(0)
			u.ColdLeft = time.Hour
			fleets[i].Register(start, u)
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for _, f := range fleets {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					if s, _ := f.Pick(now, Criteria{Service: "s"}); s != nil {
						sent = append(sent, now)
						f.Release(now, s, Completed)
					}
				}
			}
			inSecond := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					inSecond++
				}
			}
			if inSecond > maxColdRequests(rate) {
				t.Fatalf("%d requests in one second, for a rate of %v", inSecond, rate)
			}
		}
	})
}

func TestRemoveGoneKeepsUpstreamsWithRunningAttempts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	s, _ := f.Pick(start, Criteria{Service: "s", Exclude: []string{"u1"}})
	f.Withdraw("u0", start)
	f.RemoveGone(start)
	is.Equal(f.Len(), 2) // an attempt still runs there
	is.Equal(f.RunningAttempts("s", func(string) bool { return true }), 1)
	f.Release(start, s, Completed)
	f.RemoveGone(start)
	is.Equal(f.Len(), 1)
}

// Large and small prompts must not share upstreams, or small ones wait behind the
// prefill of large ones. One prompt in five is large and makes most of the work.
func TestLargeAndSmallPromptsUseSeparateUpstreams(t *testing.T) {
	is := is.New(t)
	f := newDistantFleet(12)
	large, small := map[string]int{}, map[string]int{}
	now := start
	var running []*Slot
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		c := Criteria{Service: "s", AffinityKey: fmt.Sprint("key-", i), PromptWork: 900}
		seen := small
		if i%5 == 0 {
			c.PromptWork = 9000
			seen = large
		}
		s, _ := f.Pick(now, c)
		if i > 100 {
			seen[s.Upstream.ID]++
		}
		running = append(running, s)
		if len(running) > 20 {
			f.Release(now, running[0], Completed)
			running = running[1:]
		}
	}
	for id := range small {
		is.Equal(large[id], 0)
	}
	is.Equal(len(large)+len(small), 12) // no upstream is idle
}

func TestSingleUpstreamServesLargeAndSmallPrompts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for _, work := range []float64{100, 9000} {
		s, _ := f.Pick(start, Criteria{Service: "s", PromptWork: work})
		is.Equal(s.Upstream.ID, "u0")
	}
}

// Once two upstreams of a failure domain are unreachable, requests must not wait
// for its other upstreams: only one probe at a time goes there until it recovers.
func TestUnreachableDomainIsProbedByOneAttempt(t *testing.T) {
	is := is.New(t)
	f := newDistantFleet(12) // four in each of three domains
	now := start
	unreachable := 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Criteria{Service: "s", AffinityKey: now.String()})
		o := Completed
		if s.Upstream.FailureDomain == "d1" {
			o = Unreachable
			unreachable++
		}
		f.Release(now, s, o)
	}
	is.True(unreachable >= 2)
	is.True(unreachable <= 8) // in 4 s
	recovered := 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Criteria{Service: "s", AffinityKey: now.String()})
		if s.Upstream.FailureDomain == "d1" {
			recovered++
		}
		f.Release(now, s, Completed)
	}
	is.True(recovered > 20) // the domain is used again
}

func TestOneUnreachableUpstreamDoesNotAffectItsDomain(t *testing.T) {
	is := is.New(t)
	f := newDistantFleet(12)
	now := start
	seen := map[string]bool{}
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Criteria{Service: "s", AffinityKey: now.String()})
		o := Completed
		if s.Upstream.ID == "u1" {
			o = Unreachable
		}
		seen[s.Upstream.ID] = true
		f.Release(now, s, o)
	}
	is.Equal(len(seen), 12)
}

// Requests with an affinity key stay in the instance's failure domain, which reads
// their prompt once, until the domain has much more load than the others.
func TestAffinityPrefersOwnDomain(t *testing.T) {
	is := is.New(t)
	f := newFleet(12) // four in each of three domains
	away := 0
	var running []*Slot
	for i := range 60 {
		s, _ := f.Pick(start, Criteria{Service: "s", AffinityKey: fmt.Sprint("key-", i%10)})
		if s.Upstream.FailureDomain != "d0" {
			away++
		}
		if i < 8 {
			is.Equal(s.Upstream.FailureDomain, "d0")
		}
		running = append(running, s)
	}
	is.True(away > 20) // of 60 at once, which would be 15 at each upstream
	most := 0
	for _, s := range running {
		most = max(most, s.u.runningAttempts)
	}
	is.True(most <= 10) // 5 on average
}

// TestReturnedDomainIsColdUntilConfirmed guards against cold upstreams that crash: a failure
// domain is taken back before it is known that its upstreams have become cold.
func TestReturnedDomainIsColdUntilConfirmed(t *testing.T) {
	tests := []struct {
		name      string
		confirmed time.Duration // from the return; registrations are known up to then
		at        time.Duration // from the return
		want      bool          // the upstream counts as cold
	}{
		{name: "registrations of before", confirmed: -time.Second, at: time.Second, want: true},
		{name: "registrations of after", confirmed: 100 * time.Millisecond, at: time.Second},
		{name: "no news for long", confirmed: -time.Second, at: maxWarmthUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New("entry-0", "d0")
			f.Register(start, Upstream{ID: "u", Service: "s", FailureDomain: "d1"})
			f.SetWarmthUnknown(start, "d1")
			f.ConfirmRegistrations(start.Add(tt.confirmed))
			is.Equal(f.isCold(start.Add(tt.at), f.byID["u"]), tt.want)
		})
	}
}
