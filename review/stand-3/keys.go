package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"banyanyard/platform/standin"
)

func init() { cases["keys"] = keys }

// keys removes the last tenant of a manifest, and sends requests with its dropped key and with a
// key that no manifest ever held. Without trouble, the tenant stays and loses only its key.
func keys(d *deployment, trouble bool) (int, string) {
	var mu sync.Mutex
	ran := map[string]string{} // by attempt: the Tenant that the upstream was told
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		u := &standin.Upstream{ID: id, FirstEventDelay: 10 * time.Millisecond, OnRequest: func(r standin.Request) {
			if !r.Executed {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ran[r.ID] = r.Header.Get("Tenant")
			d.note("%s runs %s with Tenant %q", id, r.ID, r.Header.Get("Tenant"))
		}}
		address, _, err := d.listen(u)
		if err != nil {
			return couldNot, err.Error()
		}
		d.register(id, "desk", address, fmt.Sprintf("zone-%d", i), "v1", "ready", 6, time.Now())
	}
	routes := []object{{
		"name": "r-book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 1000, "target-latency-ms": 150,
		"priority": 2, "service": "desk", "max-attempts": 3, "public": false,
	}}
	d.configure(7, routes, []object{service("desk")}, oneTenant(key))
	if err := d.startInstances(3); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	status := map[string]map[int]int{}
	send := func(kind, bearer string, n int) string {
		id := fmt.Sprintf("%s-%05d", kind, n)
		r := newRequest(http.MethodPost, d.instances[n%3].front, "/book/1", id, time.Second, nil)
		r.Header.Del("Authorization")
		if bearer != "" {
			r.Header.Set("Authorization", "Bearer "+bearer)
		}
		code := 0
		if response, err := newCaller().Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			code = response.StatusCode
		}
		d.note("%s with the key %q answered %d", id, bearer, code)
		mu.Lock()
		defer mu.Unlock()
		if status[kind] == nil {
			status[kind] = map[int]int{}
		}
		status[kind][code]++
		return id
	}
	for n := range 30 {
		send("before", key, n)
		send("never-issued-before", "key-of-nobody", n)
		time.Sleep(10 * time.Millisecond)
	}
	if status["before"][http.StatusOK] != 30 {
		return couldNot, fmt.Sprintf("answers before the change: %v", status)
	}
	if trouble {
		d.configure(11, routes, []object{service("desk")}, []object{})
	} else {
		d.configure(11, routes, []object{service("desk")}, []object{{"name": tenant, "api-keys": []string{}}})
	}
	time.Sleep(3 * time.Second) // config-ms is 2 s
	var dropped, never, none []string
	for n := range 60 {
		dropped = append(dropped, send("dropped", key, n))
		never = append(never, send("never-issued", "key-of-nobody", n))
		none = append(none, send("no-key", "", n))
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	count := func(ids []string) int {
		n := 0
		for _, id := range ids {
			if _, ok := ran[id]; ok {
				n++
			}
		}
		return n
	}
	summary := fmt.Sprintf("of 60 requests each, sent 3 s and more after the ack of version 11, ran: %d with the dropped key, %d with a key that no manifest ever held, %d without a key; answers by status %v", count(dropped), count(never), count(none), status)
	if count(dropped)+count(never)+count(none) > 0 {
		return broken, "ROUTE, CONFIG: " + summary
	}
	return held, summary
}
