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

// recordForeign records an answer to a request that is foreign to verdicts, and returns
// these: other organisations than theirs may send such requests freely.
func (t *Table) recordForeign(answered Traits) []Verdict {
	var changed []Verdict
	for _, v := range t.verdicts {
		if v.isForeign(answered) {
			v.OthersAnswered = true
			changed = append(changed, *v)
		}
	}
	return changed
}

// clear clears the verdicts whose traits an answered request has.
func (t *Table) clear(now time.Time, shared, answered Traits) []Verdict {
	var cleared []Verdict
	for _, v := range t.verdicts {
		if !v.Cleared && answered.HasAll(v.Traits) {
			v.Cleared = true
			v.enforced = false
			v.Answered = shared
			v.changedAt = now
			cleared = append(cleared, *v)
		}
	}
	return cleared
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

// Refusal returns the verdict by which a request with the traits is refused, or nil.
func (t *Table) Refusal(traits Traits) *Verdict {
	for _, v := range t.verdicts {
		if v.enforced && traits.HasAll(v.Traits) {
			return v
		}
	}
	return nil
}

// explains reports whether a verdict explains the crash of an upstream that ran a
// request with the traits.
func (t *Table) explains(traits Traits) bool {
	for _, v := range t.verdicts {
		if v.explains() && traits.HasAll(v.Traits) {
			return true
		}
	}
	return false
}

// Probe returns the verdict with a further probe if a request with the traits may be
// sent despite it, to find out whether it still holds. The caller makes sure that
// only one instance takes that probe, and merges the verdict.
func (t *Table) Probe(now time.Time, traits Traits) (Verdict, bool) {
	v := t.Refusal(traits)
	if v == nil || !v.probeDue(now) {
		return Verdict{}, false
	}
	probe := *v
	probe.Probes++
	return probe, true
}

// IsSuspected reports whether a request with the traits may crash its upstream, so
// that it is to run where it harms few others.
func (t *Table) IsSuspected(traits Traits) bool {
	return slices.ContainsFunc(t.suspected, traits.HasAll)
}

// isForeign reports whether a verdict is limited to another organisation than that of a
// request with the rest of its traits, and no such request has been answered since. The
// request may crash its upstream too, or the verdict's organisation may have chosen a
// part of others to have it refused.
func (v *Verdict) isForeign(traits Traits) bool {
	return v.explains() && !v.OthersAnswered && v.Traits.value(organisationPrefix) != "" &&
		!traits.HasAll(v.Traits) && traits.HasAll(v.Traits.without(organisationPrefix))
}

// foreign returns a verdict that is foreign to a request with the traits, or nil.
func (t *Table) foreign(traits Traits) *Verdict {
	for _, v := range t.verdicts {
		if v.isForeign(traits) {
			return v
		}
	}
	return nil
}

// MayRepeat reports whether a request with the traits may be sent again after its
// upstream crashed.
func (t *Table) MayRepeat(traits Traits) bool { return t.foreign(traits) == nil }

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

// Turn returns a verdict that is foreign to a request with the traits, and how long the
// request is to stay away because another one takes its turn; nil if there is none.
func (t *Table) Turn(now time.Time, traits Traits) (*Verdict, time.Duration) {
	v := t.foreign(traits)
	if v == nil || !now.Before(v.turnUntil) {
		return nil, 0
	}
	return v, v.turnUntil.Sub(now)
}

// TakeTurn is called immediately before a request is sent. If requests with its traits
// are sent one after the other, it returns the key of their verdict, with which the
// other instances are to call HoldTurn.
func (t *Table) TakeTurn(now time.Time, traits Traits) (key string, ok bool) {
	v := t.foreign(traits)
	if v == nil {
		return "", false
	}
	key = v.Traits.Key()
	t.HoldTurn(now, key)
	return key, true
}

// HoldTurn keeps requests away that are foreign to the verdict with the key, while one of
// them runs at some instance.
func (t *Table) HoldTurn(now time.Time, key string) {
	if v := t.verdicts[key]; v != nil {
		v.turnUntil = now.Add(turnTime)
	}
}

// Merge adopts a verdict of another instance or the store if it is newer. If requests
// with its traits have just been answered here, it returns the verdict cleared, which
// the other instances are to be told.
func (t *Table) Merge(now time.Time, v Verdict) (changed bool, reply *Verdict) {
	if !v.Traits.accuses() || !slices.IsSorted(v.Traits) {
		return false, nil
	}
	if v.Cleared && len(v.Answered) > 0 {
		t.answers.record(now, v.Answered)
	}
	key := v.Traits.Key()
	if known := t.verdicts[key]; known != nil && known.Version() >= v.Version() {
		return false, nil
	}
	v.changedAt = now
	if newest := t.answers.newest(v.Traits); !v.Cleared && v.Probes == 0 && newest != nil && now.Sub(newest.last) < soundPeriod {
		v.Cleared = true
		v.Answered = newest.traits
		reply = &v
	}
	t.put(key, v)
	return true, reply
}

// MergeStored is Merge for a verdict from the store, to which no instance has objected.
func (t *Table) MergeStored(now time.Time, v Verdict) (changed bool, reply *Verdict) {
	changed, reply = t.Merge(now, v)
	if known := t.verdicts[v.Traits.Key()]; known != nil && !known.Cleared {
		t.enforce(known)
	}
	return changed, reply
}

// put stores a verdict. It is enforced at once if it is on a single request, which harms
// no other, or has been enforced before; otherwise once others had time to object.
func (t *Table) put(key string, v Verdict) {
	if t.verdicts == nil {
		t.verdicts = map[string]*Verdict{}
	}
	if t.verdicts[key] == nil {
		t.evictVerdict(v.Traits.value(organisationPrefix))
	}
	known := t.verdicts[key]
	v.enforced = !v.Cleared && (v.Traits.value(requestPrefix) != "" || known != nil && known.enforced)
	v.wasEnforced = v.enforced || known != nil && known.wasEnforced
	if known != nil {
		v.turnUntil = known.turnUntil
	}
	t.verdicts[key] = &v
	t.dirty = true
}

// enforce makes a verdict take effect, and removes the crashes that it explains.
func (t *Table) enforce(v *Verdict) {
	v.enforced = true
	v.wasEnforced = true
	if v.explains() {
		t.explain(func(c *crash) bool { return c.weight(v.Traits) > 0 })
	}
}

// enforceDue enforces the verdicts to which no instance has objected in time.
func (t *Table) enforceDue(now time.Time) (enforced []Verdict) {
	for _, v := range t.verdicts {
		if v.isPending() && now.Sub(v.changedAt) >= objectionTime {
			t.enforce(v)
			enforced = append(enforced, *v)
		}
	}
	return enforced
}

// hasPending reports whether a verdict waits for objections.
func (t *Table) hasPending() bool {
	for _, v := range t.verdicts {
		if v.isPending() {
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

// evictVerdict makes space for a verdict that names the organisation, or none. The
// verdicts of one organisation do not displace those of others.
func (t *Table) evictVerdict(organisation string) {
	var own, all []*Verdict
	for _, v := range t.verdicts {
		all = append(all, v)
		if organisation != "" && v.Traits.value(organisationPrefix) == organisation {
			own = append(own, v)
		}
	}
	older := func(a, b *Verdict) int { return a.changedAt.Compare(b.changedAt) }
	switch {
	case len(own) >= maxVerdictsPerOrganisation:
		delete(t.verdicts, slices.MinFunc(own, older).Traits.Key())
	case len(all) >= maxVerdicts:
		delete(t.verdicts, slices.MinFunc(all, older).Traits.Key())
	}
}

// Verdicts returns all verdicts.
func (t *Table) Verdicts() []Verdict {
	all := make([]Verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		all = append(all, *v)
	}
	return all
}

// Remove removes the verdict with the key, as an operator may order.
func (t *Table) Remove(key string) { delete(t.verdicts, key) }

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
