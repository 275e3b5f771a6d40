package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKnowledgeOutlastsRegistration guards against too many requests to an upstream whose
// registration was gone for a while, although the upstream served on: its limit, its
// pause and that it is cold hold when the registration is back.
func TestKnowledgeOutlastsRegistration(t *testing.T) {
	const started = 1000
	limit := NamedLimit{Upstream: "u0", StartUnixMs: started, Rate: 0.5, Version: 7}
	register := func(f *Fleet, now time.Time, startUnixMs int64) {
		u := testUpstream(0)
		u.StartUnixMs = startUnixMs
		f.Register(now, u)
	}
	tests := []struct {
		name   string
		before func(f *Fleet) // while it is registered
		absent func(f *Fleet, now time.Time)
		start  int64 // of the registration that comes back
		want   bool  // the knowledge holds
	}{
		{name: "limit", before: func(f *Fleet) { f.SetNamedLimit(start, limit) }, start: started, want: true},
		{name: "limit told while absent", absent: func(f *Fleet, now time.Time) { f.SetNamedLimit(now, limit) }, start: started, want: true},
		{name: "limit of a start before", before: func(f *Fleet) { f.SetNamedLimit(start, limit) }, start: started + 1},
		{name: "limit that ended while absent", before: func(f *Fleet) { f.SetNamedLimit(start, limit) }, absent: func(f *Fleet, now time.Time) {
			f.SetNamedLimit(now, NamedLimit{Upstream: "u0", StartUnixMs: started, Version: 8})
		}, start: started},
		{name: "cold", before: func(f *Fleet) { f.setColdLeft(start, f.byID["u0"], time.Minute) }, start: started, want: true},
		{name: "pause", before: func(f *Fleet) { f.byID["u0"].pausedUntil = start.Add(time.Minute) }, start: started, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New("i0", "d0")
			f.SetColdRate("s", 0.5)
			register(f, start, started)
			if tt.before != nil {
				tt.before(f)
			}
			now := start.Add(10 * time.Second)
			f.Withdraw("u0", now)
			f.RemoveGone(now)
			is.Equal(f.Len(), 0)
			if tt.absent != nil {
				tt.absent(f, now.Add(time.Second))
			}
			now = now.Add(3 * time.Second)
			register(f, now, tt.start)
			sent := 0
			for range 10 {
				if pickAndRelease(f, now) != "" {
					sent++
				}
				now = now.Add(100 * time.Millisecond)
			}
			is.Equal(sent < 10, tt.want)
		})
	}
}

// TestAbsentStartsAreForgotten checks that starts which never come back take bounded memory.
func TestAbsentStartsAreForgotten(t *testing.T) {
	is := is.New(t)
	f := New("i0", "d0")
	for n := range int64(2 * maxAbsent) {
		f.SetNamedLimit(start, NamedLimit{Upstream: "u", StartUnixMs: n + 1, Rate: 1, Version: 1})
	}
	is.Equal(len(f.absent), maxAbsent)
	f.RemoveGone(start.Add(departedRetention + time.Second))
	is.Equal(len(f.absent), 0)
}
