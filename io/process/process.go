// Package process observes whether this process gets to run in time.
package process

import (
	"context"
	"runtime/metrics"
	"time"

	"banyanyard/io/jsonlog"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between checks, and reportInterval the least time between
	// two lines of the log.
	checkInterval  = 250 * time.Millisecond
	reportInterval = time.Second
	// lateDelay is the delay of a check from which on it is logged. Time-outs of connections
	// to upstreams are not much longer.
	lateDelay = 150 * time.Millisecond
)

// A Monitor logs when the process runs late: for want of processor time, because it was
// paused, or because the runtime was busy with its own work.
type Monitor struct {
	Log *jsonlog.Logger
	// Sample is called before each line that may be due. What it returns adds what the process
	// has done since the call before. Nil adds nothing.
	Sample func() func(*jsonlog.Line)
	// Unusual reports whether a line is due although the process is in time; nil means
	// false.
	Unusual func() bool

	delay    time.Duration // longest since the last line
	runnable uint64        // most goroutines that were ready to run, since the last line
	reported time.Time
	used     time.Duration // processor time at reported
}

// Run checks until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	m.reported, m.used = time.Now(), processorTime()
	for due := time.Now().Add(checkInterval); ; due = time.Now().Add(checkInterval) {
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
			m.check(time.Now(), due)
		case <-ctx.Done():
			return
		}
	}
}

// check records a check that was due at a time, and logs what the last ones have shown if
// that is worth a line.
func (m *Monitor) check(now, due time.Time) {
	samples := []metrics.Sample{{Name: "/sched/goroutines/runnable:goroutines"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	m.delay = max(m.delay, now.Sub(due))
	m.runnable = max(m.runnable, count(samples[0]))
	if now.Sub(m.reported) < reportInterval {
		return
	}
	used := processorTime()
	describe := func(*jsonlog.Line) {}
	if m.Sample != nil {
		describe = m.Sample()
	}
	if m.delay >= lateDelay || m.Unusual != nil && m.Unusual() {
		line := m.Log.Line("process").Millis("delay-ms", m.delay).Millis("over-ms", now.Sub(m.reported)).Millis("processor-ms", used-m.used).
			Int("runnable", int64(m.runnable)).Int("goroutines", int64(count(samples[1])))
		describe(line)
		line.End()
	}
	m.delay, m.runnable, m.reported, m.used = 0, 0, now, used
}

// count returns the value of a sample, or 0 if this version of the runtime does not have it.
func count(s metrics.Sample) uint64 {
	if s.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s.Value.Uint64()
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
