package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"banyanyard/core/refusal"
	"banyanyard/core/session"
)

// problemTypePrefix precedes the refusal's kind in the type of a problem.
const problemTypePrefix = "urn:banyanyard:problem:"

// A problem is the body of a refusal: problem details of RFC 9457, with the error
// member that chat completions clients expect.
type problem struct {
	Type   string            `json:"type"`
	Title  string            `json:"title"`
	Status int               `json:"status"`
	Detail string            `json:"detail"`
	Remedy string            `json:"remedy"`
	Run    refusal.Execution `json:"run"`
	Lookup string            `json:"lookup,omitempty"`
	Error  clientError       `json:"error"`
}

type clientError struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Param   *string      `json:"param"`
	Code    refusal.Kind `json:"code"`
}

// asRefusal returns err as a refusal, the form in which callers receive errors.
func asRefusal(err error) *refusal.Error {
	var r *refusal.Error
	if errors.As(err, &r) {
		return r
	}
	var invalid *session.InvalidError
	if errors.As(err, &invalid) {
		return refusal.New(refusal.SessionInvalid, "send the token as it was received, or leave it out to begin a new session", "the session token is not valid (%s)", invalid.Reason)
	}
	return refusal.New(refusal.UpstreamFailed, "send the request again", "the request failed (%v)", err).WithMayHaveRun()
}

func newProblem(e *refusal.Error) problem {
	run := e.Execution
	if run == "" {
		run = refusal.NotRun
	}
	return problem{
		Type:   problemTypePrefix + string(e.Kind),
		Title:  strings.ReplaceAll(string(e.Kind), "-", " "),
		Status: e.Status(),
		Detail: e.Detail,
		Remedy: e.Remedy,
		Run:    run,
		Lookup: e.OutcomePath,
		Error:  clientError{Message: e.Error(), Type: errorType(e.Status()), Code: e.Kind},
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// WriteRefusal writes err as a response of type application/problem+json. An error
// that isn't a refusal is written as one.
func WriteRefusal(w http.ResponseWriter, err error) {
	e := asRefusal(err)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(newProblem(e))
}
