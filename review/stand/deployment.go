// Command stand plays the cases of the review that are scripts. Each plays one small
// deployment on loopback: seven entry instances in three zones with the command of the
// deploy file, one replica of a model service in each zone, clients, and the platform's
// store.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"banyanyard/platform/standin"
)

const (
	service       = "modello"
	host          = "bedfinder.example"
	key           = "n2ctnfzs989anu6wsjnb"
	coldPerSecond = 13.0
	contactTime   = 3 * time.Second
	// requestsPerSecond is that of the site's streaming classes together.
	requestsPerSecond = 56.7
	eventInterval     = 45 * time.Millisecond
	firstEventDelay   = 60 * time.Millisecond
	requestDeadline   = 20 * time.Second
	startTimeout      = 20 * time.Second
	// joinTime is what the instances have to find each other.
	joinTime = 3 * time.Second
)

var zones = []string{"milano-a", "torino-b", "pavia-c"}

// instancesPerZone are the entry instances of each zone.
var instancesPerZone = map[string]int{"milano-a": 3, "torino-b": 2, "pavia-c": 2}

// A record collects the lines of the record.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// A store is the platform's store: the project's stand-in, which can be silent.
type store struct {
	standin.Store
	silent    atomic.Bool
	silences  atomic.Int64 // begun so far
	lostCalls atomic.Int64
}

// ServeHTTP implements http.Handler. A call in progress when a silence begins, or made in
// one, gets no answer, and its connection delivers nothing further.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	before := s.silences.Load()
	lost := s.silent.Load()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := &buffer{header: http.Header{}, status: http.StatusOK}
	if !lost {
		s.Handler("instance").ServeHTTP(answer, r)
	}
	if lost || s.silences.Load() != before {
		s.lostCalls.Add(1)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer.header.Del("Store-Era") // the pages in force know no eras
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// A buffer is an http.ResponseWriter that keeps the answer.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffer) Header() http.Header         { return b.header }
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *buffer) WriteHeader(status int)      { b.status = status }

// A replica is a model replica: the project's stand-in with a registration.
type replica struct {
	upstream *standin.Upstream
	address  string
	zone     string
	born     int64
}

func (r *replica) register(s *store, coldLeft time.Duration, callSeq int) {
	s.Put("servers", r.upstream.ID, map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64,
		"state": "ready", "cold-left-ms": coldLeft.Milliseconds(), "call-seq": callSeq, "born": r.born,
	})
}

// startReplica starts a replica that is not registered yet.
func startReplica(n int, zone string, events int, delay time.Duration, limit func() float64) (*replica, error) {
	return startFaultyReplica(n, zone, events, delay, limit, nil)
}

// startFaultyReplica is startReplica with a handler that is asked first whether it answers
// a request; nil answers none.
func startFaultyReplica(n int, zone string, events int, delay time.Duration, limit func() float64, answers func(http.ResponseWriter, *http.Request) bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &standin.Upstream{ID: fmt.Sprintf("i-%d-%s", n, zone), Streaming: true, EventCount: events, FirstEventDelay: delay, EventInterval: eventInterval, Limit: limit}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if answers == nil || !answers(w, q) {
			u.ServeHTTP(w, q)
		}
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return &replica{upstream: u, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli()}, nil
}

// An instance is a process of the deploy file.
type instance struct {
	name, zone string
	ip         string
	callers    string
	readiness  string
	control    string
	cmd        *exec.Cmd
}

// network is the part of the loopback network that this play uses. Connections to it come
// from 127.0.0.1, so that their ports are not among those that the instances listen on.
var network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))

// freeAddresses returns n free addresses of a machine.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

const settingsFormat = `node-name = %q
role = "entry"
machine-class = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "nord-ovest"
seeds = [%s]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "rollout"]
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
memory-mb = 284
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
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
`

// startInstances starts the processes with the command of the deploy file.
func startInstances(folder, storeAddress string) ([]*instance, error) {
	var all []*instance
	for _, zone := range zones {
		for n := range instancesPerZone[zone] {
			ip := fmt.Sprintf("%s.%d", network, 10+len(all))
			addresses, err := freeAddresses(ip, 3)
			if err != nil {
				return all, err
			}
			all = append(all, &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: ip, zone: zone, callers: addresses[0], readiness: addresses[1], control: addresses[2]})
		}
	}
	seeds := strconv.Quote(all[0].control) + ", " + strconv.Quote(all[3].control) + ", " + strconv.Quote(all[5].control)
	for _, i := range all {
		file := filepath.Join(folder, i.name+".toml")
		text := fmt.Sprintf(settingsFormat, i.name, i.ip, i.zone, seeds, i.callers, i.readiness, i.control, storeAddress)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return all, err
		}
		if err := i.start(folder); err != nil {
			return all, err
		}
	}
	return all, nil
}

