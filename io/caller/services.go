package caller

import (
	"encoding/json"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/idempotency"
	"banyanyard/core/refusal"

	"github.com/go-chi/chi/v5"
)

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "If-Modified-Since", "Traceparent", "Tracestate"}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	request, refused := h.authenticate(w, r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	body, refused := h.readBody(w, r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	ctx, cancel, refused := h.withTimeout(r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	defer cancel()
	answer, err := h.router.CallService(ctx, &ServiceCall{
		Request:        request,
		Service:        pathParam(r, "service"),
		Method:         r.Method,
		Path:           path.Clean("/" + pathParam(r, "*")),
		EscapedPath:    escapedServicePath(r),
		Query:          r.URL.RawQuery,
		Header:         selectHeaders(r.Header, forwardedHeaders),
		Body:           body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	})
	if err != nil {
		WriteRefusal(w, err)
		return
	}
	writeServiceAnswer(w, answer, request.Revision)
}

// pathParam returns an unescaped path parameter. The mux leaves parameters escaped
// when the path contains escaped slashes.
func pathParam(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw
	}
	if text, err := url.PathUnescape(raw); err == nil {
		return text
	}
	return raw
}

// escapedServicePath returns the path below the service, escaped as the caller
// sent it.
func escapedServicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	_, rest, _ = strings.Cut(rest, "/")
	return "/" + rest
}

// servicesPrefix is the path prefix of plain services.
const servicesPrefix = "/services/"

func selectHeaders(h http.Header, names []string) http.Header {
	picked := http.Header{}
	for _, name := range names {
		if values := h.Values(name); len(values) > 0 {
			picked[name] = values
		}
	}
	return picked
}

func writeServiceAnswer(w http.ResponseWriter, a *ServiceAnswer, revision int64) {
	h := w.Header()
	for name, values := range a.Answer.Header {
		h[name] = values
	}
	h.Set(HeaderUpstream, a.Upstream)
	h.Set(HeaderRevision, strconv.FormatInt(revision, 10))
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(a.Answer.Status)
	_, _ = w.Write(a.Answer.Body)
}

// A callOutcome is the response to a query for the outcome of a non-idempotent
// call.
type callOutcome struct {
	State  idempotency.State `json:"state"`
	Since  time.Time         `json:"since"`
	Status int               `json:"status,omitempty"` // of the stored answer
	Body   string            `json:"body,omitempty"`   // of the stored answer
}

func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	request, refused := h.authenticate(w, r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	record, err := h.router.CallOutcome(r.Context(), request.Organisation.ID, pathParam(r, "service"), pathParam(r, "key"))
	if err != nil {
		WriteRefusal(w, err)
		return
	}
	if record == nil {
		WriteRefusal(w, refusal.New(refusal.CallNotFound, "send the call", "no call with this key is known"))
		return
	}
	o := callOutcome{State: record.State, Since: record.Since}
	if record.Answer != nil {
		o.Status = record.Answer.Status
		o.Body = string(record.Answer.Body)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}
