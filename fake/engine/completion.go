package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const defaultPieces = 8

// bytesPerToken is the size of a token in the stand-in's counting.
const bytesPerToken = 4

type completionRequest struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// A run is one request in progress.
type run struct {
	engine  *Engine
	request completionRequest
	attempt string
	id      string
	prompt  string
	text    string
	faults  Faults
	after   int // pieces that an earlier stream has sent
	life    <-chan struct{}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get("X-Request-Id")
	if ms, err := strconv.Atoi(r.Header.Get("Banyanyard-Timeout-Ms")); err == nil {
		e.told(ms)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	faults, known := e.begin(attempt, request.Model, after > 0)
	if !known {
		http.NotFound(w, r)
		return
	}
	if faults.RefuseAll {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { e.end(r.Context().Err() != nil) }()
	run := &run{engine: e, request: request, attempt: attempt, id: "chatcmpl-" + attempt, prompt: prompt(request), faults: faults, after: after, life: e.life()}
	run.text = e.text(request.Model, run.prompt)
	run.serve(w, r)
}

// serve answers the request, or fails as the switches say.
func (r *run) serve(w http.ResponseWriter, request *http.Request) {
	if r.faults.ForeignID {
		r.id = "chatcmpl-of-another-attempt"
	}
	if r.faults.CrashOn != "" && strings.Contains(r.prompt, r.faults.CrashOn) {
		r.engine.crash()
		panic(http.ErrAbortHandler)
	}
	if r.faults.FailModel != "" && r.faults.FailModel == r.request.Model {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	leave, ok := r.engine.enter(request.Context().Done())
	if !ok {
		return
	}
	defer leave()
	if !r.wait(request, r.engine.FirstToken) {
		return
	}
	if r.request.Stream {
		r.stream(w, request)
		return
	}
	r.whole(w, request)
}

func prompt(request completionRequest) string {
	var b strings.Builder
	for _, m := range request.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// wait pauses for d and reports whether the request goes on. A crash of the
// engine closes the connection.
func (r *run) wait(request *http.Request, d time.Duration) bool {
	if d <= 0 {
		return request.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.life:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
		return false
	}
}

func (r *run) usage() *usage {
	u := usage{PromptTokens: len(r.prompt)/bytesPerToken + 1, CompletionTokens: len(r.text)/bytesPerToken + 1}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return &u
}

func (r *run) whole(w http.ResponseWriter, request *http.Request) {
	if !r.wait(request, r.engine.Gap*time.Duration(r.pieces())) {
		return
	}
	if r.faults.DieAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	if r.faults.SilentAfter > 0 {
		<-request.Context().Done()
		return
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: r.id, Object: "chat.completion", Created: time.Now().Unix(), Model: r.request.Model, Usage: r.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: r.text}, FinishReason: &stop}},
	})
}

func (r *run) pieces() int {
	if r.engine.Pieces > 0 {
		return r.engine.Pieces
	}
	return defaultPieces
}

func (r *run) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	pieces := split(r.text, r.pieces())
	for i, text := range pieces {
		if i < r.after {
			continue
		}
		if i > 0 && !r.wait(request, r.engine.Gap) {
			return
		}
		if r.faults.DieAfter == i+1 && !(r.faults.DieOnce && r.after > 0) {
			panic(http.ErrAbortHandler)
		}
		if r.faults.SilentAfter == i+1 {
			<-request.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\n", i+1)
		r.event(w, choice{Delta: &message{Role: "assistant", Content: text}}, nil)
	}
	stop := "stop"
	r.event(w, choice{Delta: &message{}, FinishReason: &stop}, nil)
	r.event(w, choice{}, r.usage())
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// event writes one piece. A piece with the usage has no choices.
func (r *run) event(w http.ResponseWriter, c choice, u *usage) {
	chunk := completion{ID: r.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: r.request.Model, Choices: []choice{c}, Usage: u}
	if u != nil {
		chunk.Choices = []choice{}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// split cuts a text into n parts at rune boundaries.
func split(text string, n int) []string {
	runes := []rune(text)
	parts := make([]string, 0, n)
	for i := range n {
		parts = append(parts, string(runes[i*len(runes)/n:(i+1)*len(runes)/n]))
	}
	return parts
}
