package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestSuspects(t *testing.T) {
	tests := []struct {
		name    string
		do      func(s *Suspects)
		suspect bool
		refuse  bool
	}{
		{name: "unknown", do: func(*Suspects) {}},
		{name: "one broken run", do: func(s *Suspects) { s.Broke(start, "a", "f", false) }, suspect: true},
		{name: "two broken runs here", do: func(s *Suspects) { s.Broke(start, "a", "f", false); s.Broke(start, "a", "f", false) }, suspect: true, refuse: true},
		{name: "one here, one elsewhere", do: func(s *Suspects) {
			s.Broke(start, "a", "f", false)
			s.Merge("f", "b", Count{Broken: 1, Newest: start})
			s.Merge("f", "b", Count{Broken: 1, Newest: start})
		}, suspect: true, refuse: true},
		{name: "answered whole since", do: func(s *Suspects) { s.Broke(start, "a", "f", false); s.Answered(start, "a", "f") }},
		{name: "cleared elsewhere", do: func(s *Suspects) {
			s.Broke(start, "a", "f", false)
			s.Merge("f", "b", Count{Cleared: 1})
		}},
		{name: "long ago", do: func(s *Suspects) {
			s.Broke(start.Add(-Memory-time.Second), "a", "f", false)
			s.Broke(start.Add(-Memory-time.Second), "a", "f", false)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Suspects
			tt.do(&s)
			is.Equal(s.Suspect(start, "f"), tt.suspect)
			_, refuse := s.Refuse(start, "f")
			is.Equal(refuse, tt.refuse)
		})
	}
}

func TestRefusalLastsByItsProof(t *testing.T) {
	tests := []struct {
		name  string
		alone bool
		want  time.Duration
	}{
		{name: "perhaps beside the cause", want: Doubt},
		{name: "the one suspect", alone: true, want: Memory},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Suspects
			s.Broke(start, "a", "f", false)
			s.Broke(start, "a", "f", tt.alone)
			_, refuse := s.Refuse(start.Add(tt.want-time.Second), "f")
			is.True(refuse)
			_, refuse = s.Refuse(start.Add(tt.want), "f")
			is.True(!refuse)
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var s Suspects
	for i := range maxSuspects + 100 {
		s.Broke(start.Add(time.Duration(i)*time.Millisecond), "a", Fingerprint(fmt.Sprint(i)), false)
	}
	is.Equal(s.Len(), maxSuspects)
	is.True(!s.Suspect(start, "0"))
	s.Expire(start.Add(2 * Memory))
	is.Equal(s.Len(), 0)
}
