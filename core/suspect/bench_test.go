package suspect

import (
	"fmt"
	"testing"
	"time"
)

// maxJudgeTime bounds the evaluation of as many crashes as a table holds, with as many
// candidates: a tenth of the time between two evaluations on a whole core.
const maxJudgeTime = 10 * time.Millisecond

// BenchmarkJudge evaluates a full table that holds no verdict yet.
func BenchmarkJudge(b *testing.B) {
	s := newStory()
	for i := range 64 {
		s.answer(fmt.Sprint("o", i%10), "class", fmt.Sprint("subject-", i))
	}
	for i := range maxCrashes {
		s.wait(100 * time.Millisecond)
		s.crashed++
		c := Crash{Upstream: fmt.Sprint("u", s.crashed), UnixMs: s.now.UnixMilli()}
		for j := range maxCandidates {
			c.Candidates = append(c.Candidates, Candidate{Traits: traits(fmt.Sprint("o", j%10), fmt.Sprint("r", i, "-", j), "class", fmt.Sprint("subject-", (7*i+j)%40)), Weight: 0.1})
		}
		s.RecordCrash(s.now, c)
	}
	for b.Loop() {
		s.dirty = true
		s.Judge(s.now)
	}
	b.ReportMetric(float64(len(s.shared)), "sets")
	if per := b.Elapsed() / time.Duration(b.N); per > maxJudgeTime {
		b.Errorf("an evaluation takes %v, want at most %v", per, maxJudgeTime)
	}
}

// BenchmarkRefusal looks up a request among as many verdicts as a table holds.
func BenchmarkRefusal(b *testing.B) {
	var t Table
	for i := range maxVerdicts {
		t.MergeStored(start, Verdict{Traits: Traits{fmt.Sprint(PartPrefix, "p", i), "service=s"}, Epoch: 1})
	}
	request := traits("o1", "r", "class", "subject")
	for b.Loop() {
		t.Refusal(request)
	}
}
