package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const defaultChunks = 8

// bytesPerToken is the size of a token in the fake's usage figures.
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

// A completionRun is a request in progress.
type completionRun struct {
	engine      *Engine
	request     completionRequest
	attempt     string
	id          string
	prompt      string
	completion  string
	faults      Faults
	resumeAfter int             // number of the last chunk that the client already has; 0 for a new stream
	crashed     <-chan struct{} // closed when the engine crashes
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get("X-Request-Id")
	if ms, err := strconv.Atoi(r.Header.Get("Banyanyard-Timeout-Ms")); err == nil {
		e.recordTimeout(ms)
	}
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	faults, known := e.beginRun(attempt, request.Model, resumeAfter > 0)
	if !known {
		http.NotFound(w, r)
		return
	}
	if faults.RefuseAll {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { e.endRun(r.Context().Err() != nil) }()
	run := &completionRun{engine: e, request: request, attempt: attempt, id: "chatcmpl-" + attempt, prompt: promptText(request), faults: faults, resumeAfter: resumeAfter, crashed: e.crashChannel()}
	run.completion = e.completionText(request.Model, run.prompt)
	run.serve(w, r)
}

// serve answers the request, or fails as the faults say.
func (r *completionRun) serve(w http.ResponseWriter, request *http.Request) {
	if r.faults.WrongID {
		r.id = "chatcmpl-of-another-attempt"
	}
	if r.faults.CrashOnPrompt != "" && strings.Contains(r.prompt, r.faults.CrashOnPrompt) {
		r.engine.crash()
		panic(http.ErrAbortHandler)
	}
	if r.faults.FailModel != "" && r.faults.FailModel == r.request.Model {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	release, ok := r.engine.acquireSlot(request.Context().Done())
	if !ok {
		return
	}
	defer release()
	if !r.pause(request, r.engine.FirstTokenDelay) {
		return
	}
	if r.request.Stream {
		r.serveStream(w, request)
		return
	}
	r.serveWhole(w, request)
}

func promptText(request completionRequest) string {
	var b strings.Builder
	for _, m := range request.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// pause waits for d and reports whether the client is still connected. If the
// engine crashes meanwhile, it panics with http.ErrAbortHandler, which closes
// the connection.
func (r *completionRun) pause(request *http.Request, d time.Duration) bool {
	if d <= 0 {
		return request.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.crashed:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
		return false
	}
}

func (r *completionRun) tokenUsage() *usage {
	u := usage{PromptTokens: len(r.prompt)/bytesPerToken + 1, CompletionTokens: len(r.completion)/bytesPerToken + 1}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return &u
}

func (r *completionRun) serveWhole(w http.ResponseWriter, request *http.Request) {
	if !r.pause(request, r.engine.ChunkInterval*time.Duration(r.chunkCount())) {
		return
	}
	if r.faults.AbortAtChunk > 0 {
		panic(http.ErrAbortHandler)
	}
	if r.faults.StallAtChunk > 0 {
		<-request.Context().Done()
		return
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: r.id, Object: "chat.completion", Created: time.Now().Unix(), Model: r.request.Model, Usage: r.tokenUsage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: r.completion}, FinishReason: &stop}},
	})
}

func (r *completionRun) chunkCount() int {
	if r.engine.Chunks > 0 {
		return r.engine.Chunks
	}
	return defaultChunks
}

func (r *completionRun) serveStream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	chunks := splitText(r.completion, r.chunkCount())
	for i, text := range chunks {
		if i < r.resumeAfter {
			continue
		}
		if i > 0 && !r.pause(request, r.engine.ChunkInterval) {
			return
		}
		if r.faults.AbortAtChunk == i+1 && !(r.faults.AbortOnlyFirst && r.resumeAfter > 0) {
			panic(http.ErrAbortHandler)
		}
		if r.faults.StallAtChunk == i+1 {
			<-request.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\n", i+1)
		r.writeChunk(w, choice{Delta: &message{Role: "assistant", Content: text}}, nil)
	}
	stop := "stop"
	r.writeChunk(w, choice{Delta: &message{}, FinishReason: &stop}, nil)
	r.writeChunk(w, choice{}, r.tokenUsage())
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeChunk writes one event of the stream. The event with the usage has an
// empty list of choices.
func (r *completionRun) writeChunk(w http.ResponseWriter, c choice, u *usage) {
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

// splitText splits a text into n parts of about equal length, between runes.
func splitText(text string, n int) []string {
	runes := []rune(text)
	parts := make([]string, 0, n)
	for i := range n {
		parts = append(parts, string(runes[i*len(runes)/n:(i+1)*len(runes)/n]))
	}
	return parts
}
