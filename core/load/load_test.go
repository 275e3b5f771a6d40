package load

import (
	"fmt"
	"testing"
	"time"

	"banyanyard/core/relay"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestTotalOfAllInstances sends sums up the tree of a root until the root has that
// of all instances, each counted once.
func TestTotalOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]string, rapid.IntRange(1, 150).Draw(t, "members"))
		own := map[string]map[string]int{}
		want := map[string]int{}
		for i := range members {
			members[i] = fmt.Sprint("entry-", i)
			id := fmt.Sprint("upstream-", rapid.IntRange(0, 5).Draw(t, "upstream"))
			own[members[i]] = map[string]int{id: 1 + i%3}
			want[id] += 1 + i%3
		}
		collectors := make(map[string]*Collector)
		for _, m := range members {
			collectors[m] = &Collector{}
		}
		root := members[0]
		for round := range relay.MaxHops + 1 {
			now := start.Add(time.Duration(round) * 100 * time.Millisecond)
			for _, m := range members {
				for _, child := range relay.Children(root, m, members) {
					collectors[m].Put(now, root, child, collectors[child].Total(now, root, Sum{Running: own[child]}))
				}
			}
		}
		total := collectors[root].Total(start.Add(time.Second), root, Sum{Running: own[root]})
		if total.Instances != len(members) {
			t.Fatalf("%d instances, want %d", total.Instances, len(members))
		}
		for id, n := range want {
			if total.Running[id] != n {
				t.Fatalf("%d attempts run at %s, want %d", total.Running[id], id, n)
			}
		}
	})
}

func TestOldSumsExpire(t *testing.T) {
	is := is.New(t)
	var c Collector
	c.Put(start, "root", "child", Sum{Instances: 2, Running: map[string]int{"u": 3}})
	is.Equal(c.Total(start.Add(time.Second), "root", Sum{Running: map[string]int{"u": 1}}), Sum{Instances: 3, Age: 2 * time.Second / 3, Running: map[string]int{"u": 4}})
	is.Equal(c.Total(start.Add(time.Second), "another root", Sum{}), Sum{Instances: 1})
	is.Equal(c.Total(start.Add(3*time.Second), "root", Sum{Running: map[string]int{"u": 1}}), Sum{Instances: 1, Running: map[string]int{"u": 1}})
}

// TestPaceOutlastsSumsWithoutIt keeps what a child said of the pace of upstreams until it
// says it again.
func TestPaceOutlastsSumsWithoutIt(t *testing.T) {
	is := is.New(t)
	var c Collector
	pace := map[string]Pace{"u": {10, 5, 3}}
	c.Put(start, "root", "child", Sum{Instances: 1, Pace: pace})
	c.Put(start.Add(time.Second), "root", "child", Sum{Instances: 1})
	is.Equal(c.Total(start.Add(time.Second), "root", Sum{}).Pace, nil)
	is.Equal(c.Total(start.Add(time.Second), "root", Sum{Pace: pace}).Pace["u"], Pace{20, 10, 6})
	c.Put(start.Add(2*paceRetention), "root", "child", Sum{Instances: 1})
	is.Equal(c.Total(start.Add(2*paceRetention), "root", Sum{Pace: pace}).Pace["u"], pace["u"])
}
