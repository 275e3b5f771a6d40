package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/refusal"

	"github.com/go-chi/chi/v5"
)

// A Handler is the HTTP handler for callers. It is safe for concurrent use.
type Handler struct {
	router Router
	limits Limits
	memory *memoryBudget
	mux    http.Handler
}

// NewHandler returns a handler that passes calls to the router.
func NewHandler(router Router, limits Limits) *Handler {
	h := &Handler{router: router, limits: limits, memory: newMemoryBudget(limits)}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", h.serveCompletion)
	r.Get("/v1/models", h.serveModels)
	r.Get("/services/{service}/calls/{key}", h.serveOutcome)
	r.HandleFunc("/services/{service}/*", h.serveService)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		WriteRefusal(w, refusal.New(refusal.ServiceNotFound, "use /v1/chat/completions, /v1/models or /services/{service}/…", "the path does not exist"))
	})
	h.mux = r
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// HeldBytes returns the number of bytes that are currently buffered for callers.
func (h *Handler) HeldBytes() int64 { return h.memory.held() }

// authenticate finds the organisation of a call by its API key and gives the call
// an identifier.
func (h *Handler) authenticate(w http.ResponseWriter, r *http.Request) (Request, *refusal.Error) {
	request := Request{ID: rand.Text()}
	w.Header().Set(HeaderRequestID, request.ID)
	set, revision := h.router.Rules()
	if set == nil {
		return request, refusal.New(refusal.NotReady, "send the request to another instance", "this instance has no rules yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		request.Organisation = set.OrganisationByKey(key)
	}
	if request.Organisation == nil {
		return request, refusal.New(refusal.UnknownKey, "send a valid key as Authorization: Bearer KEY", "the key is missing or unknown")
	}
	request.Rules = set
	request.Revision = revision
	return request, nil
}

// readBody reads the body, up to Limits.BodyBytes.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.BodyTooLarge, "send a smaller request", "the body is larger than %d bytes", tooLarge.Limit)
	}
	return nil, refusal.New(refusal.BodyIncomplete, "send the request again", "the body ended early (%v)", err)
}

// withTimeout returns the call's context with the timeout that the caller asked
// for, or the default.
func (h *Handler) withTimeout(r *http.Request) (context.Context, context.CancelFunc, *refusal.Error) {
	timeout := h.limits.DefaultTimeout
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return nil, nil, refusal.New(refusal.BadRequest, "send the timeout in whole milliseconds", "%s %q is not a positive number", HeaderTimeout, v)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, h.limits.MaxTimeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}
