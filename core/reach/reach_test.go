package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var peers = []Peer{
	{ID: "b-1", Instance: "b", FailureDomain: "near"},
	{ID: "c-1", Instance: "c", FailureDomain: "far"},
	{ID: "d-1", Instance: "d", FailureDomain: "far"},
}

func newTable() *Table {
	t := &Table{Domain: "near"}
	t.SetPeers(peers)
	return t
}

const ms = time.Millisecond

// TestPathIsDetouredOnlyIfAnotherInstanceHasReachedIt guards against an upstream that is
// down being taken for a lost path, and the reverse.
func TestPathIsDetouredOnlyIfAnotherInstanceHasReachedIt(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*Table) // the first failures are at 1 s, the answer at 1.5 s
		answer   Answer
		detoured []string
		lost     bool
	}{
		{name: "connected since", answer: Answer{Reached: []time.Duration{100 * ms, 100 * ms}, AnyReached: 100 * ms}, detoured: []string{"u1", "u2"}, lost: true},
		{name: "connected before", answer: Answer{Reached: []time.Duration{600 * ms, 600 * ms}, AnyReached: 600 * ms}},
		{name: "never connected", answer: Answer{Reached: []time.Duration{-1, -1}, AnyReached: -1}},
		{name: "connected to one of them", answer: Answer{Reached: []time.Duration{-1, 50 * ms}, AnyReached: 50 * ms}, detoured: []string{"u2"}, lost: true},
		{name: "connected to others only", answer: Answer{Reached: []time.Duration{-1, -1}, AnyReached: 50 * ms}, lost: true},
		{
			name:   "connected to others only, and so has this instance",
			before: func(table *Table) { table.RecordOpened(at(1200*ms), "u3") },
			answer: Answer{Reached: []time.Duration{-1, -1}, AnyReached: 50 * ms},
		},
		{name: "has lost its own paths", answer: Answer{Reached: []time.Duration{-1, -1}, AnyReached: 50 * ms, Lost: true}},
		{name: "too few ages", answer: Answer{AnyReached: -1}},
		{
			name:     "opened here since",
			before:   func(table *Table) { table.RecordOpened(at(1400*ms), "u1") },
			answer:   Answer{Reached: []time.Duration{100 * ms, 100 * ms}, AnyReached: 100 * ms},
			detoured: []string{"u2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.RecordOpened(at(500*ms), "u1")
			table.RecordFailed(at(time.Second), "u1", Silent)
			table.RecordFailed(at(1100*ms), "u2", Silent)
			q, asked := table.Ask(at(1100*ms), newRandom(), 2)
			is.Equal(q.Addresses, []string{"u1", "u2"})
			is.Equal(len(asked), 2)
			if tt.before != nil {
				tt.before(table)
			}
			q.At = at(1500 * ms)
			detoured, lost := table.RecordAnswer(at(1510*ms), asked[0], q, tt.answer)
			is.Equal(detoured, tt.detoured)
			is.Equal(lost, tt.lost)
			toOther, _ := table.Detoured("u9")
			is.Equal(toOther, tt.lost) // an address without a failure
		})
	}
}

func TestQuestions(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.RecordFailed(at(0), "u1", Refused)
	q, _ := table.Ask(at(0), newRandom(), 3)
	is.Equal(q, nil) // one failure may be anything
	table.RecordFailed(at(300*ms), "u1", Refused)
	var times []time.Duration
	for now := 300 * ms; now < 6*time.Second; now += 10 * ms {
		if now%(300*ms) == 0 {
			table.RecordFailed(at(now), "u1", Refused)
		}
		if q, _ := table.Ask(at(now), newRandom(), 3); q != nil {
			times = append(times, now)
		}
	}
	is.Equal(times, []time.Duration{300 * ms, 450 * ms, 750 * ms, 1350 * ms, 2550 * ms, 4550 * ms}) // doubling
	table.RecordFailed(at(6*time.Second), "u2", Refused)
	q, asked := table.Ask(at(6*time.Second), newRandom(), 3)
	is.Equal(q.Addresses, []string{"u1", "u2"}) // another one fails: asked at once
	is.Equal(len(asked), 3)
	q, _ = table.Ask(at(20*time.Second), newRandom(), 3)
	is.Equal(q, nil) // the failures are old
}

