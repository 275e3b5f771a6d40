package relay

import (
	"fmt"
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
