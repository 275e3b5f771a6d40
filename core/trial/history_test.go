package trial

import (
	"fmt"
	"slices"
	"testing"

	"banyanyard/core/era"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestHistoryTellsVersionsInForce guards against a version that was rolled back, replaced or
// superseded counting as the old version of the next order.
func TestHistoryTellsVersionsInForce(t *testing.T) {
	type order struct {
		to       string
		revision era.Version
		state    State
	}
	tests := []struct {
		name    string
		orders  []order
		inForce []string // of v1 to v4
	}{
		{name: "no order", inForce: []string{"v1", "v2", "v3", "v4"}},
		{name: "running", orders: []order{{"v2", 1, Running}}, inForce: []string{"v1", "v3", "v4"}},
		{name: "stopped", orders: []order{{"v2", 1, Running}, {"v2", 1, Stopped}}, inForce: []string{"v1", "v3", "v4"}},
		{name: "completed", orders: []order{{"v2", 1, Completed}}, inForce: []string{"v2"}},
		{name: "replaced by the next order", orders: []order{{"v2", 1, Running}, {"v3", 2, Running}}, inForce: []string{"v1", "v4"}},
		{name: "two stopped", orders: []order{{"v2", 1, Stopped}, {"v3", 2, Stopped}, {"v4", 3, Running}}, inForce: []string{"v1"}},
		{name: "stopped after a completion", orders: []order{{"v2", 1, Completed}, {"v3", 2, Stopped}}, inForce: []string{"v2"}},
		{name: "two completed", orders: []order{{"v2", 1, Completed}, {"v3", 2, Completed}}, inForce: []string{"v3"}},
		{name: "stopped, and completed when ordered again", orders: []order{{"v2", 1, Stopped}, {"v3", 2, Stopped}, {"v2", 3, Completed}}, inForce: []string{"v2"}},
		{name: "completed, and ordered again", orders: []order{{"v2", 1, Completed}, {"v3", 2, Stopped}, {"v2", 3, Running}}, inForce: []string{"v2"}},
		{name: "completed by the record after a stop", orders: []order{{"v2", 1, Stopped}, {"v2", 1, Completed}}, inForce: []string{"v2"}},
		{name: "an era in which numbers are given out again", orders: []order{{"v2", era.New(0, 9), Completed}, {"v3", era.New(1, 3), Completed}}, inForce: []string{"v3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h History
			for _, o := range tt.orders {
				h.Record(o.to, o.revision, o.state)
			}
			accepts := h.InForce()
			var got []string
			for _, v := range []string{"v1", "v2", "v3", "v4"} {
				if accepts(v) {
					got = append(got, v)
				}
			}
			is.Equal(got, tt.inForce)
		})
	}
}

// TestHistoriesConverge merges the states of orders in any order, some of them repeatedly and
// by way of other histories.
func TestHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) VersionRecord {
			order := era.New(rapid.Uint64Range(0, 1).Draw(t, "era"), rapid.Uint64Range(1, 6).Draw(t, "order"))
			r := VersionRecord{Version: fmt.Sprint("v", rapid.IntRange(1, 4).Draw(t, "version")), Latest: Ended{Order: order, State: State(rapid.IntRange(0, 2).Draw(t, "state"))}}
			if r.Latest.State == Completed {
				r.Completed = order
			}
			return r
		}), 0, 12).Draw(t, "states")
		var one, other, via History
		one.Merge(states)
		shuffled := rapid.Permutation(states).Draw(t, "shuffled")
		half := len(shuffled) / 2
		via.Merge(shuffled[half:])
		other.Merge(shuffled[:half])
		other.Merge(via.Records())
		other.Merge(one.Records()[:len(one.Records())/2])
		if !slices.Equal(one.Records(), other.Records()) || one.Current() != other.Current() {
			t.Fatalf("%v and %v of the same states", one.Records(), other.Records())
		}
		if !other.Covers(states) || other.Merge(states) {
			t.Fatalf("%v does not cover %v", other.Records(), states)
		}
	})
}

// TestHistoryIsBounded records more versions than a history holds: the version in force and
// the newest orders remain.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h History
	h.Record("current", 1, Completed)
	for n := range 3 * maxHistory {
		h.Record(fmt.Sprint("v", n), era.Version(n+2), Stopped)
		h.Record("v0", 2, Stopped) // an old one that others still know
	}
	is.Equal(len(h.Records()), maxHistory)
	is.Equal(h.Current(), "current")
	is.True(h.Stopped(fmt.Sprint("v", 3*maxHistory-1)))
	is.True(!h.Stopped("v0"))
}
