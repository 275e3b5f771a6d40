// Command zone-back plays one small deployment on loopback: seven entry instances in
// three zones, one replica of a model service in each zone, clients, and the platform's
// store. A zone is evacuated and taken back, and its replica is cold then. With the
// disruption, the store gives no answers for two seconds, and is sound again for over
// contact-ms before the zone comes back.
//
// It exits with 1 if the cold replica gets more requests in a second than the rule
// FAILBACK allows, with 0 if it does not, and with 2 if the case could not run.
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
	coldExcess    = 1.5
	coldSlack     = 5.0
	coldTime      = 3 * time.Second
	// The requests a second of the site's streaming classes together, and the events of
	// a stream and the time between them.
	requestsPerSecond = 56.7
	streamEvents      = 49
	eventInterval     = 45 * time.Millisecond
	firstEventDelay   = 60 * time.Millisecond
	requestDeadline   = 20 * time.Second

	// The times of events, from the start of traffic.
	evacuateAt   = 4 * time.Second
	registerAt   = 7400 * time.Millisecond
	silentAt     = 8200 * time.Millisecond
	silentFor    = 2 * time.Second
	coldAt       = 15 * time.Second
	takenBackAt  = 15500 * time.Millisecond
	trafficTime  = 20 * time.Second
	startTimeout = 20 * time.Second
)

var zones = []string{"milano-a", "torino-b", "pavia-c"}

// instancesPerZone are the entry instances of each zone.
var instancesPerZone = map[string]int{"milano-a": 3, "torino-b": 2, "pavia-c": 2}

const coldZone = "pavia-c"

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

func startReplica(n int, zone string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &standin.Upstream{ID: fmt.Sprintf("i-%d-%s", n, zone), Streaming: true, EventCount: streamEvents, FirstEventDelay: firstEventDelay, EventInterval: eventInterval}
	go func() { _ = (&http.Server{Handler: u}).Serve(l) }()
	return &replica{upstream: u, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli()}, nil
}

// An instance is a process of the deploy file.
type instance struct {
	name, zone string
	callers    string
	readiness  string
	control    string
	cmd        *exec.Cmd
}

// freeAddresses returns n free loopback addresses.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
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
ip = "127.0.0.1"
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
			addresses, err := freeAddresses(3)
			if err != nil {
				return all, err
			}
			all = append(all, &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, callers: addresses[0], readiness: addresses[1], control: addresses[2]})
		}
	}
	seeds := strconv.Quote(all[0].control) + ", " + strconv.Quote(all[3].control) + ", " + strconv.Quote(all[5].control)
	for _, i := range all {
		file := filepath.Join(folder, i.name+".toml")
		text := fmt.Sprintf(settingsFormat, i.name, i.zone, seeds, i.callers, i.readiness, i.control, storeAddress)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return all, err
		}
		log, err := os.Create(filepath.Join(folder, i.name+".log"))
		if err != nil {
			return all, err
		}
		cmd := exec.Command("target/banyanyard", "serve", "--platform")
		cmd.Env = append(os.Environ(), "BANYANYARD_SETTINGS="+file)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return all, err
		}
		_ = log.Close()
		i.cmd = cmd
	}
	return all, nil
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

// results counts how requests ended.
type results struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *results) add(result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
}

// send sends one streaming request and reads its answer.
func send(client *http.Client, to string, n int, r *results) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/domanda/", strings.NewReader("question "+strconv.Itoa(n)))
	if err != nil {
		r.add(err.Error())
		return
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	request.Header.Set("Model", "daka510000")
	request.Header.Set("Token-Counts", "826,294")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a%d:119,%08x:79,%08x:628", n%8, 1000+n%151, 100000+n))
	response, err := client.Do(request)
	if err != nil {
		r.add("no answer")
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		r.add("answer cut off")
		return
	}
	r.add(strconv.Itoa(response.StatusCode))
}

// sendAll sends requests for trafficTime, in proportion to the instances, and returns when
// all have ended.
func sendAll(all []*instance, r *results) int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var running sync.WaitGroup
	began := time.Now()
	n := 0
	for ; ; n++ {
		at := time.Duration(float64(n) / requestsPerSecond * float64(time.Second))
		if at > trafficTime {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		to, number := all[n%len(all)].callers, n
		running.Go(func() { send(client, to, number, r) })
	}
	running.Wait()
	return n
}

