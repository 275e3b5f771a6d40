package placement

import (
	"fmt"
	"testing"

	"banyanyard/core/load"
)

// BenchmarkPick measures a pick among 12 upstreams and its release.
func BenchmarkPick(b *testing.B) {
	f := newFleet(12)
	for b.Loop() {
		slot, _ := f.Pick(start, Criteria{Service: "s"})
		f.Release(start, slot, Completed)
	}
}

// BenchmarkPickForPrompt measures the same for a prompt, among 90 upstreams of 3 failure
// domains.
func BenchmarkPickForPrompt(b *testing.B) {
	names := make([]string, minSharedInstances)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	f := New(names[0], "d0")
	f.SetInstances(names)
	for i := range 90 {
		f.Register(start, Upstream{ID: fmt.Sprint("upstream-", i), Service: "s", Address: fmt.Sprint(i), FailureDomain: fmt.Sprint("d", i%3), Slots: 64})
	}
	f.SetLoad(start, load.Sum{Instances: len(names)})
	for b.Loop() {
		slot, _ := f.Pick(start, Criteria{Service: "s", AffinityKey: "prefix", PromptWork: 10_000, SharedWork: 5_000, Kind: "report"})
		f.Release(start, slot, Completed)
	}
}
