package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestIsSuspectAndShouldRefuse(t *testing.T) {
	tests := []struct {
		name    string
		do      func(s *Suspects)
		suspect bool
		refuse  bool
	}{
		{name: "unknown", do: func(*Suspects) {}},
		{name: "one broken run", do: func(s *Suspects) { s.RecordBroken(start, "a", "f", false) }, suspect: true},
		{name: "two broken runs here", do: func(s *Suspects) { s.RecordBroken(start, "a", "f", false); s.RecordBroken(start, "a", "f", false) }, suspect: true, refuse: true},
		{name: "one here, one at another instance", do: func(s *Suspects) {
			s.RecordBroken(start, "a", "f", false)
			s.Merge("f", "b", Counts{BrokenRuns: 1, LastBroken: start})
			s.Merge("f", "b", Counts{BrokenRuns: 1, LastBroken: start})
		}, suspect: true, refuse: true},
		{name: "answered since", do: func(s *Suspects) { s.RecordBroken(start, "a", "f", false); s.RecordCompleted(start, "a", "f") }},
		{name: "cleared at another instance", do: func(s *Suspects) {
			s.RecordBroken(start, "a", "f", false)
			s.Merge("f", "b", Counts{ClearedRuns: 1})
		}},
		{name: "expired", do: func(s *Suspects) {
			s.RecordBroken(start.Add(-Retention-time.Second), "a", "f", false)
			s.RecordBroken(start.Add(-Retention-time.Second), "a", "f", false)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Suspects
			tt.do(&s)
			is.Equal(s.IsSuspect(start, "f"), tt.suspect)
			_, refuse := s.ShouldRefuse(start, "f")
			is.Equal(refuse, tt.refuse)
		})
	}
}

func TestRefusalIsLongerForTheOnlySuspect(t *testing.T) {
	tests := []struct {
		name  string
		alone bool
		want  time.Duration
	}{
		{name: "may have run beside the cause", want: TentativeRefusal},
		{name: "only suspect", alone: true, want: Retention},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Suspects
			s.RecordBroken(start, "a", "f", false)
			s.RecordBroken(start, "a", "f", tt.alone)
			_, refuse := s.ShouldRefuse(start.Add(tt.want-time.Second), "f")
			is.True(refuse)
			_, refuse = s.ShouldRefuse(start.Add(tt.want), "f")
			is.True(!refuse)
		})
	}
}

func TestFingerprintCountIsBounded(t *testing.T) {
	is := is.New(t)
	var s Suspects
	for i := range maxSuspects + 100 {
		s.RecordBroken(start.Add(time.Duration(i)*time.Millisecond), "a", Fingerprint(fmt.Sprint(i)), false)
	}
	is.Equal(s.Len(), maxSuspects)
	is.True(!s.IsSuspect(start, "0"))
	s.Expire(start.Add(2 * Retention))
	is.Equal(s.Len(), 0)
}
