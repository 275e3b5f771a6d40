package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxSentLate is the number of requests with a fatal part that may be sent once its
// crashes must be known.
const maxSentLate = 3

// drawSimulation draws a deployment and plays a day with fatal parts, cuts and restarts.
func drawSimulation(t *rapid.T, refuse bool) *simulation {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s := newSimulation(r.IntN, rapid.IntRange(3, 12).Draw(t, "instances"), rapid.IntRange(4, 16).Draw(t, "upstreams"))
	s.refuse = refuse
	s.shared = rapid.IntRange(1, 4).Draw(t, "organisations-of-fatal")
	s.fatalOneIn = rapid.IntRange(6, 30).Draw(t, "fatal-one-in")
	if rapid.Bool().Draw(t, "two-fatal-parts") {
		s.fatal = append(s.fatal, "fatal-2")
	}
	quiet := 2 * len(s.instances)
	s.play(4*time.Second, quiet)
	s.fatalUntil = s.now.Add(20 * time.Second)
	for range 10 {
		switch i := s.instances[r.IntN(len(s.instances))]; rapid.IntRange(0, 5).Draw(t, "fault") {
		case 0:
			s.cut(i, time.Duration(1+r.IntN(4))*time.Second)
		case 1:
			s.restart(i)
		}
		s.play(2*time.Second, quiet)
	}
	return s
}

// TestFatalPartIsSentFewTimesMore checks that few requests with a part that crashes
// upstreams are sent once the crashes must be known, whoever is cut off or restarts.
func TestFatalPartIsSentFewTimesMore(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		if checks++; checks > simulatedDays {
			return
		}
		s := drawSimulation(t, true)
		for _, part := range s.fatal {
			if n := s.sentTooLate(part); n > maxSentLate {
				t.Fatalf("%d requests with the part %q were sent late, want at most %d; it crashed %d upstreams", n, part, maxSentLate, len(s.crashes[part]))
			}
		}
		if s.refused > s.sound/4 {
			t.Fatalf("%d of %d sound requests were refused", s.refused, s.sound)
		}
	})
}

// simulatedDays bounds the days that a test plays.
const simulatedDays = 200

// TestFatalPartCheckDetectsMissingRefusals checks that the check above fails if
// verdicts are not enforced.
func TestFatalPartCheckDetectsMissingRefusals(t *testing.T) {
	found, checks := false, 0
	rapid.Check(t, func(t *rapid.T) {
		if checks++; found || checks > simulatedDays {
			return
		}
		s := drawSimulation(t, false)
		found = s.sentTooLate(s.fatal[0]) > maxSentLate
	})
	is.New(t).True(found)
}

func traits(organisation, request string, parts ...string) Traits {
	d := Description{Service: "s", Organisation: organisation, Route: "r", Parts: append(parts, "own-"+request), Fingerprint: request}
	return d.Traits()
}

func sharedOf(organisation string, parts ...string) Traits {
	d := Description{Service: "s", Organisation: organisation, Route: "r", Parts: append(parts, "own")}
	return d.Traits()
}

// A story is a table to which things happen one after the other.
type story struct {
	Table
	now     time.Time
	crashed int
}

// newStory returns a table that has just seen answers to some other requests.
func newStory() *story {
	s := &story{now: start}
	for i := range minOtherAnswers {
		s.answer("o-other", fmt.Sprint("other-", i))
	}
	return s
}

func (s *story) wait(d time.Duration) { s.now = s.now.Add(d) }

func (s *story) answer(organisation string, parts ...string) {
	s.RecordAnswer(s.now, sharedOf(organisation, parts...), traits(organisation, "answered", parts...))
}

// crash lets an upstream crash that ran the requests, a second after the last one.
func (s *story) crash(running ...Traits) {
	s.wait(time.Second)
	s.crashNow(running...)
}

func (s *story) crashNow(running ...Traits) {
	s.crashed++
	c := Crash{Upstream: fmt.Sprint("u", s.crashed), UnixMs: s.now.UnixMilli()}
	for _, t := range running {
		c.Candidates = append(c.Candidates, Candidate{Traits: t, Weight: 1})
	}
	s.RecordCrash(s.now, c)
}

