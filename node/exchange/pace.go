package exchange

import (
	"time"

	"banyanyard/core/cascade"
	"banyanyard/core/placement"
)

const (
	// paceSampleEvents is the number of events after the first over which the time
	// between events is measured. Fewer events could all have been delayed by the
	// reading of one prompt.
	paceSampleEvents = 8
	// minPaceSampleEvents is the number that suffices for a shorter stream at its
	// end.
	minPaceSampleEvents = 4
)

// A spanMeter measures the pace of a stream in spans of paceSampleEvents events. The first
// span is evidence for the trial of a version; all of them are what times are predicted
// from, if the router chooses the model.
type spanMeter struct {
	execution *execution
	slot      *placement.Slot
	partial   bool // the stream began at another upstream
	events    int
	firstGap  time.Duration // between the events of the first span; 0 before its end

	first, last time.Time // events
	spanStart   time.Time
	span        int           // events since spanStart
	pause       time.Duration // longest since spanStart
}

func newSpanMeter(e *execution, slot *placement.Slot) *spanMeter {
	return &spanMeter{execution: e, slot: slot, partial: e.streamBegun.Load() || e.lastEventID != ""}
}

// add adds an event.
func (m *spanMeter) add(at time.Time) {
	if m.events == 0 {
		m.first, m.spanStart = at, at
	} else {
		m.span++
		m.pause = max(m.pause, at.Sub(m.last))
	}
	m.events++
	m.last = at
	if m.span == paceSampleEvents {
		m.record()
	}
}

// record records the events since spanStart.
func (m *spanMeter) record() {
	e, gap := m.execution, m.last.Sub(m.spanStart)/time.Duration(m.span)
	if m.firstGap == 0 {
		m.firstGap = gap
		e.router.recordEventGap(e, m.slot, gap)
	}
	if len(e.models) > 0 {
		e.router.mu.Lock()
		e.router.escalator(e.request.Service).RecordSpan(m.last, e.model(), e.models[0], gap, m.pause)
		e.router.mu.Unlock()
	}
	m.span, m.spanStart, m.pause = 0, m.last, 0
}

// end records the last span, and the length of the answer. The answer may have been cut off.
func (m *spanMeter) end(cut bool) {
	if m.span >= minPaceSampleEvents && !cut {
		m.record()
	}
	e := m.execution
	if m.partial || len(e.models) == 0 {
		return
	}
	e.router.mu.Lock()
	defer e.router.mu.Unlock()
	e.router.escalator(e.request.Service).RecordLength(e.request.Route.Name, cascade.Length{Hint: e.request.OutputHint, Max: e.request.OutputMax}, m.events, cut)
}

// writing returns the time since the first event, or 0 before it.
func (m *spanMeter) writing() time.Duration {
	if m.events == 0 {
		return 0
	}
	return time.Since(m.first)
}
