// Package tally counts good and bad outcomes over a sliding window of time.
//
// A Window counts in time slots and drops the oldest, so that statistics follow
// a change. Windows of several instances can be merged.
package tally

import "time"

// Counts are numbers of good and bad outcomes.
type Counts struct {
	Good int `json:"good,omitzero"`
	Bad  int `json:"bad,omitzero"`
}

// N returns the number of outcomes.
func (c Counts) N() int { return c.Good + c.Bad }

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Minus returns the difference of two counts.
func (c Counts) Minus(o Counts) Counts { return Counts{Good: c.Good - o.Good, Bad: c.Bad - o.Bad} }

// Rate returns the share of good outcomes, or 0.5 if there are none.
func (c Counts) Rate() float64 {
	if c.N() == 0 {
		return 0.5
	}
	return float64(c.Good) / float64(c.N())
}

// Slots is the number of time slots in a Window.
const Slots = 6

// A Window counts outcomes in the newest Slots time slots. The zero Window is
// empty. All calls for a Window, and for those merged into it, must use the
// same slot length. A Window is not safe for concurrent use.
type Window struct {
	NewestSlot int64         `json:"slot"`   // Unix time divided by the slot length
	Counts     [Slots]Counts `json:"counts"` // ring buffer; slot n is at index n%Slots
}

// Add adds c to the slot of now.
func (w *Window) Add(now time.Time, slotLength time.Duration, c Counts) {
	w.advance(now.UnixNano() / int64(slotLength))
	i := w.NewestSlot % Slots
	w.Counts[i] = w.Counts[i].Plus(c)
}

// Merge adds the counts of another window.
func (w *Window) Merge(o Window) {
	w.advance(o.NewestSlot)
	for slot := o.NewestSlot; slot > o.NewestSlot-Slots && slot > w.NewestSlot-Slots; slot-- {
		if slot < 0 {
			return
		}
		i := slot % Slots
		w.Counts[i] = w.Counts[i].Plus(o.Counts[i])
	}
}

// advance makes newest the newest slot unless it is older, and clears the slots
// that drop out of the window.
func (w *Window) advance(newest int64) {
	for n := max(w.NewestSlot+1, newest-Slots+1); n <= newest; n++ {
		w.Counts[n%Slots] = Counts{}
	}
	w.NewestSlot = max(w.NewestSlot, newest)
}

// Sum returns the counts of the window that ends with the slot of now.
func (w *Window) Sum(now time.Time, slotLength time.Duration) Counts {
	newest := now.UnixNano() / int64(slotLength)
	var sum Counts
	for slot := w.NewestSlot; slot > w.NewestSlot-Slots && slot > newest-Slots && slot >= 0; slot-- {
		sum = sum.Plus(w.Counts[slot%Slots])
	}
	return sum
}
