package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly-part"] = deadlyPart }

const (
	deadlyReplicas = 4
	deadlySlots    = 64
	deadlyQueue    = 134
	deadlyCallers  = 80 // at each instance
	deadlyID       = "dead0001"
	deadlyInterval = 2500 * time.Millisecond // between requests with the part
	deadlyTime     = 60 * time.Second
	deadlyDown     = 3 * time.Second
	firstEvent     = 1500 * time.Millisecond
	soundEvents    = 10
)

// A crashingUpstream can crash: all connections are reset, and it is back later.
type crashingUpstream struct {
	*upstream
	d       *deployment
	mu      sync.Mutex
	conns   map[net.Conn]bool
	handler http.Handler
	slots   chan struct{} // one for each request that runs
	places  chan struct{} // one for each that runs or waits
	down    bool
}

func (u *crashingUpstream) serve() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = false
	u.conns = map[net.Conn]bool{}
	u.slots = make(chan struct{}, deadlySlots)
	u.places = make(chan struct{}, deadlySlots+deadlyQueue)
	u.born = time.Now().UnixMilli()
	s := &http.Server{Handler: checkExpected(u.upstream, u.handler), ConnState: func(c net.Conn, state http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch state {
		case http.StateNew:
			u.conns[c] = true
		case http.StateClosed:
			delete(u.conns, c)
		}
	}}
	u.server = s
	go func() { _ = s.Serve(l) }()
	u.d.register(u.upstream, "ready")
	return nil
}

// crash resets all connections, and starts the upstream again after a while. It reports
// whether it ran.
func (u *crashingUpstream) crash() bool {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return false
	}
	u.down = true
	conns := u.conns
	u.conns = map[net.Conn]bool{}
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s := u.server
	u.mu.Unlock()
	_ = s.Close()
	time.AfterFunc(deadlyDown, func() {
		if err := u.serve(); err != nil {
			u.d.line("upstream %s could not start again: %v", u.id, err)
		}
	})
	return true
}

// deadlyPart has requests with a part of a prompt that crashes each upstream which begins to
// answer them, while many other requests run.
func deadlyPart(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure(`{"name":"r-1","host":"`+host+`","prefix":"/lohu930/","kind":"streaming","timeout-ms":25000,"target-latency-ms":3000,"priority":1,"service":"huvo11a","max-attempts":3,"public":false,"sticky":true,"resumable":true,"target-gap-ms":800}`,
		`{"name":"huvo11a","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}`)
	var mu sync.Mutex
	var crashes []time.Time
	var late []string // requests with the part that reached an upstream too late
	var shed atomic.Int64
	zones := []string{"milano-a", "torino-b", "pavia-c"}
	for k := range deadlyReplicas {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		u := &crashingUpstream{upstream: &upstream{id: fmt.Sprintf("i-%08x", k+1), service: "huvo11a", zone: zones[k%3], address: address, slots: deadlySlots}, d: d}
		u.handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			u.mu.Lock()
			slots, places := u.slots, u.places
			u.mu.Unlock()
			select {
			case places <- struct{}{}:
			default:
				shed.Add(1)
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer func() { <-places }()
			deadly := strings.Contains(q.Header.Get("Prompt-Prefix"), deadlyID+":")
			if deadly {
				mu.Lock()
				isLate := len(crashes) >= 5 && time.Since(crashes[4]) > contactTime
				if isLate {
					late = append(late, q.Header.Get("Attempt-Id"))
				}
				d.line("upstream %s: %s with the part arrives; crashes so far: %d; counts: %v", u.id, q.Header.Get("Attempt-Id"), len(crashes), isLate)
				mu.Unlock()
			}
			select {
			case slots <- struct{}{}:
			case <-q.Context().Done():
				return
			}
			defer func() { <-slots }()
			select {
			case <-time.After(firstEvent):
			case <-q.Context().Done():
				return
			}
			if deadly {
				if u.crash() {
					mu.Lock()
					crashes = append(crashes, time.Now())
					d.line("upstream %s crashes by %s: crash %d", u.id, q.Header.Get("Attempt-Id"), len(crashes))
					mu.Unlock()
				}
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Replica-Stamp", "stamp-"+u.id)
			w.Header().Set("Content-Type", "text/event-stream")
			flush := http.NewResponseController(w)
			for n := 1; n <= soundEvents; n++ {
				fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
				if flush.Flush() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		if err := u.serve(); err != nil {
			return false, err
		}
		d.closers = append(d.closers, func() { _ = u.server.Close() })
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	var ids number
	var stop atomic.Bool
	var answered, refused, failed atomic.Int64
	ask := func(i *instance, parts string) {
		id := ids.next()
		c, err := dial(i.callers, time.Second)
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(25 * time.Second))
		if err := c.send(http.MethodPost, "/lohu930/x", id, 25*time.Second, 800, "Model: daka510000", "Token-Counts: 1460,80", "Prompt-Prefix: "+parts); err != nil {
			return
		}
		answer, _, err := c.answer()
		switch {
		case err == nil && answer.StatusCode == http.StatusOK:
			answered.Add(1)
		case err == nil && answer.StatusCode == http.StatusServiceUnavailable:
			refused.Add(1)
			time.Sleep(300 * time.Millisecond)
		default:
			failed.Add(1)
		}
	}
	var own atomic.Int64
	part := func() string { return fmt.Sprintf("%08x", 0x10000000+own.Add(1)) }
	var wait sync.WaitGroup
	for _, i := range d.instances {
		for range deadlyCallers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
				for !stop.Load() {
					// One of three first parts, one of 20 shared ones, and one of its own.
					ask(i, fmt.Sprintf("5c1e07a%d:800,91bd3f%02x:410,%s:250", rand.IntN(3), rand.IntN(20), part()))
				}
			}()
		}
	}
	time.Sleep(6 * time.Second)
	for n := 0; trouble && time.Duration(n)*deadlyInterval < deadlyTime; n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ask(d.instances[n%3], fmt.Sprintf("5c1e07a%d:800,%s:300,%s:250", rand.IntN(3), deadlyID, part()))
		}()
		time.Sleep(deadlyInterval)
		if n%5 == 4 {
			d.line("answered %d, refused %d, failed %d", answered.Load(), refused.Load(), failed.Load())
		}
	}
	if !trouble {
		time.Sleep(deadlyTime / 3)
	}
	stop.Store(true)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.line("answered %d, refused %d, failed %d, shed by replicas %d; %d crashes; %d requests with the part reached upstreams later than %v after the fifth crash", answered.Load(), refused.Load(), failed.Load(), shed.Load(), len(crashes), len(late), contactTime)
	return len(late) <= 3, nil
}
