package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// A sample is the measured outcome of one streamed request.
type sample struct {
	sent       time.Time
	firstToken time.Duration
	gaps       []time.Duration
	whole      bool
	refused    bool
}

// read reads a stream and records its times.
func (s *sample) read(body io.Reader) {
	last := time.Time{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			s.whole = true
		case last.IsZero():
			last = time.Now()
			s.firstToken = last.Sub(s.sent)
		case strings.Contains(data, `"content":"`) && !strings.Contains(data, `"content":""`):
			s.gaps = append(s.gaps, time.Since(last))
			last = time.Now()
		}
	}
}

// A load sends streamed requests at random times, from a seeded generator.
type load struct {
	d        *deployment
	rng      *rand.Rand
	rate     float64 // requests a second
	model    string
	key      string
	direct   bool // send to the engines in turn instead of the instances
	mu       sync.Mutex
	samples  []*sample // guarded by mu
	inFlight sync.WaitGroup
	sent     int
}

// run sends requests for the duration and waits for their answers.
func (l *load) run(d time.Duration) {
	l.start(d)
	l.inFlight.Wait()
}

// start sends requests for the duration without waiting for their answers.
func (l *load) start(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second)))
		l.sent++
		n := l.sent
		l.inFlight.Go(func() { l.sendOne(n) })
	}
}

func (l *load) sendOne(n int) {
	s := &sample{sent: time.Now()}
	l.mu.Lock()
	l.samples = append(l.samples, s)
	l.mu.Unlock()
	response, err := l.open(n)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.refused = true
		return
	}
	s.read(response.Body)
}

func (l *load) open(n int) (*http.Response, error) {
	body := completionBody(l.model, "draft a dossier for a patient", true)
	if !l.direct {
		return l.d.open(context.Background(), request{node: n % len(l.d.nodes), key: l.key, body: body})
	}
	address := fmt.Sprintf("10.%d.1.%d:8000", n%3, boolToInt(l.model == "large"))
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("X-Request-Id", fmt.Sprint(n))
	transport := &http.Transport{DialContext: l.d.network.DialerAt("client").DialContext, DisableKeepAlives: true}
	return transport.RoundTrip(q)
}

// firstTokens returns the times to the first token of the complete answers to
// requests sent in [from, to).
func (l *load) firstTokens(from, to time.Time) []time.Duration {
	var list []time.Duration
	for _, s := range l.samples {
		if s.whole && !s.sent.Before(from) && s.sent.Before(to) {
			list = append(list, s.firstToken)
		}
	}
	return list
}

// gaps returns the times between tokens of all samples.
func (l *load) gaps() []time.Duration {
	var list []time.Duration
	for _, s := range l.samples {
		list = append(list, s.gaps...)
	}
	return list
}

// answeredShare returns the share of requests that received a complete answer.
func (l *load) answeredShare() float64 {
	n := 0
	for _, s := range l.samples {
		n += boolToInt(s.whole)
	}
	return float64(n) / float64(len(l.samples))
}

// checkDisruption checks the time to the first token since a change against
// that before it, and that every request received a complete answer.
func (l *load) checkDisruption(t *testing.T, what string, change time.Time) {
	l.inFlight.Wait()
	before := percentile(l.firstTokens(time.Time{}, change), 95)
	during := percentile(l.firstTokens(change, time.Now()), 95)
	ratio := float64(during) / float64(before)
	t.Logf("p95 of the first token %v before, %v while %s (%.2f times), answered %.4f", before, during, what, ratio, l.answeredShare())
	l.d.is.True(ratio <= disruptionRatioTarget)
	l.d.is.Equal(l.answeredShare(), answeredTarget)
}

// percentile returns the p-th percentile of list, which it sorts.
func percentile(list []time.Duration, p int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*p/100]
}

func newLoad(d *deployment, model string, rate float64) *load {
	return &load{d: d, rng: rand.New(rand.NewPCG(1, 2)), rate: rate, model: model}
}

// growToSevenInstances brings the deployment to the users' present size and
// warms its upstreams. The engines of one failure domain are slower than the
// others.
func (d *deployment) growToSevenInstances() {
	for _, domain := range []string{"milano-a", "milano-a", "torino-b", "pavia-c"} {
		d.startNode(domain)
	}
	for id, e := range d.engines {
		e.Slots = 24
		if strings.HasSuffix(id, "torino-b") {
			e.FirstTokenDelay, e.ChunkInterval = 3*e.FirstTokenDelay, 2*e.ChunkInterval
		}
	}
	d.listInstances()
	time.Sleep(4 * settleTime)
	for _, model := range []string{"small", "large"} {
		newLoad(d, model, 40).run(30 * time.Second)
	}
}

// measuredWorkloads are workloads of both users.
var measuredWorkloads = []struct {
	name  string
	model string
	rate  float64 // requests a second
}{
	{name: "postoletto dossiers", model: "large", rate: 110},
	{name: "postoletto tags", model: "small", rate: 160},
	{name: "postal letters", model: "small", rate: 60},
}