// refuses reports whether a request is refused once others had time to object.
func (s *story) refuses(t Traits) bool {
	s.Judge(s.now)
	s.wait(objectionTime)
	s.Judge(s.now)
	return s.Refusal(t) != nil
}

func TestRefusal(t *testing.T) {
	fatal := func(n int) Traits { return traits("o1", fmt.Sprint("r", n), "class", "subject", "fatal") }
	sound := traits("o1", "sound", "class", "subject")
	tests := []struct {
		name    string
		happens func(s *story)
		request Traits
		want    bool
	}{
		{name: "three requests with the part crashed upstreams", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(2)); s.crash(fatal(3)) }, request: fatal(4), want: true},
		{name: "two requests did", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(2)) }, request: fatal(4)},
		{name: "one request did three times, which accuses itself", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(1)); s.crash(fatal(1)) }, request: fatal(1), want: true},
		{name: "one request did three times, which accuses no part", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(1)); s.crash(fatal(1)) }, request: fatal(4)},
		{name: "one request did three times, then another", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(1)); s.crash(fatal(1)); s.crash(fatal(2)) }, request: fatal(4), want: true},
		{name: "a sound request that shares the caller and the other parts", happens: func(s *story) { s.crash(fatal(1)); s.crash(fatal(2)); s.crash(fatal(3)) }, request: sound},
		{name: "a bystander of three crashes", happens: func(s *story) {
			s.crash(fatal(1), sound)
			s.crash(fatal(2), sound)
			s.crash(fatal(3))
			s.crash(fatal(4), sound)
		}, request: traits("o1", "sound-2", "class", "subject")},
		{name: "all upstreams at one moment", happens: func(s *story) { s.wait(time.Second); s.crashNow(fatal(1)); s.crashNow(fatal(2)); s.crashNow(fatal(3)) }, request: fatal(4)},
		{name: "one crash reported by instances whose clocks differ", happens: func(s *story) {
			for i := range 2 {
				s.crash(fatal(i))
				s.RecordCrash(s.now, Crash{Upstream: fmt.Sprint("u", s.crashed), UnixMs: s.now.UnixMilli() + 5000, Candidates: []Candidate{{Traits: fatal(i), Weight: 1}}})
			}
		}, request: fatal(4)},
		{name: "upstreams that crash under load with parts that others answer", happens: func(s *story) {
			for i := range 6 {
				s.answer("o2", "class", fmt.Sprint("subject-", i))
				s.crash(traits("o1", fmt.Sprint("r", i), "class", "subject-1"), traits("o2", fmt.Sprint("q", i), "class", "subject-2"))
			}
		}, request: traits("o1", "r9", "class", "subject-1")},
		{name: "answered before the third crash", happens: func(s *story) {
			s.crash(fatal(1))
			s.crash(fatal(2))
			s.answer("o1", "class", "subject", "fatal")
			s.crash(fatal(3))
		}, request: fatal(4)},
		{name: "answered long before", happens: func(s *story) {
			s.answer("o1", "class", "subject", "fatal")
			s.wait(soundPeriod + time.Second)
			s.answer("o-other", "a")
			s.answer("o-other", "b")
			s.answer("o-other", "c")
			s.crash(fatal(1))
			s.crash(fatal(2))
			s.crash(fatal(3))
		}, request: fatal(4), want: true},
		{name: "nothing else is answered", happens: func(s *story) { s.wait(3 * soundPeriod); s.crash(fatal(1)); s.crash(fatal(2)); s.crash(fatal(3)) }, request: fatal(4)},
		{name: "from several organisations", happens: func(s *story) {
			for i := range 4 {
				s.crash(traits(fmt.Sprint("o", i), fmt.Sprint("r", i), "class", fmt.Sprint("subject-", i), "fatal"))
			}
		}, request: traits("o9", "r", "class", "subject-9", "fatal"), want: true},
		{name: "another organisation with the part that a hostile one put into its requests", happens: func(s *story) {
			for i := range 5 {
				s.crash(traits("hostile", fmt.Sprint("r", i), "part-of-others", fmt.Sprint("made-up-", i)))
			}
		}, request: traits("o1", "r", "part-of-others")},
		{name: "an hour later", happens: func(s *story) {
			s.crash(fatal(1))
			s.crash(fatal(2))
			s.crash(fatal(3))
			s.refuses(fatal(4))
			s.wait(time.Hour)
			s.Expire(s.now)
		}, request: fatal(4), want: true},
		{name: "beside another fatal part", happens: func(s *story) {
			for i := range 3 {
				s.crash(fatal(i))
				s.crash(traits("o2", fmt.Sprint("q", i), "class", "fatal-2"))
			}
			s.refuses(fatal(4))
		}, request: traits("o2", "q9", "class", "fatal-2"), want: true},
		{name: "a made-up part in each request does not displace the verdict", happens: func(s *story) {
			s.crash(fatal(1))
			s.crash(fatal(2))
			s.crash(fatal(3))
			s.refuses(fatal(4))
			for i := range 2 * maxVerdicts {
				for range minCrashes {
					s.crash(traits("hostile", fmt.Sprint("x", i), fmt.Sprint("made-up-", i)))
				}
				s.answer("o-other", "a")
				s.answer("o-other", "b")
				s.answer("o-other", "c")
				s.refuses(fatal(4))
			}
		}, request: fatal(4), want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStory()
			tt.happens(s)
			if got := s.refuses(tt.request); got != tt.want {
				t.Errorf("refused = %v, want %v; verdicts %v", got, tt.want, s.Verdicts())
			}
		})
	}
}

