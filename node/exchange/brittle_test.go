package exchange

import (
	"testing"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"

	"github.com/matryer/is"
)

func TestBrittleEntry(t *testing.T) {
	is := is.New(t)
	want := placement.BrittleNotice{Upstream: "i-7@x", StartUnixMs: 1790000000123, Brittle: true, MaxRefusals: 3, Version: 9}
	e, err := brittleEntry(want)
	is.NoErr(err)
	got, err := decodeBrittle(e)
	is.NoErr(err)
	is.Equal(got, want)
	tests := []struct{ name, key, data string }{
		{name: "no start time", key: brittleKeyPrefix + "i-7", data: "{}"},
		{name: "no upstream", key: brittleKeyPrefix + "@1", data: "{}"},
		{name: "start time that is no number", key: brittleKeyPrefix + "i-7@soon", data: "{}"},
		{name: "data of another kind", key: brittleKeyPrefix + "i-7@1", data: "3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeBrittle(gossip.Entry{Key: tt.key, Data: []byte(tt.data)})
			is.New(t).True(err != nil)
		})
	}
}
