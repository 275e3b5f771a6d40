// Package service is a fake plain service that reserves hospital beds. Each POST
// creates a new hold, so that a call that ran twice shows up as two holds.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults selects the failures that a Service injects. The zero value injects
// none.
type Faults struct {
	RefuseAll    bool // answers 503 without creating a hold
	DropResponse bool // creates the hold, then closes the connection without a response
}

// A Service records holds on beds. The zero Service is ready to use.
type Service struct {
	Delay time.Duration // before the response to each accepted POST

	mu     sync.Mutex
	faults Faults         // guarded by mu
	holds  map[string]int // guarded by mu; number of holds by request body
	lastID int            // guarded by mu; number in the ID of the newest hold
}

// SetFaults replaces the faults for requests that arrive from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// HoldCount returns how many holds were created with the given request body.
func (s *Service) HoldCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[body]
}

type hold struct {
	ID  string `json:"id"`
	Bed string `json:"bed"`
}

// Handler returns the service's HTTP API.
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
	id, faults := s.recordHold(string(body))
	if faults.RefuseAll {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.Delay)
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(hold{ID: id, Bed: string(body)})
}

func (s *Service) recordHold(body string) (string, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseAll {
		return "", s.faults
	}
	if s.holds == nil {
		s.holds = map[string]int{}
	}
	s.holds[body]++
	s.lastID++
	return fmt.Sprintf("hold-%d", s.lastID), s.faults
}

func (s *Service) serveBed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hold{Bed: r.PathValue("bed")})
}
