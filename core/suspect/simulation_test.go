package suspect

import (
	"fmt"
	"slices"
	"time"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	step = 25 * time.Millisecond
	// contact is how long the news of crashes may take.
	contact = 3 * time.Second
	// A request with a fatal part crashes its upstream crashDelay after it begins to
	// write, and the upstream is down for downtime.
	crashDelay = 100 * time.Millisecond
	downtime   = 3 * time.Second
	// maxRuns is the number of upstreams that a request may be sent to.
	maxRuns = 3
)

// A chooser draws numbers from 0 to n-1.
type chooser func(n int) int

// A simulation plays instances that send requests to shared upstreams, exchange reports
// with delays, are cut off and restart.
type simulation struct {
	choose     chooser
	fatal      []string // parts that crash upstreams
	refuse     bool     // whether verdicts are enforced
	shared     int      // requests with a fatal part come from this many organisations
	fatalOneIn int
	maxDelay   time.Duration // of messages between instances

	now       time.Time
	instances []*simulated
	upstreams []*simulatedUpstream
	runs      []*run
	messages  []message
	store     map[string]Verdict
	sent      []sentFatal
	crashes   map[string][]time.Time // by fatal part
	waiting   []*run
	requests  int
	sound     int // sound requests sent while fatal ones came
	refused   int // of these
	// fatalUntil is when requests with a fatal part end.
	fatalUntil time.Time
}

type simulated struct {
	name     string
	table    Table
	cutUntil time.Time // exchanges nothing until then
	inTouch  time.Time // since when it has been running and connected
}

type simulatedUpstream struct {
	id     string
	starts int
	downTo time.Time
}

type run struct {
	by       *simulated
	at       *simulatedUpstream
	full     Traits
	shared   Traits
	fatal    string // empty for a sound request
	writesAt time.Time
	endsAt   time.Time
	earlier  int // runs of the request before this one
}

type sentFatal struct {
	part    string
	at      time.Time
	inTouch bool
}

type message struct {
	to      *simulated
	due     time.Time
	crash   *Crash
	verdict *Verdict
	turn    string // key of a verdict
}

func newSimulation(choose chooser, instances, upstreams int) *simulation {
	s := &simulation{choose: choose, refuse: true, shared: 1, fatalOneIn: 12, maxDelay: 300 * time.Millisecond, now: start, store: map[string]Verdict{}, crashes: map[string][]time.Time{}, fatal: []string{"fatal"}}
	for i := range instances {
		s.instances = append(s.instances, &simulated{name: fmt.Sprint("i", i), inTouch: start.Add(-contact)})
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, &simulatedUpstream{id: fmt.Sprint("u", i)})
	}
	return s
}

// play plays a span of time. Each instance sends a request with a chance of one in
// quiet at each step.
func (s *simulation) play(span time.Duration, quiet int) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(step) {
		s.deliver()
		for _, i := range s.instances {
			if s.choose(quiet) == 0 {
				s.sendNew(i)
			}
			found, _, _ := i.table.Judge(s.now)
			for _, v := range found {
				s.spread(i, v)
			}
			s.keep(i)
		}
		s.advanceRuns()
		waiting := s.waiting
		s.waiting = nil
		for _, r := range waiting {
			s.send(r)
		}
	}
}

// keep writes the enforced verdicts of an instance to the store and applies those of
// the store.
func (s *simulation) keep(i *simulated) {
	if s.now.Before(i.cutUntil) {
		return
	}
	for _, v := range i.table.Verdicts() {
		if known, ok := s.store[v.Traits.Key()]; v.IsLasting() && (!ok || known.Version() < v.Version()) {
			s.store[v.Traits.Key()] = v
		}
	}
	if s.now.UnixMilli()%1000 < step.Milliseconds() {
		for _, v := range s.store {
			i.table.MergeStored(s.now, v)
		}
	}
}

func (s *simulation) sendNew(i *simulated) {
	s.requests++
	organisation := s.choose(4)
	parts := []string{fmt.Sprint("class-", s.choose(2)), fmt.Sprint("subject-", s.choose(6))}
	fatal := ""
	if len(s.fatal) > 0 && s.choose(s.fatalOneIn) == 0 && s.now.Before(s.fatalUntil) {
		fatal = s.fatal[s.choose(len(s.fatal))]
		parts = append(parts, fatal)
		organisation = s.choose(s.shared)
	}
	own := fmt.Sprint("own-", s.requests)
	d := Description{Service: "s", Organisation: fmt.Sprint("o", organisation), Route: "r", Parts: append(parts, own)}
	r := &run{by: i, shared: d.Traits(), fatal: fatal}
	d.Fingerprint = own
	r.full = d.Traits()
	if fatal == "" && len(s.crashes) > 0 && s.now.Before(s.fatalUntil) {
		s.sound++
	}
	s.send(r)
}