// TestMeasureLatency measures the times of each workload through the instances,
// and logs them next to those of sending to the engines in turn.
func TestMeasureLatency(t *testing.T) {
	for _, w := range measuredWorkloads {
		t.Run(w.name, func(t *testing.T) {
			scenario(t, func(d *deployment) {
				d.growToSevenInstances()
				got, baseline := newLoad(d, w.model, w.rate), newLoad(d, w.model, w.rate)
				got.run(40 * time.Second)
				baseline.direct = true
				baseline.run(40 * time.Second)
				report := func(l *load) string {
					first, gaps := l.firstTokens(time.Time{}, time.Now()), l.gaps()
					return fmt.Sprintf("first token p50 %v p95 %v p99 %v, between tokens p95 %v, answered %.4f",
						percentile(first, 50), percentile(first, 95), percentile(first, 99), percentile(gaps, 95), l.answeredShare())
				}
				t.Logf("%s at %.0f/s: %s; round robin: %s", w.name, w.rate, report(got), report(baseline))
				d.is.True(percentile(got.firstTokens(time.Time{}, time.Now()), 95) <= firstTokenTarget)
				d.is.True(percentile(got.gaps(), 95) <= gapTarget)
				d.is.Equal(got.answeredShare(), 1.0)
			})
		})
	}
}

// TestMeasureDomainLeavesAndReturns compares the time to the first token while
// a failure domain is out of service and returns cold with that before.
func TestMeasureDomainLeavesAndReturns(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.growToSevenInstances()
		l := newLoad(d, "large", 80)
		l.start(20 * time.Second)
		leaves := time.Now()
		d.changeRules(`id = "pavia-c", state = "in"`, `id = "pavia-c", state = "out"`)
		l.start(20 * time.Second)
		d.engines["large-pavia-c"].RestartCold(6)
		d.changeRules(`id = "pavia-c", state = "out"`, `id = "pavia-c", state = "in"`)
		l.start(20 * time.Second)
		l.checkDisruption(t, "the domain leaves and returns", leaves)
		d.is.Equal(d.engines["large-pavia-c"].Stats().Overloaded, 0)
	})
}

// TestMeasureHalfOfTheUpstreamsReplaced takes upstreams out one after another
// and brings each back cold, under load.
func TestMeasureHalfOfTheUpstreamsReplaced(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.growToSevenInstances()
		l := newLoad(d, "small", 80)
		l.start(15 * time.Second)
		replaced := time.Now()
		for _, id := range []string{"small-milano-a", "small-torino-b"} {
			d.changeRules(`upstream = { id = "`+id+`",`, `upstream = { id = "`+id+`", state = "out",`)
			l.start(8 * time.Second)
			d.engines[id].RestartCold(6)
			d.changeRules(`upstream = { id = "`+id+`", state = "out",`, `upstream = { id = "`+id+`",`)
			l.start(12 * time.Second)
		}
		l.checkDisruption(t, "two of three upstreams are replaced", replaced)
		for _, id := range []string{"small-milano-a", "small-torino-b"} {
			d.is.Equal(d.engines[id].Stats().Overloaded, 0) // their return causes no overload
		}
	})
}

// TestMeasureSlowReaders measures the bytes that an instance holds for callers
// that do not read, and logs them next to the size of the answers, which
// unbounded buffers would hold.
func TestMeasureSlowReaders(t *testing.T) {
	scenario(t, func(d *deployment) {
		const readers, answerBytes = 400, 200_000
		for _, e := range d.engines {
			e.Chunks, e.ChunkInterval = 200, time.Millisecond
			e.CompletionText = func(string, string) string { return strings.Repeat("0123456789", answerBytes/10) }
		}
		for range readers {
			response, err := d.open(context.Background(), request{body: completionBody("small", "slow", true)})
			d.is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		perReader := d.nodes[0].handler.HeldBytes() / readers
		t.Logf("%d bytes held for each slow reader; unbounded: %d", perReader, answerBytes)
		d.is.True(perReader <= slowReaderBytesTarget)
		for _, e := range d.engines {
			d.is.Equal(e.Stats().Running, 0) // slow readers occupy no slots
		}
	})
}

// TestMeasureGoodput compares the answers a second at three times the capacity
// with those at the capacity.
func TestMeasureGoodput(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.growToSevenInstances()
		const capacity = 230 // requests a second that three engines of 24 slots answer
		goodput := func(rate float64) float64 {
			l := newLoad(d, "small", rate)
			begin := time.Now()
			l.start(20 * time.Second)
			whole := 0
			l.inFlight.Wait()
			for _, s := range l.samples {
				whole += boolToInt(s.whole && s.sent.Sub(begin) < 20*time.Second)
			}
			return float64(whole) / time.Since(begin).Seconds()
		}
		peak, flooded := goodput(capacity), goodput(3*capacity)
		t.Logf("goodput %.0f/s at the capacity, %.0f/s at three times (%.2f)", peak, flooded, flooded/peak)
		d.is.True(flooded >= goodputRatioTarget*peak)
	})
}

// TestMeasureFlood compares an organisation's time to the first token during
// another organisation's flood with that without it.
func TestMeasureFlood(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.growToSevenInstances()
		calm := newLoad(d, "small", 20)
		calm.run(20 * time.Second)
		flood, beside := newLoad(d, "small", 500), newLoad(d, "small", 20)
		flood.key = "key-of-strangers"
		var both sync.WaitGroup
		both.Go(func() { flood.run(20 * time.Second) })
		both.Go(func() { beside.run(20 * time.Second) })
		both.Wait()
		before, during := percentile(calm.firstTokens(time.Time{}, time.Now()), 95), percentile(beside.firstTokens(time.Time{}, time.Now()), 95)
		t.Logf("p95 of the first token %v alone, %v during a flood (%.2f times); answered %.3f, of the flood %.3f", before, during, float64(during)/float64(before), beside.answeredShare(), flood.answeredShare())
		d.is.Equal(beside.answeredShare(), 1.0)
		d.is.True(float64(during) <= floodRatioTarget*float64(before))
	})
}
