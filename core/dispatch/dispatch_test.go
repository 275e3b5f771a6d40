package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	_ "banyanyard/core/seeded"
	"banyanyard/core/slot"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const hash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// parseTestRules returns rules with n upstreams, spread over three failure
// domains, that allow 4 requests when warm and 1 when cold. The function edit, if
// not nil, changes their text first.
func parseTestRules(t testing.TB, n int, edit func(string) string) *rules.Set {
	t.Helper()
	var b strings.Builder
	b.WriteString(`model = { id = "m", context-tokens = 8192 } # T
version = { model = "m", id = "v1", state = "serving" } # T
version = { model = "m", id = "v2", state = "serving" } # T
organisation = { id = "o1", keys = ["` + hash + `"] } # T
organisation = { id = "o2", keys = ["` + hash + `"] } # T
allow = { organisation = "o1", model = "m" } # T
allow = { organisation = "o2", model = "m" } # T
`)
	for i := range 3 {
		fmt.Fprintf(&b, "failure-domain = { id = \"d%d\", state = \"in\" } # T\n", i)
	}
	for i := range n {
		fmt.Fprintf(&b, "upstream = { id = \"u%d\", failure-domain = \"d%d\", address = \"10.0.%d.%d:80\", serves = [\"m@v1\", \"m@v2\"], max-requests = 4, max-tokens = 4000, cold-requests = 1 } # T\n", i, i%3, i/250, i%250)
	}
	text := b.String()
	if edit != nil {
		text = edit(text)
	}
	set, err := rules.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// newTicket returns a ticket of the organisation for m@v1.
func newTicket(organisation string) *Ticket {
	return &Ticket{
		Organisation: organisation,
		Pool:         PoolKey{Target: rules.Target{Model: "m", Version: "v1"}},
		Tokens:       10,
		OnGrant:      func(*Ticket) {},
		OnRefuse:     func(*Ticket, error) {},
	}
}

// equalShares gives each upstream's share of the first of n equal members.
type equalShares struct {
	set *rules.Set
	n   int
}

func (s equalShares) Of(id string) slot.Share {
	u := s.set.Upstreams[id]
	return slot.Share{
		Requests:     slot.LimitForRank(u.MaxRequests, 0, s.n),
		ColdRequests: slot.LimitForRank(max(u.ColdRequests, 1), 0, s.n),
		Tokens:       slot.LimitForRank(u.MaxTokens, 0, s.n),
	}
}

func (s equalShares) HasFirstRank(string) bool { return s.n == 1 }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// warmAll brings every upstream to its full limit.
func warmAll(d *Dispatcher) {
	for _, u := range d.upstreams {
		for u.ramp.Level().Percent < 100 {
			u.ramp.RecordResponse(u.ramp.Level().Epoch, time.Millisecond)
		}
	}
}

// newWarmDispatcher returns a dispatcher with n warm upstreams.
func newWarmDispatcher(t testing.TB, n int) *Dispatcher {
	d := New("d0", 1)
	set := parseTestRules(t, n, nil)
	d.Update(start, set, equalShares{set, 1})
	warmAll(d)
	return d
}

// newFullDispatcher returns a dispatcher with one upstream, whose slots are all
// held, and the tickets that hold them.
func newFullDispatcher(t testing.TB) (*Dispatcher, []*Ticket) {
	t.Helper()
	d := newWarmDispatcher(t, 1)
	var running []*Ticket
	for range 4 {
		k := newTicket("o1")
		if granted, err := d.Offer(start, k); err != nil || !granted {
			t.Fatalf("not granted: %v", err)
		}
		running = append(running, k)
	}
	return d, running
}

func TestColdUpstreamIsLimitedToColdRequests(t *testing.T) {
	is := is.New(t)
	d := New("d0", 1)
	set := parseTestRules(t, 1, nil)
	d.Update(start, set, equalShares{set, 1})
	first, second := newTicket("o1"), newTicket("o1")
	granted, err := d.Offer(start, first)
	is.NoErr(err)
	is.True(granted)
	granted, err = d.Offer(start, second)
	is.NoErr(err)
	is.True(!granted) // a cold upstream is limited to one request
	d.Release(start, first, Completed, time.Millisecond)
	is.True(second.Upstream() != nil)
}

func TestUnannouncedColdStartLowersLimit(t *testing.T) {
	is := is.New(t)
	d, running := newFullDispatcher(t)
	d.Release(start, running[0], Refused, 0)
	after := start.Add(time.Minute)
	granted, err := d.Offer(after, newTicket("o1"))
	is.NoErr(err)
	is.True(!granted) // three are still held, more than the cold limit
	for _, k := range running[1:] {
		d.Release(after, k, Completed, time.Millisecond)
	}
	is.Equal(d.UpstreamStatuses(after)[0].Requests, 1) // the ticket that was waiting
	is.Equal(d.UpstreamStatuses(after)[0].Limit, 1)
}

func TestFloodingOrganisationLeavesQueueAndSlotsToOthers(t *testing.T) {
	is := is.New(t)
	d, running := newFullDispatcher(t)
	for range 20 {
		if _, err := d.Offer(start, newTicket("o1")); err != nil {
			break
		}
	}
	late := newTicket("o2")
	_, err := d.Offer(start, late)
	is.NoErr(err) // o1 has not filled o2's part of the queue
	d.Release(start, running[0], Completed, time.Millisecond)
	d.Release(start, running[1], Completed, time.Millisecond)
	is.True(late.Upstream() != nil) // granted one of the next two slots
}

func TestInteractiveIsGrantedBeforeBatch(t *testing.T) {
	is := is.New(t)
	d, running := newFullDispatcher(t)
	batch, interactive := newTicket("o1"), newTicket("o1")
	batch.Priority = rules.Batch
	_, err := d.Offer(start, batch)
	is.NoErr(err)
	_, err = d.Offer(start, interactive)
	is.NoErr(err)
	d.Release(start, running[0], Completed, time.Millisecond)
	is.True(interactive.Upstream() != nil)
	is.True(batch.Upstream() == nil)
}

func TestLongQueueIsRefusedAsOverloaded(t *testing.T) {
	is := is.New(t)
	d := newWarmDispatcher(t, 1)
	var err error
	for range 200 {
		if _, err = d.Offer(start, newTicket("o1")); err != nil {
			break
		}
	}
	var r *refusal.Error
	is.True(errors.As(err, &r))
	is.Equal(r.Kind, refusal.Overloaded)
	is.Equal(r.Execution, refusal.NotRun)
	is.True(r.RetryAfter > 0)
}

func TestWaitingTicketIsRefusedWhenItsVersionIsWithdrawn(t *testing.T) {
	is := is.New(t)
	d, _ := newFullDispatcher(t)
	waiting := newTicket("o1")
	var refused error
	waiting.OnRefuse = func(_ *Ticket, err error) { refused = err }
	_, err := d.Offer(start, waiting)
	is.NoErr(err)
	withdrawn := parseTestRules(t, 1, func(s string) string {
		return strings.Replace(s, `id = "v1", state = "serving"`, `id = "v1", state = "withdrawn"`, 1)
	})
	d.Update(start, withdrawn, equalShares{withdrawn, 1})
	var r *refusal.Error
	is.True(errors.As(refused, &r))
	is.Equal(r.Kind, refusal.VersionWithdrawn)
}

// TestDispatcherInvariants runs random sequences of offers, ends, cancellations,
// transfers and changes of rules, and checks the package's invariants after each
// step.
func TestDispatcherInvariants(t *testing.T) {
	in := parseTestRules(t, 4, nil)
	out := parseTestRules(t, 4, func(s string) string {
		return strings.Replace(s, `id = "d1", state = "in"`, `id = "d1", state = "out"`, 1)
	})
	rapid.Check(t, func(t *rapid.T) {
		m := &dispatcherModel{t: t, d: New("d0", 7), set: in, now: start}
		m.d.Update(m.now, in, equalShares{in, 1})
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"end":    m.end,
			"cancel": m.cancel,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(*rapid.T) { m.d.Tick(m.now) },
			"update": func(t *rapid.T) {
				m.set = rapid.SampledFrom([]*rules.Set{in, out}).Draw(t, "rules")
				m.d.Update(m.now, m.set, equalShares{m.set, rapid.IntRange(1, 3).Draw(t, "members")})
			},
			"give spare share": func(t *rapid.T) {
				n := Need{Pool: newTicket("o1").Pool, Requests: rapid.IntRange(1, maxNeededRequests).Draw(t, "requests"), Tokens: rapid.IntRange(0, 2000).Draw(t, "tokens")}
				id, part := m.d.SpareShare(m.now, n)
				if id == "" {
					return
				}
				u := m.d.upstreams[id]
				u.share = slot.Share{Requests: u.share.Requests - part.Requests, ColdRequests: u.share.ColdRequests - part.ColdRequests, Tokens: u.share.Tokens - part.Tokens}
				if u.share.Requests < 0 || u.share.ColdRequests < 0 || u.share.Tokens < u.heldTokens || u.heldRequests > u.limit() {
					t.Fatalf("%s spared %+v, which leaves a share of %+v for %d held requests", id, part, u.share, u.heldRequests)
				}
				m.d.SetShare(m.now, id, u.share)
			},
			"": m.check,
		})
	})
}

