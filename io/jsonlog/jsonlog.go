// Package jsonlog writes log lines as JSON without blocking the goroutines that
// log.
//
// Lines go into a bounded buffer, which one goroutine writes out in batches. When
// the buffer is full, lines are dropped and counted; each later line carries the
// total.
package jsonlog

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
)

const (
	// maxPendingBytes bounds the bytes of the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// flushInterval is the longest time that a line waits for others, so that
	// they are written in one batch.
	flushInterval = 200 * time.Millisecond
)

// A Logger writes lines to an io.Writer. It is safe for concurrent use. Create it
// with New.
type Logger struct {
	out      io.Writer
	linePool sync.Pool
	dropped  atomic.Int64

	mu      sync.Mutex
	pending []byte // guarded by mu
	spare   []byte // guarded by mu
	wake    chan struct{}
	done    chan struct{}
	stopped chan struct{}
}

// New returns a Logger that writes to out. Its goroutine runs until Close.
func New(out io.Writer) *Logger {
	l := &Logger{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	l.linePool.New = func() any { return &Line{logger: l, text: make([]byte, 0, 512)} }
	go l.flushLoop()
	return l
}

// Dropped returns the number of lines dropped because the buffer was full.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// Close writes the pending lines and stops the goroutine.
func (l *Logger) Close() {
	close(l.done)
	<-l.stopped
}

func (l *Logger) flushLoop() {
	defer close(l.stopped)
	for {
		select {
		case <-l.wake:
		case <-l.done:
			l.writePending()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-l.done:
		}
		l.writePending()
	}
}

func (l *Logger) writePending() {
	l.mu.Lock()
	batch := l.pending
	l.pending = l.spare[:0]
	l.mu.Unlock()
	// An error is ignored: if standard output fails, there is nowhere to report it.
	_, _ = l.out.Write(batch)
	l.mu.Lock()
	l.spare = batch[:0]
	l.mu.Unlock()
}

func (l *Logger) enqueue(line []byte) {
	l.mu.Lock()
	if len(l.pending)+len(line) > maxPendingBytes {
		l.mu.Unlock()
		l.dropped.Add(1)
		return
	}
	wasEmpty := len(l.pending) == 0
	l.pending = append(l.pending, line...)
	l.mu.Unlock()
	if wasEmpty {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// HandleLog implements log.Handler. It writes the message as the event and the
// fields, sorted by key, as strings.
func (l *Logger) HandleLog(e *log.Entry) error {
	line := l.Line(e.Message).Str("level", e.Level.String())
	keys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		line.Str(key, fmt.Sprint(e.Fields[key]))
	}
	line.End()
	return nil
}

// Line starts a line with the time and the name of the event. Finish it with
// Line.End.
func (l *Logger) Line(event string) *Line {
	line := l.linePool.Get().(*Line)
	line.text = append(line.text[:0], `{"at":"`...)
	line.text = time.Now().UTC().AppendFormat(line.text, "2006-01-02T15:04:05.000Z")
	line.text = append(line.text, `","event":`...)
	line.text = appendJSONString(line.text, event)
	if n := l.dropped.Load(); n > 0 {
		line.Int("lines-dropped", n)
	}
	return line
}

// A Line is a log line under construction. It must not be used after End.
type Line struct {
	logger *Logger
	text   []byte
}

func (l *Line) appendKey(key string) {
	l.text = append(l.text, ',', '"')
	l.text = append(l.text, key...)
	l.text = append(l.text, '"', ':')
}

// Str adds a string; it omits an empty one.
func (l *Line) Str(key, value string) *Line {
	if value != "" {
		l.appendKey(key)
		l.text = appendJSONString(l.text, value)
	}
	return l
}

// Int adds an integer.
func (l *Line) Int(key string, value int64) *Line {
	l.appendKey(key)
	l.text = strconv.AppendInt(l.text, value, 10)
	return l
}

// Float adds a number with three decimal places.
func (l *Line) Float(key string, value float64) *Line {
	l.appendKey(key)
	l.text = strconv.AppendFloat(l.text, value, 'f', 3, 64)
	return l
}

// Millis adds a duration in whole milliseconds.
func (l *Line) Millis(key string, value time.Duration) *Line {
	return l.Int(key, value.Milliseconds())
}

// Bool adds a boolean.
func (l *Line) Bool(key string, value bool) *Line {
	l.appendKey(key)
	l.text = strconv.AppendBool(l.text, value)
	return l
}

// Err adds an error under the key "error"; it omits a nil one.
func (l *Line) Err(err error) *Line {
	if err != nil {
		l.Str("error", err.Error())
	}
	return l
}

// End completes the line and queues it for writing.
func (l *Line) End() {
	l.text = append(l.text, '}', '\n')
	l.logger.enqueue(l.text)
	l.logger.linePool.Put(l)
}

const hexDigits = "0123456789abcdef"

func appendJSONString(b []byte, s string) []byte {
	b = append(b, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[r>>4], hexDigits[r&15])
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}
