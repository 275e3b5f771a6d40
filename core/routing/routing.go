// Package routing defines the configuration for requests that are proxied
// unchanged: routes, services, organisations and limits.
//
// A Table is immutable. Its methods are safe for concurrent use.
//
// Invariant: a request matches the route of its host with the longest prefix of
// its path, or none.
package routing

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// A RequestKind says whether a request is streamed and may run more than once.
type RequestKind uint8

// The kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events and run at most once.
	Stream
	// ResumableStream requests are answered by a stream of events. They may run
	// again and continue after the last event that was delivered.
	ResumableStream
)

// Repeatable reports whether requests may run more than once.
func (k RequestKind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether requests are answered by a stream of events.
func (k RequestKind) Streaming() bool { return k == Stream || k == ResumableStream }

// String returns the name of the kind, as used in logs.
func (k RequestKind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream", "resumable-stream"}[k]
}

// A Share is the fraction of a route's requests that goes to one service: its
// weight divided by the sum of the weights.
type Share struct {
	Service string
	Weight  int // at least 0
}

// A Route says how requests under a path prefix are answered.
type Route struct {
	Name             string
	Host             string // lower case, without a port
	Prefix           string // begins and ends with a slash
	Kind             RequestKind
	Timeout          time.Duration // longest time to answer a caller; 0 means no limit
	LatencyObjective time.Duration // latency objective; for a stream, until its first event
	GapTarget        time.Duration // longest pause between events that meets the objective
	MaxAttempts      int           // at least 1
	Priority         int           // 0 is the highest
	Public           bool          // requires no API key
	Models           []string      // smallest first; empty if callers name the model
	Split            []Share       // at least one entry
}

// PickService returns the service for a request. Requests with the same key go to
// the same service as long as the weights do not change.
func (r *Route) PickService(key string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return r.Split[0].Service
	}
	h := fnv.New32a()
	h.Write([]byte(key)) // Write of a hash never fails
	remaining := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[0].Service
}

// A Service is a group of upstreams that answer the same requests.
type Service struct {
	Name       string
	ColdRate   float64            // requests per second that a cold upstream can handle; 0 means no limit
	ModelCosts map[string]float64 // by model, per 1,000 generated tokens; nil for a plain service
	Scaling    *Scaling           // nil if the system does not order upstreams
}

// A Scaling says how upstreams of a service may be ordered.
type Scaling struct {
	Min, Max  int           // bounds on the upstreams in each failure domain; 0 < Min <= Max
	StartTime time.Duration // from an order until an upstream serves
	ColdTime  time.Duration // for which it is cold then
}

// An Organisation is a caller with its API keys.
type Organisation struct {
	Name              string
	Keys              []string
	Priority          int
	OverridesPriority bool // Priority replaces that of the route
}

// Limits bound the requests that callers may send.
type Limits struct {
	BodyBytes int64
}

// A Table is one version of the configuration. Create it with New.
type Table struct {
	Version       int64  // increases with each change
	Era           uint64 // of the store that held it; of two tables with one Version the later counts
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Anonymous is true if callers need no API key. A table whose last organisation or
	// key was removed is not anonymous: it admits nobody to routes that are not public.
	Anonymous bool

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Organisation
	byService map[string]*Service
}

// New returns a copy of t with its indexes built. The copy shares the slices of t;
// the caller must not change them afterwards.
func New(t Table) *Table {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.byKey = map[string]*Organisation{}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		for _, k := range o.Keys {
			if k != "" { // a request without a key is not the organisation's
				t.byKey[k] = o
			}
		}
	}
	t.byService = map[string]*Service{}
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	return &t
}

// Route returns the route that matches the host and path of a request, or nil. A
// port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that owns an API key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.byKey[key] }

// RequiresKey reports whether callers of routes that are not public need an API
// key.
func (t *Table) RequiresKey() bool { return !t.Anonymous }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.byService[name] }
