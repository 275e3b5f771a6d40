package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"banyanyard/core/gossip"

	"github.com/matryer/is"
)

func entryWithRoutes(n int) gossip.Entry {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"safe","timeout-ms":2000}`, i, i*7919%1000, i))
	}
	return gossip.Entry{Key: "op/config", Version: 7, Data: json.RawMessage(`{"routes":[` + strings.Join(list, ",") + `]}`)}
}

func TestBundleRoundTrip(t *testing.T) {
	tests := []struct {
		name     string
		entries  []gossip.Entry
		maxBytes int // bytes of the bundle
	}{
		{name: "none"},
		{name: "a removed row", entries: []gossip.Entry{{Key: "servers/a", Version: 3}}, maxBytes: 60},
		{name: "a small row", entries: []gossip.Entry{entryWithRoutes(2)}, maxBytes: maxUncompressedBytes},
		{name: "a large row, compressed", entries: []gossip.Entry{entryWithRoutes(400), {Key: "servers/a", Version: 3}}, maxBytes: 10 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := NewBundle(tt.entries)
			is.NoErr(err)
			is.True(len(b) <= tt.maxBytes)
			sent, err := json.Marshal(RowUpdate{Entries: b})
			is.NoErr(err)
			var got RowUpdate
			is.NoErr(json.Unmarshal(sent, &got))
			entries, err := got.Entries.Entries()
			is.NoErr(err)
			is.Equal(entries, tt.entries)
		})
	}
}

func TestDecompressedBundleIsBounded(t *testing.T) {
	is := is.New(t)
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(bytes.Repeat([]byte{' '}, 64<<20))
	is.NoErr(err)
	is.NoErr(w.Close())
	hostile, err := json.Marshal(compressed.Bytes())
	is.NoErr(err)
	_, err = Bundle(hostile).Entries()
	is.True(err != nil)
}

// FuzzBundle checks that entries that can be decoded can be encoded again.
func FuzzBundle(f *testing.F) {
	for _, n := range []int{1, 40} {
		b, err := NewBundle([]gossip.Entry{entryWithRoutes(n)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := Bundle(data).Entries()
		if err != nil {
			return
		}
		if _, err := NewBundle(entries); err != nil {
			t.Fatalf("entries decoded from %q cannot be encoded: %v", data, err)
		}
	})
}
