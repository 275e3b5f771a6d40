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

// The range and precision of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// maxRunning bounds the requests in flight, so that a deployment that answers
// nothing doesn't exhaust this machine. Arrivals beyond it count as failed.
const maxRunning = 20_000

// A loadRun sends requests and gathers what became of them.
type loadRun struct {
	flags   loadFlags
	client  *http.Client
	random  *rand.Rand
	running sync.WaitGroup
	slots   chan struct{}

	mu      sync.Mutex
	results map[loadStream]*loadResult // guarded by mu
}

// A loadStream is the requests of one organisation for one model or class.
type loadStream struct {
	organisation string
	key          string
	model        string
}

// streams returns every pair of a key and a model.
func (f *loadFlags) streams() []loadStream {
	var all []loadStream
	for i, k := range f.keys {
		name, key, named := strings.Cut(k, "=")
		if !named {
			name, key = fmt.Sprintf("key %d", i+1), k
		}
		for _, m := range f.models {
			all = append(all, loadStream{organisation: name, key: key, model: m})
		}
	}
	return all
}

// A loadResult is what became of the requests for one model.
type loadResult struct {
	sent       int
	whole      int
	failures   map[string]int // by kind of refusal or error
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newLoadRun(f loadFlags) *loadRun {
	r := &loadRun{
		flags:   f,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
		random:  rand.New(rand.NewPCG(f.seed, f.seed)),
		slots:   make(chan struct{}, maxRunning),
		results: map[loadStream]*loadResult{},
	}
	for _, s := range f.streams() {
		r.results[s] = &loadResult{failures: map[string]int{}, firstToken: newHistogram(), gap: newHistogram(), total: newHistogram()}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// send starts requests at the rate until the time is over, and waits for all.
func (r *loadRun) send(ctx context.Context) {
	sending, cancel := context.WithTimeout(ctx, r.flags.duration)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(r.flags.rate), 1)
	streams := r.flags.streams()
	for i := 0; limiter.Wait(sending) == nil; i++ {
		s := streams[r.random.IntN(len(streams))]
		target := r.flags.targets[i%len(r.flags.targets)]
		select {
		case r.slots <- struct{}{}:
			r.running.Go(func() {
				defer func() { <-r.slots }()
				r.one(ctx, target, s, i)
			})
		default:
			r.count(s, func(res *loadResult) { res.sent++; res.failures["too many requests in flight"]++ })
		}
	}
	r.running.Wait()
}

func (r *loadRun) count(s loadStream, f func(*loadResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.results[s])
}

// one sends a request and reads its stream.
func (r *loadRun) one(ctx context.Context, target string, s loadStream, i int) {
	begin := time.Now()
	r.count(s, func(res *loadResult) { res.sent++ })
	err := r.stream(ctx, target, s, i, begin)
	r.count(s, func(res *loadResult) {
		if err != nil {
			res.failures[err.Error()]++
			return
		}
		res.whole++
		record(res.total, time.Since(begin))
	})
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (r *loadRun) stream(ctx context.Context, target string, s loadStream, i int, begin time.Time) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(target, "/")+"/v1/chat/completions", bytes.NewReader(r.body(s.model, i)))
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
	return r.read(response.Body, s, begin)
}

func (r *loadRun) body(model string, i int) []byte {
	prompt := fmt.Sprintf("request %d ", i)
	prompt += strings.Repeat("x", max(0, r.flags.prompt-len(prompt)))
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": r.flags.tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

// refusalError names the kind of a refusal.
func refusalError(response *http.Response) error {
	var p struct {
		Title string `json:"title"`
	}
	if json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(&p) != nil || p.Title == "" {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return fmt.Errorf("%s", p.Title)
}

// read records the times of a stream's pieces until its done event.
func (r *loadRun) read(body io.Reader, s loadStream, begin time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	last := time.Time{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		now := time.Now()
		r.count(s, func(res *loadResult) {
			if last.IsZero() {
				record(res.firstToken, now.Sub(begin))
			} else {
				record(res.gap, now.Sub(last))
			}
		})
		last = now
	}
	return fmt.Errorf("the stream ended early")
}
