// Package tally counts outcomes that fade with time.
//
// A Window keeps counts in slots of time and forgets the oldest, so that what
// is learnt follows a change. Counts of several instances add up.
package tally

import "time"

// Counts are the outcomes of one kind of answer.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

// N returns the number of outcomes.
func (c Counts) N() int { return c.Good + c.Bad }

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Rate returns the share of good outcomes, 0.5 without any.
func (c Counts) Rate() float64 {
	if c.N() == 0 {
		return 0.5
	}
	return float64(c.Good) / float64(c.N())
}

// Slots is the number of slots of a Window.
const Slots = 6

// A Window counts outcomes in slots of time. The zero Window is empty.
type Window struct {
	NewestSlot int64         `json:"slot"` // number of the newest slot
	Counts     [Slots]Counts `json:"counts"`
}

// Add counts an outcome in the slot of now.
func (w *Window) Add(now time.Time, slot time.Duration, c Counts) {
	w.advance(now.UnixNano() / int64(slot))
	i := w.NewestSlot % Slots
	w.Counts[i] = w.Counts[i].Plus(c)
}

// Merge adds another window.
func (w *Window) Merge(o Window) {
	w.advance(o.NewestSlot)
	for number := o.NewestSlot; number > o.NewestSlot-Slots && number > w.NewestSlot-Slots; number-- {
		if number < 0 {
			return
		}
		i := number % Slots
		w.Counts[i] = w.Counts[i].Plus(o.Counts[i])
	}
}

// advance forgets the slots that are too old for the given newest one.
func (w *Window) advance(number int64) {
	for n := max(w.NewestSlot+1, number-Slots+1); n <= number; n++ {
		w.Counts[n%Slots] = Counts{}
	}
	w.NewestSlot = max(w.NewestSlot, number)
}

// Sum returns the counts of the slots that are not older than the window at
// now.
func (w *Window) Sum(now time.Time, slot time.Duration) Counts {
	newest := now.UnixNano() / int64(slot)
	var sum Counts
	for number := w.NewestSlot; number > w.NewestSlot-Slots && number > newest-Slots && number >= 0; number-- {
		sum = sum.Plus(w.Counts[number%Slots])
	}
	return sum
}
