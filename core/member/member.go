// Package member finds out which entry instances are live.
//
// Each instance probes one other each period, in a shuffled order. A probe that
// is not answered goes once more through other instances; then the member is
// suspected, and after a while gone. Suspicions spread by gossip, and a member
// that hears of one refutes it by raising its incarnation, as in SWIM (Das,
// Gupta and Motivala, 2002). The platform's list, which lags, names addresses
// to try; what it no longer names is not gone for that reason alone.
//
// A Detector is owned by one goroutine. Its methods take the current time,
// never block and send nothing: they return what to send.
//
// Invariants:
//   - a start of an instance that was seen to be replaced by another start at
//     its address stays gone;
//   - this instance is never suspect in its own view.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The times of the detector.
const (
	Period       = time.Second            // between probes
	ProbeTimeout = 400 * time.Millisecond // of a probe, direct or not
	suspectTime  = 2 * time.Second        // from suspect to gone
	retryGone    = 5 * time.Second        // between probes of gone members
	forgetGone   = time.Hour              // after which a gone member is forgotten
	helpers      = 3                      // members that are asked to probe for this one
)

// A State is what is known about a member. Higher ones override lower ones of
// the same incarnation.
type State uint8

// The states.
const (
	Live    State = iota
	Leaving       // live, but takes no new work
	Suspect
	Gone
)

var stateNames = [...]string{"live", "leaving", "suspect", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// An Identity names one start of an instance.
type Identity struct {
	ID            string `json:"id"`       // unique for each start
	Instance      string `json:"instance"` // name in the platform's list, the same for each start
	Address       string `json:"address"`  // IP:port for other instances
	Callers       string `json:"callers"`  // IP:port for callers
	FailureDomain string `json:"failure-domain"`
}

// A Status is what is known about a member.
type Status struct {
	Identity
	Incarnation uint64 // raised by the member alone
	State       State
	Since       time.Time // when State was learnt
}

// Version orders the statuses of a member.
func (s *Status) Version() uint64 { return s.Incarnation<<2 | uint64(s.State) }

// A Seed is an entry of the platform's list.
type Seed struct {
	Instance string
	Address  string
}

// An Action is a probe to send. Its outcome is reported with Answered or
// Failed.
type Action struct {
	Address string
	ID      string   // expected identity; empty for an address from the list
	Via     []string // addresses of members that are asked to probe; empty for a direct probe
}

type member struct {
	Status
	probed    time.Time // of the newest probe; zero when none is open
	viaOthers bool      // the open probe goes through others
}

// A Detector follows all other members. Use New.
type Detector struct {
	self      Status
	random    *rand.Rand
	members   map[string]*member // by identifier
	ids       []string           // of members, sorted
	seeds     map[string]Seed    // by address
	order     []string           // members still to probe in this round
	nextProbe time.Time
	nextGone  time.Time
	changed   map[string]bool // identifiers whose status is new since Changes
}

// New returns a detector for the instance itself, alone.
func New(self Identity, incarnation, seed uint64) *Detector {
	return &Detector{
		self:    Status{Identity: self, Incarnation: incarnation},
		random:  rand.New(rand.NewPCG(seed, seed)),
		members: map[string]*member{},
		changed: map[string]bool{self.ID: true},
	}
}

// Self returns this instance's own status.
func (d *Detector) Self() Status { return d.self }

// Leave marks this instance as leaving.
func (d *Detector) Leave() {
	d.self.Incarnation++
	d.self.State = Leaving
	d.changed[d.self.ID] = true
}

// Seed replaces the platform's list.
func (d *Detector) Seed(seeds []Seed) {
	d.seeds = make(map[string]Seed, len(seeds))
	for _, s := range seeds {
		if s.Address != d.self.Address {
			d.seeds[s.Address] = s
		}
	}
}

// Listed reports whether the platform's list names the instance. Without a list
// it reports true.
func (d *Detector) Listed(instance string) bool {
	if d.seeds == nil || instance == d.self.Instance {
		return true
	}
	for _, s := range d.seeds {
		if s.Instance == instance {
			return true
		}
	}
	return false
}

// Merge takes a status from gossip into account and reports whether it was
// news.
func (d *Detector) Merge(now time.Time, s Status) bool {
	if s.ID == d.self.ID {
		return d.refute(s)
	}
	m := d.members[s.ID]
	if m != nil && s.Version() <= m.Version() {
		return false
	}
	if m == nil {
		m = &member{}
		d.members[s.ID] = m
		at, _ := slices.BinarySearch(d.ids, s.ID)
		d.ids = slices.Insert(d.ids, at, s.ID)
	}
	d.set(now, m, s)
	return true
}

// refute answers a suspicion of this instance with a higher incarnation.
func (d *Detector) refute(s Status) bool {
	if s.Incarnation < d.self.Incarnation || s.Version() <= d.self.Version() {
		return false
	}
	d.self.Incarnation = s.Incarnation + 1
	d.changed[d.self.ID] = true
	return true
}

func (d *Detector) set(now time.Time, m *member, s Status) {
	s.Since = now
	m.Status = s
	m.probed = time.Time{}
	d.changed[s.ID] = true
}

// Tick returns the probes to send now.
func (d *Detector) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Clone(d.ids) {
		actions = append(actions, d.expire(now, d.members[id])...)
	}
	if now.Before(d.nextProbe) {
		return actions
	}
	d.nextProbe = now.Add(Period)
	actions = append(actions, d.probeNext(now)...)
	actions = append(actions, d.probeSeed()...)
	if !now.Before(d.nextGone) {
		d.nextGone = now.Add(retryGone)
		actions = append(actions, d.probeGone(now)...)
	}
	return actions
}

