// Package member detects which instances are live.
//
// Each instance probes one other instance per period, in shuffled order. If a
// direct probe is not answered, other instances probe on its behalf; if those
// fail too, the member is suspect, and gone after a timeout. Suspicions spread
// by gossip, and a member that receives one about itself refutes it by raising
// its incarnation, as in SWIM (Das, Gupta and Motivala, 2002). The platform's
// list of instances lags behind: its addresses are probed, but a member that it
// no longer names is not gone for that reason alone.
//
// A Detector is not safe for concurrent use. Its methods take the current time,
// never block and do no I/O: they return the probes to send.
//
// Invariants:
//   - a start of an instance that another start at its address replaced stays gone;
//   - this instance is never suspect in its own view.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The timing and limits of the detector.
const (
	ProbePeriod        = time.Second            // between probes
	ProbeTimeout       = 400 * time.Millisecond // of a direct or indirect probe
	suspectTimeout     = 2 * time.Second        // from suspect to gone
	goneProbePeriod    = 5 * time.Second        // between probes of gone members
	goneRetention      = time.Hour              // until a gone member is removed
	maxIndirectProbers = 3                      // members that are asked to probe on behalf of this instance
)

// A State is the state of a member. Within an incarnation, higher states override
// lower ones.
type State uint8

// The states.
const (
	Live    State = iota
	Leaving       // live, but accepts no new requests
	Suspect
	Gone
)

