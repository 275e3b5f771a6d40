package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"banyanyard/platform/standin"
)

func init() { cases["upload"] = upload }

// A slowBody is a body of which a part comes every 200 ms.
type slowBody struct {
	parts int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(200 * time.Millisecond)
	return copy(p, "0123456789"), nil
}

// upload sends requests whose bodies take 2 s, within the caller's deadline. A new version of the
// manifest lowers the time-out of their route to 1 s; without trouble it changes nothing.
func upload(d *deployment, trouble bool) (int, string) {
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		u := &standin.Upstream{ID: id, FirstEventDelay: 10 * time.Millisecond, OnRequest: func(r standin.Request) {
			d.note("%s runs %s: %t", id, r.ID, r.Executed)
		}}
		address, _, err := d.listen(u)
		if err != nil {
			return couldNot, err.Error()
		}
		d.register(id, "desk", address, fmt.Sprintf("zone-%d", i), "v1", "ready", 6, time.Now())
	}
	routes := func(timeout int) []object {
		return []object{{
			"name": "r-book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout-ms": timeout, "target-latency-ms": 150,
			"priority": 2, "service": "desk", "max-attempts": 3, "public": false,
		}}
	}
	d.configure(7, routes(10000), []object{service("desk")}, oneTenant(key))
	if err := d.startInstances(3); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.configure(11, routes(1000), []object{service("desk")}, oneTenant(key))
	} else {
		d.configure(11, routes(10000), []object{service("desk")}, oneTenant(key))
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	status := map[int]int{}
	sent, denied := 0, 0
	every(50*time.Millisecond, time.Now().Add(10*time.Second), func(n int) {
		id := fmt.Sprintf("a%06d", n)
		body := io.Reader(&slowBody{parts: 10})
		r := newRequest(http.MethodPost, d.instances[n%3].front, "/book/1", id, 9*time.Second, body)
		r.ContentLength = 100
		code, text := 0, ""
		if response, err := newCaller().Do(r); err == nil {
			data, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			code, text = response.StatusCode, string(data)
		}
		d.note("%s answered %d %s", id, code, text)
		mu.Lock()
		defer mu.Unlock()
		sent++
		status[code]++
		if code >= 300 && code < 500 && code != 408 && code != 421 && code != 429 {
			denied++
		}
	})
	most := 5 + float64(sent)/500
	summary := fmt.Sprintf("%d of %d proper requests were ended with a 4xx of the system (at most %.1f); answers by status %v", denied, sent, most, status)
	if float64(denied) > most {
		return broken, "DENIED: " + summary
	}
	return held, summary
}
