package node

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	enginefake "banyanyard/fake/engine"
	"banyanyard/fake/network"
	platformfake "banyanyard/fake/platform"
	servicefake "banyanyard/fake/service"
	"banyanyard/io/platform"
	"banyanyard/node/settings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

const testKey = "key-of-nurses"

var testDomains = []string{"milano-a", "torino-b", "pavia-c"}

const testRules = `
failure-domain = { id = "milano-a", state = "in" } # T: test
failure-domain = { id = "torino-b", state = "in" } # T: test
failure-domain = { id = "pavia-c", state = "in" } # T: test
model = { id = "small", context-tokens = 8192 } # T: test
model = { id = "large", context-tokens = 8192 } # T: test
version = { model = "small", id = "v1", state = "serving", input-cost = 1, output-cost = 4 } # T: test
version = { model = "large", id = "v1", state = "serving", input-cost = 10, output-cost = 40 } # T: test
class = { id = "question", models = ["small", "large"], quality-target = 0.8 } # T: test
organisation = { id = "nurses", keys = ["%s"] } # T: test
organisation = { id = "strangers", keys = ["%s"] } # T: test
allow = { organisation = "nurses", model = "small" } # T: test
allow = { organisation = "nurses", model = "large" } # T: test
allow = { organisation = "nurses", class = "question" } # T: test
allow = { organisation = "nurses", service = "booking" } # T: test
allow = { organisation = "strangers", model = "small" } # T: test
service = { id = "booking", refuses-before-running = true } # T: test
service-call = { service = "booking", method = "POST", path = "/holds", idempotent = false } # T: test
`

// A deployment is a set of entry instances, upstreams and a platform in one
// synctest bubble, which has virtual time.
type deployment struct {
	t        *testing.T
	is       *is.I
	network  *network.Network
	platform *platformfake.Platform
	engines  map[string]*enginefake.Engine // by model and domain, such as "small-milano-a"
	booking  *servicefake.Service
	nodes    []*testNode
	rules    string
	revision int64
	// peerSeeds are addresses that new instances contact before they have read
	// the platform's list.
	peerSeeds []string
}

type testNode struct {
	*Node
	address string
	store   *nodeStore
	stop    context.CancelFunc
	stopped chan error
}

// scenario runs f with a deployment in virtual time, in parallel with other
// tests, and stops the deployment afterwards.
func scenario(t *testing.T, f func(d *deployment)) {
	t.Helper()
	t.Parallel() // each bubble has its own clock
	scenarioAlone(t, f)
}

// scenarioAlone is like scenario, but no other test runs at the same time, so
// that f can measure processor time.
func scenarioAlone(t *testing.T, f func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{
			t: t, is: is.New(t), network: &network.Network{}, platform: &platformfake.Platform{},
			engines: map[string]*enginefake.Engine{}, booking: &servicefake.Service{},
		}
		d.startUpstreams()
		d.applyRules(d.rules)
		for _, domain := range testDomains {
			d.startNode(domain)
		}
		d.listInstances()
		time.Sleep(settleTime)
		defer d.stopNodes()
		f(d)
	})
}

// settleTime is long enough for a deployment to start or to apply a change.
const settleTime = 4 * time.Second

// startUpstreams starts the engines and booking services of all domains and
// adds them to the rules.
func (d *deployment) startUpstreams() {
	d.rules = fmt.Sprintf(testRules, hashOf(testKey), hashOf("key-of-strangers"))
	for i, domain := range testDomains {
		for j, model := range []string{"small", "large"} {
			id := model + "-" + domain
			address := engineAddress(i)
			if j > 0 {
				address = fmt.Sprintf("10.%d.1.%d:8000", i, j)
			}
			e := &enginefake.Engine{ID: id, FirstTokenDelay: 50 * time.Millisecond, ChunkInterval: 20 * time.Millisecond}
			d.engines[id] = e
			d.serve(address, domain, e.Handler())
			d.rules += fmt.Sprintf("upstream = { id = %q, failure-domain = %q, address = %q, serves = [\"%s@v1\"], max-requests = 24, cold-requests = 6 } # T: test\n", id, domain, address, model)
		}
		address := fmt.Sprintf("10.%d.1.9:8000", i)
		d.serve(address, domain, d.booking.Handler())
		d.rules += fmt.Sprintf("upstream = { id = \"booking-%s\", failure-domain = %q, address = %q, service = \"booking\", max-requests = 12, cold-requests = 6 } # T: test\n", domain, domain, address)
	}
}

// engineAddress returns the address of the small model's engine in a domain.
func engineAddress(domain int) string { return fmt.Sprintf("10.%d.1.0:8000", domain) }

