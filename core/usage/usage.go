// Package usage adds up, over all instances, how many requests of each organisation began to
// run in each window of true time.
//
// The failures that it answers are instances that die, are cut off or start late, messages
// that are lost or come twice, and wall clocks that are wrong or jump. Instances report the
// totals of their windows as they grow to a few others, so that a repeated report changes
// nothing and a lost one is made up for by the next. True time is the median of the
// instances' wall clocks.
//
// Nothing here opens sockets or reads clocks, and nothing blocks. The types are not safe for
// concurrent use.
package usage

import (
	"maps"
	"time"

	"banyanyard/core/duty"
)

// Counts are requests by organisation.
type Counts map[string]int

// Total returns the requests of all organisations.
func (c Counts) Total() int {
	n := 0
	for _, one := range c {
		n += one
	}
	return n
}

// A Window is a window of true time and what began to run in it.
type Window struct {
	Number int64  `json:"number"` // of whole window lengths since 1970
	Counts Counts `json:"counts"`
}

// Spans are the times of windows. They must be positive.
type Spans struct {
	Length time.Duration // of a window
	Late   time.Duration // time after the end of a window at which its report is due
}

// Number returns the number of the window of a time.
func (s Spans) Number(at time.Time) int64 { return at.UnixNano() / int64(s.Length) }

// End returns the end of a window.
func (s Spans) End(number int64) time.Time { return time.Unix(0, (number+1)*int64(s.Length)) }

// retainedWindows is the number of windows that are kept: those whose reports may be due, and
// some more.
func (s Spans) retainedWindows() int64 { return int64(s.Late/s.Length) + 4 }

// A Report is what one start of an instance tells another.
type Report struct {
	Instance string `json:"instance"`
	Start    string `json:"start"`   // identifies the start of the instance
	WallMs   int64  `json:"wall-ms"` // its wall clock when it sent the report
	// AsOfMs is true time as the sender knows it: what it has seen before is in Windows of
	// this report or earlier ones.
	AsOfMs int64 `json:"as-of-ms"`
	// Windows are those that have changed since the receiver last confirmed them, whole.
	Windows []Window `json:"windows,omitempty"`
}

// An Answer answers a Report.
type Answer struct {
	Start   string `json:"start"`   // of the receiver; another one than before has lost what it was told
	TrueMs  int64  `json:"true-ms"` // true time as the receiver's sources have it
	Sources int    `json:"sources"` // number of wall clocks behind it
	// Tenure is the newest record that the receiver knows of who reports to the platform.
	Tenure *duty.Row `json:"tenure,omitempty"`
}

// A Counter counts what begins to run at one instance. The zero Counter is empty.
type Counter struct {
	windows map[int64]Counts
}

// Record counts a request in a window, and drops windows that are no longer needed.
func (c *Counter) Record(s Spans, number int64, organisation string) {
	if c.windows == nil {
		c.windows = map[int64]Counts{}
	}
	counts := c.windows[number]
	if counts == nil {
		counts = Counts{}
		c.windows[number] = counts
		maps.DeleteFunc(c.windows, func(n int64, _ Counts) bool { return n < number-s.retainedWindows() })
	}
	counts[organisation]++
}

// Totals returns the number of requests in each window.
func (c *Counter) Totals() map[int64]int {
	totals := make(map[int64]int, len(c.windows))
	for number, counts := range c.windows {
		totals[number] = counts.Total()
	}
	return totals
}

// Changed returns the windows with other totals than those given.
func (c *Counter) Changed(confirmed map[int64]int) []Window {
	var changed []Window
	for number, counts := range c.windows {
		if counts.Total() != confirmed[number] {
			changed = append(changed, Window{Number: number, Counts: maps.Clone(counts)})
		}
	}
	return changed
}
