package process

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/io/jsonlog"

	"github.com/matryer/is"
)

func TestMonitorLogsDelays(t *testing.T) {
	tests := []struct {
		name    string
		delay   time.Duration // of one check
		unusual bool
		want    string // part of the line; empty for no line
	}{
		{name: "in time"},
		{name: "late", delay: 400 * time.Millisecond, want: `"delay-ms":400`},
		{name: "a little late", delay: lateDelay / 2},
		{name: "unusual", unusual: true, want: `"delay-ms":0`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				log := jsonlog.New(&out)
				m := Monitor{Log: log, Unusual: func() bool { return tt.unusual }, Sample: func() func(*jsonlog.Line) { return func(l *jsonlog.Line) { l.Str("work", "none") } }}
				m.reported = time.Now()
				due := time.Now().Add(checkInterval)
				time.Sleep(checkInterval + tt.delay)
				m.check(time.Now(), due)
				due = time.Now().Add(reportInterval)
				time.Sleep(reportInterval)
				m.check(time.Now(), due)
				log.Close()
				is.Equal(strings.Count(out.String(), `"event":"process"`) > 0, tt.want != "")
				is.True(strings.Contains(out.String(), tt.want))
			})
		})
	}
}
