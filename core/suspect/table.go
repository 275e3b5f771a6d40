package suspect

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes, at different moments, from which a
	// hypothesis can become a verdict.
	minCrashes = 3
	// minEvidence is the evidence that it needs. A crash that no other hypothesis
	// explains as well is 1.
	minEvidence = 2.5
	// minOtherAnswers is the number of sets of traits with answers meanwhile that show
	// that the service works otherwise.
	minOtherAnswers = 3
	// sameMoment is the time within which crashes of different upstreams count as one.
	sameMoment = 30 * time.Millisecond
	// sameCrash is the time within which reports on the same start of an upstream are of
	// one crash.
	sameCrash = 2 * time.Second
	// repeatWeight is the weight of a further crash by a request that has already
	// crashed an upstream, as evidence on what it shares with others.
	repeatWeight = 0.5
	// crashRetention is how long a crash counts.
	crashRetention = 15 * time.Minute
	// maxCrashes bounds the crashes that are stored, maxCandidates the candidates of
	// each.
	maxCrashes    = 32
	maxCandidates = 16
	// maxExplained bounds the explained crashes that are remembered.
	maxExplained = 256
	// maxShared bounds the sets of traits that candidates of different crashes share.
	maxShared = 1024
	// MaxReported bounds the candidates that one instance reports of a crash.
	MaxReported = 8
	// minSuspected is the number of crashes from which requests are isolated.
	minSuspected = 2
)

// A Candidate is a request that may have crashed an upstream.
type Candidate struct {
	Traits Traits `json:"traits"`
	// Weight is how probably a request at its stage causes a crash, from 0 to 1,
	// relative to one that is about to write its answer.
	Weight float64 `json:"weight"`
}

// A Crash is one instance's report of a crash.
type Crash struct {
	Upstream string `json:"upstream"` // identifies its start
	UnixMs   int64  `json:"unix-ms"`  // time of the crash
	// Candidates are the requests of the instance that ran there, at most MaxReported.
	Candidates []Candidate `json:"candidates"`
}

// A Table is what an instance knows of crashes. The zero Table is empty. It is not
// safe for concurrent use.
type Table struct {
	crashes   []*crash // not explained by a verdict, oldest first
	answers   answers
	verdicts  map[string]*Verdict // by key of the traits
	suspected []Traits            // hypotheses with at least minSuspected crashes
	dirty     bool                // crashes have changed since Judge
	// shared holds the sets of traits that candidates of two different crashes share,
	// by their string. Each names a part of a prompt or a request.
	shared map[string]Traits
	// explained holds the crashes that a verdict explains, oldest first and without their
	// candidates. Later reports of these crashes accuse nothing.
	explained []crash
	// lacksAnswers is true if a hypothesis only needs answers to other requests.
	lacksAnswers bool
}

// A crash joins the reports of all instances.
type crash struct {
	Crash
	learnt time.Time
}

// isSame reports whether a report that has just been received is of this crash. The
// clocks of the instances may differ.
func (c *crash) isSame(now time.Time, report *Crash) bool {
	between := time.Duration(c.UnixMs-report.UnixMs) * time.Millisecond
	return c.Upstream == report.Upstream && (between.Abs() < sameCrash || now.Sub(c.learnt) < sameCrash)
}

// HasEvidence reports whether any request is suspected or refused. While none is,
// fingerprints need not be computed.
func (t *Table) HasEvidence() bool { return len(t.crashes) > 0 || len(t.verdicts) > 0 }

// HasNews reports whether Judge may find something.
func (t *Table) HasNews() bool { return t.dirty || t.hasPending() }

// RecordAnswer records that a request was answered completely. The shared traits are
// those without a fingerprint; full may be nil unless HasEvidence. It returns the
// verdicts that the answer changes.
func (t *Table) RecordAnswer(now time.Time, shared, full Traits) []Verdict {
	t.answers.record(now, shared)
	if !t.HasEvidence() {
		return nil
	}
	t.dirty = t.dirty || t.lacksAnswers
	for _, c := range t.crashes {
		before := len(c.Candidates)
		c.Candidates = slices.DeleteFunc(c.Candidates, func(o Candidate) bool { return full.HasAll(o.Traits) })
		t.dirty = t.dirty || len(c.Candidates) < before
	}
	return append(t.clear(now, shared, full), t.recordForeign(full)...)
}