// lostTable returns a table that has lost all paths at 2 s.
func lostTable(is *is.I) *Table {
	table := newTable()
	table.RecordFailed(at(1800*ms), "u1", Silent)
	table.RecordFailed(at(1900*ms), "u2", Silent)
	q, _ := table.Ask(at(1900*ms), newRandom(), 3)
	q.At = at(2 * time.Second)
	for _, p := range peers {
		table.RecordAnswer(at(2*time.Second), p, q, Answer{Reached: []time.Duration{10 * ms, -1}, AnyReached: 10 * ms})
	}
	is.True(table.lost)
	return table
}

// TestPathThatAnsweredLastIsCheckedFirst guards against a false conclusion that lasts until the
// addresses before it have been checked.
func TestPathThatAnsweredLastIsCheckedFirst(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.RecordHeard(at(time.Second), "u4")
	table.RecordHeard(at(1900*ms), "u5")
	known := []string{"u1", "u2", "u3", "u4", "u5"}
	table.RecordFailed(at(1800*ms), "u1", Refused)
	table.RecordFailed(at(1900*ms), "u2", Refused)
	table.RecordAnswer(at(2*time.Second), peers[0], &Question{At: at(2 * time.Second)}, Answer{AnyReached: 10 * ms})
	is.True(table.lost)
	is.Equal(table.Checks(at(2*time.Second), known), []string{"u5"})
	is.Equal(table.Checks(at(2500*ms), known), []string{"u4"})
}

// TestQuestionsWhileAllPathsAreLost guards against questions whenever another path is found to
// fail: at large deployments these are many, and all are detoured already.
func TestQuestionsWhileAllPathsAreLost(t *testing.T) {
	is := is.New(t)
	table := lostTable(is)
	questions := 0
	for now := 2 * time.Second; now < 12*time.Second; now += 100 * ms {
		table.RecordFailed(at(now), fmt.Sprint("v", now), Silent)
		if q, _ := table.Ask(at(now), newRandom(), 3); q != nil {
			questions++
		}
	}
	is.Equal(questions, 10) // one a second
}

