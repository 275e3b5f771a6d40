// Package service is a stand-in for a plain service that holds beds. Each POST
// makes a new hold, so that a call that runs twice shows as two holds.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of a Service. The zero Faults has none.
type Faults struct {
	RefuseAll  bool // answers 503 without running
	LoseAnswer bool // runs the call and closes the connection
}

// A Service holds beds. The zero Service is ready to use.
type Service struct {
	Delay time.Duration // before each answer

	mu     sync.Mutex
	faults Faults         // guarded by mu
	holds  map[string]int // guarded by mu; holds by request body
	next   int            // guarded by mu
}

// SetFaults replaces the switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Holds returns how many holds were made with the body.
func (s *Service) Holds(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[body]
}

type hold struct {
	ID  string `json:"id"`
	Bed string `json:"bed"`
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /holds", s.serveHold)
	mux.HandleFunc("GET /beds/{bed}", s.serveBed)
	return mux
}

func (s *Service) serveHold(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, faults := s.run(string(body))
	if faults.RefuseAll {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.Delay)
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(hold{ID: id, Bed: string(body)})
}

func (s *Service) run(body string) (string, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseAll {
		return "", s.faults
	}
	if s.holds == nil {
		s.holds = map[string]int{}
	}
	s.holds[body]++
	s.next++
	return fmt.Sprintf("hold-%d", s.next), s.faults
}

func (s *Service) serveBed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hold{Bed: r.PathValue("bed")})
}
