package place

import (
	"fmt"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func up(i int) Upstream {
	return Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: fmt.Sprintf("d%d", i%3), Version: "v1", Slots: 8}
}

func fleet(n int) *Fleet {
	f := New("i0", "d0")
	for i := range n {
		f.Register(start, up(i))
	}
	return f
}

func pick(f *Fleet, now time.Time) string {
	s, _ := f.Pick(now, Need{Service: "s"})
	if s == nil {
		return ""
	}
	f.Release(now, s, Answered)
	return s.Upstream.ID
}

func TestNoNewWorkForUpstreamsThatLeave(t *testing.T) {
	tests := []struct {
		name  string
		leave func(f *Fleet)
		at    time.Duration
		want  bool // u0 may be picked
	}{
		{name: "registered", leave: func(*Fleet) {}, want: true},
		{name: "draining", leave: func(f *Fleet) { u := up(0); u.Draining = true; f.Register(start, u) }},
		{name: "draining, then ready again in the same start", leave: func(f *Fleet) {
			u := up(0)
			u.Draining = true
			f.Register(start, u)
			f.Register(start, up(0))
		}},
		{name: "draining, then started anew", leave: func(f *Fleet) {
			u := up(0)
			u.Draining = true
			f.Register(start, u)
			u = up(0)
			u.Born = 7
			f.Register(start, u)
		}, want: true},
		{name: "gone", leave: func(f *Fleet) { f.Withdraw("u0", start) }},
		{name: "missing in doubt", leave: func(f *Fleet) { f.Withdraw("u0", start.Add(2*time.Second)) }, at: time.Second, want: true},
		{name: "missing for longer", leave: func(f *Fleet) { f.Withdraw("u0", start.Add(2*time.Second)) }, at: 3 * time.Second},
		{name: "missing in doubt and back", leave: func(f *Fleet) {
			f.Withdraw("u0", start.Add(2*time.Second))
			f.Register(start, up(0))
		}, at: 3 * time.Second, want: true},
		{name: "a later start has its address", leave: func(f *Fleet) {
			u := up(9)
			u.Address, u.Born = up(0).Address, 7
			f.Register(start, u)
		}},
		{name: "an earlier start had its address", leave: func(f *Fleet) {
			u := up(0)
			u.Born = 7
			f.Register(start, u)
			u = up(9)
			u.Address, u.Born = up(0).Address, 6
			f.Register(start, u)
		}, want: true},
		{name: "domain out", leave: func(f *Fleet) { f.SetOut("d0", true) }},
		{name: "domain back", leave: func(f *Fleet) { f.SetOut("d0", true); f.SetOut("d0", false) }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := fleet(1)
			tt.leave(f)
			got := map[string]bool{}
			for range 4 {
				got[pick(f, start.Add(tt.at))] = true
			}
			is.Equal(got["u0"], tt.want)
		})
	}
}

func TestUnreachableUpstreamIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	f := fleet(1)
	s, _ := f.Pick(start, Need{Service: "s"})
	f.Release(start, s, Unreachable)
	_, verdict := f.Pick(start.Add(100*time.Millisecond), Need{Service: "s"})
	is.Equal(verdict, Busy)
	is.Equal(pick(f, start.Add(300*time.Millisecond)), "u0")
}

func TestUpstreamThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	is := is.New(t)
	f := fleet(6)
	for range 60 {
		s, _ := f.Pick(start, Need{Service: "s"})
		o := Answered
		if s.Upstream.ID == "u3" {
			o = Failed
		}
		f.Release(start, s, o)
	}
	for range 30 {
		is.True(pick(f, start) != "u3")
	}
}

func TestServiceThatFailsEverywhereIsStillTried(t *testing.T) {
	is := is.New(t)
	f := fleet(3)
	for range 60 {
		s, _ := f.Pick(start, Need{Service: "s"})
		f.Release(start, s, Failed)
	}
	is.True(pick(f, start) != "")
}

func TestSameKeySameUpstreamWithinItsLoad(t *testing.T) {
	is := is.New(t)
	f := fleet(6)
	first, _ := f.Pick(start, Need{Service: "s", Key: "prefix"})
	second, _ := f.Pick(start, Need{Service: "s", Key: "prefix"})
	is.Equal(first.Upstream.ID, second.Upstream.ID)
	held := map[string]int{first.Upstream.ID: 2}
	for range 118 {
		s, _ := f.Pick(start, Need{Service: "s", Key: "prefix"})
		held[s.Upstream.ID]++
	}
	for _, n := range held {
		is.True(n <= 31) // half more than the average of 20, and one
	}
}

