package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/era"
	"banyanyard/core/usage"
)

const (
	// usageSlots is the number of rows of the newest reports. They outlast the time in which
	// a successor may still send a report.
	usageSlots = 4
	// usageRow begins the keys of these rows.
	usageRow = "usage-"
	// keepRetry is the time from a call to the store that failed to the next one.
	keepRetry = 300 * time.Millisecond
)

// Next implements duty.Task. It returns the windows that the store has and the platform has
// not accepted, and lets the store keep the next ones.
func (u *Usage) Next(time.Time) []duty.Call {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.ledger.Learn(u.report(now, nil))
	for number := range u.done {
		if now.Sub(u.Spans.End(number)) > 2*u.Spans.Late {
			delete(u.done, number)
		}
	}
	var calls []duty.Call
	for _, number := range slices.Sorted(maps.Keys(u.kept)) {
		if now.Sub(u.Spans.End(number)) >= u.Spans.Late {
			u.Log.Line("usage-missed").Int("window", number).Millis("late-ms", now.Sub(u.Spans.End(number))).End()
			u.finish(number)
			continue
		}
		calls = append(calls, duty.Call{Duty: DutyUsage, Subject: "windows", Body: u.kept[number]})
	}
	isDone := func(number int64) bool { _, kept := u.kept[number]; return kept || u.done[number] }
	due := u.ledger.Due(u.Spans, now, u.starts(), isDone)
	if len(due) > 0 && !u.keeping && u.work != nil {
		u.keeping = true
		go u.keep(u.work, usage.Window{Number: due[0], Counts: u.ledger.Sum(due[0])}, now)
	}
	return calls
}

// starts returns the starts of live instances. The caller holds mu.
func (u *Usage) starts() []string {
	starts := make([]string, len(u.members))
	for i, m := range u.members {
		starts[i] = m.ID
	}
	return starts
}

// finish records that a window is reported or over. The caller holds mu.
func (u *Usage) finish(number int64) {
	if u.done == nil {
		u.done = map[int64]bool{}
	}
	u.done[number] = true
	delete(u.kept, number)
}

// Done implements duty.Task.
func (u *Usage) Done(_ time.Time, c duty.Call, err error) {
	w, ok := c.Body.(usage.Window)
	if !ok || err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Log.Line("usage-reported").Int("window", w.Number).Int("requests", int64(w.Counts.Total())).Int("organisations", int64(len(w.Counts))).
		Millis("after-end-ms", u.now().Sub(u.Spans.End(w.Number))).End()
	u.finish(w.Number)
}

// keep lets the store keep the content of a window's report, or learns what it has kept.
func (u *Usage) keep(ctx context.Context, w usage.Window, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kept, err := u.keepInStore(ctx, w)
	if err != nil {
		// Pace the attempts, also when the store refuses at once.
		_ = sleep(ctx, keepRetry)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keeping = false
	u.Log.Line("usage-kept").Int("window", w.Number).Int("requests", int64(w.Counts.Total())).Int("kept-window", kept.Number).Int("kept-requests", int64(kept.Counts.Total())).
		Int("live", int64(len(u.members))).Int("behind", int64(u.ledger.Behind(u.starts(), u.Spans.End(w.Number)))).
		Millis("after-end-ms", now.Sub(u.Spans.End(w.Number))).Err(err).End()
	switch {
	case err != nil:
	case kept.Number == w.Number:
		if u.kept == nil {
			u.kept = map[int64]usage.Window{}
		}
		u.kept[w.Number] = kept
	default:
		u.finish(w.Number) // the row has a newer window, or the store may have lost this one
	}
}

// keepInStore returns what the row of a window's slot has: the window as it was first
// written, or another one if it must not be written any more.
func (u *Usage) keepInStore(ctx context.Context, w usage.Window) (usage.Window, error) {
	slot := w.Number % usageSlots
	key := usageRow + strconv.FormatInt(slot, 10)
	version, known := u.slots[slot]
	if u.slots == nil {
		u.slots = map[int64]era.Version{}
	}
	if !known {
		row, err := u.Store.Read(ctx, key)
		if err != nil {
			return usage.Window{}, err
		}
		var stored usage.Window
		if row.Version.Number() > 0 {
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				u.Log.Line("row-rejected").Str("key", key).Err(err).End()
			}
		}
		version = row.Version
		if stored.Number >= w.Number || u.mayBeLost(w.Number, row) {
			u.slots[slot] = version
			return stored, nil
		}
	}
	value, err := json.Marshal(w)
	if err != nil {
		return usage.Window{}, err
	}
	written, err := u.Store.Write(ctx, key, version, value)
	if err != nil {
		delete(u.slots, slot) // the row may have been written: read it
		return usage.Window{}, err
	}
	u.slots[slot] = written
	return w, nil
}

// observeEra records an era of the store. The caller holds mu.
func (u *Usage) observeEra(now time.Time, e uint64) {
	if e > u.era {
		u.era, u.eraSince = e, now
	}
}

// mayBeLost reports whether the store may have lost the content of a window's report, by a
// row of it, so that no other may be reported.
func (u *Usage) mayBeLost(number int64, row Row) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeEra(u.now(), row.Version.Era())
	return u.era > 0 && u.Spans.End(number).Before(u.eraSince)
}
