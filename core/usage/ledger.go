package usage

import (
	"maps"
	"time"
)

// A Ledger adds up the reports of instances. The zero Ledger is empty.
type Ledger struct {
	starts map[string]*account // by Report.Start
	first  int64               // the first window with a request; 0 if there was none
}

// An account is what one start of an instance has reported.
type account struct {
	asOf    time.Time
	windows map[int64]Counts
}

// Learn adds a report. Of each count, the highest reported one holds: counts only grow.
func (l *Ledger) Learn(r Report) {
	if l.starts == nil {
		l.starts = map[string]*account{}
	}
	a := l.starts[r.Start]
	if a == nil {
		a = &account{windows: map[int64]Counts{}}
		l.starts[r.Start] = a
	}
	if asOf := time.UnixMilli(r.AsOfMs); asOf.After(a.asOf) {
		a.asOf = asOf
	}
	for _, w := range r.Windows {
		known := a.windows[w.Number]
		if known == nil {
			known = Counts{}
			a.windows[w.Number] = known
		}
		for organisation, n := range w.Counts {
			known[organisation] = max(known[organisation], n)
		}
		if l.first == 0 || w.Number < l.first {
			l.first = w.Number
		}
	}
}

// Forget drops windows that are no longer needed, and the starts that had no others and have
// not reported since.
func (l *Ledger) Forget(s Spans, now time.Time) {
	oldest := s.Number(now) - s.retainedWindows()
	for start, a := range l.starts {
		maps.DeleteFunc(a.windows, func(n int64, _ Counts) bool { return n < oldest })
		if len(a.windows) == 0 && a.asOf.Before(s.End(oldest)) {
			delete(l.starts, start)
		}
	}
}

// Sum returns the counts of a window over all instances.
func (l *Ledger) Sum(number int64) Counts {
	sum := Counts{}
	for _, a := range l.starts {
		for organisation, n := range a.windows[number] {
			sum[organisation] += n
		}
	}
	return sum
}

// Behind returns how many of the given starts have not reported all that they saw before a
// time.
func (l *Ledger) Behind(starts []string, at time.Time) int {
	behind := 0
	for _, start := range starts {
		if a := l.starts[start]; a == nil || a.asOf.Before(at) {
			behind++
		}
	}
	return behind
}

// waitShare is the part of Spans.Late for which a window waits for instances that have not
// reported all of it yet. The rest is for the call, and for a successor if the holder fails.
const waitShare = 0.6

// Due returns the windows whose reports are due, oldest first, of those that the predicate
// does not say are done. The starts are those of the live instances. A window is due when
// all of them have reported it, or when it can wait for them no longer.
func (l *Ledger) Due(s Spans, now time.Time, starts []string, done func(number int64) bool) []int64 {
	var due []int64
	if l.first == 0 {
		return nil
	}
	current := s.Number(now)
	for number := max(l.first, current-s.retainedWindows()); number < current; number++ {
		end := s.End(number)
		if done(number) || now.Sub(end) >= s.Late {
			continue
		}
		if now.Sub(end) >= time.Duration(waitShare*float64(s.Late)) || l.Behind(starts, end) == 0 {
			due = append(due, number)
		}
	}
	return due
}