// A dispatcherModel runs a Dispatcher and tracks the state of its tickets as its
// owner sees it.
type dispatcherModel struct {
	t       *rapid.T
	d       *Dispatcher
	set     *rules.Set
	now     time.Time
	running []*Ticket
	waiting []*Ticket
}

func (m *dispatcherModel) offer(t *rapid.T) {
	k := newTicket(rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation"))
	k.Tokens = rapid.IntRange(1, 3000).Draw(t, "tokens")
	k.Suspect = rapid.Bool().Draw(t, "suspect")
	k.Priority = rapid.SampledFrom([]rules.Priority{rules.Interactive, rules.Batch}).Draw(t, "priority")
	k.OnGrant = func(k *Ticket) {
		m.checkGrant(k)
		m.waiting = withoutTicket(m.waiting, k)
		m.running = append(m.running, k)
	}
	k.OnRefuse = func(k *Ticket, _ error) { m.waiting = withoutTicket(m.waiting, k) }
	granted, err := m.d.Offer(m.now, k)
	switch {
	case err != nil:
	case granted:
		m.checkGrant(k)
		m.running = append(m.running, k)
	default:
		m.waiting = append(m.waiting, k)
	}
}

func (m *dispatcherModel) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	k := rapid.SampledFrom(m.running).Draw(t, "running")
	m.running = withoutTicket(m.running, k)
	m.d.Release(m.now, k, rapid.SampledFrom([]Outcome{Completed, Completed, Completed, Canceled, Refused, Unreachable, Broken}).Draw(t, "outcome"), time.Millisecond)
}

