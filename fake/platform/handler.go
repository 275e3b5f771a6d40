package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"banyanyard/io/platform"

	"github.com/go-chi/chi/v5"
)

const maxBodyBytes = 32 << 20

// Handler returns the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/tables/{table}", p.serveList)
	r.Post("/tables/{table}", p.serveInsertAll)
	r.Get("/tables/{table}/{key}", p.serveGet)
	r.Put("/tables/{table}/{key}", p.servePut)
	r.Get("/objects/{key}", p.serveGetObject)
	r.Put("/objects/{key}", p.servePutObject)
	r.Get("/instances", p.serveInstances)
	r.Post("/ratings", p.serveRate)
	return r
}

// pathParam returns an unescaped path parameter. The router matches the escaped
// path, and leaves parameters escaped, when the path has escaped slashes.
func pathParam(r *http.Request, name string) string {
	escaped := chi.URLParam(r, name)
	if text, err := url.PathUnescape(escaped); err == nil {
		return text
	}
	return escaped
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	rows, err := p.List(r.Context(), pathParam(r, "table"), r.URL.Query().Get("prefix"))
	if rows == nil {
		rows = []platform.Row{}
	}
	writeResponse(w, rows, err)
}

func (p *Platform) serveInsertAll(w http.ResponseWriter, r *http.Request) {
	var rows []platform.Row
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&rows); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, p.InsertAll(r.Context(), pathParam(r, "table"), rows))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), pathParam(r, "table"), pathParam(r, "key"))
	w.Header().Set("ETag", row.Version)
	writeResponse(w, row.Value, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	table, key := pathParam(r, "table"), pathParam(r, "key")
	var version string
	if match := r.Header.Get("If-Match"); match != "" {
		version, err = p.Replace(r.Context(), table, key, match, json.RawMessage(body))
	} else {
		version, err = p.Insert(r.Context(), table, key, json.RawMessage(body))
	}
	w.Header().Set("ETag", version)
	writeResponse(w, struct{}{}, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.GetObject(r.Context(), pathParam(r, "key"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, p.PutObject(r.Context(), pathParam(r, "key"), body))
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := p.Instances(r.Context())
	writeResponse(w, instances, err)
}

func (p *Platform) serveRate(w http.ResponseWriter, r *http.Request) {
	var a platform.RatingRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rating, err := p.Rate(r.Context(), a)
	writeResponse(w, rating, err)
}

// writeResponse writes v as JSON, or the status for err. It closes the connection if
// the call may have taken effect, as if the response had been lost.
func writeResponse(w http.ResponseWriter, v any, err error) {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
