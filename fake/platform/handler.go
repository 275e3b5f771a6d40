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

// Handler serves the platform over HTTP.
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

// param returns a part of the path as its sender meant it. The router leaves
// parts escaped when the path has escaped slashes.
func param(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if text, err := url.PathUnescape(raw); err == nil {
		return text
	}
	return raw
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	rows, err := p.List(r.Context(), param(r, "table"), r.URL.Query().Get("prefix"))
	if rows == nil {
		rows = []platform.Row{}
	}
	answer(w, rows, err)
}

func (p *Platform) serveInsertAll(w http.ResponseWriter, r *http.Request) {
	var rows []platform.Row
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&rows); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, struct{}{}, p.InsertAll(r.Context(), param(r, "table"), rows))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), param(r, "table"), param(r, "key"))
	w.Header().Set("ETag", row.Version)
	answer(w, row.Value, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	table, key := param(r, "table"), param(r, "key")
	var version string
	if match := r.Header.Get("If-Match"); match != "" {
		version, err = p.Replace(r.Context(), table, key, match, json.RawMessage(body))
	} else {
		version, err = p.Insert(r.Context(), table, key, json.RawMessage(body))
	}
	w.Header().Set("ETag", version)
	answer(w, struct{}{}, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.GetObject(r.Context(), param(r, "key"))
	if err != nil {
		answer(w, nil, err)
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
	answer(w, struct{}{}, p.PutObject(r.Context(), param(r, "key"), body))
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := p.Instances(r.Context())
	answer(w, instances, err)
}

func (p *Platform) serveRate(w http.ResponseWriter, r *http.Request) {
	var a platform.RatingRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rating, err := p.Rate(r.Context(), a)
	answer(w, rating, err)
}

// answer writes a value, or the status for an error. A lost answer closes the
// connection.
func answer(w http.ResponseWriter, v any, err error) {
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
