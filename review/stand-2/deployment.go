// Command review-2 plays the cases of the second review: it starts instances of banyanyard
// as processes on loopback addresses, and takes the place of the platform's store, the
// upstreams and the callers.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"banyanyard/platform/standin"
)

const (
	host        = "api.example"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	tenant      = "hule930"
	memoryLimit = 284  // MB, limits.memory-mb of the settings
	fileLimit   = 4100 // limits.max-fds of the settings
	graceTime   = 8 * time.Second
	contactTime = 3 * time.Second
)

// A recorder writes what happens to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{file: f, start: time.Now()}, err
}

// line writes a line with the time since the start in seconds.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// A deployment is the store, upstreams and instances of a case.
type deployment struct {
	*recorder
	dir       string // for settings and logs
	store     *standin.Store
	storeAddr string
	instances []*instance
	closers   []func()
	mu        sync.Mutex
	upstreams int
}

func newDeployment(r *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{recorder: r, dir: dir, store: &standin.Store{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	s := &http.Server{Handler: d.store.Handler("all")}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	return d, nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
	}
	for _, c := range d.closers {
		c()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// configure writes a configuration with the given routes and services.
func (d *deployment) configure(routes, services string) {
	d.store.Put("op", "config", []byte(fmt.Sprintf(`{"version":7,"routes":[%s],"services":[%s],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":%q,"api-keys":[%q],"priority":1}]}`, routes, services, tenant, apiKey)))
}

// An upstream is a replica of a service.
type upstream struct {
	id, service, zone, address string
	server                     *http.Server
	born                       int64
	slots                      int
}

// addUpstream starts an upstream with the given handler and registers it.
func (d *deployment) addUpstream(service, zone string, slots int, handler func(u *upstream) http.Handler) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.upstreams++
	n := d.upstreams
	d.mu.Unlock()
	u := &upstream{id: fmt.Sprintf("i-%08x", n), service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots}
	u.server = &http.Server{Handler: checkExpected(u, handler(u)), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	d.mu.Lock()
	d.closers = append(d.closers, func() { _ = u.server.Close() })
	d.mu.Unlock()
	d.register(u, "ready")
	return u, nil
}

func (d *deployment) register(u *upstream, state string) {
	d.store.Put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": state, "cold-left-ms": 0, "call-seq": 1, "born": u.born,
	})
}

// checkExpected answers as every replica does: with the attempt's identifier, and 421 to
// requests for another replica.
func checkExpected(u *upstream, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Keep-Alive", "timeout=10")
		if r.Header.Get("Expect-Replica") != u.id {
			w.Header().Set("Replica-Id", u.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// An instance is one process of banyanyard.
type instance struct {
	name                        string
	callers, readiness, control string
	settings, log               string
	cmd                         *exec.Cmd
	exited                      chan struct{}
	exitText                    string
	d                           *deployment
	killed                      bool // by this program
	stoppedWatch                chan struct{}
	peakMB                      int
}

// freeAddress returns a free address on loopback. Its port is below those that the kernel
// gives to outgoing connections, so that it is still free when the process opens it.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(17000))); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// addInstances prepares and starts instances, one in each zone in turn.
func (d *deployment) addInstances(n int) error {
	zones := []string{"milano-a", "torino-b", "pavia-c"}
	for k := range n {
		i := &instance{name: fmt.Sprintf("front-%s-%d", zones[k%len(zones)], k+1), d: d}
		for _, a := range []*string{&i.callers, &i.readiness, &i.control} {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		i.settings = filepath.Join(d.dir, i.name+".toml")
		i.log = filepath.Join(d.dir, i.name+".log")
		d.instances = append(d.instances, i)
	}
	var seeds []string
	for _, i := range d.instances[:min(3, n)] {
		seeds = append(seeds, strconv.Quote(i.control))
	}
	for k, i := range d.instances {
		text := fmt.Sprintf(settingsText, i.name, zones[k%len(zones)], strings.Join(seeds, ","), i.callers, i.readiness, i.control, memoryLimit, fileLimit, d.storeAddr)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(contactTime) // the instances know each other
	return nil
}

const settingsText = `node-name = %q
role = "entry"
machine-class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "nord-ovest"
inner-ports = [7340,7355]
seeds = [%s]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","platform","rollout"]
[zones]
milano-a = "nord-ovest"
torino-b = "nord-ovest"
pavia-c = "nord-ovest"
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = %d
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
`

// start starts the process with the command of the deploy file and the descriptors that the
// settings name.
func (i *instance) start() error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/banyanyard serve --platform", fileLimit))
	i.cmd.Env = append(os.Environ(), "BANYANYARD_SETTINGS="+i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	cmd := i.cmd
	go func() {
		err := cmd.Wait()
		i.exitText = fmt.Sprint(cmd.ProcessState)
		if err == nil {
			i.exitText = "exit status 0"
		}
		i.d.line("process of %s has ended: %s", i.name, i.exitText)
		close(exited)
	}()
	started.mu.Lock()
	started.processes = append(started.processes, cmd.Process)
	started.mu.Unlock()
	i.d.line("process of %s started, pid %d", i.name, cmd.Process.Pid)
	return nil
}

// started are the processes that this program has started.
var started struct {
	mu        sync.Mutex
	processes []*os.Process // guarded by mu
}

// endProcesses ends those that still run.
func endProcesses() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Kill() // fails for one that has ended and was waited for
	}
}

func (i *instance) signal(s syscall.Signal) {
	i.d.line("%v to %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

func (i *instance) kill() {
	if i.cmd == nil || i.hasExited() {
		return
	}
	_ = i.cmd.Process.Kill()
	<-i.exited
}

func (i *instance) hasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// isReady asks the readiness address, as the platform does.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + i.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (i *instance) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.hasExited() {
			return fmt.Errorf("%s ended: %s", i.name, i.exitText)
		}
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}

// residentMB returns the resident memory of the process in MB, or 0.
func (i *instance) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// openFiles returns the number of descriptors of the process.
func (i *instance) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// A conn is a connection of a caller.
type conn struct {
	net.Conn
	reader *bufio.Reader
	served int // complete answers so far
}

func dial(address string, timeout time.Duration) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request with a body of the given size.
func (c *conn) send(method, path, id string, deadline time.Duration, bodyBytes int, extra ...string) error {
	return c.sendPaced(method, path, id, deadline, bodyBytes, 0, extra...)
}

// sendPaced is send with a bound on the bytes of the body per second; 0 means none.
func (c *conn) sendPaced(method, path, id string, deadline time.Duration, bodyBytes, rate int, extra ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyBytes)
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c, b.String()); err != nil {
		return err
	}
	chunk := bytes.Repeat([]byte(id), 4<<10) // no two bodies are alike
	start := time.Now()
	for sent := 0; sent < bodyBytes; {
		n, err := c.Write(chunk[:min(len(chunk), bodyBytes-sent)])
		if err != nil {
			return err
		}
		sent += n
		if rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))))
		}
	}
	return nil
}

// answer reads an answer with its body. The response is nil if nothing of it has come.
func (c *conn) answer() (*http.Response, []byte, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		c.served++
	}
	return r, body, err
}

// number makes identifiers of attempts.
type number struct {
	mu sync.Mutex
	n  int
}

func (n *number) next() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.n++
	return fmt.Sprintf("%016x", n.n)
}