var stateNames = [...]string{"live", "leaving", "suspect", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// An Identity identifies one start of an instance.
type Identity struct {
	ID            string `json:"id"`       // unique for each start
	Instance      string `json:"instance"` // name in the platform's list, the same across restarts
	Address       string `json:"address"`  // IP:port for other instances
	CallerAddress string `json:"callers"`  // IP:port for callers
	// TunnelAddress is the IP:port for connections to upstreams that go through this
	// instance; empty if it takes none.
	TunnelAddress string `json:"tunnels,omitempty"`
	FailureDomain string `json:"failure-domain"`
	// Capacity is the processor time that the instance has, in cores; 0 if it is not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// A Status is the known status of a member.
type Status struct {
	Identity
	Incarnation uint64 // raised only by the member itself
	State       State
	Since       time.Time // when this instance learned State
}

// Version orders the statuses of a member; a higher version overrides a lower one.
func (s *Status) Version() uint64 { return s.Incarnation<<2 | uint64(s.State) }

// A Seed is an instance in the platform's list.
type Seed struct {
	Instance string
	Address  string
}

// A Probe is a probe to send. Report its outcome with HeardFrom or ProbeFailed.
type Probe struct {
	Address string
	ID      string   // expected Identity.ID; empty for an address from the list
	Via     []string // addresses of the members to ask for an indirect probe; empty for a direct probe
}

type member struct {
	Status
	probeSentAt   time.Time // of the newest probe; zero if none is pending
	probeIndirect bool      // whether the pending probe is indirect
}

// A Detector tracks the status of all other members. Create it with New.
type Detector struct {
	self          Status
	random        *rand.Rand
	members       map[string]*member // by ID
	ids           []string           // of members, sorted
	seeds         map[string]Seed    // by address
	probeOrder    []string           // IDs of members still to probe in this round
	nextProbe     time.Time
	nextGoneProbe time.Time
	changedIDs    map[string]bool // members whose status changed since the last call of Changes
}

// New returns a detector for the instance self that knows no other members. The
// seed initializes its random number generator.
func New(self Identity, incarnation, seed uint64) *Detector {
	return &Detector{
		self:       Status{Identity: self, Incarnation: incarnation},
		random:     rand.New(rand.NewPCG(seed, seed)),
		members:    map[string]*member{},
		changedIDs: map[string]bool{self.ID: true},
	}
}

// Self returns this instance's own status.
func (d *Detector) Self() Status { return d.self }

// MarkLeaving sets the state of this instance to Leaving.
func (d *Detector) MarkLeaving() {
	d.self.Incarnation++
	d.self.State = Leaving
	d.changedIDs[d.self.ID] = true
}

// SetSeeds replaces the platform's list of instances.
func (d *Detector) SetSeeds(seeds []Seed) {
	d.seeds = make(map[string]Seed, len(seeds))
	for _, s := range seeds {
		if s.Address != d.self.Address {
			d.seeds[s.Address] = s
		}
	}
}

// IsListed reports whether the platform's list contains the instance. It returns
// true if there is no list yet.
func (d *Detector) IsListed(instance string) bool {
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

// Merge applies a status received by gossip if its version is higher than the
// known one, and reports whether it was. If the status makes this instance
// suspect, Merge refutes it.
func (d *Detector) Merge(now time.Time, s Status) bool {
	if s.ID == d.self.ID {
		return d.refute(s)
	}
	m := d.members[s.ID]
	if m != nil && s.Version() <= m.Version() && !m.lacks(&s) {
		return false
	}
	if m == nil {
		m = &member{}
		d.members[s.ID] = m
		at, _ := slices.BinarySearch(d.ids, s.ID)
		d.ids = slices.Insert(d.ids, at, s.ID)
	}
	d.setStatus(now, m, s)
	return true
}

// lacks reports whether the known status is of the same version and has no address for tunnels
// or no capacity: an instance of an earlier release has passed it on.
func (m *member) lacks(s *Status) bool {
	return s.Version() == m.Version() && (m.TunnelAddress == "" && s.TunnelAddress != "" || m.Capacity == 0 && s.Capacity != 0)
}

// refute overrides a status of this instance by raising its incarnation.
func (d *Detector) refute(s Status) bool {
	if s.Incarnation < d.self.Incarnation || s.Version() <= d.self.Version() {
		return false
	}
	d.self.Incarnation = s.Incarnation + 1
	d.changedIDs[d.self.ID] = true
	return true
}

func (d *Detector) setStatus(now time.Time, m *member, s Status) {
	s.Since = now
	m.Status = s
	m.probeSentAt = time.Time{}
	d.changedIDs[s.ID] = true
}

// Tick applies timeouts and returns the probes to send now.
func (d *Detector) Tick(now time.Time) []Probe {
	var probes []Probe
	for _, id := range slices.Clone(d.ids) {
		probes = append(probes, d.applyTimeouts(now, d.members[id])...)
	}
	if now.Before(d.nextProbe) {
		return probes
	}
	d.nextProbe = now.Add(ProbePeriod)
	probes = append(probes, d.nextMemberProbe(now)...)
	probes = append(probes, d.nextSeedProbe()...)
	if !now.Before(d.nextGoneProbe) {
		d.nextGoneProbe = now.Add(goneProbePeriod)
		probes = append(probes, d.nextGoneMemberProbe(now)...)
	}
	return probes
}

// applyTimeouts removes a member, marks it gone or ends its pending probe when the
// respective timeout has passed.
func (d *Detector) applyTimeouts(now time.Time, m *member) []Probe {
	switch {
	case m.State == Gone && now.Sub(m.Since) > goneRetention:
		d.remove(m.ID)
	case m.State == Suspect && now.Sub(m.Since) >= suspectTimeout:
		gone := m.Status
		gone.State = Gone
		d.setStatus(now, m, gone)
	case !m.probeSentAt.IsZero() && now.Sub(m.probeSentAt) >= ProbeTimeout:
		return d.probeTimedOut(now, m)
	}
	return nil
}

func (d *Detector) remove(id string) {
	delete(d.members, id)
	if at, found := slices.BinarySearch(d.ids, id); found {
		d.ids = slices.Delete(d.ids, at, at+1)
	}
}

// probeTimedOut follows a direct probe with an indirect one. After an indirect
// one, or if no member can help, it marks the member suspect.
func (d *Detector) probeTimedOut(now time.Time, m *member) []Probe {
	via := d.indirectProbers(m.ID)
	if !m.probeIndirect && len(via) > 0 {
		m.probeIndirect = true
		m.probeSentAt = now
		return []Probe{{Address: m.Address, ID: m.ID, Via: via}}
	}
	m.probeSentAt = time.Time{}
	if m.State < Suspect {
		suspect := m.Status
		suspect.State = Suspect
		d.setStatus(now, m, suspect)
	}
	return nil
}

func (d *Detector) indirectProbers(except string) []string {
	var addresses []string
	for _, id := range d.ids {
		if m := d.members[id]; id != except && m.State < Suspect {
			addresses = append(addresses, m.Address)
		}
	}
	d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxIndirectProbers, len(addresses))]
}

func (d *Detector) nextMemberProbe(now time.Time) []Probe {
	for range len(d.probeOrder) + 1 {
		if len(d.probeOrder) == 0 {
			d.probeOrder = slices.Clone(d.ids)
			d.random.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
		}
		if len(d.probeOrder) == 0 {
			return nil
		}
		m := d.members[d.probeOrder[0]]
		d.probeOrder = d.probeOrder[1:]
		if m != nil && m.State != Gone && m.probeSentAt.IsZero() {
			return []Probe{d.directProbe(now, m)}
		}
	}
	return nil
}

func (d *Detector) directProbe(now time.Time, m *member) Probe {
	m.probeSentAt = now
	m.probeIndirect = false
	return Probe{Address: m.Address, ID: m.ID}
}

// nextSeedProbe probes a random listed address that no known member has.
func (d *Detector) nextSeedProbe() []Probe {
	if len(d.seeds) == 0 {
		return nil
	}
	known := d.knownAddresses()
	var candidates []string
	for address := range d.seeds {
		if !known[address] {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.Sort(candidates)
	return []Probe{{Address: candidates[d.random.IntN(len(candidates))]}}
}

// knownAddresses returns the set of addresses of members that are not gone.
func (d *Detector) knownAddresses() map[string]bool {
	known := make(map[string]bool, len(d.members))
	for _, m := range d.members {
		if m.State != Gone {
			known[m.Address] = true
		}
	}
	return known
}

// nextGoneMemberProbe probes a random gone member, so that the two sides of a
// network partition find each other when it ends.
func (d *Detector) nextGoneMemberProbe(now time.Time) []Probe {
	known := d.knownAddresses()
	var gone []*member
	for _, id := range d.ids {
		if m := d.members[id]; m.State == Gone && d.IsListed(m.Instance) && !known[m.Address] {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	return []Probe{d.directProbe(now, gone[d.random.IntN(len(gone))])}
}

// HeardFrom records a message from a member, which answers its pending probe.
// Members with another ID at the same address are marked gone: they were replaced
// by this start.
func (d *Detector) HeardFrom(now time.Time, s Status) {
	for _, id := range d.ids {
		m := d.members[id]
		if m.Address == s.Address && m.ID != s.ID && m.State != Gone {
			gone := m.Status
			gone.State = Gone
			d.setStatus(now, m, gone)
		}
	}
	d.Merge(now, s)
	if m := d.members[s.ID]; m != nil {
		m.probeSentAt = time.Time{}
	}
}

// ProbeFailed records that the pending probe of a member failed, for example
// because the connection was refused. The next Tick treats it as timed out
// without waiting for ProbeTimeout.
func (d *Detector) ProbeFailed(now time.Time, id string) {
	if m := d.members[id]; m != nil && !m.probeSentAt.IsZero() {
		m.probeSentAt = now.Add(-ProbeTimeout)
	}
}

// Suspicion returns the status of a member that is suspect or gone. It has to be
// part of every message to the member, which refutes it to count as live again.
func (d *Detector) Suspicion(id string) (Status, bool) {
	m := d.members[id]
	if m == nil || m.State < Suspect {
		return Status{}, false
	}
	return m.Status, true
}

// Changes returns the statuses that changed since the last call, including this
// instance's own, sorted by ID.
func (d *Detector) Changes() []Status {
	var list []Status
	for id := range d.changedIDs {
		if id == d.self.ID {
			list = append(list, d.self)
		} else if m := d.members[id]; m != nil {
			list = append(list, m.Status)
		}
	}
	clear(d.changedIDs)
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Members returns the statuses of all other members, sorted by ID.
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