// at runs f at a time after the start of traffic.
func at(began time.Time, after time.Duration, f func()) {
	time.AfterFunc(time.Until(began.Add(after)), f)
}

// busiest returns the largest number of requests in one second, and the beginning of that
// second, among those that arrived from a time to another.
func busiest(requests []standin.Request, from, to time.Time) (int, time.Time) {
	var times []time.Time
	for _, r := range requests {
		if r.Executed && r.ReceivedAt.After(from) && r.ReceivedAt.Before(to) {
			times = append(times, r.ReceivedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, begins := 0, from
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) >= time.Second {
			i++
		}
		if j-i+1 > most {
			most, begins = j-i+1, times[i]
		}
	}
	return most, begins
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

// run plays the case and reports whether the rule was broken.
func run(r *record, folder string, trouble bool) (broken bool, err error) {
	s := &store{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	s.Put("op", "config", manifest())
	var replicas []*replica
	for n, zone := range append(slices.Clone(zones), zones[0]) {
		one, err := startReplica(n, zone)
		if err != nil {
			return false, err
		}
		if n < len(zones) {
			one.register(s, 0, 1)
		}
		replicas = append(replicas, one)
	}
	all, err := startInstances(folder, l.Addr().String())
	defer stopInstances(all)
	if err != nil {
		return false, err
	}
	if err := waitReady(all); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the instances have found each other
	began := time.Now()
	r.began = began
	cold := replicas[slices.Index(zones, coldZone)]
	r.line("traffic starts: %.1f requests a second to %d instances and %d replicas", requestsPerSecond, len(all), len(zones))
	at(began, evacuateAt, func() {
		s.Put("op", "evacuate/"+coldZone, map[string]any{})
		r.line("op/evacuate/%s is written", coldZone)
	})
	at(began, registerAt, func() {
		replicas[len(zones)].register(s, 0, 1)
		r.line("replica %s registers", replicas[len(zones)].upstream.ID)
	})
	if trouble {
		at(began, silentAt, func() {
			s.silences.Add(1)
			s.silent.Store(true)
			r.line("the store gives no answers")
		})
		at(began, silentAt+silentFor, func() {
			s.silent.Store(false)
			r.line("the store answers again")
		})
	}
	at(began, coldAt, func() {
		cold.register(s, coldTime, 2)
		r.line("replica %s is cold for %v and says so in its entry", cold.upstream.ID, coldTime)
	})
	at(began, takenBackAt, func() {
		s.Remove("op", "evacuate/"+coldZone)
		r.line("op/evacuate/%s is removed", coldZone)
	})
	ended := &results{counts: map[string]int{}}
	sent := sendAll(all, ended)
	r.line("%d requests sent; ended: %v; calls to the store that got no answer: %d", sent, ended.counts, s.lostCalls.Load())
	for _, one := range replicas {
		r.line("replica %s ran %d requests", one.upstream.ID, len(one.upstream.Requests()))
	}
	for second := takenBackAt - time.Second; second < takenBackAt+5*time.Second; second += 500 * time.Millisecond {
		n, _ := busiest(cold.upstream.Requests(), began.Add(second), began.Add(second+500*time.Millisecond))
		r.line("replica %s got %d requests from %.1f s to %.1f s", cold.upstream.ID, n, second.Seconds(), second.Seconds()+0.5)
	}
	allowed := coldPerSecond*coldExcess + coldSlack
	most, begins := busiest(cold.upstream.Requests(), began.Add(coldAt), began.Add(coldAt+coldTime))
	r.line("while cold, replica %s got %d requests in the second from %.3f s on; allowed %.1f", cold.upstream.ID, most, begins.Sub(began).Seconds(), allowed)
	return float64(most) > allowed, nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: zone-back RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "zone-back-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{began: time.Now(), out: out}
	r.line("the store is silent for a time: %v", trouble)
	broken, err := run(r, folder, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		r.line("FAILBACK is broken; logs of the instances are in a temporary folder")
		fmt.Println("FAILBACK is broken; the instances' logs are in", folder)
		os.Exit(1)
	}
	r.line("FAILBACK holds")
	_ = os.RemoveAll(folder)
}
