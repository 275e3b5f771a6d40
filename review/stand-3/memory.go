package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	memoryBody = 4 << 20 // bytes; the limit of the configuration
	memoryRate = 13      // requests a second at one instance, as in the zone with two machines
	memoryTime = 40 * time.Second
	slowFrom   = 10 * time.Second
	// loadedInstances is the number of instances that get the requests, and keptConnections
	// that of connections which callers of each keep from before.
	loadedInstances = 2
	keptConnections = 120
	slowReadBytes   = 512 << 10 // a second, of an upstream that reads slowly
)

// A slowReader is an upstream of streams that may read the bodies of requests slowly.
type slowReader struct {
	d       *deployment
	id      string
	slow    *atomic.Bool
	reached *sync.Map // by attempt
}

// ServeHTTP implements http.Handler.
func (u *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.reached.Store(r.Header.Get("Attempt-Id"), u.id)
	const piece = 64 << 10
	buffer := make([]byte, piece)
	read := 0
	for {
		n, err := io.ReadFull(r.Body, buffer)
		read += n
		if err != nil {
			break
		}
		if u.slow.Load() {
			time.Sleep(time.Second * piece / slowReadBytes)
		}
	}
	h := w.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expect-Replica") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.d.note("%s runs %s with %d bytes", u.id, r.Header.Get("Attempt-Id"), read)
	h.Set("Replica-Stamp", "stamp-"+u.id)
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := 1; n <= 10; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		_ = flush.Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

// listenSmall serves a handler whose connections have small receive buffers.
func (d *deployment) listenSmall(h http.Handler) (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: 12 * time.Second}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// memory sends prompts within the limits of the configuration to two instances, on kept
// connections, while the upstreams read slowly. As the platform does, it kills a process that
// exceeds its memory, and starts it again.
func memory(d *deployment, trouble bool) (int, string) {
	var slow atomic.Bool
	var reached sync.Map
	for i := range 12 {
		id := fmt.Sprintf("i-%d", i)
		address, err := d.listenSmall(&slowReader{d: d, id: id, slow: &slow, reached: &reached})
		if err != nil {
			return couldNot, err.Error()
		}
		d.register(id, "models", address, fmt.Sprintf("zone-%d", i%3), "v1", "ready", 64, time.Now())
	}
	d.configure(7, []object{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "kind": "streaming", "resumable": true, "timeout-ms": 25000, "target-latency-ms": 3000,
		"target-gap-ms": 800, "priority": 1, "service": "models", "max-attempts": 3, "public": false,
	}}, []object{service("models")}, oneTenant(key))
	if err := d.startInstances(3); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		time.AfterFunc(slowFrom, func() {
			d.note("the upstreams read slowly from now on")
			slow.Store(true)
		})
	}
	end := time.Now().Add(memoryTime)
	results := make([]memoryResult, loadedInstances)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = d.loadMemory(d.instances[i], i, end, &reached) })
	}
	group.Wait()
	lost, ends, summary := 0, 0, ""
	for i, r := range results {
		lost += r.lost
		ends += r.ends
		summary += fmt.Sprintf("%s exceeded its %d MB %d times, at most %.0f MB resident, answers %v, %d requests that came on a kept connection and reached an upstream ended without a whole answer; ",
			d.instances[i].name, memoryMB, r.ends, r.most, r.answers, r.lost)
	}
	if lost > 3 {
		return broken, "LOST: " + summary
	}
	return held, summary
}

type memoryResult struct {
	ends, lost int
	most       float64
	answers    map[string]int
}

// loadMemory sends requests to an instance until a time, and does what the platform does if the
// process exceeds its memory.
func (d *deployment) loadMemory(in *instance, index int, end time.Time, reached *sync.Map) memoryResult {
	result := memoryResult{answers: map[string]int{}}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := in.residentMB()
			result.most = max(result.most, mb)
			if mb <= memoryMB {
				continue
			}
			result.ends++
			d.note("%s has %.0f MB resident, of %d: the platform kills it", in.name, mb, memoryMB)
			in.signal(syscall.SIGKILL)
			in.wait(2 * time.Second)
			time.Sleep(500 * time.Millisecond)
			if err := in.start(); err != nil {
				d.note("%s does not start: %v", in.name, err)
				return
			}
			d.note("the platform starts %s", in.name)
		}
	}()
	body := bytes.Repeat([]byte("0123456789abcdef"), memoryBody/16)
	var mu sync.Mutex
	pool := make(chan *http.Client, 4096)
	// Callers that keep a connection from an earlier request.
	var warm sync.WaitGroup
	for n := range keptConnections {
		warm.Go(func() {
			caller := newCaller()
			r := newRequest(http.MethodPost, in.front, "/draft/0", fmt.Sprintf("w%d%06d", index, n), 25*time.Second, bytes.NewReader(body[:100]))
			if response, err := caller.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				pool <- caller
			}
		})
	}
	warm.Wait()
	every(time.Second/memoryRate, end, func(n int) {
		caller, kept := newCaller(), false
		select {
		case caller = <-pool:
		default:
		}
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
		id := fmt.Sprintf("a%d%06d", index, n)
		r := newRequest(http.MethodPost, in.front, "/draft/1", id, 25*time.Second, bytes.NewReader(body))
		r.GetBody = nil // the caller does not repeat it by itself
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
		r.Header.Set("Token-Counts", "12000,400")
		outcome := "no whole answer"
		response, err := caller.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err == nil {
				outcome = fmt.Sprint(response.StatusCode)
			}
		}
		_, arrived := reached.Load(id)
		d.note("%s at %s: kept connection %t, reached an upstream %t: %s %v", id, in.name, kept, arrived, outcome, err)
		mu.Lock()
		defer mu.Unlock()
		result.answers[outcome]++
		if err != nil && kept && arrived {
			result.lost++
		}
		if err == nil {
			pool <- caller
		}
	})
	close(stop)
	<-watched
	return result
}
