package suspect

import (
	"slices"
	"time"
)

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
