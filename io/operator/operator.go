// Package operator is the HTTP interface for operators of an instance: health,
// readiness, metrics, status and taking failure domains out of service. It is
// served on a separate address.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// An Instance is the entry instance that the handler reports on and controls.
type Instance interface {
	// Ready reports whether the instance should receive requests.
	Ready() bool
	// Status returns the current state of the instance.
	Status() Status
	// TakeOut takes a failure domain out of service independently of the rules,
	// or undoes that.
	TakeOut(ctx context.Context, t TakeOut) error
	// MetricsHandler returns the handler for /metrics.
	MetricsHandler() http.Handler
}

// A Status is the state of one instance.
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

// A RolloutStatus is the progress of a roll-out, from the counts of all
// instances.
type RolloutStatus struct {
	Rollout      string `json:"rollout"` // model/from/to/step
	SharePercent int    `json:"share-percent"`
	Done         bool   `json:"done"`
	StopReason   string `json:"stopped"`  // empty unless the roll-out was stopped
	Requests     int    `json:"requests"` // to the new version since the current step began
	Errors       int    `json:"errors"`   // among Requests
}

// A ClassStatus summarises the ratings of the cheap model of a class.
type ClassStatus struct {
	Organisation string    `json:"organisation"`
	Class        string    `json:"class"`
	Ratings      int       `json:"ratings"`
	Sufficed     float64   `json:"sufficed"` // fraction of Ratings, 0 to 1
	NewestRating time.Time `json:"newest"`   // time of the newest rating
}

// A MemberStatus is the state of an entry instance, as known to this instance.
type MemberStatus struct {
	ID            string    `json:"id"`
	FailureDomain string    `json:"failure-domain"`
	State         string    `json:"state"`    // live, leaving, suspect or gone
	Since         time.Time `json:"since"`    // when this instance learnt of State
	Revision      int64     `json:"revision"` // last known revision in force on the member
}

// An UpstreamStatus is the state of an upstream, as known to this instance.
type UpstreamStatus struct {
	ID          string `json:"id"`
	InService   bool   `json:"in-service"`
	WarmPercent int    `json:"warm-percent"` // 0 for a cold upstream, 100 for a warm one
	Inflight    int    `json:"requests"`     // requests of this instance in progress
	Share       int    `json:"share"`        // concurrent requests that this instance may send once the upstream is warm
	Limit       int    `json:"limit"`        // concurrent requests that this instance may send now
	Reachable   bool   `json:"reachable"`
}

// A TakeOut is the body of a request that takes a failure domain out of service
// until the next configuration is in force. It serves when the platform cannot
// accept a configuration.
type TakeOut struct {
	FailureDomain string `json:"failure-domain"`
	By            string `json:"by"`
	Undo          bool   `json:"undo"`
}

// New returns the handler of the operator interface of i.
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

// maxTakeOutBytes is the maximum size of a request body with a TakeOut.
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
