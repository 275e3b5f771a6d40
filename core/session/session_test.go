package session

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var key = bytes.Repeat([]byte("k"), MinKeyBytes)

func testToken(t testing.TB) string {
	token, err := SignToken(key, &Session{Organisation: "joiners", ID: "s1", Versions: map[string]string{"alksnis": "v1"}})
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func TestVerifyTokenReturnsSession(t *testing.T) {
	is := is.New(t)
	s, err := VerifyToken(key, testToken(t), "joiners")
	is.NoErr(err)
	is.Equal(s.Versions["alksnis"], "v1")
}

func TestVerifyTokenRejectsInvalid(t *testing.T) {
	token := testToken(t)
	forged, err := SignToken(bytes.Repeat([]byte("x"), MinKeyBytes), &Session{Organisation: "joiners"})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name         string
		token        string
		organisation string
	}{
		{name: "another organisation", token: token, organisation: "coopers"},
		{name: "another key", token: forged, organisation: "joiners"},
		{name: "altered payload", token: token[:8] + "A" + token[9:], organisation: "joiners"},
		{name: "cut off", token: token[:len(token)-4], organisation: "joiners"},
		{name: "no signature", token: strings.Split(token, ".")[0] + "." + strings.Split(token, ".")[1], organisation: "joiners"},
		{name: "empty", token: "", organisation: "joiners"},
		{name: "too long", token: token + strings.Repeat("A", MaxTokenBytes), organisation: "joiners"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := VerifyToken(key, tt.token, tt.organisation)
			is.True(err != nil)
		})
	}
}

func TestPercentileIsEvenlyDistributed(t *testing.T) {
	is := is.New(t)
	below := 0
	const sessions = 10_000
	for i := range sessions {
		if Percentile("joiners", strings.Repeat("s", i%7)+string(rune('a'+i%26))+strings.Repeat("x", i/26), "alksnis") < 10 {
			below++
		}
	}
	is.True(below > sessions/10*8/10 && below < sessions/10*12/10)
}

func FuzzOpen(f *testing.F) {
	f.Add(testToken(f))
	f.Fuzz(func(t *testing.T, token string) {
		s, err := VerifyToken(key, token, "joiners")
		if err != nil {
			return
		}
		again, err := SignToken(key, s)
		if err != nil || again != token {
			t.Fatalf("token %q was opened and is sealed as %q (%v)", token, again, err)
		}
	})
}
