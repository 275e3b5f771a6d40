// Package routing holds what operators configure for requests that are passed
// on as they are: routes, services, organisations and limits.
//
// A Table is immutable. Its methods are safe for concurrent use.
//
// Invariant: a path belongs to the route with the longest prefix among those of
// its host, or to none.
package routing

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// A Kind says what may be repeated.
type Kind uint8

// The kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events and run at most once.
	Stream
	// ResumableStream requests are answered by events, and another run may go
	// on behind the newest event that was delivered.
	ResumableStream
)

// Repeatable reports whether a second run does no harm.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether answers are events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream", "resumable-stream"}[k]
}

// A Share is a part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int // at least 0
}

// A Route says how requests under a path are answered.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest wait of a caller; 0 means none
	Target      time.Duration // latency objective, to the first event of a stream
	GapTarget   time.Duration // longest pause between events that is on time
	MaxAttempts int           // at least 1
	Priority    int           // 0 is the highest
	Public      bool          // needs no key
	Models      []string      // smallest first; empty where callers name the model
	Split       []Share       // at least one
}

// Service returns the service for a request. Requests with the same key go to
// the same service while the weights stay.
func (r *Route) Service(key string) string {
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
	h.Write([]byte(key)) // never fails
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[0].Service
}

// A Service is a group of upstreams that answer the same requests.
type Service struct {
	Name     string
	ColdRate float64            // requests a second that a cold upstream bears; 0 means any
	Costs    map[string]float64 // of each model, for 1,000 generated tokens; nil for a plain service
}

// An Organisation owns API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	Ranked   bool // Priority goes before the route's
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// A Table is one version of the configuration. Use New.
type Table struct {
	Version       int64 // increases with each change
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Organisation
	byService map[string]*Service
}

// New returns the table with its indexes made. The caller must not change the
// slices afterwards.
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
			t.byKey[k] = o
		}
	}
	t.byService = map[string]*Service{}
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	return &t
}

// Route returns the route of a request, or nil.
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

// Organisation returns the holder of a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Keyed reports whether callers need a key.
func (t *Table) Keyed() bool { return len(t.Organisations) > 0 }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.byService[name] }