// start starts the process of the instance with the command of the deploy file.
func (i *instance) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command("target/banyanyard", "serve", "--platform")
	cmd.Env = append(os.Environ(), "BANYANYARD_SETTINGS="+filepath.Join(folder, i.name+".toml"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd = cmd
	return nil
}

func stopInstances(all []*instance) {
	for _, i := range all {
		if i.cmd != nil {
			_ = i.cmd.Process.Kill()
			_ = i.cmd.Wait()
		}
	}
}

func waitReady(all []*instance) error {
	deadline := time.Now().Add(startTimeout)
	for _, i := range all {
		for {
			response, err := http.Get("http://" + i.readiness + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startDeployment starts the store with the first manifest and the entries of the
// replicas, and the instances. The caller stops the instances, also after an error.
func startDeployment(folder string, replicas []*replica) (*store, []*instance, error) {
	s := &store{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, nil, err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	s.Put("op", "config", manifest())
	for _, one := range replicas {
		one.register(s, 0, 1)
	}
	all, err := startInstances(folder, l.Addr().String())
	if err == nil {
		err = waitReady(all)
	}
	time.Sleep(joinTime)
	return s, all, err
}

// An answer is how a request ended.
type answer struct {
	instance int
	result   string
	limited  time.Time // when the head of an answer with Server-Limit came; zero if none did
}

// answers holds the answers by the id of the request.
type answers struct {
	mu   sync.Mutex
	byID map[string]*answer
}

func (a *answers) counts() map[string]int {
	counts := map[string]int{}
	for _, one := range a.byID {
		counts[one.result]++
	}
	return counts
}

// send sends one streaming request and reads its answer.
func send(client *http.Client, to string, n int, id string, a *answer) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/domanda/", strings.NewReader("question "+strconv.Itoa(n)))
	if err != nil {
		a.result = err.Error()
		return
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	request.Header.Set("Model", "daka510000")
	request.Header.Set("Token-Counts", "826,294")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a%d:119,%08x:79,%08x:628", n%8, 1000+n%151, 100000+n))
	response, err := client.Do(request)
	if err != nil {
		a.result = "no answer"
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Server-Limit") != "" {
		a.limited = time.Now()
	}
	a.result = strconv.Itoa(response.StatusCode)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		a.result = "answer cut off"
	}
}

// sendAll sends requests to the instances in turn for a time, and returns when all have
// ended.
func sendAll(all []*instance, length time.Duration) *answers {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ended := &answers{byID: map[string]*answer{}}
	var running sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / requestsPerSecond * float64(time.Second))
		if due > length {
			break
		}
		time.Sleep(time.Until(began.Add(due)))
		id, a, number := fmt.Sprintf("%016x", rand.Uint64()), &answer{instance: n % len(all)}, n
		ended.byID[id] = a
		running.Go(func() { send(client, all[a.instance].callers, number, id, a) })
	}
	running.Wait()
	return ended
}

// at runs f at a time after the start of traffic.
func (r *record) at(after time.Duration, f func()) {
	time.AfterFunc(time.Until(r.began.Add(after)), f)
}

// busiest returns the largest number of the times in one span, and the beginning of that
// span.
func busiest(times []time.Time, span time.Duration) (int, time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	most, begins := 0, time.Time{}
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) >= span {
			i++
		}
		if j-i+1 > most {
			most, begins = j-i+1, times[i]
		}
	}
	return most, begins
}

// arrivals returns when the requests arrived that a replica ran from a time to another.
func (r *replica) arrivals(from, to time.Time) []time.Time {
	var times []time.Time
	for _, one := range r.upstream.Requests() {
		if one.Executed && one.ReceivedAt.After(from) && one.ReceivedAt.Before(to) {
			times = append(times, one.ReceivedAt)
		}
	}
	return times
}

// lineArrivals records how many requests a replica got in each half second of a time.
func (r *record) lineArrivals(one *replica, from, to time.Duration) {
	const step = 500 * time.Millisecond
	for at := from; at < to; at += step {
		r.line("replica %s got %d requests from %.1f s to %.1f s", one.upstream.ID, len(one.arrivals(r.began.Add(at), r.began.Add(at+step))), at.Seconds(), (at + step).Seconds())
	}
}

func manifest() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-domanda", "host": host, "prefix": "/domanda/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 1000,
			"priority": 0, "service": service, "max-attempts": 3, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 800,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": coldPerSecond,
		}},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{key}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
