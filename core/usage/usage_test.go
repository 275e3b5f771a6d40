package usage

import (
	"fmt"
	"testing"
	"time"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var spans = Spans{Length: 5 * time.Second, Late: 10 * time.Second}

// TestSumOfLostAndRepeatedReports loses, repeats and reorders reports: the sum of what was
// confirmed last is that of all requests.
func TestSumOfLostAndRepeatedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		want := Counts{}
		for i := range rapid.IntRange(1, 4).Draw(t, "instances") {
			var counter Counter
			var confirmed map[int64]int
			var sent []Report
			for range rapid.IntRange(1, 6).Draw(t, "reports") {
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					organisation := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "organisation"))
					counter.Record(spans, 100, organisation)
					want[organisation]++
				}
				totals := counter.Totals()
				sent = append(sent, Report{Start: fmt.Sprint(i), Windows: counter.Changed(confirmed)})
				if rapid.Bool().Draw(t, "arrives") {
					ledger.Learn(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "repeated")])
					ledger.Learn(sent[len(sent)-1])
					confirmed = totals
				}
			}
			ledger.Learn(Report{Start: fmt.Sprint(i), Windows: counter.Changed(confirmed)})
		}
		got := ledger.Sum(100)
		for organisation, n := range want {
			if got[organisation] != n {
				t.Fatalf("%s: %d requests, want %d", organisation, got[organisation], n)
			}
		}
	})
}

func TestDue(t *testing.T) {
	end := spans.End(100)
	before := Report{Start: "b", AsOfMs: end.Add(-time.Second).UnixMilli(), Windows: []Window{{Number: 100, Counts: Counts{"o": 1}}}}
	after := Report{Start: "b", AsOfMs: end.Add(time.Second).UnixMilli()}
	tests := []struct {
		name    string
		reports []Report
		at      time.Duration // after the end of window 100
		done    int64
		want    []int64
	}{
		{name: "nothing known", at: 7 * time.Second},
		{name: "not over", reports: []Report{before, after}, at: -time.Second},
		{name: "an instance is behind", reports: []Report{before}, at: 2 * time.Second},
		{name: "all have reported", reports: []Report{before, after}, at: 2 * time.Second, want: []int64{100}},
		{name: "done", reports: []Report{before, after}, at: 2 * time.Second, done: 100},
		{name: "can wait no longer", reports: []Report{before}, at: 6 * time.Second, want: []int64{100}},
		{name: "too late, and an empty one", reports: []Report{before, after}, at: 11 * time.Second, want: []int64{101}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Ledger
			for _, r := range tt.reports {
				l.Learn(r)
			}
			is.New(t).Equal(l.Due(spans, end.Add(tt.at), []string{"b"}, func(n int64) bool { return n == tt.done }), tt.want)
		})
	}
}

// TestWrongClocks lets the wall clocks of less than half of the instances be wrong by minutes,
// and jump.
func TestWrongClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trueStart := time.Unix(1_800_000_000, 0)
		n := rapid.IntRange(3, 15).Draw(t, "instances")
		wrong := rapid.IntRange(0, (n-1)/2).Draw(t, "wrong")
		var collector, reporter Clock
		for second := range 10 {
			now := time.Duration(second) * time.Second
			for i := range n {
				wall := trueStart.Add(now)
				if i < wrong {
					wall = wall.Add(time.Duration(rapid.IntRange(-300, 300).Draw(t, "error")) * time.Second)
				}
				collector.Observe(now, fmt.Sprint(i), wall)
				if i == 0 {
					reporter.Observe(now+time.Hour, "0", wall)
				}
			}
			at, sources := collector.Median(now)
			reporter.Learn(now+time.Hour, now+time.Hour+20*time.Millisecond, "c", Answer{TrueMs: at.UnixMilli(), Sources: sources})
			for name, got := range map[string]time.Time{"collector": collector.Now(now), "reporter": reporter.Now(now + time.Hour)} {
				if off := got.Sub(trueStart.Add(now)); off.Abs() > 10*time.Millisecond {
					t.Fatalf("the %s is off by %v", name, off)
				}
			}
		}
		// Alone for a while, and with a wall clock that jumps, it keeps the time agreed on.
		reporter.Observe(time.Hour+40*time.Second, "0", trueStart)
		if off := reporter.Now(time.Hour + 40*time.Second).Sub(trueStart.Add(40 * time.Second)); n > 2 && off.Abs() > 10*time.Millisecond {
			t.Fatalf("alone, off by %v", off)
		}
	})
}