// hashOf returns the hash of a caller's key as it stands in the rules.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// serve starts an HTTP server at an address of the simulated network.
func (d *deployment) serve(address, location string, h http.Handler) {
	l, err := d.network.Listen(address, location)
	d.is.NoErr(err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	d.t.Cleanup(func() { _ = s.Close() })
}

// applyRules applies text as the next revision of the rules.
func (d *deployment) applyRules(text string) {
	head, err := platform.ApplyRules(d.t.Context(), d.platform, d.revision, text, "test")
	d.is.NoErr(err)
	d.revision = head.Number
	d.rules = text
}

// changeRules replaces the first occurrence of from in the rules and applies
// them.
func (d *deployment) changeRules(from, to string) {
	d.is.True(strings.Contains(d.rules, from)) // the rules contain the part to change
	d.applyRules(strings.Replace(d.rules, from, to, 1))
}

// startNode starts an entry instance in a domain and adds it to d.nodes.
func (d *deployment) startNode(domain string) *testNode {
	i := len(d.nodes)
	n := d.start(fmt.Sprintf("entry-%d", i), fmt.Sprintf("10.9.0.%d", i), domain)
	d.nodes = append(d.nodes, n)
	return n
}

// start starts an instance at a host.
func (d *deployment) start(instance, host, domain string) *testNode {
	s := settings.Default()
	s.Instance = settings.Instance{ID: instance, FailureDomain: domain, Peers: d.peerSeeds}
	s.Security.AllowPlainText = true
	s.Listen = settings.Listen{Callers: host + ":8080", Peers: host + ":8081", Operators: host + ":8082"}
	store := &nodeStore{Platform: d.platform}
	made, err := New(Config{
		Settings: s, SessionKey: bytes.Repeat([]byte("k"), 32), Store: store,
		Log:  &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Dial: d.network.DialerAt(domain).DialContext,
	})
	d.is.NoErr(err)
	n := &testNode{Node: made, address: s.Listen.Callers, store: store, stopped: make(chan error, 1)}
	var l Listeners
	for address, listener := range map[string]*net.Listener{s.Listen.Callers: &l.Callers, s.Listen.Peers: &l.Peers, s.Listen.Operators: &l.Operators} {
		*listener, err = d.network.Listen(address, domain)
		d.is.NoErr(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.stopped <- n.Serve(ctx, l) }()
	return n
}

// kill ends an instance at once, as a crash of its machine does.
func (d *deployment) kill(n *testNode) {
	n.store.disconnected.Store(true)
	for _, port := range []string{":8080", ":8081", ":8082"} {
		d.network.ResetConns(strings.Replace(n.address, ":8080", port, 1))
	}
	n.Abort()
	<-n.stopped
	n.stopped <- nil
}

// replace starts an ended instance again on the same host.
func (d *deployment) replace(i int) {
	old := d.nodes[i]
	d.nodes[i] = d.start(old.identity.Instance, strings.TrimSuffix(old.address, ":8080"), old.identity.FailureDomain)
}

// platformDown makes every call to the platform fail.
func (d *deployment) platformDown() {
	d.platform.SetFaults(func(platformfake.Call) platformfake.Fault { return platformfake.DropRequest })
}

func (d *deployment) platformUp() { d.platform.SetFaults(nil) }

// listInstances sets the platform's list to the running instances.
func (d *deployment) listInstances() {
	var instances []platform.Instance
	for _, n := range d.nodes {
		instances = append(instances, platform.Instance{ID: n.identity.Instance, Address: n.identity.Address, FailureDomain: n.identity.FailureDomain})
	}
	d.platform.SetInstances(instances)
}

func (d *deployment) stopNodes() {
	for _, n := range d.nodes {
		n.stop()
	}
	for _, n := range d.nodes {
		<-n.stopped
	}
}

// A reply is the answer that a caller received.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem struct {
		Run    string `json:"run"`
		Remedy string `json:"remedy"`
		Type   string `json:"type"`
	}
	err error // from sending the request or reading the body
}

// A request describes what a caller sends. The zero request asks the small
// model for a completion.
type request struct {
	node   int
	key    string // empty means testKey
	method string // empty means POST
	path   string // empty means chat completions
	body   string
	header map[string]string
}

func completionBody(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

// send sends a request and reads the whole answer.
func (d *deployment) send(r request) reply {
	response, err := d.open(context.Background(), r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
	_ = json.Unmarshal(body, &got.problem)
	return got
}

// open sends a request and returns the response with its body unread.
func (d *deployment) open(ctx context.Context, r request) (*http.Response, error) {
	if r.key == "" {
		r.key = testKey
	}
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.path == "" {
		r.path = "/v1/chat/completions"
	}
	if r.body == "" && r.method == http.MethodPost {
		r.body = completionBody("small", "hello", false)
	}
	n := d.nodes[r.node]
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.address+r.path, strings.NewReader(r.body))
	d.is.NoErr(err)
	q.Header.Set("Authorization", "Bearer "+r.key)
	for name, value := range r.header {
		q.Header.Set(name, value)
	}
	transport := &http.Transport{DialContext: d.network.DialerAt("client").DialContext, DisableKeepAlives: true}
	return transport.RoundTrip(q)
}

// charges returns the rows of the charges table.
func (d *deployment) charges() []platform.Row {
	rows, err := d.platform.List(d.t.Context(), platform.TableCharges, "")
	d.is.NoErr(err)
	return rows
}

// streamText joins the content of a stream's events and reports whether the
// stream is complete, that is, ends with [DONE].
func streamText(body string) (text string, whole bool) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var p struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &p) == nil && len(p.Choices) > 0 {
			text += p.Choices[0].Delta.Content
		}
	}
	return text, false
}

// rateSmallInsufficient rates the small model's answers as insufficient.
func rateSmallInsufficient(a platform.RatingRequest) float64 {
	if a.Model == "small" {
		return 0.1
	}
	return 0.9
}
