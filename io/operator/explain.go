package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An ExplainQuery describes a request to be explained.
type ExplainQuery struct {
	Host         string // as callers see it
	Path         string
	Organisation string // name; empty on public routes
	Request      string // identifier, which decides among services and versions; may be empty
	Session      string // empty if the request belongs to none
	Model        string // that the caller names; empty if the router chooses
	PromptTokens int
	Parts        string // of the prompt, ID:TOKENS separated by commas; the last one is the request's own
	OutputTokens int    // the caller's estimate; 0 for none
}

// Values returns the query's parameters.
func (q *ExplainQuery) Values() url.Values {
	v := url.Values{}
	for name, value := range map[string]string{
		"host": q.Host, "path": q.Path, "organisation": q.Organisation, "request": q.Request, "session": q.Session,
		"model": q.Model, "parts": q.Parts, "prompt-tokens": positive(q.PromptTokens), "output-tokens": positive(q.OutputTokens),
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

func positive(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func decodeExplainQuery(v url.Values) (ExplainQuery, error) {
	q := ExplainQuery{
		Host: v.Get("host"), Path: v.Get("path"), Organisation: v.Get("organisation"), Request: v.Get("request"),
		Session: v.Get("session"), Model: v.Get("model"), Parts: v.Get("parts"),
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, fmt.Errorf("give the host and the path, which begins with a slash, as callers send them")
	}
	for name, n := range map[string]*int{"prompt-tokens": &q.PromptTokens, "output-tokens": &q.OutputTokens} {
		text := v.Get(name)
		if text == "" {
			continue
		}
		var err error
		if *n, err = strconv.Atoi(text); err != nil || *n < 0 {
			return q, fmt.Errorf("%s is %q: give a number of tokens", name, text)
		}
	}
	return q, nil
}

// An Explanation says where a request would go now, and why.
type Explanation struct {
	Instance     string   `json:"instance"`
	Table        int64    `json:"config-version"`
	Route        string   `json:"route"`
	Kind         string   `json:"kind"`
	Organisation string   `json:"organisation,omitempty"`
	Priority     int      `json:"priority"`
	Service      string   `json:"service"`
	Services     []string `json:"services,omitempty"` // if the route is split: each with its weight
	Model        string   `json:"model,omitempty"`    // that would be asked first
	ModelWhy     string   `json:"model-why"`
	Version      string   `json:"version"` // which versions may get the request, and why
	Outcome      string   `json:"outcome"` // sent, held or refused
	Why          string   `json:"why"`
	Upstream     string   `json:"upstream,omitempty"` // the most probable one
	HeldMs       float64  `json:"held-ms"`            // the longest time for which it would be held
	RetryAfterMs float64  `json:"retry-after-ms"`     // that a refusal would name; a random part is included
	Rule         string   `json:"rule,omitempty"`     // what decides among the upstreams that are left
	Draws        int      `json:"draws"`              // choices that the chances rest on
	NewsKnown    bool     `json:"load-known"`         // the load of all instances is known

	Candidates []ExplainCandidate `json:"candidates"` // the most probable first
}

// An ExplainCandidate is an upstream of the service and what speaks against it.
type ExplainCandidate struct {
	Upstream      string  `json:"upstream"`
	FailureDomain string  `json:"failure-domain"`
	Version       string  `json:"version"`
	Excluded      string  `json:"excluded,omitempty"` // empty if it may get the request
	ForMs         float64 `json:"for-ms"`             // until that ends; 0 if it is not known, -1 if it does not by itself
	Chance        float64 `json:"chance"`             // that it would get the request, from 0 to 1
	Cold          bool    `json:"cold"`
	Load          float64 `json:"load"`        // estimated attempts of all instances, or of this one if those are not known
	Running       int     `json:"running"`     // attempts of this instance
	AgeMs         float64 `json:"load-age-ms"` // of the news of all instances; 0 if there was none
}

// Milliseconds returns d in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// An Explainer explains where a request would go. It changes nothing.
type Explainer interface {
	Explain(q ExplainQuery) (*Explanation, error)
}

// An explainHandler makes one explanation at a time, so that requests have the processor.
type explainHandler struct {
	explainer Explainer
	mu        sync.Mutex
}

// NewExplainHandler returns the handler that explains requests.
func NewExplainHandler(e Explainer) http.Handler { return &explainHandler{explainer: e} }

// ServeHTTP implements http.Handler.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "use GET", http.StatusMethodNotAllowed)
		return
	}
	q, err := decodeExplainQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.mu.TryLock() {
		http.Error(w, "another request is being explained: ask again", http.StatusTooManyRequests)
		return
	}
	defer h.mu.Unlock()
	x, err := h.explainer.Explain(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(x)
}
