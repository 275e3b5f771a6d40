package trial

import (
	"fmt"
	"testing"
	"time"

	"banyanyard/core/rollout"
	"banyanyard/core/tally"

	"github.com/matryer/is"
)

// reportOf returns a report on 20 kinds of requests.
func reportOf(n int) Report {
	r := Report{To: order.To, Kinds: map[string]rollout.Evidence{}, Moved: map[string]rollout.Arm{}, Exposure: Exposure{All: 40 * n, New: n}, OldRunning: -1}
	for k := range 20 {
		kind := fmt.Sprint("kind-", k)
		r.Kinds[kind] = rollout.Evidence{New: rollout.Arm{Errors: tally.Counts{Good: n}}, Old: rollout.Arm{Errors: tally.Counts{Good: 2 * n}}}
		r.Moved[kind] = rollout.Arm{Errors: tally.Counts{Good: n / 2}}
	}
	return r
}

// learn plays rounds of reports of other instances, and returns the trial with the time
// that a report took.
func learn(instances, rounds int) (*Trial, time.Duration) {
	t := New(start, order, bounds)
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	reports := make([]Report, rounds)
	for n := range reports {
		reports[n] = reportOf(n + 1)
	}
	began := time.Now()
	for n, r := range reports {
		for _, name := range names {
			now := start.Add(time.Duration(n) * 500 * time.Millisecond)
			t.LearnReport(now, name, r)
			t.Summary(now)
		}
	}
	return t, time.Since(began) / time.Duration(instances*rounds)
}

// TestReportsCostTheSameInLargeDeployments bounds the work of an instance that collects
// reports: with work that grows with the instances for each report, it would have no time
// for its callers.
func TestReportsCostTheSameInLargeDeployments(t *testing.T) {
	few, many := time.Hour, time.Hour
	for range 5 { // the fastest of some, since other processes run too
		_, d := learn(10, 60)
		few = min(few, d)
		_, d = learn(300, 2)
		many = min(many, d)
	}
	if many > 4*few {
		t.Errorf("a report takes %v with 10 instances and %v with 300", few, many)
	}
}

func TestTotalsOfReports(t *testing.T) {
	is := is.New(t)
	tr, _ := learn(3, 4)
	is.Equal(tr.totalEvidence("kind-7").New.Errors.Good, 3*4)
	is.Equal(tr.movedEvidence("kind-7").New.Errors.Good, 3*2)
	is.Equal(tr.TotalExposure(), Exposure{All: 3 * 160, New: 3 * 4})

	tr.LearnReport(start.Add(3*time.Second), "1", reportOf(1)) // has restarted
	is.Equal(tr.totalEvidence("kind-7").Old.Errors.Good, 3*8+2)
	is.Equal(tr.TotalExposure(), Exposure{All: 3*160 + 40, New: 3*4 + 1})

	tr.LearnReport(start.Add(4*time.Second), "1", reportOf(3))
	is.Equal(tr.totalEvidence("kind-7").Old.Errors.Good, 3*8+6)
	is.Equal(tr.TotalExposure(), Exposure{All: 3*160 + 120, New: 3*4 + 3})
}
