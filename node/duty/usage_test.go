package duty

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/member"
	"banyanyard/core/usage"
	"banyanyard/io/jsonlog"

	"github.com/matryer/is"
)

// noTenure is a Tenure of which nothing is known.
type noTenure struct{}

func (noTenure) Row() *duty.Row                         { return nil }
func (noTenure) Hear(context.Context, string, duty.Row) {}

// TestFixedReport lets a successor that has counted something else report a window that the
// holder before may have reported.
func TestFixedReport(t *testing.T) {
	tests := []struct {
		name    string
		restore bool // the store comes back from a copy without the first report
		want    []usage.Window
	}{
		{name: "kept by the store", want: []usage.Window{{Counts: usage.Counts{"o": 1}}}},
		{name: "lost by the store", restore: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				log := jsonlog.New(io.Discard)
				defer log.Close()
				began := time.Now()
				store := &fakeStore{rows: map[string]Row{}}
				var instances []*Usage
				for _, name := range []string{"a", "b"} {
					u := &Usage{
						Spans: usage.Spans{Length: 5 * time.Second, Late: 10 * time.Second}, Self: member.Identity{ID: name, Instance: name},
						Store: storeOf{store, new(bool)}, Clock: func() time.Duration { return time.Since(began) }, Tenure: noTenure{}, Log: log,
					}
					go u.Run(ctx)
					u.Next(time.Now())
					instances = append(instances, u)
				}
				first, successor := instances[0], instances[1]
				window := first.Spans.Number(time.Now())
				first.Count("o")
				successor.Count("o")
				successor.Count("o")
				time.Sleep(6 * time.Second)
				first.Next(time.Now())
				synctest.Wait()
				is.Equal(len(first.Next(time.Now())), 1)
				if tt.restore {
					store.restore()
				}
				successor.Next(time.Now())
				synctest.Wait()
				var reported []usage.Window
				for _, c := range successor.Next(time.Now()) {
					reported = append(reported, c.Body.(usage.Window))
				}
				for i := range tt.want {
					tt.want[i].Number = window
				}
				is.Equal(reported, tt.want)
			})
		})
	}
}
