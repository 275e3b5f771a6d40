// Package jsonlog writes log lines as JSON without ever blocking the code that
// logs.
//
// Lines go into a bounded ring, which one goroutine writes out in batches. When
// the ring is full, lines are dropped and counted; the next batch says how many.
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
	// maxPendingBytes bounds the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// flushInterval is how long a line waits at most for others to be written
	// with it.
	flushInterval = 200 * time.Millisecond
)

// A Logger writes lines to an io.Writer. Use New.
type Logger struct {
	out     io.Writer
	linePool   sync.Pool
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte // guarded by mu
	spare   []byte // guarded by mu
	wake    chan struct{}
	done    chan struct{}
	stopped   chan struct{}
}

// New returns a logger whose goroutine runs until Close.
func New(out io.Writer) *Logger {
	l := &Logger{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	l.linePool.New = func() any { return &Line{logger: l, text: make([]byte, 0, 512)} }
	go l.flushLoop()
	return l
}

// Dropped returns the number of lines that found the ring full.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// Close writes what is pending and ends the goroutine.
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
	// There is nowhere to report that standard output cannot be written.
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
	first := len(l.pending) == 0
	l.pending = append(l.pending, line...)
	l.mu.Unlock()
	if first {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// HandleLog implements log.Handler.
func (l *Logger) HandleLog(e *log.Entry) error {
	line := l.Line(e.Message).Str("level", e.Level.String())
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		line.Str(name, fmt.Sprint(e.Fields[name]))
	}
	line.End()
	return nil
}

// Line begins a line about an event.
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

// A Line is a log line that is being made. End hands it over; it must not be
// used afterwards.
type Line struct {
	logger *Logger
	text   []byte
}

func (l *Line) appendKey(name string) {
	l.text = append(l.text, ',', '"')
	l.text = append(l.text, name...)
	l.text = append(l.text, '"', ':')
}

// Str adds a string, unless it is empty.
func (l *Line) Str(name, value string) *Line {
	if value != "" {
		l.appendKey(name)
		l.text = appendJSONString(l.text, value)
	}
	return l
}

// Int adds an integer.
func (l *Line) Int(name string, value int64) *Line {
	l.appendKey(name)
	l.text = strconv.AppendInt(l.text, value, 10)
	return l
}

// Float adds a number with three decimals.
func (l *Line) Float(name string, value float64) *Line {
	l.appendKey(name)
	l.text = strconv.AppendFloat(l.text, value, 'f', 3, 64)
	return l
}

// Millis adds a duration in whole milliseconds.
func (l *Line) Millis(name string, value time.Duration) *Line {
	return l.Int(name, value.Milliseconds())
}

// Bool adds a flag.
func (l *Line) Bool(name string, value bool) *Line {
	l.appendKey(name)
	l.text = strconv.AppendBool(l.text, value)
	return l
}

// Err adds an error, unless it is nil.
func (l *Line) Err(err error) *Line {
	if err != nil {
		l.Str("error", err.Error())
	}
	return l
}

// End hands the line over to be written.
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