func TestDirectConnectionEndsDetours(t *testing.T) {
	is := is.New(t)
	table := lostTable(is)
	known := []string{"u1", "u2", "u3"}
	is.Equal(table.Checks(at(2*time.Second), known), []string{"u1"})
	is.Equal(table.Checks(at(2100*ms), known), nil) // too early
	is.Equal(table.Checks(at(2500*ms), known), []string{"u2"})
	is.Equal(table.Checks(at(3*time.Second), known), []string{"u3"})
	is.True(table.RecordOpened(at(3*time.Second), "u3"))
	detoured, _ := table.Detoured("u2")
	is.True(!detoured)
	detoured, silent := table.Detoured("u1")
	is.True(detoured && silent) // another instance has reached it; it is checked itself
	is.Equal(table.Checks(at(3500*ms), known), []string{"u1"})
	is.True(table.RecordOpened(at(3500*ms), "u1"))
	is.True(!table.Detours())
	is.True(!table.RecordOpened(at(3600*ms), "u1"))
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		before func(*Table)
		want   []string // instances that are chosen, sorted
	}{
		{name: "of this failure domain", want: []string{"b"}},
		{name: "avoided", before: func(table *Table) { table.Avoid(at(2*time.Second), "b-1") }, want: []string{"c", "d"}},
		{name: "avoided for the address", before: func(table *Table) { table.AvoidFor(at(2*time.Second), "b-1", "u1") }, want: []string{"c", "d"}},
		{name: "avoided for another address", before: func(table *Table) { table.AvoidFor(at(2*time.Second), "b-1", "u2") }, want: []string{"b"}},
		{name: "avoided for long ago", before: func(table *Table) { table.AvoidFor(at(0), "b-1", "u1") }, want: []string{"b"}},
		{name: "cannot connect to one upstream", before: func(table *Table) {
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u1")
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u1")
		}, want: []string{"b"}},
		{name: "cannot connect to two upstreams", before: func(table *Table) {
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u1")
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u2")
		}, want: []string{"c", "d"}},
		{name: "has connected to another one in between", before: func(table *Table) {
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u1")
			table.RecordTunnelOpened("b-1")
			table.RecordTunnelFailed(at(2*time.Second), "b-1", "u2")
		}, want: []string{"b"}},
		{name: "gone", before: func(table *Table) { table.SetPeers(peers[1:2]) }, want: []string{"c"}},
		{name: "stops", before: func(table *Table) {
			stopping := slices.Clone(peers)
			stopping[0].Leaving = true
			table.SetPeers(stopping)
		}, want: []string{"c", "d"}},
		{name: "all stop", before: func(table *Table) {
			stopping := slices.Clone(peers[:1])
			stopping[0].Leaving = true
			table.SetPeers(stopping)
		}, want: []string{"b"}},
		{name: "has lost its paths", before: func(table *Table) {
			table.RecordAnswer(at(2*time.Second), peers[0], &Question{}, Answer{AnyReached: ms, Lost: true})
		}, want: []string{"c", "d"}},
		{name: "has many tunnels", before: func(table *Table) {
			table.RecordAnswer(at(2*time.Second), peers[0], &Question{}, Answer{AnyReached: ms, Tunnels: 100})
		}, want: []string{"c", "d"}},
		{name: "none is left", before: func(table *Table) { table.SetPeers(nil) }},
		{name: "only some reach the upstream", before: func(table *Table) {
			q := &Question{Addresses: []string{"u1"}}
			table.RecordAnswer(at(2*time.Second), peers[0], q, Answer{Reached: []time.Duration{-1}, AnyReached: ms})
			table.RecordAnswer(at(2*time.Second), peers[1], q, Answer{Reached: []time.Duration{-1}, AnyReached: ms})
			table.RecordOpened(at(2*time.Second), "u3") // not all paths are lost
		}, want: []string{"d"}},
		{name: "none has reached the upstream lately", before: func(table *Table) {
			for _, p := range peers {
				table.RecordAnswer(at(2*time.Second), p, &Question{Addresses: []string{"u1"}}, Answer{Reached: []time.Duration{-1}, AnyReached: ms})
			}
			table.RecordOpened(at(2*time.Second), "u3") // not all paths are lost
		}, want: []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := lostTable(is)
			if tt.before != nil {
				tt.before(table)
			}
			random := newRandom()
			var chosen []string
			for range 4 {
				p, ok := table.Choose(at(2100*ms), random, "u1")
				is.Equal(ok, len(tt.want) > 0)
				if ok && !slices.Contains(chosen, p.Instance) {
					chosen = append(chosen, p.Instance)
				}
			}
			slices.Sort(chosen)
			is.Equal(chosen, tt.want)
		})
	}
}

// TestOthersAreAskedSoonOnceNoneCanBeGoneThrough guards against an instance that waits for its next
// question while those that it went through are cut off as well.
func TestOthersAreAskedSoonOnceNoneCanBeGoneThrough(t *testing.T) {
	tests := []struct {
		name  string
		event func(*Table)
	}{
		{name: "one is avoided", event: func(table *Table) { table.Avoid(at(2200*ms), "b-1") }},
		{name: "one cannot connect", event: func(table *Table) {
			table.RecordTunnelFailed(at(2200*ms), "b-1", "u1")
			table.RecordTunnelFailed(at(2200*ms), "b-1", "u2")
		}},
		{name: "another one starts", event: func(table *Table) { table.SetPeers(append(peers, Peer{ID: "e-1"})) }},
		{name: "none is left", event: func(table *Table) {
			for _, p := range peers {
				table.helpers[p.ID].fit = false
			}
			table.Choose(at(2200*ms), newRandom(), "u1")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := lostTable(is)
			q, _ := table.Ask(at(2*time.Second+10*ms), newRandom(), 3)
			for now := 2 * time.Second; q == nil; now += 10 * ms {
				q, _ = table.Ask(at(now), newRandom(), 3)
			}
			asked := table.asked
			table.nextAsk = asked.Add(detourAskInterval)
			tt.event(table)
			is.Equal(table.nextAsk, asked.Add(minAskInterval))
		})
	}
}

