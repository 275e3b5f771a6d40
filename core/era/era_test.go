package era

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestOrder(t *testing.T) {
	tests := []struct {
		name          string
		older, newer  Version
		mayBeCopied   bool
		newerAsString string
	}{
		{name: "same era", older: New(1, 7), newer: New(1, 8), newerAsString: "1.8"},
		{name: "later era, lower number", older: New(1, 9), newer: New(2, 3), mayBeCopied: true, newerAsString: "2.3"},
		{name: "later era, same number", older: New(1, 9), newer: New(2, 9), mayBeCopied: true, newerAsString: "2.9"},
		{name: "later era, higher number", older: New(0, 9), newer: New(2, 10), newerAsString: "2.10"},
		{name: "never written", older: 0, newer: New(0, 1), newerAsString: "0.1"},
		{name: "largest number", older: New(3, MaxNumber), newer: New(4, 0), mayBeCopied: true, newerAsString: "4.0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.older < tt.newer)
			is.Equal(tt.newer.MayBeCopied(tt.older), tt.mayBeCopied)
			is.True(!tt.older.MayBeCopied(tt.newer))
			is.Equal(tt.newer.String(), tt.newerAsString)
		})
	}
}

func TestVersionKeepsEraAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64().Draw(t, "era"), rapid.Uint64().Draw(t, "number")
		v := New(era, number)
		if v.Era() != min(era, Max) || v.Number() != min(number, MaxNumber) {
			t.Fatalf("New(%d, %d) is %v", era, number, v)
		}
	})
}
