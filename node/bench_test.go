package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	enginefake "banyanyard/fake/engine"
	platformfake "banyanyard/fake/platform"
	"banyanyard/io/platform"
	"banyanyard/node/settings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// startBenchNode starts one instance before one engine over real sockets, and
// returns the addresses of both.
func startBenchNode(b *testing.B, h http.Handler) (entry, engine string) {
	b.Helper()
	engine = serveBenchHandler(b, h)
	store := chargelessStore{&platformfake.Platform{}}
	rules := strings.NewReplacer("ENGINE", engine, "HASH", hashOf(testKey)).Replace(`
failure-domain = { id = "milano-a", state = "in" } # T: test
model = { id = "small", context-tokens = 8192 } # T: test
version = { model = "small", id = "v1", state = "serving" } # T: test
organisation = { id = "nurses", keys = ["HASH"] } # T: test
allow = { organisation = "nurses", model = "small" } # T: test
upstream = { id = "e", failure-domain = "milano-a", address = "ENGINE", serves = ["small@v1"], max-requests = 2000, cold-requests = 2000 } # T: test
`)
	if _, err := platform.ApplyRules(context.Background(), store, 0, rules, "test"); err != nil {
		b.Fatal(err)
	}
	s := settings.Default()
	s.Instance = settings.Instance{ID: "entry", FailureDomain: "milano-a"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Timeouts.Announce = 0
	n, err := New(Config{Settings: s, SessionKey: bytes.Repeat([]byte("k"), 32), Store: store, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}})
	if err != nil {
		b.Fatal(err)
	}
	l, err := n.Listen()
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, l) }()
	b.Cleanup(func() {
		stop()
		<-done
	})
	for !n.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return l.Callers.Addr().String(), engine
}

// A chargelessStore discards charges, so that the memory and time of the fake
// platform's tables are not counted as the instance's.
type chargelessStore struct{ *platformfake.Platform }

func (chargelessStore) InsertAll(context.Context, string, []platform.Row) error { return nil }

func serveBenchHandler(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

func post(b testing.TB, address, body string) io.ReadCloser {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Request-Id", "direct")
	response, err := benchClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	return response.Body
}

// callsPerSecond returns the rate of short calls by many concurrent callers.
func callsPerSecond(b *testing.B, address string, calls int) float64 {
	const callers = 32
	body := completionBody("small", "hello", false)
	var left atomic.Int64
	left.Store(int64(calls))
	begin := time.Now()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				answer := post(b, address, body)
				_, _ = io.Copy(io.Discard, answer)
				_ = answer.Close()
			}
		})
	}
	running.Wait()
	return float64(calls) / time.Since(begin).Seconds()
}

// BenchmarkShortCall compares the rate of calls through an instance with that
// of direct calls to the same engine on the same cores. The target is 45%.
func BenchmarkShortCall(b *testing.B) {
	entry, engine := startBenchNode(b, (&enginefake.Engine{}).Handler())
	callsPerSecond(b, entry, 2000)
	b.ResetTimer()
	calls := max(b.N, 2000)
	direct := callsPerSecond(b, engine, calls)
	through := callsPerSecond(b, entry, calls)
	b.ReportMetric(through, "calls/s")
	b.ReportMetric(through/direct, "of-direct")
	if b.N > 2000 && through/direct < 0.45 {
		b.Errorf("calls through an instance reach %.0f%% of the direct rate, want at least 45%%", 100*through/direct)
	}
}

// fastStreamEngine streams small events as fast as they are read.
type fastStreamEngine struct{ events int }

func (f fastStreamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	out := bufio.NewWriterSize(w, 16<<10)
	line := `data: {"id":"` + id + `","object":"chat.completion.chunk","created":1796362621,"model":"small@v1","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}` + "\n\n"
	for range f.events {
		_, _ = out.WriteString(line)
	}
	_, _ = out.WriteString("data: [DONE]\n\n")
	_ = out.Flush()
}

// BenchmarkRelay reports the events a second that an instance relays in one
// stream. The target is 100,000 on one core; run it with -cpu 1.
func BenchmarkRelay(b *testing.B) {
	entry, engine := startBenchNode(b, fastStreamEngine{events: b.N})
	read := func(address string) float64 {
		begin := time.Now()
		answer := post(b, address, completionBody("small", "hello", true))
		scanner := bufio.NewScanner(answer)
		events := 0
		for scanner.Scan() {
			if len(scanner.Bytes()) > 0 {
				events++
			}
		}
		_ = answer.Close()
		if events != b.N+1 {
			b.Fatalf("got %d events, want %d", events, b.N+1)
		}
		return float64(events) / time.Since(begin).Seconds()
	}
	b.ResetTimer()
	direct := read(engine)
	through := read(entry)
	b.ReportMetric(through, "events/s")
	b.ReportMetric(through/direct, "of-direct")
	if b.N > 50_000 && through < 100_000 {
		b.Errorf("a stream carries %.0f events a second, want at least 100,000", through)
	}
}

// residentBytes returns the resident memory of the process.
func residentBytes(b *testing.B) int64 {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Skip("needs /proc")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// resumableEngine streams 200 kB in events of 1 kB, with ids, so that a stream
// can be resumed.
type resumableEngine struct{}

func (resumableEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	text := strings.Repeat("x", 1000)
	for i := after + 1; i <= 200; i++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, id, text)
		if err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// BenchmarkSlowReaders connects 7,000 callers that read nothing to one
// instance; both ends of their connections fit into 20,000 open files. The
// targets are 400 MB for 10,000, and a normal caller's p95 at most a tenth
// above that without them.
func BenchmarkSlowReaders(b *testing.B) {
	const readers = 7_000
	entry, _ := startBenchNode(b, resumableEngine{})
	p95 := func() time.Duration {
		var times []time.Duration
		for range 200 {
			begin := time.Now()
			answer := post(b, entry, completionBody("small", "fast", true))
			_, _ = io.Copy(io.Discard, answer)
			_ = answer.Close()
			times = append(times, time.Since(begin))
		}
		return percentile(times, 95)
	}
	before, memory := p95(), residentBytes(b)
	body := completionBody("small", "slow", true)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	for range readers {
		c, err := dialer.Dial("tcp", entry)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(15 * time.Second)
	held := residentBytes(b) - memory
	during := p95()
	b.ReportMetric(float64(held)/readers, "B/reader")
	b.ReportMetric(float64(during)/float64(before), "of-p95-without")
	if held > slowReaderBytesTarget*readers {
		b.Errorf("%d slow readers take %d MB", readers, held>>20)
	}
}
