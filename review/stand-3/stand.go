// Command stand runs one case of the review: entry instances as separate processes of the
// project's own program, and stand-ins for the platform's store, the upstreams and the callers,
// all on loopback. It exits with 0 if the rule of the case held, 1 if it was broken and 2 if the
// case could not run.
//
//	stand CASE
//
// TROUBLE=0 in the environment leaves out the disruption. RECORD names the file that gets what
// was sent, answered and run; the default is record.txt in the current folder.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"banyanyard/platform/standin"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	memoryMB  = 284 // of an instance, as on the machines of the small sites
	graceTime = 8 * time.Second
	host      = "review.example"
	key       = "key-of-the-review"
	tenant    = "review"
)

// A testCase runs a case and returns an exit code.
type testCase func(d *deployment, trouble bool) (code int, verdict string)

var cases = map[string]testCase{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		os.Exit(couldNot)
	}
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(couldNot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(couldNot)
	}()
	code, verdict := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	d.note("verdict: exit %d: %s", code, verdict)
	fmt.Printf("exit %d: %s\n", code, verdict)
	d.close()
	os.Exit(code)
}

// A deployment is what a case starts.
type deployment struct {
	folder    string // temporary
	began     time.Time
	store     *standin.Store
	instances []*instance
	servers   []*http.Server

	mu       sync.Mutex
	out      *os.File      // guarded by mu
	buffered *bufio.Writer // guarded by mu
	closed   bool          // guarded by mu
}

// An instance is an entry instance.
type instance struct {
	name, settings        string
	front, ready, control string
	mu                    sync.Mutex
	cmd                   *exec.Cmd     // guarded by mu
	done                  chan struct{} // guarded by mu; closed when the process has ended
	output                string
}

func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &deployment{folder: folder, began: time.Now(), store: &standin.Store{}, out: out, buffered: bufio.NewWriter(out)}, nil
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	fmt.Fprintf(d.buffered, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers that the case has started.
func (d *deployment) close() {
	for _, in := range d.instances {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		in.wait(2 * time.Second)
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		_ = d.buffered.Flush()
		_ = d.out.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.folder)
		}
	}
}

// listen serves a handler on a free port and returns its address.
func (d *deployment) listen(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: 12 * time.Second}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// freeAddresses returns n loopback addresses at which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for port := 10000 + os.Getpid()*37%20000; port < 32000 && len(addresses) < n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	if len(addresses) < n {
		return nil, fmt.Errorf("fewer than %d ports are free", n)
	}
	return addresses, nil
}

// startInstances starts n entry instances, in a zone each, and waits until they are ready.
func (d *deployment) startInstances(n int) error {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	var seeds, zones []string
	for i := range n {
		seeds = append(seeds, strconv.Quote(addresses[3*i+2]))
		zones = append(zones, fmt.Sprintf("zone-%d = \"region\"", i))
	}
	for i := range n {
		in := &instance{name: fmt.Sprintf("front-%d", i), front: addresses[3*i], ready: addresses[3*i+1], control: addresses[3*i+2]}
		in.settings = filepath.Join(d.folder, in.name+".toml")
		in.output = filepath.Join(d.folder, in.name+".log")
		store, _, err := d.listen(d.store.Handler(in.name))
		if err != nil {
			return err
		}
		text := fmt.Sprintf(`node-name = %q
role = "entry"
machine-class = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "zone-%d"
region = "region"
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "rollout"]
[zones]
%s
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
strict-revoke = false
revoke-ms = 5000
budget-ratio = 0.9
budget-window-s = 10
budget-slack = 54
expose-share = 0.15
expose-slack = 30
rollback-ms = 5000
cold-excess = 1.5
cold-slack = 5
evac-ms = 5000
recover-s = 12
pass-ms = 120
reuse-window-s = 10
session-s = 5
[platform]
address = %q
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
`, in.name, i, strings.Join(seeds, ", "), strings.Join(zones, "\n"), in.front, in.ready, in.control, memoryMB, store)
		if err := os.WriteFile(in.settings, []byte(text), 0o644); err != nil {
			return err
		}
		d.instances = append(d.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range d.instances {
		if err := in.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (in *instance) start() error {
	out, err := os.OpenFile(in.output, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	program := os.Getenv("BANYANYARD")
	if program == "" {
		program = "target/banyanyard"
	}
	cmd := exec.Command(program, "serve", "--platform")
	cmd.Env = append(os.Environ(), "BANYANYARD_SETTINGS="+in.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.done = cmd, done
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (in *instance) process() (*exec.Cmd, chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd, in.done
}

func (in *instance) signal(s syscall.Signal) {
	cmd, done := in.process()
	if cmd == nil {
		return
	}
	select {
	case <-done:
	default:
		_ = cmd.Process.Signal(s)
	}
}

// wait reports whether the process ends within a time.
func (in *instance) wait(d time.Duration) bool {
	_, done := in.process()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

func (in *instance) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + in.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", in.name)
}

// residentMB returns the resident memory of the process.
func (in *instance) residentMB() float64 {
	cmd, _ := in.process()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// object is a JSON object.
type object = map[string]any

// register writes the registration of an upstream, as the upstream does.
func (d *deployment) register(id, service, address, zone, version, state string, slots int, born time.Time) {
	d.store.Put("servers", id, object{
		"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": state,
		"cold-left-ms": 0, "call-seq": 1, "born": born.UnixMilli(),
	})
	d.note("registered %s of %s %s at %s: %s", id, service, version, address, state)
}

// configure writes a configuration.
func (d *deployment) configure(version int, routes, services []object, tenants any) {
	c := object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	d.store.Put("op", "config", c)
	data, _ := json.Marshal(c)
	d.note("the operator writes op/config %s", data)
}

func oneTenant(keys ...string) []object {
	return []object{{"name": tenant, "api-keys": keys}}
}

func service(name string) object {
	return object{"name": name, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
}

// newCaller returns a client that keeps one connection.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}
}

// newRequest returns a request of a caller to an instance.
func newRequest(method, front, path, id string, deadline time.Duration, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://"+front+path, body)
	if err != nil {
		panic(err) // the arguments are constants
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

// every calls f for n = 0, 1, ... with a pause between the calls, until a time, and returns
// when all calls have returned.
func every(pause time.Duration, until time.Time, f func(n int)) {
	var group sync.WaitGroup
	next := time.Now()
	for n := 0; time.Now().Before(until); n++ {
		group.Go(func() { f(n) })
		next = next.Add(pause)
		time.Sleep(time.Until(next))
	}
	group.Wait()
}
