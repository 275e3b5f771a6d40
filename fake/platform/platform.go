// Package platform is a stand-in for the platform's table service, object
// store, list of instances and rating service, kept in memory.
//
// A Platform has the methods of the platform client, so that tests can use it
// without a network, and Handler serves the same over HTTP. SetFaults says
// what goes wrong at each call.
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

// A Fault is what goes wrong at one call.
type Fault int

// The faults.
const (
	None       Fault = iota
	Refuse           // unavailable, without effect
	LoseAnswer       // the call takes effect and its answer is lost
	LoseCall         // the call takes no effect and its answer is lost
)

var errFault = errors.New("fault injected")

// A Call names an operation for the choice of a fault.
type Call struct {
	Op    string // get, list, insert, replace, insert-all, put-object, get-object, instances, rate
	Table string
	Key   string
}

// A Platform holds the tables and objects. The zero Platform is empty.
type Platform struct {
	// RateAnswer judges answers; nil means that every answer suffices.
	RateAnswer func(platform.RatingRequest) float64

	mu        sync.Mutex
	faults    func(Call) Fault                   // guarded by mu
	tables    map[string]map[string]platform.Row // guarded by mu
	objects   map[string][]byte                  // guarded by mu
	instances []platform.Instance                // guarded by mu
	versions  int                                // guarded by mu; of the newest write
	counts    map[Call]int                       // guarded by mu; by Op and Table
}

// SetFaults sets what chooses the fault of each call; nil means none. It is
// called without locks held and may block.
func (p *Platform) SetFaults(choose func(Call) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = choose
}

// run counts a call and applies its fault around f.
func (p *Platform) run(c Call, write bool, f func() error) error {
	p.mu.Lock()
	choose := p.faults
	p.mu.Unlock()
	fault := None
	if choose != nil {
		fault = choose(c)
	}
	if fault == Refuse {
		return &platform.UnavailableError{Op: c.Op, Cause: errFault}
	}
	if fault == LoseCall {
		return &platform.UnavailableError{Op: c.Op, MayHaveTakenEffect: write, Cause: errFault}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[Call]int{}
	}
	p.counts[Call{Op: c.Op, Table: c.Table}]++
	err := f()
	if fault == LoseAnswer {
		return &platform.UnavailableError{Op: c.Op, MayHaveTakenEffect: write, Cause: errFault}
	}
	return err
}

// Counts returns how many calls reached the stores, by Op and Table.
func (p *Platform) Counts() map[Call]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[Call]int, len(p.counts))
	for c, n := range p.counts {
		counts[c] = n
	}
	return counts
}

// Count returns how many calls of an operation on a table reached the stores.
func (p *Platform) Count(op, table string) int { return p.Counts()[Call{Op: op, Table: table}] }

// Get returns a row.
func (p *Platform) Get(_ context.Context, table, key string) (platform.Row, error) {
	var row platform.Row
	err := p.run(Call{Op: "get", Table: table, Key: key}, false, func() error {
		var ok bool
		if row, ok = p.tables[table][key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return row, err
}

// List returns the rows of a table whose keys begin with prefix, sorted.
func (p *Platform) List(_ context.Context, table, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	err := p.run(Call{Op: "list", Table: table, Key: prefix}, false, func() error {
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

// Insert writes a new row.
func (p *Platform) Insert(_ context.Context, table, key string, value any) (string, error) {
	return p.write(Call{Op: "insert", Table: table, Key: key}, value, func(_ platform.Row, exists bool) bool { return !exists })
}

// Replace writes a row whose version is still the given one.
func (p *Platform) Replace(_ context.Context, table, key, version string, value any) (string, error) {
	return p.write(Call{Op: "replace", Table: table, Key: key}, value, func(row platform.Row, exists bool) bool {
		return exists && row.Version == version
	})
}

func (p *Platform) write(c Call, value any, condition func(platform.Row, bool) bool) (string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	var version string
	err = p.run(c, true, func() error {
		row, exists := p.tables[c.Table][c.Key]
		if !condition(row, exists) {
			return &platform.ConflictError{Table: c.Table, Key: c.Key}
		}
		version = p.store(c.Table, c.Key, data)
		return nil
	})
	if err != nil {
		return "", err
	}
	return version, nil
}

// store writes a row. Its caller holds mu.
func (p *Platform) store(table, key string, value json.RawMessage) string {
	if p.tables == nil {
		p.tables = map[string]map[string]platform.Row{}
	}
	if p.tables[table] == nil {
		p.tables[table] = map[string]platform.Row{}
	}
	p.versions++
	version := strconv.Quote(strconv.Itoa(p.versions))
	p.tables[table][key] = platform.Row{Key: key, Value: value, Version: version}
	return version
}

// InsertAll writes those rows that don't exist yet.
func (p *Platform) InsertAll(_ context.Context, table string, rows []platform.Row) error {
	return p.run(Call{Op: "insert-all", Table: table}, true, func() error {
		for _, row := range rows {
			if _, exists := p.tables[table][row.Key]; !exists {
				p.store(table, row.Key, row.Value)
			}
		}
		return nil
	})
}

// PutObject stores an object.
func (p *Platform) PutObject(_ context.Context, key string, data []byte) error {
	return p.run(Call{Op: "put-object", Key: key}, true, func() error {
		if p.objects == nil {
			p.objects = map[string][]byte{}
		}
		p.objects[key] = slices.Clone(data)
		return nil
	})
}

// GetObject returns an object.
func (p *Platform) GetObject(_ context.Context, key string) ([]byte, error) {
	var data []byte
	err := p.run(Call{Op: "get-object", Key: key}, false, func() error {
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
	err := p.run(Call{Op: "instances"}, false, func() error {
		instances = slices.Clone(p.instances)
		return nil
	})
	return instances, err
}

// Rate judges an answer.
func (p *Platform) Rate(_ context.Context, a platform.RatingRequest) (platform.Rating, error) {
	rating := platform.Rating{Score: 1}
	err := p.run(Call{Op: "rate"}, false, func() error {
		if p.RateAnswer != nil {
			rating.Score = p.RateAnswer(a)
		}
		return nil
	})
	return rating, err
}
