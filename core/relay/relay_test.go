package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func names(n int) []string {
	members := make([]string, n)
	for i := range members {
		members[i] = fmt.Sprint("entry-", i)
	}
	return members
}

// spread returns how often each member receives a message of the root and the
// largest number of hops, when failed members neither receive nor forward and
// adopt says whether the children of a failed member get it from its parent.
func spread(root string, members []string, failed map[string]bool, adopt bool) (received map[string]int, hops int) {
	received = map[string]int{}
	var send func(from string, hop int)
	send = func(from string, hop int) {
		for _, child := range Children(root, from, members) {
			if failed[child] {
				if adopt {
					send(child, hop)
				}
				continue
			}
			received[child]++
			hops = max(hops, hop)
			send(child, hop+1)
		}
	}
	send(root, 1)
	return received, hops
}

func TestMessageReachesEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(rapid.IntRange(1, 400).Draw(t, "members"))
		root := rapid.SampledFrom(members).Draw(t, "root")
		received, hops := spread(root, members, nil, false)
		for _, m := range members {
			want := 1
			if m == root {
				want = 0
			}
			if received[m] != want {
				t.Fatalf("%s received %d messages, want %d", m, received[m], want)
			}
		}
		if hops > MaxHops {
			t.Fatalf("%d hops, want at most %d", hops, MaxHops)
		}
		for _, m := range members {
			if n := len(Children(root, m, members)); n > Fanout {
				t.Fatalf("%s forwards to %d members, want at most %d", m, n, Fanout)
			}
		}
	})
}

// TestChildrenOfFailedMembersAreReached checks that each live member receives the
// message when parents send it to the children of failed members, whatever fails.
func TestChildrenOfFailedMembersAreReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(rapid.IntRange(1, 120).Draw(t, "members"))
		failed := map[string]bool{}
		for _, m := range rapid.SliceOfDistinct(rapid.SampledFrom(members), rapid.ID[string]).Draw(t, "failed") {
			failed[m] = m != members[0]
		}
		received, _ := spread(members[0], members, failed, true)
		for _, m := range members[1:] {
			if !failed[m] && received[m] != 1 {
				t.Fatalf("%s received %d messages, want 1", m, received[m])
			}
		}
	})
}

// TestTreesAreIndependent checks that two roots together reach almost all members
// while one of the members forwards nothing.
func TestTreesAreIndependent(t *testing.T) {
	is := is.New(t)
	members := names(64)
	for _, failed := range members[2:] {
		first, _ := spread(members[0], members, map[string]bool{failed: true}, false)
		second, _ := spread(members[1], members, map[string]bool{failed: true}, false)
		missed := 0
		for _, m := range members[2:] {
			if m != failed && first[m]+second[m] == 0 {
				missed++
			}
		}
		is.True(missed <= 4)
	}
}

// copies returns how many copies of a message are sent when each member knows a
// random half of the others. If once is set, members forward only the first copy.
func copies(random *rand.Rand, members []string, once bool) int {
	known := map[string][]string{}
	for _, m := range members {
		for _, other := range members {
			if other == m || other == members[0] || random.IntN(2) == 0 {
				known[m] = append(known[m], other)
			}
		}
	}
	type delivery struct {
		to   string
		hops int
	}
	seen := map[string]*Seen{}
	sent := 0
	queue := []delivery{{to: members[0]}}
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		if seen[d.to] == nil {
			seen[d.to] = &Seen{}
		}
		if !seen[d.to].First("root", 1) && once || d.hops >= MaxHops {
			continue
		}
		for _, child := range Children(members[0], d.to, known[d.to]) {
			sent++
			queue = append(queue, delivery{to: child, hops: d.hops + 1})
		}
	}
	return sent
}

// TestCopiesAreBounded checks that a message is sent at most Fanout times by each
// member that has it, however different the members are that they know; and that
// this needs Seen.
func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	with, without := 0, 0
	for seed := range uint64(20) {
		members := names(40 + 10*int(seed))
		n := copies(rand.New(rand.NewPCG(seed, 1)), members, true)
		is.True(n <= Fanout*len(members))
		with += n
		without += copies(rand.New(rand.NewPCG(seed, 1)), members, false)
	}
	t.Logf("%d copies, %d without Seen", with, without)
	is.True(without > with)
}

func TestFirst(t *testing.T) {
	is := is.New(t)
	var s Seen
	is.True(s.First("a", 1))
	is.True(!s.First("a", 1))
	is.True(s.First("b", 1))
	is.True(s.First("a", 3))
	is.True(s.First("a", 2)) // overtaken by a newer one
	is.True(!s.First("a", 2))
	is.True(!s.First("a", 3))
	is.True(s.First("a", 3+seenWindow))
	is.True(!s.First("a", 3)) // too old to tell
	is.True(s.First("a", 4))
	is.True(!s.First("a", 4))
	is.True(s.First("a", 1000))
	is.True(!s.First("a", 3+seenWindow))
}

func TestCoverage(t *testing.T) {
	type message struct{ number, previous uint64 }
	tests := []struct {
		name     string
		proved   uint64 // 0 if nothing has been
		messages []message
		want     []bool
	}{
		{name: "a stream of which nothing is proved", messages: []message{{1, 0}, {2, 1}}, want: []bool{false, false}},
		{name: "all arrive", proved: 1, messages: []message{{2, 1}, {3, 2}, {4, 2}}, want: []bool{true, true, true}},
		{name: "one without content is lost", proved: 1, messages: []message{{3, 1}}, want: []bool{true}},
		{name: "one with content is lost", proved: 1, messages: []message{{3, 2}, {4, 2}, {5, 4}}, want: []bool{false, false, false}},
		{name: "one with content is overtaken", proved: 1, messages: []message{{3, 2}, {2, 1}, {4, 3}}, want: []bool{false, true, true}},
		{name: "a copy", proved: 2, messages: []message{{3, 2}, {3, 2}}, want: []bool{true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c Coverage
			if tt.proved > 0 {
				c.Prove("a", tt.proved)
			}
			var got []bool
			for _, m := range tt.messages {
				got = append(got, c.Receive("a", m.number, m.previous))
			}
			is.Equal(got, tt.want)
		})
	}
}