// RecordCrash adds a report to a crash. It ignores candidates that a verdict or an
// earlier report has, and the whole crash if a verdict explains it.
func (t *Table) RecordCrash(now time.Time, report Crash) {
	isSame := func(c *crash) bool { return c.isSame(now, &report) }
	if slices.ContainsFunc(t.explained, func(c crash) bool { return isSame(&c) }) {
		return
	}
	if slices.ContainsFunc(report.Candidates, func(o Candidate) bool { return t.explains(o.Traits) }) {
		t.explain(isSame)
		t.rememberExplained(&crash{Crash: report, learnt: now})
		return
	}
	at := slices.IndexFunc(t.crashes, isSame)
	if at < 0 {
		if len(t.crashes) >= maxCrashes {
			t.crashes = slices.Delete(t.crashes, 0, 1)
		}
		t.crashes = append(t.crashes, &crash{Crash: Crash{Upstream: report.Upstream, UnixMs: report.UnixMs}, learnt: now})
		at = len(t.crashes) - 1
	}
	c := t.crashes[at]
	for _, o := range report.Candidates {
		if len(c.Candidates) < maxCandidates && !slices.ContainsFunc(c.Candidates, func(k Candidate) bool { return slices.Equal(k.Traits, o.Traits) }) {
			c.Candidates = append(c.Candidates, o)
			t.dirty = true
			t.addShared(c, o.Traits)
		}
	}
}

// addShared adds what a candidate of the crash shares with those of other crashes.
func (t *Table) addShared(c *crash, traits Traits) {
	if t.shared == nil {
		t.shared = map[string]Traits{}
	}
	for _, other := range t.crashes {
		if other == c {
			continue
		}
		for _, o := range other.Candidates {
			if set := traits.intersect(o.Traits); len(t.shared) < maxShared && set.accuses() {
				t.shared[set.String()] = set
			}
		}
	}
}

// IsSuspected reports whether a request with the traits may crash its upstream, so
// that it is to run where it harms few others.
func (t *Table) IsSuspected(traits Traits) bool {
	return slices.ContainsFunc(t.suspected, traits.HasAll)
}

// ShouldWait reports whether a request with the traits is to wait, because a verdict on
// it is open to objections.
func (t *Table) ShouldWait(now time.Time, traits Traits) bool {
	for _, v := range t.verdicts {
		if v.isPending() && now.Sub(v.changedAt) < objectionTime && traits.HasAll(v.Traits) {
			return true
		}
	}
	return false
}

// explain removes the crashes that satisfy f, which a verdict explains.
func (t *Table) explain(f func(c *crash) bool) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		if !f(c) {
			return false
		}
		t.rememberExplained(c)
		t.dirty = true
		return true
	})
}

func (t *Table) rememberExplained(c *crash) {
	if len(t.explained) >= maxExplained {
		t.explained = slices.Delete(t.explained, 0, 1)
	}
	t.explained = append(t.explained, crash{Crash: Crash{Upstream: c.Upstream, UnixMs: c.UnixMs}, learnt: c.learnt})
}

// Expire removes what is too old to count. It is to be called regularly.
func (t *Table) Expire(now time.Time) {
	t.answers.expire(now)
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.learnt) > crashRetention || len(c.Candidates) == 0 })
	t.dirty = t.dirty || len(t.crashes) < before
	maps.DeleteFunc(t.verdicts, func(_ string, v *Verdict) bool { return now.Sub(v.changedAt) > VerdictRetention })
}

// weight returns the highest weight of the candidates that have all traits of the
// set; 0 if there is none.
func (c *crash) weight(set Traits) float64 {
	weight := 0.0
	for _, o := range c.Candidates {
		if o.Weight > weight && o.Traits.HasAll(set) {
			weight = o.Weight
		}
	}
	return weight
}
