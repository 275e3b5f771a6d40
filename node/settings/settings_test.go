package settings

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

const validSettings = `
[instance]
id = "entry-1"
failure-domain = "riga-a"

[platform]
url = "http://10.0.0.2:7000"
timeout = "1.5s"

[security]
session-key-file = "/run/session.key"
allow-plain-text = true
`

func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(time.Duration(s.Platform.Timeout), 1500*time.Millisecond)
	is.Equal(s.Timeouts.Gap, Default().Timeouts.Gap)
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		want     string
	}{
		{name: "unknown key", from: "timeout =", to: "timout =", want: `s.toml: line 8: unknown key "platform.timout": did you mean "timeout"?`},
		{name: "unknown table", from: "[platform]", to: "[plattform]", want: `did you mean "platform"?`},
		{name: "not a duration", from: `"1.5s"`, to: `"soon"`, want: "write it like 1.5s or 200ms"},
		{name: "zero duration", from: `"1.5s"`, to: `"0s"`, want: "platform.timeout is 0: use a positive number"},
		{name: "missing id", from: `id = "entry-1"`, to: "", want: "instance.id is not set"},
		{name: "host name as peer", from: `id = "entry-1"`, to: "id = \"e\"\npeers = [\"host:1\"]", want: `instance.peers "host:1" is not an IP address`},
		{name: "no TLS", from: "allow-plain-text = true", to: "", want: "security.allow-plain-text = true"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("s.toml", []byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			var e *Error
			is.True(errors.As(err, &e))
			if !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

func TestSessionKeyRejectsShortKey(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(file, []byte("short"), 0o600))
	s := Settings{Security: Security{SessionKeyFile: file}}
	_, err := s.SessionKey()
	is.True(strings.Contains(err.Error(), "at least 32 random bytes"))
}

func TestDocumentMatchesPage(t *testing.T) {
	is := is.New(t)
	const file = "../../docs/SETTINGS.md"
	if *update {
		is.NoErr(os.WriteFile(file, []byte(Document()), 0o644))
	}
	got, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(got), Document()) // run: go test ./node/settings -update
}
