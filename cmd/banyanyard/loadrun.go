package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// Range of the histograms, in microseconds, and their precision in significant
// decimal digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxInFlight bounds the requests in flight, so that a deployment that does not
// answer cannot exhaust this machine. Requests beyond the bound are not sent and
// count as failed.
const maxInFlight = 20_000

// A loadRun sends requests and collects their outcomes.
type loadRun struct {
	flags    loadFlags
	client   *http.Client
	random   *rand.Rand
	inFlight sync.WaitGroup
	slots    chan struct{} // one element per request in flight

	mu      sync.Mutex
	results map[loadSeries]*seriesResult // guarded by mu
}

// A loadSeries identifies the requests of one organisation for one model or class.
type loadSeries struct {
	organisation string
	key          string
	model        string
}

// series returns the series of every pair of a key and a model. A key without a
// name is numbered.
func (f *loadFlags) series() []loadSeries {
	var all []loadSeries
	for i, k := range f.keys {
		name, key, named := strings.Cut(k, "=")
		if !named {
			name, key = fmt.Sprintf("key %d", i+1), k
		}
		for _, m := range f.models {
			all = append(all, loadSeries{organisation: name, key: key, model: m})
		}
	}
	return all
}

// A seriesResult counts the outcomes of the requests of one series and records
// their times, in microseconds.
type seriesResult struct {
	sent       int
	completed  int            // answered in full
	failures   map[string]int // by title of the refusal or text of the error
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newLoadRun(f loadFlags) *loadRun {
	r := &loadRun{
		flags:   f,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
		random:  rand.New(rand.NewPCG(f.seed, f.seed)),
		slots:   make(chan struct{}, maxInFlight),
		results: map[loadSeries]*seriesResult{},
	}
	for _, s := range f.series() {
		r.results[s] = &seriesResult{failures: map[string]int{}, firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// sendRequests starts requests at the set rate for the set duration or until ctx
// ends, and waits until all have ended.
func (r *loadRun) sendRequests(ctx context.Context) {
	sendCtx, cancel := context.WithTimeout(ctx, r.flags.duration)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(r.flags.rate), 1)
	series := r.flags.series()
	for i := 0; limiter.Wait(sendCtx) == nil; i++ {
		s := series[r.random.IntN(len(series))]
		target := r.flags.targets[i%len(r.flags.targets)]
		select {
		case r.slots <- struct{}{}:
			r.inFlight.Go(func() {
				defer func() { <-r.slots }()
				r.measureRequest(ctx, target, s, i)
			})
		default:
			r.updateResult(s, func(res *seriesResult) { res.sent++; res.failures["too many requests in flight"]++ })
		}
	}
	r.inFlight.Wait()
}

// updateResult calls f with the result of s while holding r.mu.
func (r *loadRun) updateResult(s loadSeries, f func(*seriesResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.results[s])
}

// measureRequest sends the i-th request and records its outcome and total time.
func (r *loadRun) measureRequest(ctx context.Context, target string, s loadSeries, i int) {
	start := time.Now()
	r.updateResult(s, func(res *seriesResult) { res.sent++ })
	err := r.streamCompletion(ctx, target, s, i, start)
	r.updateResult(s, func(res *seriesResult) {
		if err != nil {
			res.failures[err.Error()]++
			return
		}
		res.completed++
		recordLatency(res.total, time.Since(start))
	})
}

// recordLatency adds d to h, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// streamCompletion sends a streaming completion request and reads its answer. Its
// errors' texts are the kinds of failure in the report.
func (r *loadRun) streamCompletion(ctx context.Context, target string, s loadSeries, i int, start time.Time) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(target, "/")+"/v1/chat/completions", bytes.NewReader(r.requestBody(s.model, i)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		return fmt.Errorf("no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalError(response)
	}
	return r.readStream(response.Body, s, start)
}

// requestBody returns a completion request with a prompt of the set size.
func (r *loadRun) requestBody(model string, i int) []byte {
	prompt := fmt.Sprintf("request %d ", i)
	prompt += strings.Repeat("x", max(0, r.flags.promptBytes-len(prompt)))
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": r.flags.maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

// refusalError returns an error with the title of the problem that the response
// describes, or with its status code if it describes none.
func refusalError(response *http.Response) error {
	var p struct {
		Title string `json:"title"`
	}
	if json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(&p) != nil || p.Title == "" {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return fmt.Errorf("%s", p.Title)
}

// readStream reads a completion stream until its [DONE] event. It records the time
// to the first event and the times between events.
func (r *loadRun) readStream(body io.Reader, s loadSeries, start time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	lastEvent := time.Time{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		now := time.Now()
		r.updateResult(s, func(res *seriesResult) {
			if lastEvent.IsZero() {
				recordLatency(res.firstToken, now.Sub(start))
			} else {
				recordLatency(res.tokenGap, now.Sub(lastEvent))
			}
		})
		lastEvent = now
	}
	return fmt.Errorf("the stream ended early")
}
