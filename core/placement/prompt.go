package placement

import (
	"time"

	"banyanyard/core/capacity"
	"banyanyard/core/load"
)

// keptShare is the probability that the upstream to which the requests with an affinity key
// go keeps what they share.
const keptShare = 0.7

// A promptLoad is the prompt work that attempts at an upstream have yet to read. While it
// is read, all streams there are held up.
type promptLoad struct {
	unread       float64 // of this instance's attempts
	startedSince float64 // of those that started after the newest estimate
	shared       float64 // estimate for all instances; see Fleet.SetLoad
}

func (l *promptLoad) setShared(work float64) {
	l.shared = work
	l.startedSince = 0
}

// estimate returns the estimated unread work of all instances.
func (l *promptLoad) estimate() float64 { return max(l.shared+l.startedSince, l.unread) }

// A promptAttempt is what an attempt has to read.
type promptAttempt struct {
	kind   string
	unread float64 // 0 once it has been read
	total  float64 // that was to be read
}

// beginPrompt adds the prompt of an attempt that begins to the load of its upstream.
func (f *Fleet) beginPrompt(now time.Time, slot *Slot, c Criteria) {
	u := slot.u
	work := c.PromptWork - keptShare*c.SharedWork
	slot.Unread, slot.Slowness = u.prompts.estimate(), u.slow()
	slot.prompt = promptAttempt{kind: c.Kind, unread: work, total: work}
	u.prompts.unread += work
	u.prompts.startedSince += work
	u.assigned.add(now, f.service(u.Service).engine.seconds(work))
}

// endReading takes the prompt of an attempt off the load of its upstream.
func (s *Slot) endReading() {
	s.u.prompts.unread -= s.prompt.unread
	s.prompt.unread = 0
}

// RecordHead records that the answer to an attempt with a prompt began after a time, which
// means that the prompt has been read.
func (f *Fleet) RecordHead(now time.Time, slot *Slot, took time.Duration) {
	p := &slot.prompt
	if p.unread == 0 {
		return
	}
	slot.endReading()
	engine := &f.service(slot.u.Service).engine
	engine.reading.Record(slot.Unread+p.total, took)
	f.meter.Record(now, slot.u.ID, capacity.Class{Kind: p.kind, Load: capacity.LoadClass((slot.Unread + p.total) / load.UnreadUnit)}, took)
}

// RecordPace records the average time between the events of a stream.
func (f *Fleet) RecordPace(now time.Time, slot *Slot, gap time.Duration) {
	if slot.prompt.total == 0 {
		return
	}
	beside := max(slot.Load, float64(slot.Running))
	engine := &f.service(slot.u.Service).engine
	engine.pacing.Record(beside, gap)
	f.meter.Record(now, slot.u.ID, capacity.Class{Kind: slot.prompt.kind + "/events", Load: capacity.LoadClass(beside)}, gap)
}

// ownPace returns this instance's evidence of how fast upstreams are.
func (f *Fleet) ownPace(now time.Time) map[string]load.Pace {
	paces := map[string]load.Pace{}
	for id := range f.byID {
		if p := load.NewPace(f.meter.Evidence(now, id)); p[0] > 0 {
			paces[id] = p
		}
	}
	return paces
}

// setPace sets how fast upstreams are by the evidence of all instances.
func (f *Fleet) setPace(paces map[string]load.Pace) {
	for id, u := range f.byID {
		u.slowness = paces[id].Evidence().Slowness()
	}
}
