package exchange

import (
	"testing"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"

	"github.com/matryer/is"
)

func TestLimitEntry(t *testing.T) {
	is := is.New(t)
	want := placement.NamedLimit{Upstream: "i-7@x", StartUnixMs: 1790000000123, Rate: 2.75, Version: 9}
	e, err := limitEntry(want)
	is.NoErr(err)
	got, err := decodeLimit(e)
	is.NoErr(err)
	is.Equal(got, want)
	tests := []struct{ name, key, data string }{
		{name: "no start time", key: limitKeyPrefix + "i-7", data: "1"},
		{name: "start time that is no number", key: limitKeyPrefix + "i-7@soon", data: "1"},
		{name: "rate that is no number", key: limitKeyPrefix + "i-7@1", data: `"1"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeLimit(gossip.Entry{Key: tt.key, Data: []byte(tt.data)})
			is.New(t).True(err != nil)
		})
	}
}