func (m *dispatcherModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	k := rapid.SampledFrom(m.waiting).Draw(t, "waiting")
	m.waiting = withoutTicket(m.waiting, k)
	if !m.d.Cancel(k) {
		t.Fatalf("a waiting ticket could not be cancelled")
	}
}

// checkGrant checks the invariants of a ticket that has just been granted.
func (m *dispatcherModel) checkGrant(k *Ticket) {
	u := k.upstream
	if !m.set.InService(u.rule) {
		m.t.Fatalf("granted upstream %s, which is out of service", u.rule.ID)
	}
	if u.heldRequests > u.limit() {
		m.t.Fatalf("upstream %s holds %d requests, more than its limit of %d", u.rule.ID, u.heldRequests, u.limit())
	}
	if u.heldTokens > u.share.Tokens {
		m.t.Fatalf("upstream %s holds %d tokens, more than its share of %d", u.rule.ID, u.heldTokens, u.share.Tokens)
	}
}

// check checks the invariants between two steps.
func (m *dispatcherModel) check(t *rapid.T) {
	held := map[string]int{}
	suspects := map[string]int{}
	for _, k := range m.running {
		held[k.upstream.rule.ID]++
		if k.Suspect {
			suspects[k.upstream.rule.ID]++
		}
	}
	for id, n := range suspects {
		if n > 1 {
			t.Fatalf("%d suspects run at upstream %s at the same time", n, id)
		}
	}
	for id, u := range m.d.upstreams {
		if u.heldRequests != held[id] {
			t.Fatalf("upstream %s counts %d held requests, %d are running", id, u.heldRequests, held[id])
		}
	}
	queued := 0
	for _, p := range m.d.pools {
		queued += p.queue.size
	}
	if queued != len(m.waiting) {
		t.Fatalf("%d tickets are in the queues, %d are waiting", queued, len(m.waiting))
	}
}

func withoutTicket(list []*Ticket, k *Ticket) []*Ticket {
	for i := range list {
		if list[i] == k {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func TestOfferAndReleaseDoNotAllocate(t *testing.T) {
	is := is.New(t)
	d := newWarmDispatcher(t, 12)
	k := newTicket("o1")
	is.Equal(testing.AllocsPerRun(100, func() {
		_, _ = d.Offer(start, k)
		d.Release(start, k, Completed, time.Millisecond)
	}), 0.0)
}

// BenchmarkDecision compares the cost of a grant and its release among 720
// upstreams with that among 12. It fails if the ratio exceeds 1.5.
func BenchmarkDecision(b *testing.B) {
	cost := func(n int) time.Duration {
		d := newWarmDispatcher(b, n)
		k := newTicket("o1")
		begin := time.Now()
		for range b.N {
			_, _ = d.Offer(start, k)
			d.Release(start, k, Completed, time.Millisecond)
		}
		return time.Since(begin)
	}
	few, many := cost(12), cost(720)
	ratio := float64(many) / float64(few)
	b.ReportMetric(ratio, "x-of-12-upstreams")
	if b.N > 100_000 && ratio > 1.5 {
		b.Errorf("a decision among 720 upstreams costs %.2f times that among 12", ratio)
	}
}
