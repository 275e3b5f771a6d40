// Package operator serves operators: health, readiness, metrics and the status
// of an instance, on an address of its own.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// An Instance is what the handler needs of the entry instance.
type Instance interface {
	// Ready reports whether the instance should get requests.
	Ready() bool
	// Status describes the instance.
	Status() Status
	// TakeOut takes a failure domain out beside the rules, or undoes that.
	TakeOut(ctx context.Context, t TakeOut) error
	// MetricsHandler serves the metrics.
	MetricsHandler() http.Handler
}

// A Status describes one instance.
type Status struct {
	Instance       string           `json:"instance"`
	FailureDomain  string           `json:"failure-domain"`
	Ready          bool             `json:"ready"`
	Leaving        bool             `json:"leaving"`
	Revision       int64            `json:"revision"`
	PendingCharges int              `json:"pending-charges"`
	HeldBytes      int64            `json:"held-bytes"`
	Members        []MemberStatus   `json:"members"` // this instance first
	Upstreams      []UpstreamStatus `json:"upstreams"`
	Rollouts       []RolloutStatus  `json:"rollouts"`
	Classes        []ClassStatus    `json:"classes"`
}

// A RolloutStatus is how far a roll-out has come, by the evidence of all
// instances.
type RolloutStatus struct {
	Rollout      string `json:"rollout"` // model/from/to/step
	SharePercent int    `json:"share-percent"`
	Done         bool   `json:"done"`
	Stopped      string `json:"stopped"`  // why; empty while it runs
	Requests     int    `json:"requests"` // to the new version since its newest step began
	Errors       int    `json:"errors"`   // of Requests
}

// A ClassStatus is what is known about the cheap model of a class.
type ClassStatus struct {
	Organisation string    `json:"organisation"`
	Class        string    `json:"class"`
	Ratings      int       `json:"ratings"`
	Sufficed     float64   `json:"sufficed"` // share of Ratings
	Newest       time.Time `json:"newest"`   // rating
}

// A MemberStatus is what the instance knows about one entry instance.
type MemberStatus struct {
	ID            string    `json:"id"`
	FailureDomain string    `json:"failure-domain"`
	State         string    `json:"state"`    // live, leaving, suspect or gone
	Since         time.Time `json:"since"`    // when State was learnt
	Revision      int64     `json:"revision"` // in force there, as far as is known
}

// An UpstreamStatus is the instance's view of one upstream.
type UpstreamStatus struct {
	ID        string `json:"id"`
	InService bool   `json:"in-service"`
	Warm      int    `json:"warm-percent"` // 0 is cold, 100 is warm
	Requests  int    `json:"requests"`     // held by this instance
	Share     int    `json:"share"`        // of this instance when the upstream is warm
	Limit     int    `json:"limit"`        // of this instance now
	Reachable bool   `json:"reachable"`
}

// A TakeOut takes a failure domain out until the next configuration is in
// force, for when the platform can't accept one.
type TakeOut struct {
	FailureDomain string `json:"failure-domain"`
	By            string `json:"by"`
	Undo          bool   `json:"undo"`
}

// New returns the handler for operators.
func New(i Instance) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, i) })
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) { serveStatus(w, i) })
	r.Post("/take-outs", func(w http.ResponseWriter, r *http.Request) { serveTakeOut(w, r, i) })
	r.Handle("/metrics", i.MetricsHandler())
	return r
}

func serveReady(w http.ResponseWriter, i Instance) {
	if !i.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func serveStatus(w http.ResponseWriter, i Instance) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Status())
}

// maxTakeOutBytes bounds the body of a TakeOut.
const maxTakeOutBytes = 4096

func serveTakeOut(w http.ResponseWriter, r *http.Request, i Instance) {
	var t TakeOut
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTakeOutBytes)).Decode(&t); err != nil {
		http.Error(w, "send failure-domain, by and undo as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := i.TakeOut(r.Context(), t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