// TestOtherInstanceObjects checks that a verdict is not enforced if another instance has
// answered requests with its traits.
func TestOtherInstanceObjects(t *testing.T) {
	is := is.New(t)
	s := newStory()
	for i := range 3 {
		s.crash(traits("o1", fmt.Sprint("r", i), "class", "subject"))
	}
	found, _, again := s.Judge(s.now)
	is.Equal(len(found), 1)
	is.True(again)
	is.True(s.ShouldWait(s.now, traits("o1", "r9", "class", "subject")))
	other := newStory()
	other.now = s.now
	other.answer("o1", "class", "subject")
	changed, reply := other.Merge(other.now, found[0])
	is.True(changed)
	is.True(reply != nil)
	changed, _ = s.Merge(s.now, *reply)
	is.True(changed)
	is.True(!s.refuses(traits("o1", "r9", "class", "subject")))
}

func TestProbes(t *testing.T) {
	is := is.New(t)
	s := newStory()
	request := func(n int) Traits { return traits("o1", fmt.Sprint("r", n), "fatal") }
	for i := range 3 {
		s.crash(request(i))
	}
	is.True(s.refuses(request(9)))
	_, due := s.Probe(s.now, request(9))
	is.True(!due)
	probes := 0
	for range 24 * 60 {
		s.wait(time.Minute)
		if v, due := s.Probe(s.now, request(9)); due {
			probes++
			changed, _ := s.Merge(s.now, v)
			is.True(changed)
			is.True(s.Refusal(request(9)) != nil) // other requests are still refused
		}
	}
	is.Equal(probes, maxProbes)
}

func TestAnswerClearsVerdict(t *testing.T) {
	is := is.New(t)
	s := newStory()
	for i := range 3 {
		s.crash(traits("o1", fmt.Sprint("r", i), "fatal"))
	}
	is.True(s.refuses(traits("o1", "r9", "fatal")))
	cleared := s.RecordAnswer(s.now, sharedOf("o1", "fatal"), traits("o1", "probe", "fatal"))
	is.Equal(len(cleared), 1)
	is.True(s.Refusal(traits("o1", "r9", "fatal")) == nil)
}

func TestTraits(t *testing.T) {
	is := is.New(t)
	a, b := Traits{"a", "b", "d"}, Traits{"b", "c", "d"}
	is.Equal(a.intersect(b), Traits{"b", "d"})
	is.True(a.HasAll(Traits{"a", "d"}))
	is.True(!a.HasAll(Traits{"a", "c"}))
	long := Description{Service: "s", Parts: []string{string(make([]byte, 4096)), "own"}}
	is.True(len(long.Traits().String()) < 100)
}