func TestUpstreamsThatHadTheRequestAreAvoided(t *testing.T) {
	is := is.New(t)
	f := fleet(2)
	s, _ := f.Pick(start, Need{Service: "s", Avoid: []string{"u0"}})
	is.Equal(s.Upstream.ID, "u1")
	_, verdict := f.Pick(start, Need{Service: "s", Avoid: []string{"u0", "u1"}})
	is.Equal(verdict, None)
}

// coldLimit is what the deployment lets a cold upstream of the tests have in one
// second: 1.5 times its rate and 5.
func coldLimit(rate float64) int { return int(1.5*rate) + 5 }

// TestColdUpstreamGetsItsRateFromAllInstances runs random schedules of several
// instances that send to one cold upstream, while some join and others are
// believed to be gone, and checks the sum in every second. With the guard taken
// out (bears always true) it fails.
func TestColdUpstreamGetsItsRateFromAllInstances(t *testing.T) {
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
				known = names[:n-n/5] // has not heard of all yet
			}
			fleets[i].SetInstances(known)
			fleets[i].SetColdRate("s", rate)
			u := up(0)
			u.Cold = time.Hour
			fleets[i].Register(start, u)
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for _, f := range fleets {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					if s, _ := f.Pick(now, Need{Service: "s"}); s != nil {
						sent = append(sent, now)
						f.Release(now, s, Answered)
					}
				}
			}
			inSecond := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					inSecond++
				}
			}
			if inSecond > coldLimit(rate) {
				t.Fatalf("%d requests in one second, for a rate of %v", inSecond, rate)
			}
		}
	})
}

func TestSweepForgetsUpstreamsThatAreGone(t *testing.T) {
	is := is.New(t)
	f := fleet(2)
	s, _ := f.Pick(start, Need{Service: "s", Avoid: []string{"u1"}})
	f.Withdraw("u0", start)
	f.Sweep(start)
	is.Equal(f.Len(), 2) // an attempt still runs there
	is.Equal(f.Running("s", func(string) bool { return true }), 1)
	f.Release(start, s, Answered)
	f.Sweep(start)
	is.Equal(f.Len(), 1)
}

// TestSmallPromptsDoNotWaitBehindLargeOnes plays a load in which one prompt in
// five makes most of the work.
func TestSmallPromptsDoNotWaitBehindLargeOnes(t *testing.T) {
	is := is.New(t)
	f := fleet(12)
	large, small := map[string]int{}, map[string]int{}
	now := start
	var running []*Slot
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		n := Need{Service: "s", Key: fmt.Sprint("key-", i), Work: 900}
		seen := small
		if i%5 == 0 {
			n.Work = 9000
			seen = large
		}
		s, _ := f.Pick(now, n)
		if i > 100 {
			seen[s.Upstream.ID]++
		}
		running = append(running, s)
		if len(running) > 20 {
			f.Release(now, running[0], Answered)
			running = running[1:]
		}
	}
	for id := range small {
		is.Equal(large[id], 0)
	}
	is.Equal(len(large)+len(small), 12) // no upstream idles
}

func TestOneUpstreamTakesLargeAndSmallPrompts(t *testing.T) {
	is := is.New(t)
	f := fleet(1)
	for _, work := range []float64{100, 9000} {
		s, _ := f.Pick(start, Need{Service: "s", Work: work})
		is.Equal(s.Upstream.ID, "u0")
	}
}

// TestCutDomainIsLeftAlone plays a failure domain that is cut off: after two of
// its upstreams no request waits for another one there, but for one at a time
// that tries whether it is back.
func TestCutDomainIsLeftAlone(t *testing.T) {
	is := is.New(t)
	f := fleet(12) // four in each of three domains
	now := start
	lost := 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Need{Service: "s", Key: now.String()})
		o := Answered
		if s.Upstream.Domain == "d1" {
			o = Unreachable
			lost++
		}
		f.Release(now, s, o)
	}
	is.True(lost >= 2)
	is.True(lost <= 8) // in 4 s
	back := 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Need{Service: "s", Key: now.String()})
		if s.Upstream.Domain == "d1" {
			back++
		}
		f.Release(now, s, Answered)
	}
	is.True(back > 20) // it takes part again
}

func TestOneLostUpstreamDoesNotCutItsDomain(t *testing.T) {
	is := is.New(t)
	f := fleet(12)
	now := start
	seen := map[string]bool{}
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		s, _ := f.Pick(now, Need{Service: "s", Key: now.String()})
		o := Answered
		if s.Upstream.ID == "u1" {
			o = Unreachable
		}
		seen[s.Upstream.ID] = true
		f.Release(now, s, o)
	}
	is.Equal(len(seen), 12)
}