// expire moves a member on whose time is over.
func (d *Detector) expire(now time.Time, m *member) []Action {
	switch {
	case m.State == Gone && now.Sub(m.Since) > forgetGone:
		d.forget(m.ID)
	case m.State == Suspect && now.Sub(m.Since) >= suspectTime:
		gone := m.Status
		gone.State = Gone
		d.set(now, m, gone)
	case !m.probed.IsZero() && now.Sub(m.probed) >= ProbeTimeout:
		return d.unanswered(now, m)
	}
	return nil
}

func (d *Detector) forget(id string) {
	delete(d.members, id)
	if at, found := slices.BinarySearch(d.ids, id); found {
		d.ids = slices.Delete(d.ids, at, at+1)
	}
}

// unanswered asks others to probe a member, and then suspects it.
func (d *Detector) unanswered(now time.Time, m *member) []Action {
	via := d.helpers(m.ID)
	if !m.viaOthers && len(via) > 0 {
		m.viaOthers = true
		m.probed = now
		return []Action{{Address: m.Address, ID: m.ID, Via: via}}
	}
	m.probed = time.Time{}
	if m.State < Suspect {
		suspect := m.Status
		suspect.State = Suspect
		d.set(now, m, suspect)
	}
	return nil
}

func (d *Detector) helpers(except string) []string {
	var addresses []string
	for _, id := range d.ids {
		if m := d.members[id]; id != except && m.State < Suspect {
			addresses = append(addresses, m.Address)
		}
	}
	d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(helpers, len(addresses))]
}

func (d *Detector) probeNext(now time.Time) []Action {
	for range len(d.order) + 1 {
		if len(d.order) == 0 {
			d.order = slices.Clone(d.ids)
			d.random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
		}
		if len(d.order) == 0 {
			return nil
		}
		m := d.members[d.order[0]]
		d.order = d.order[1:]
		if m != nil && m.State != Gone && m.probed.IsZero() {
			return []Action{d.probe(now, m)}
		}
	}
	return nil
}

func (d *Detector) probe(now time.Time, m *member) Action {
	m.probed = now
	m.viaOthers = false
	return Action{Address: m.Address, ID: m.ID}
}

// probeSeed tries an address of the list that no known member has.
func (d *Detector) probeSeed() []Action {
	if len(d.seeds) == 0 {
		return nil
	}
	known := d.addresses()
	var unknown []string
	for address := range d.seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return []Action{{Address: unknown[d.random.IntN(len(unknown))]}}
}

// addresses returns the addresses of members that are not gone.
func (d *Detector) addresses() map[string]bool {
	known := make(map[string]bool, len(d.members))
	for _, m := range d.members {
		if m.State != Gone {
			known[m.Address] = true
		}
	}
	return known
}

// probeGone tries a member again that is gone, so that the two sides of a
// partition find each other when it ends.
func (d *Detector) probeGone(now time.Time) []Action {
	known := d.addresses()
	var gone []*member
	for _, id := range d.ids {
		if m := d.members[id]; m.State == Gone && d.Listed(m.Instance) && !known[m.Address] {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	return []Action{d.probe(now, gone[d.random.IntN(len(gone))])}
}

// Answered records that the identity answered at an address. Another start than
// the expected one means that the expected one is gone for good.
func (d *Detector) Answered(now time.Time, s Status) {
	for _, id := range d.ids {
		m := d.members[id]
		if m.Address == s.Address && m.ID != s.ID && m.State != Gone {
			gone := m.Status
			gone.State = Gone
			d.set(now, m, gone)
		}
	}
	m := d.members[s.ID]
	if m == nil || s.Version() > m.Version() {
		d.Merge(now, s)
	}
	if m := d.members[s.ID]; m != nil {
		m.probed = time.Time{}
	}
}

// Failed records that nothing answers at the address of a member, so that
// waiting for the rest of its probe's time is of no use.
func (d *Detector) Failed(now time.Time, id string) {
	if m := d.members[id]; m != nil && !m.probed.IsZero() {
		m.probed = now.Add(-ProbeTimeout)
	}
}

// Doubts returns what another member has to refute to count as live again. It
// travels with every message to that member.
func (d *Detector) Doubts(id string) (Status, bool) {
	m := d.members[id]
	if m == nil || m.State < Suspect {
		return Status{}, false
	}
	return m.Status, true
}

// Changes returns the statuses, this instance's own included, that are new
// since the last call, sorted by identifier.
func (d *Detector) Changes() []Status {
	var list []Status
	for id := range d.changed {
		if id == d.self.ID {
			list = append(list, d.self)
		} else if m := d.members[id]; m != nil {
			list = append(list, m.Status)
		}
	}
	clear(d.changed)
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Members returns the statuses of all other members, sorted by identifier.
func (d *Detector) Members() []Status {
	list := make([]Status, 0, len(d.members))
	for _, id := range d.ids {
		list = append(list, d.members[id].Status)
	}
	return list
}

// Get returns the status of another member.
func (d *Detector) Get(id string) (Status, bool) {
	m := d.members[id]
	if m == nil {
		return Status{}, false
	}
	return m.Status, true
}
