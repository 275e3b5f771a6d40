// Package platform is an in-memory fake of the platform's table service, object
// store, list of instances and rating service.
//
// A Platform has the methods of the platform client, so that tests can use it
// without a network; Handler serves the same operations over HTTP. SetFaults
// injects faults into individual calls.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"

	"banyanyard/io/platform"
)

// A Fault is a failure injected into one call.
type Fault int

// Faults that SetFaults can inject.
const (
	None         Fault = iota
	Refuse             // the call fails as unavailable and takes no effect
	DropResponse       // the call takes effect; its response is lost
	DropRequest        // the request is lost; the call takes no effect
)

var errInjected = errors.New("injected fault")

// A Call identifies an operation, for SetFaults and CallCounts.
type Call struct {
	Op    string // get, list, insert, replace, insert-all, put-object, get-object, instances, rate
	Table string
	Key   string
}

// A Platform holds tables, objects and the list of instances in memory. The
// zero Platform is empty and ready to use. Its methods are safe for concurrent
// use.
type Platform struct {
	// RateAnswer returns the score of an answer; nil scores every answer 1. It is
	// called with a lock held and must not call the Platform.
	RateAnswer func(platform.RatingRequest) float64

	mu          sync.Mutex
	chooseFault func(Call) Fault                   // guarded by mu; nil means no faults
	tables      map[string]map[string]platform.Row // guarded by mu
	objects     map[string][]byte                  // guarded by mu
	instances   []platform.Instance                // guarded by mu
	lastVersion int                                // guarded by mu; version of the newest write
	callCounts  map[Call]int                       // guarded by mu; by Op and Table
}

// SetFaults sets the function that chooses the fault of each call; nil means no
// faults. The function is called without locks held and may block.
func (p *Platform) SetFaults(choose func(Call) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooseFault = choose
}

// withFault chooses the fault of a call, then counts the call and runs f with
// mu held unless the fault prevents it. write reports whether f changes data;
// only then may a call whose response is lost have taken effect.
func (p *Platform) withFault(c Call, write bool, f func() error) error {
	p.mu.Lock()
	choose := p.chooseFault
	p.mu.Unlock()
	fault := None
	if choose != nil {
		fault = choose(c)
	}
	if fault == Refuse {
		return &platform.UnavailableError{Op: c.Op, Cause: errInjected}
	}
	if fault == DropRequest {
		return &platform.UnavailableError{Op: c.Op, MayHaveTakenEffect: write, Cause: errInjected}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callCounts == nil {
		p.callCounts = map[Call]int{}
	}
	p.callCounts[Call{Op: c.Op, Table: c.Table}]++
	err := f()
	if fault == DropResponse {
		return &platform.UnavailableError{Op: c.Op, MayHaveTakenEffect: write, Cause: errInjected}
	}
	return err
}

// CallCounts returns how many calls were executed, by Op and Table.
func (p *Platform) CallCounts() map[Call]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[Call]int, len(p.callCounts))
	for c, n := range p.callCounts {
		counts[c] = n
	}
	return counts
}

// CallCount returns how many calls of an operation on a table were executed.
func (p *Platform) CallCount(op, table string) int { return p.CallCounts()[Call{Op: op, Table: table}] }

// Get returns a row, or platform.ErrNotFound.
func (p *Platform) Get(_ context.Context, table, key string) (platform.Row, error) {
	var row platform.Row
	err := p.withFault(Call{Op: "get", Table: table, Key: key}, false, func() error {
		var ok bool
		if row, ok = p.tables[table][key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return row, err
}

// List returns the rows of a table whose keys begin with prefix, sorted by key.
func (p *Platform) List(_ context.Context, table, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	err := p.withFault(Call{Op: "list", Table: table, Key: prefix}, false, func() error {
		for key, row := range p.tables[table] {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return rows, err
}

// Insert writes a new row and returns its version. It returns a
// *platform.ConflictError if the row exists.
func (p *Platform) Insert(_ context.Context, table, key string, value any) (string, error) {
	return p.writeRow(Call{Op: "insert", Table: table, Key: key}, value, func(_ platform.Row, exists bool) bool { return !exists })
}

// Replace overwrites a row and returns its new version. It returns a
// *platform.ConflictError unless the row exists with the given version.
func (p *Platform) Replace(_ context.Context, table, key, version string, value any) (string, error) {
	return p.writeRow(Call{Op: "replace", Table: table, Key: key}, value, func(row platform.Row, exists bool) bool {
		return exists && row.Version == version
	})
}

func (p *Platform) writeRow(c Call, value any, condition func(platform.Row, bool) bool) (string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	var version string
	err = p.withFault(c, true, func() error {
		row, exists := p.tables[c.Table][c.Key]
		if !condition(row, exists) {
			return &platform.ConflictError{Table: c.Table, Key: c.Key}
		}
		version = p.storeRow(c.Table, c.Key, data)
		return nil
	})
	if err != nil {
		return "", err
	}
	return version, nil
}

// storeRow writes a row and returns its version, quoted as an ETag. The caller
// holds mu.
func (p *Platform) storeRow(table, key string, value json.RawMessage) string {
	if p.tables == nil {
		p.tables = map[string]map[string]platform.Row{}
	}
	if p.tables[table] == nil {
		p.tables[table] = map[string]platform.Row{}
	}
	p.lastVersion++
	version := strconv.Quote(strconv.Itoa(p.lastVersion))
	p.tables[table][key] = platform.Row{Key: key, Value: value, Version: version}
	return version
}

// InsertAll writes those rows that do not exist yet and skips the others.
func (p *Platform) InsertAll(_ context.Context, table string, rows []platform.Row) error {
	return p.withFault(Call{Op: "insert-all", Table: table}, true, func() error {
		for _, row := range rows {
			if _, exists := p.tables[table][row.Key]; !exists {
				p.storeRow(table, row.Key, row.Value)
			}
		}
		return nil
	})
}

// PutObject stores a copy of data under key, replacing any earlier object.
func (p *Platform) PutObject(_ context.Context, key string, data []byte) error {
	return p.withFault(Call{Op: "put-object", Key: key}, true, func() error {
		if p.objects == nil {
			p.objects = map[string][]byte{}
		}
		p.objects[key] = slices.Clone(data)
		return nil
	})
}

// GetObject returns an object, or platform.ErrNotFound. The caller must not
// modify it.
func (p *Platform) GetObject(_ context.Context, key string) ([]byte, error) {
	var data []byte
	err := p.withFault(Call{Op: "get-object", Key: key}, false, func() error {
		var ok bool
		if data, ok = p.objects[key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return data, err
}

// SetInstances replaces the list of live and leaving instances.
func (p *Platform) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.Clone(instances)
}

// Instances returns the list of live and leaving instances.
func (p *Platform) Instances(_ context.Context) ([]platform.Instance, error) {
	var instances []platform.Instance
	err := p.withFault(Call{Op: "instances"}, false, func() error {
		instances = slices.Clone(p.instances)
		return nil
	})
	return instances, err
}

// Rate scores an answer with RateAnswer.
func (p *Platform) Rate(_ context.Context, a platform.RatingRequest) (platform.Rating, error) {
	rating := platform.Rating{Score: 1}
	err := p.withFault(Call{Op: "rate"}, false, func() error {
		if p.RateAnswer != nil {
			rating.Score = p.RateAnswer(a)
		}
		return nil
	})
	return rating, err
}
