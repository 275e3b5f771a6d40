package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	platformfake "banyanyard/fake/platform"

	"github.com/matryer/is"
)

const goodRules = `# revision: 0
failure-domain = { id = "riga-a", state = "in" } # A. Ozols: set-up
service = { id = "parcels" } # A. Ozols: set-up
`

// command runs a command line and returns its exit code and output.
func command(args ...string) (int, string) {
	root := newRoot()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitDone, out.String()
	}
	return exitCode(err), out.String() + err.Error()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodes(t *testing.T) {
	good := write(t, "good", goodRules)
	bad := write(t, "bad", "model = {}\nservice = { id = \"x\" }\n")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "version", args: []string{"version"}, code: exitDone, want: "go1"},
		{name: "help", args: []string{"help", "rules", "apply"}, code: exitDone, want: "banyanyard rules apply rules.toml"},
		{name: "completion", args: []string{"completion", "bash"}, code: exitDone, want: "banyanyard"},
		{name: "good rules", args: []string{"rules", "check", good}, code: exitDone, want: "2 rules"},
		{name: "bad rules", args: []string{"rules", "check", bad}, code: exitFailed, want: "line 2: the rule does not say who asked"},
		{name: "no such file", args: []string{"rules", "check", good + "x"}, code: exitFailed, want: "no such file"},
		{name: "unknown command", args: []string{"rule"}, code: exitUsage, want: "unknown command"},
		{name: "unknown flag", args: []string{"serve", "--port", "1"}, code: exitUsage, want: "unknown flag"},
		{name: "missing flag", args: []string{"serve"}, code: exitUsage, want: "settings"},
		{name: "missing argument", args: []string{"rules", "check"}, code: exitUsage, want: "arg"},
		{name: "one file without the platform", args: []string{"rules", "diff", good}, code: exitUsage, want: "--platform"},
		{name: "bad address", args: []string{"demo", "--listen", "localhost"}, code: exitUsage, want: "IP:port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out := command(tt.args...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("exit code %d, want %d; output lacks %q:\n%s", code, tt.code, tt.want, out)
			}
		})
	}
}

func TestRacingOperatorsSeeEachOthersLines(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&platformfake.Platform{}).Handler())
	defer server.Close()
	apply := func(text string, more ...string) (int, string) {
		return command(append([]string{"rules", "apply", write(t, "rules", text), "--platform", server.URL}, more...)...)
	}
	code, out := apply(goodRules, "--by", "ozols")
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "revision 1 is accepted"))

	_, text := command("rules", "show", "--platform", server.URL)
	is.True(strings.HasPrefix(text, "# revision: 1\n"))
	first := text + "service = { id = \"billing\" } # A. Ozols: new\n"
	second := text + "service = { id = \"returns\" } # I. Liepa: new\n"
	code, _ = apply(first, "--by", "ozols")
	is.Equal(code, exitDone)
	code, out = apply(second, "--by", "liepa")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "revision 2 by ozols is in force"))
	is.True(strings.Contains(out, `- service = { id = "billing" }`))
	is.True(strings.Contains(out, `+ service = { id = "returns" }`))

	_, text = command("rules", "show", "--platform", server.URL)
	is.True(strings.Contains(text, "billing") && !strings.Contains(text, "returns"))
	code, out = command("rules", "diff", write(t, "rules", second), "--platform", server.URL)
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "2 rules differ"))
	code, _ = apply(strings.TrimPrefix(goodRules, "# revision: 0\n"))
	is.Equal(code, exitUsage) // it does not say which revision it was made from
}

func TestApplyWhoseAnswerIsLost(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	lost := 0
	p.SetFaults(func(c platformfake.Call) platformfake.Fault {
		if c.Op == "insert" && c.Table == "rules" && lost < 2 {
			lost++
			return platformfake.DropResponse
		}
		return platformfake.None
	})
	code, out := command("rules", "apply", write(t, "rules", goodRules), "--platform", server.URL)
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "revision 1 is accepted"))
}
