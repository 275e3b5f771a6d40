package duty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/era"
	"banyanyard/io/jsonlog"

	"github.com/matryer/is"
)

// A fakeStore holds rows in memory and fails for the instances that are cut off.
type fakeStore struct {
	mu     sync.Mutex
	rows   map[string]Row
	number uint64
	era    uint64
}

// restore lets the store come back from an empty copy.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.rows)
}

type storeOf struct {
	*fakeStore
	cut *bool
}

func (s storeOf) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.cut = true
}

var errCut = errors.New("cut off")

func (s storeOf) Read(_ context.Context, key string) (Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *s.cut {
		return Row{}, errCut
	}
	if row, ok := s.rows[key]; ok {
		return row, nil
	}
	return Row{Key: key, Version: era.New(s.era, 0)}, nil
}

func (s storeOf) Write(_ context.Context, key string, expect era.Version, value []byte) (era.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case *s.cut:
		return 0, errCut
	case s.rows[key].Version.Number() != expect.Number():
		return 0, ErrChanged
	}
	s.number++
	s.rows[key] = Row{Key: key, Value: value, Version: era.New(s.era, s.number)}
	return s.rows[key].Version, nil
}

// A counter is a task with a call every second, and the platform that gets it.
type counter struct {
	mu     sync.Mutex
	next   time.Time
	silent map[string]bool // by holder
	acts   []string        // holders, in order of their calls
	tokens []uint64
}

func (c *counter) Next(now time.Time) []duty.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.next) {
		return nil
	}
	return []duty.Call{{Duty: "count", Subject: "all"}}
}

func (c *counter) Done(now time.Time, _ duty.Call, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.next = now.Add(time.Second)
	}
}

func (c *counter) Call(ctx context.Context, holder string, token uint64, _ duty.Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[holder] {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return ctx.Err()
	}
	if len(c.acts) == 0 || c.acts[len(c.acts)-1] != holder {
		c.acts = append(c.acts, holder)
		c.tokens = append(c.tokens, token)
	}
	return nil
}

// seen returns the holders, in order of their calls, and their tokens.
func (c *counter) seen() (holders []string, tokens []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.acts), slices.Clone(c.tokens)
}

func TestSuccessor(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(first *Runner, store storeOf, platform *counter)
		within  time.Duration
	}{
		{name: "stopped", within: 2 * time.Second, disturb: func(first *Runner, _ storeOf, _ *counter) { first.GiveUp(context.Background()) }},
		{name: "cut off from the store", within: 8 * time.Second, disturb: func(_ *Runner, store storeOf, _ *counter) { store.cutOff() }},
		{name: "cut off from the platform's API", within: 12 * time.Second, disturb: func(first *Runner, _ storeOf, platform *counter) {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			platform.silent[first.Instance] = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{rows: map[string]Row{}}
				platform := &counter{silent: map[string]bool{}}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				log := jsonlog.New(io.Discard)
				defer log.Close()
				began := time.Now()
				var runners []*Runner
				cut := make([]bool, 3)
				for i := range cut {
					r := New(fmt.Sprint("i", i), fmt.Sprint("i", i, "-1"))
					r.Terms, r.Store, r.Caller, r.Tasks, r.Log = duty.NewTerms(3*time.Second), storeOf{store, &cut[i]}, platform, []duty.Task{platform}, log
					r.Ranking = func() Ranking { return Ranking{Rank: i, Live: len(cut)} }
					r.Clock = func() time.Duration { return time.Since(began) }
					runners = append(runners, r)
					go r.Run(ctx)
				}
				time.Sleep(3 * time.Second)
				holders, _ := platform.seen()
				is.Equal(holders, []string{"i0"})
				tt.disturb(runners[0], storeOf{store, &cut[0]}, platform)
				time.Sleep(tt.within)
				holders, tokens := platform.seen()
				is.Equal(len(holders), 2)
				is.True(holders[1] != "i0")
				is.True(tokens[1] > tokens[0])
				time.Sleep(time.Minute)
				holders, _ = platform.seen()
				is.Equal(len(holders), 2) // the successor stays
			})
		})
	}
}

func TestLeaseContextAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	ctx := leaseContext{Context: context.Background(), now: func() time.Duration { return now }, ends: time.Second}
	is.NoErr(ctx.Err())
	now = 5 * time.Second // no timer has fired
	is.Equal(ctx.Err(), errLeaseOver)
}
