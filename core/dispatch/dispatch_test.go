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

// testRules returns rules with n upstreams, spread over three failure domains,
// that bear 4 requests when warm and 1 when cold.
func testRules(t testing.TB, n int, edit func(string) string) *rules.Set {
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

func ticket(organisation string) *Ticket {
	return &Ticket{
		Organisation: organisation,
		Pool:         Pool{Target: rules.Target{Model: "m", Version: "v1"}},
		Tokens:       10,
		OnGrant:      func(*Ticket) {},
		OnRefuse:     func(*Ticket, error) {},
	}
}

// share deals every upstream's limits to one of n equal members.
type share struct {
	set *rules.Set
	n   int
}

func (s share) Of(id string) slot.Share {
	u := s.set.Upstreams[id]
	return slot.Share{
		Requests: slot.Part(u.MaxRequests, 0, s.n),
		Cold:     slot.Part(max(u.ColdRequests, 1), 0, s.n),
		Tokens:   slot.Part(u.MaxTokens, 0, s.n),
	}
}

func (s share) First(string) bool { return s.n == 1 }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// warm brings every upstream to its full limit.
func warm(d *Dispatcher) {
	for _, u := range d.upstreams {
		for u.ramp.Level().Percent < 100 {
			u.ramp.Answered(u.ramp.Level().Epoch, time.Millisecond)
		}
	}
}

func newWarm(t testing.TB, n int) *Dispatcher {
	d := New("d0", 1)
	set := testRules(t, n, nil)
	d.Update(start, set, share{set, 1})
	warm(d)
	return d
}

// newFull returns a dispatcher whose one upstream is full, and what holds it.
func newFull(t testing.TB) (*Dispatcher, []*Ticket) {
	t.Helper()
	d := newWarm(t, 1)
	var running []*Ticket
	for range 4 {
		k := ticket("o1")
		if granted, err := d.Offer(start, k); err != nil || !granted {
			t.Fatalf("not granted: %v", err)
		}
		running = append(running, k)
	}
	return d, running
}

func TestColdUpstreamGetsItsColdLimitOnly(t *testing.T) {
	is := is.New(t)
	d := New("d0", 1)
	set := testRules(t, 1, nil)
	d.Update(start, set, share{set, 1})
	first, second := ticket("o1"), ticket("o1")
	granted, err := d.Offer(start, first)
	is.NoErr(err)
	is.True(granted)
	granted, err = d.Offer(start, second)
	is.NoErr(err)
	is.True(!granted) // one request is what a cold upstream bears
	d.Release(start, first, Answered, time.Millisecond)
	is.True(second.Upstream() != nil)
}

func TestUnannouncedColdStartHoldsBack(t *testing.T) {
	is := is.New(t)
	d, running := newFull(t)
	d.Release(start, running[0], Refused, 0)
	after := start.Add(time.Minute)
	granted, err := d.Offer(after, ticket("o1"))
	is.NoErr(err)
	is.True(!granted) // three are still held, more than a cold upstream bears
	for _, k := range running[1:] {
		d.Release(after, k, Answered, time.Millisecond)
	}
	is.Equal(d.Views(after)[0].Requests, 1) // the waiting ticket
	is.Equal(d.Views(after)[0].Limit, 1)
}

func TestFloodOfOneOrganisationLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	d, running := newFull(t)
	for range 20 {
		if _, err := d.Offer(start, ticket("o1")); err != nil {
			break
		}
	}
	late := ticket("o2")
	_, err := d.Offer(start, late)
	is.NoErr(err) // the flood hasn't filled the queue for others
	d.Release(start, running[0], Answered, time.Millisecond)
	d.Release(start, running[1], Answered, time.Millisecond)
	is.True(late.Upstream() != nil) // served next but one at the latest
}

func TestInteractiveGoesBeforeBatch(t *testing.T) {
	is := is.New(t)
	d, running := newFull(t)
	batch, interactive := ticket("o1"), ticket("o1")
	batch.Priority = rules.Batch
	_, err := d.Offer(start, batch)
	is.NoErr(err)
	_, err = d.Offer(start, interactive)
	is.NoErr(err)
	d.Release(start, running[0], Answered, time.Millisecond)
	is.True(interactive.Upstream() != nil)
	is.True(batch.Upstream() == nil)
}

func TestOverloadIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	d := newWarm(t, 1)
	var err error
	for range 200 {
		if _, err = d.Offer(start, ticket("o1")); err != nil {
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
	d, _ := newFull(t)
	waiting := ticket("o1")
	var refused error
	waiting.OnRefuse = func(_ *Ticket, err error) { refused = err }
	_, err := d.Offer(start, waiting)
	is.NoErr(err)
	withdrawn := testRules(t, 1, func(s string) string {
		return strings.Replace(s, `id = "v1", state = "serving"`, `id = "v1", state = "withdrawn"`, 1)
	})
	d.Update(start, withdrawn, share{withdrawn, 1})
	var r *refusal.Error
	is.True(errors.As(refused, &r))
	is.Equal(r.Kind, refusal.VersionWithdrawn)
}

// TestInvariants runs random schedules of offers, ends, cancellations and
// changes of rules, and checks the package's invariants after each step.
func TestInvariants(t *testing.T) {
	in := testRules(t, 4, nil)
	out := testRules(t, 4, func(s string) string {
		return strings.Replace(s, `id = "d1", state = "in"`, `id = "d1", state = "out"`, 1)
	})
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, d: New("d0", 7), set: in, now: start}
		m.d.Update(m.now, in, share{in, 1})
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
				m.d.Update(m.now, m.set, share{m.set, rapid.IntRange(1, 3).Draw(t, "members")})
			},
			"lend": func(t *rapid.T) {
				n := Need{Pool: ticket("o1").Pool, Requests: rapid.IntRange(1, maxNeed).Draw(t, "requests"), Tokens: rapid.IntRange(0, 2000).Draw(t, "tokens")}
				id, part := m.d.Spare(m.now, n)
				if id == "" {
					return
				}
				u := m.d.upstreams[id]
				u.share = slot.Share{Requests: u.share.Requests - part.Requests, Cold: u.share.Cold - part.Cold, Tokens: u.share.Tokens - part.Tokens}
				if u.share.Requests < 0 || u.share.Cold < 0 || u.share.Tokens < u.tokensHeld || u.requests > u.limit() {
					t.Fatalf("%s gave %+v away and is left with %+v for %d requests", id, part, u.share, u.requests)
				}
				m.d.SetShare(m.now, id, u.share)
			},
			"": m.check,
		})
	})
}

// A model is a Dispatcher with what its owner knows about its tickets.
type model struct {
	t       *rapid.T
	d       *Dispatcher
	set     *rules.Set
	now     time.Time
	running []*Ticket
	waiting []*Ticket
}

func (m *model) offer(t *rapid.T) {
	k := ticket(rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation"))
	k.Tokens = rapid.IntRange(1, 3000).Draw(t, "tokens")
	k.Suspect = rapid.Bool().Draw(t, "suspect")
	k.Priority = rapid.SampledFrom([]rules.Priority{rules.Interactive, rules.Batch}).Draw(t, "priority")
	k.OnGrant = func(k *Ticket) {
		m.checkGrant(k)
		m.waiting = remove(m.waiting, k)
		m.running = append(m.running, k)
	}
	k.OnRefuse = func(k *Ticket, _ error) { m.waiting = remove(m.waiting, k) }
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

func (m *model) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	k := rapid.SampledFrom(m.running).Draw(t, "running")
	m.running = remove(m.running, k)
	m.d.Release(m.now, k, rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Abandoned, Refused, Unreachable, Broken}).Draw(t, "outcome"), time.Millisecond)
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	k := rapid.SampledFrom(m.waiting).Draw(t, "waiting")
	m.waiting = remove(m.waiting, k)
	if !m.d.Cancel(k) {
		t.Fatalf("a waiting ticket could not be cancelled")
	}
}

// checkGrant checks a grant at its moment.
func (m *model) checkGrant(k *Ticket) {
	u := k.upstream
	if !m.set.InService(u.rule) {
		m.t.Fatalf("granted %s, which is out of service", u.rule.ID)
	}
	if u.requests > u.limit() {
		m.t.Fatalf("%s holds %d requests, more than %d", u.rule.ID, u.requests, u.limit())
	}
	if u.tokensHeld > u.share.Tokens {
		m.t.Fatalf("%s holds %d tokens, more than %d", u.rule.ID, u.tokensHeld, u.share.Tokens)
	}
}

func (m *model) check(t *rapid.T) {
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
			t.Fatalf("%d suspects run at %s", n, id)
		}
	}
	for id, u := range m.d.upstreams {
		if u.requests != held[id] {
			t.Fatalf("%s counts %d requests, %d are running", id, u.requests, held[id])
		}
	}
	queued := 0
	for _, p := range m.d.pools {
		queued += p.queue.size
	}
	if queued != len(m.waiting) {
		t.Fatalf("%d tickets are queued, %d are waiting", queued, len(m.waiting))
	}
}

func remove(list []*Ticket, k *Ticket) []*Ticket {
	for i := range list {
		if list[i] == k {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func TestSteadyPathAllocatesNothing(t *testing.T) {
	is := is.New(t)
	d := newWarm(t, 12)
	k := ticket("o1")
	is.Equal(testing.AllocsPerRun(100, func() {
		_, _ = d.Offer(start, k)
		d.Release(start, k, Answered, time.Millisecond)
	}), 0.0)
}

// BenchmarkDecision compares the cost of a decision among many upstreams with
// that among few. The bound is 1.5.
func BenchmarkDecision(b *testing.B) {
	cost := func(n int) time.Duration {
		d := newWarm(b, n)
		k := ticket("o1")
		begin := time.Now()
		for range b.N {
			_, _ = d.Offer(start, k)
			d.Release(start, k, Answered, time.Millisecond)
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
