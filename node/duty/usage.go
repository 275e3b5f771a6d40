package duty

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/era"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/usage"
	"banyanyard/io/jsonlog"

	"github.com/cespare/xxhash/v2"
)

// DutyUsage is the duty of reporting usage. The body of its calls is a usage.Window.
const DutyUsage = "usage"

// Peers sends reports to other instances.
type Peers interface {
	Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error)
}

// A Tenure is what instances tell each other of the tenure: a Runner.
type Tenure interface {
	Row() *duty.Row // nil if not known
	Hear(ctx context.Context, start string, row duty.Row)
}

// Usage counts what begins to run at upstreams, adds it up over all instances, and is the
// task that reports it to the platform. The exported fields are set before use. It is safe
// for concurrent use.
//
// Invariant: a report is sent only as the store has it; what the store has of a window is
// never changed.
type Usage struct {
	Spans  usage.Spans
	Self   member.Identity
	Store  Store
	Peers  Peers
	Clock  func() time.Duration // as Runner.Clock, but not nil
	Tenure Tenure
	Log    *jsonlog.Logger

	mu        sync.Mutex
	counter   usage.Counter           // guarded by mu
	ledger    usage.Ledger            // guarded by mu
	clock     usage.Clock             // guarded by mu
	members   []member.Status         // of live instances, in the ranking; guarded by mu
	confirmed map[string]confirmation // by address; guarded by mu
	done      map[int64]bool          // windows that are reported or over; guarded by mu
	kept      map[int64]usage.Window  // windows as the store has them, not done; guarded by mu
	slots     map[int64]era.Version   // versions of rows, by slot; used by keep only
	era       uint64                  // newest known era of the store; guarded by mu
	eraSince  time.Time               // when era was first seen; guarded by mu
	keeping   bool                    // keep is running; guarded by mu
	work      context.Context         // ends with Run; guarded by mu
}

// A confirmation is what an instance has confirmed of this one's reports.
type confirmation struct {
	start  string
	totals map[int64]int
}

// Count records that a request of an organisation has begun to run.
func (u *Usage) Count(organisation string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Record(u.Spans, u.Spans.Number(u.now()), organisation)
}

// now returns true time. The caller holds mu.
func (u *Usage) now() time.Time {
	now := u.Clock()
	u.clock.Observe(now, u.Self.ID, time.Now())
	return u.clock.Now(now)
}

// rankOf orders instances as holders and as collectors.
func rankOf(instance string) uint64 { return xxhash.Sum64String("duty\x00" + instance) }

// Live returns the live instances among all, in the ranking.
func Live(all []member.Status) []member.Status {
	live := slices.DeleteFunc(slices.Clone(all), func(m member.Status) bool { return m.State > member.Leaving })
	slices.SortFunc(live, func(a, b member.Status) int {
		return cmp.Or(cmp.Compare(rankOf(b.Instance), rankOf(a.Instance)), cmp.Compare(a.ID, b.ID))
	})
	return live
}

// SetMembers takes the known instances, this one included.
func (u *Usage) SetMembers(all []member.Status) {
	live := Live(all)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.members = live
	maps.DeleteFunc(u.confirmed, func(address string, _ confirmation) bool {
		return !slices.ContainsFunc(all, func(m member.Status) bool { return m.Address == address })
	})
}
