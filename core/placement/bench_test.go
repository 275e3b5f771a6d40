package placement

import "testing"

// BenchmarkPick measures a pick among 12 upstreams and its release.
func BenchmarkPick(b *testing.B) {
	f := newFleet(12)
	for b.Loop() {
		slot, _ := f.Pick(start, Criteria{Service: "s"})
		f.Release(start, slot, Completed)
	}
}
