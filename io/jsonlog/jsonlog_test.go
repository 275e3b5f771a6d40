package jsonlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// A blockingWriter keeps what is written; writes to it can be made to block.
type blockingWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	unblock chan struct{} // writes block until it is closed; nil never blocks
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	if b.unblock != nil {
		<-b.unblock
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockingWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []map[string]any
	for text := range strings.SplitSeq(strings.TrimSpace(b.text.String()), "\n") {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q is not JSON: %v", text, err)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestLinesAreJSON(t *testing.T) {
	is := is.New(t)
	var b blockingWriter
	l := New(&b)
	l.Line("attempt").Str("request", "a\"\\\n\x01é\xff").Str("empty", "").Int("n", -3).Float("x", 0.5).
		Millis("took-ms", 1500*time.Millisecond).Bool("cold", true).Err(errors.New("no \"answer\"")).Err(nil).End()
	is.NoErr(l.HandleLog(&log.Entry{Message: "hello", Level: log.WarnLevel, Fields: log.Fields{"b": 2, "a": "x"}}))
	l.Close()
	lines := b.lines(t)
	is.Equal(len(lines), 2)
	is.Equal(lines[0]["event"], "attempt")
	is.Equal(lines[0]["request"], "a\"\\\n\x01é\ufffd")
	is.Equal(lines[0]["n"], -3.0)
	is.Equal(lines[0]["took-ms"], 1500.0)
	is.Equal(lines[0]["error"], `no "answer"`)
	_, found := lines[0]["empty"]
	is.True(!found)
	is.Equal(lines[1]["level"], "warn")
	is.Equal(lines[1]["b"], "2")
}

// TestFullBufferDropsAndCountsLines logs to a writer that blocks. Logging must not
// block, and a later line must carry the number of dropped lines.
func TestFullBufferDropsAndCountsLines(t *testing.T) {
	is := is.New(t)
	b := blockingWriter{unblock: make(chan struct{})}
	l := New(&b)
	const lines = 20000
	for range lines {
		l.Line("attempt").Str("request", "0123456789abcdef").Str("outcome", "answered").End()
	}
	is.True(l.Dropped() > 0)
	close(b.unblock)
	for len(l.pendingBytes()) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	l.Line("stop").End()
	l.Close()
	written := b.lines(t)
	is.Equal(written[len(written)-1]["lines-dropped"], float64(l.Dropped()))
	is.Equal(int64(len(written))+l.Dropped(), int64(lines+1))
}

func (l *Logger) pendingBytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

// BenchmarkLine measures a line as long as that of an attempt. An instance that
// answers 1,000 requests per second writes about 3,000 such lines per second: at
// 3 µs each they take 1% of a core.
func BenchmarkLine(b *testing.B) {
	l := New(discard{})
	defer l.Close()
	b.ReportAllocs()
	begin := time.Now()
	for range b.N {
		l.Line("attempt").Str("request", "0123456789abcdef").Str("service", "models").Str("upstream", "i-0123456789").
			Str("domain", "milano-a").Str("version", "v1").Int("running", 7).Bool("cold", false).Str("outcome", "answered").
			Int("status", 200).Millis("took-ms", time.Second).Str("model", "small").Bool("escalated", false).Str("after", "49").End()
	}
	if each := time.Since(begin) / time.Duration(b.N); b.N > 10000 && each > 3*time.Microsecond {
		b.Errorf("one line takes %v, want at most 3 µs", each)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