// TestThoseThatAreLostAreAskedLast guards against questions to the rest of a failure domain that is
// cut off, round after round.
func TestThoseThatAreLostAreAskedLast(t *testing.T) {
	is := is.New(t)
	table := lostTable(is)
	for _, p := range peers[:2] {
		table.RecordAnswer(at(2100*ms), p, &Question{}, Answer{AnyReached: ms, Lost: true})
	}
	for range 10 {
		is.Equal(table.choosePeers(at(2200*ms), newRandom(), 1), peers[2:])
	}
}

// TestManyDetouredAddresses guards against addresses of which no instance is ever asked.
func TestManyDetouredAddresses(t *testing.T) {
	is := is.New(t)
	table := newTable()
	const count = 100
	for i := range count {
		table.RecordFailed(at(0), fmt.Sprint("u", i), Silent)
	}
	table.RecordOpened(at(ms), "v") // not all paths are lost
	for now := 10 * ms; now < 6*time.Second; now += 10 * ms {
		q, asked := table.Ask(at(now), newRandom(), 3)
		for _, p := range asked {
			a := Answer{AnyReached: 0, Reached: make([]time.Duration, len(q.Addresses))}
			table.RecordAnswer(at(now), p, q, a)
		}
	}
	for i := range count {
		address := fmt.Sprint("u", i)
		detoured, _ := table.Detoured(address)
		is.True(detoured)
		sure := 0
		for _, h := range table.helpers {
			if h.reachesNow(at(6*time.Second), address) {
				sure++
			}
		}
		is.Equal(sure, len(peers))
	}
}

// TestNextIsNotPastOnceItIsServed guards against a loop that waits for a time that has passed.
func TestNextIsNotPastOnceItIsServed(t *testing.T) {
	tests := []struct {
		name   string
		before func(*Table)
		active bool
	}{
		{name: "nothing fails"},
		{name: "one failure", before: func(table *Table) { table.RecordFailed(at(0), "u1", Silent) }},
		{name: "failures, nobody to ask", before: func(table *Table) {
			table.RecordFailed(at(0), "u1", Silent)
			table.RecordFailed(at(0), "u2", Silent)
			table.SetPeers(nil)
		}},
		{name: "failures", active: true, before: func(table *Table) {
			table.RecordFailed(at(0), "u1", Silent)
			table.RecordFailed(at(0), "u2", Silent)
		}},
		{name: "detours, no upstream in use", active: true, before: func(table *Table) {
			table.RecordFailed(at(0), "u1", Silent)
			table.RecordFailed(at(0), "u2", Silent)
			table.RecordAnswer(at(ms), peers[0], &Question{At: at(ms)}, Answer{AnyReached: 0})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			if tt.before != nil {
				tt.before(table)
			}
			now := at(2 * ms)
			table.Ask(now, newRandom(), 3)
			table.Checks(now, nil)
			next, active := table.Next(now)
			is.Equal(active, tt.active)
			is.True(!active || next.After(now))
		})
	}
}