// send sends a request to an upstream that is up, unless it is refused.
func (s *simulation) send(r *run) {
	turn, _ := r.by.table.Turn(s.now, r.full)
	if s.refuse && (turn != nil || r.by.table.Refusal(r.full) != nil) {
		if r.fatal == "" && r.earlier == 0 {
			s.refused++
		}
		return
	}
	if s.refuse && r.by.table.ShouldWait(s.now, r.full) {
		s.waiting = append(s.waiting, r)
		return
	}
	var up []*simulatedUpstream
	for _, u := range s.upstreams {
		if !s.now.Before(u.downTo) {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return
	}
	r.at = up[s.choose(len(up))]
	if key, ok := r.by.table.TakeTurn(s.now, r.full); ok {
		s.broadcast(r.by, message{turn: key})
	}
	r.writesAt = s.now.Add(time.Duration(1+s.choose(16)) * step)
	r.endsAt = r.writesAt.Add(time.Duration(4+s.choose(60)) * step)
	if r.fatal != "" {
		r.endsAt = r.writesAt.Add(crashDelay)
		s.sent = append(s.sent, sentFatal{part: r.fatal, at: s.now, inTouch: s.now.Sub(r.by.inTouch) >= contact})
	}
	s.runs = append(s.runs, r)
}

func (s *simulation) advanceRuns() {
	for _, r := range slices.Clone(s.runs) {
		if !slices.Contains(s.runs, r) || s.now.Before(r.endsAt) {
			continue
		}
		if r.fatal != "" {
			s.crashes[r.fatal] = append(s.crashes[r.fatal], s.now)
			s.crash(r.at)
			continue
		}
		s.runs = slices.DeleteFunc(s.runs, func(o *run) bool { return o == r })
		for _, v := range r.by.table.RecordAnswer(s.now, r.shared, r.full) {
			s.spread(r.by, v)
		}
	}
}

// crash ends all runs at an upstream. Their instances report it and retry.
func (s *simulation) crash(u *simulatedUpstream) {
	reports := map[*simulated]*Crash{}
	var broken []*run
	for _, r := range s.runs {
		if r.at != u {
			continue
		}
		broken = append(broken, r)
		report := reports[r.by]
		if report == nil {
			report = &Crash{Upstream: fmt.Sprint(u.id, "@", u.starts), UnixMs: s.now.UnixMilli()}
			reports[r.by] = report
		}
		weight := 1.0
		if s.now.Sub(r.writesAt) > time.Second {
			weight = 0.2
		}
		report.Candidates = append(report.Candidates, Candidate{Traits: r.full, Weight: weight})
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *run) bool { return r.at == u })
	u.starts++
	u.downTo = s.now.Add(downtime)
	for _, i := range s.instances {
		if report := reports[i]; report != nil {
			slices.SortStableFunc(report.Candidates, func(a, b Candidate) int { return int(10*b.Weight) - int(10*a.Weight) })
			report.Candidates = report.Candidates[:min(len(report.Candidates), MaxReported)]
			i.table.RecordCrash(s.now, *report)
			s.broadcast(i, message{crash: report})
		}
	}
	for _, r := range broken {
		if r.earlier+1 < maxRuns && (!s.refuse || r.by.table.MayRepeat(r.full)) {
			again := *r
			again.earlier++
			s.send(&again)
		}
	}
}

func (s *simulation) spread(from *simulated, v Verdict) { s.broadcast(from, message{verdict: &v}) }

// broadcast sends a message to all other instances. What a cut holds up arrives after it.
func (s *simulation) broadcast(from *simulated, m message) {
	sent := s.now
	if sent.Before(from.cutUntil) {
		sent = from.cutUntil
	}
	for _, i := range s.instances {
		if i != from {
			m.to = i
			m.due = sent.Add(time.Duration(s.choose(int(s.maxDelay/step))+1) * step)
			s.messages = append(s.messages, m)
		}
	}
}

func (s *simulation) deliver() {
	var due []message
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		if s.now.Before(m.due) || s.now.Before(m.to.cutUntil) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		if m.crash != nil {
			m.to.table.RecordCrash(s.now, *m.crash)
			continue
		}
		if m.turn != "" {
			m.to.table.HoldTurn(s.now, m.turn)
			continue
		}
		if _, reply := m.to.table.Merge(s.now, *m.verdict); reply != nil {
			s.spread(m.to, *reply)
		}
	}
}

// cut disconnects an instance from the others and the store.
func (s *simulation) cut(i *simulated, span time.Duration) {
	i.cutUntil = s.now.Add(span)
	i.inTouch = i.cutUntil
}

// restart makes an instance lose what it knows. It reads the store when it starts.
func (s *simulation) restart(i *simulated) {
	i.table = Table{}
	i.inTouch = s.now
	for _, v := range s.store {
		i.table.MergeStored(s.now, v)
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *run) bool { return r.by == i })
	s.waiting = slices.DeleteFunc(s.waiting, func(r *run) bool { return r.by == i })
}

// sentTooLate returns the number of requests with the part that instances in touch sent
// later than contact after it crashed the fifth upstream.
func (s *simulation) sentTooLate(part string) int {
	const counted = 5
	if len(s.crashes[part]) < counted {
		return 0
	}
	n := 0
	for _, o := range s.sent {
		if o.part == part && o.inTouch && o.at.After(s.crashes[part][counted-1].Add(contact)) {
			n++
		}
	}
	return n
}