// TestAnswer guards against an instance that is asked for connections which it cannot open
// itself, as only old ones live on.
func TestAnswer(t *testing.T) {
	tests := []struct {
		name   string
		before func(*Table)
		want   Answer
	}{
		{name: "nothing", want: Answer{Reached: []time.Duration{-1}, AnyReached: -1}},
		{name: "opened", before: func(table *Table) { table.RecordOpened(at(0), "u1") }, want: Answer{Reached: []time.Duration{time.Second}, AnyReached: time.Second}},
		{name: "heard", before: func(table *Table) {
			table.RecordOpened(at(0), "u1")
			table.RecordHeard(at(600*ms), "u1")
		}, want: Answer{Reached: []time.Duration{400 * ms}, AnyReached: 400 * ms}},
		{name: "heard, but new connections fail", before: func(table *Table) {
			table.RecordOpened(at(0), "u1")
			table.RecordFailed(at(500*ms), "u1", Refused)
			table.RecordHeard(at(600*ms), "u1")
		}, want: Answer{Reached: []time.Duration{-1}, AnyReached: time.Second}},
		{name: "several fail, and none has opened since", before: func(table *Table) {
			table.RecordOpened(at(0), "u2")
			table.RecordFailed(at(500*ms), "u1", Refused)
			table.RecordFailed(at(500*ms), "u3", Refused)
		}, want: Answer{Reached: []time.Duration{-1}, AnyReached: time.Second, Lost: true}},
		{name: "several fail, and another has opened since", before: func(table *Table) {
			table.RecordFailed(at(500*ms), "u1", Refused)
			table.RecordFailed(at(500*ms), "u3", Refused)
			table.RecordOpened(at(600*ms), "u2")
		}, want: Answer{Reached: []time.Duration{-1}, AnyReached: 400 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			if tt.before != nil {
				tt.before(table)
			}
			is.Equal(table.Answer(at(time.Second), &Question{Addresses: []string{"u1"}}), tt.want)
		})
	}
}

// A pathModel is what really opened.
type pathModel struct {
	table       *Table
	others      map[string]time.Time // when another instance last connected, by address
	firstFailed map[string]time.Time // since the last direct connection, by address
}

func (m *pathModel) fail(now time.Time, address string) {
	if _, failed := m.firstFailed[address]; !failed {
		m.firstFailed[address] = now
	}
	m.table.RecordFailed(now, address, Silent)
}

func (m *pathModel) open(t *rapid.T, now time.Time, address string) {
	m.table.RecordOpened(now, address)
	delete(m.firstFailed, address)
	if detoured, _ := m.table.Detoured(address); detoured {
		t.Fatalf("%s is detoured after a direct connection", address)
	}
}

// answer returns what another instance answers.
func (m *pathModel) answer(now time.Time, q *Question) Answer {
	a := Answer{AnyReached: -1}
	for _, u := range q.Addresses {
		a.Reached = append(a.Reached, age(now, m.others[u]))
	}
	for _, opened := range m.others {
		if a.AnyReached < 0 || age(now, opened) < a.AnyReached {
			a.AnyReached = age(now, opened)
		}
	}
	return a
}

func (m *pathModel) ask(t *rapid.T, now time.Time) {
	q, asked := m.table.Ask(now, newRandom(), 1)
	if q == nil {
		return
	}
	detoured, lost := m.table.RecordAnswer(now, asked[0], q, m.answer(now, q))
	for _, u := range detoured {
		if !m.others[u].After(m.firstFailed[u]) {
			t.Fatalf("%s is detoured, connected to by others at %v and failing since %v", u, m.others[u], m.firstFailed[u])
		}
	}
	if lost && len(m.firstFailed) < minSuspects {
		t.Fatalf("all paths count as lost, failing: %v", m.firstFailed)
	}
}

// TestRandomPaths compares the conclusions with what really opened: no path is detoured
// unless another instance connected after the failures in a row began.
func TestRandomPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pathModel{table: newTable(), others: map[string]time.Time{}, firstFailed: map[string]time.Time{}}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * ms)
			address := fmt.Sprint("u", rapid.IntRange(1, 4).Draw(t, "address"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.open(t, now, address)
			case 1:
				m.fail(now, address)
			case 2:
				m.others[address] = now
			case 3:
				m.ask(t, now)
			}
		}
	})
}
