package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	platformfake "banyanyard/fake/platform"
	"banyanyard/io/operator"

	"github.com/matryer/is"
)

const validRules = `# revision: 0
failure-domain = { id = "riga-a", state = "in" } # A. Ozols: set-up
service = { id = "parcels" } # A. Ozols: set-up
`

// runCommand runs a command line and returns its exit code and its output followed
// by the error's text.
func runCommand(args ...string) (int, string) {
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK, out.String()
	}
	return exitCode(err), out.String() + err.Error()
}

// writeFile writes text to a new temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodes(t *testing.T) {
	validFile := writeFile(t, "valid", validRules)
	invalidFile := writeFile(t, "invalid", "model = {}\nservice = { id = \"x\" }\n")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "version", args: []string{"version"}, code: exitOK, want: "go1"},
		{name: "help", args: []string{"help", "rules", "apply"}, code: exitOK, want: "banyanyard rules apply rules.toml"},
		{name: "completion", args: []string{"completion", "bash"}, code: exitOK, want: "banyanyard"},
		{name: "valid rules", args: []string{"rules", "check", validFile}, code: exitOK, want: "2 rules"},
		{name: "invalid rules", args: []string{"rules", "check", invalidFile}, code: exitFailed, want: "line 2: the rule does not say who asked"},
		{name: "no such file", args: []string{"rules", "check", validFile + "x"}, code: exitFailed, want: "no such file"},
		{name: "unknown command", args: []string{"rule"}, code: exitUsage, want: "unknown command"},
		{name: "unknown flag", args: []string{"serve", "--port", "1"}, code: exitUsage, want: "unknown flag"},
		{name: "missing flag", args: []string{"serve"}, code: exitUsage, want: "settings"},
		{name: "missing argument", args: []string{"rules", "check"}, code: exitUsage, want: "arg"},
		{name: "one file without the platform", args: []string{"rules", "diff", validFile}, code: exitUsage, want: "--platform"},
		{name: "invalid address", args: []string{"demo", "--listen", "localhost"}, code: exitUsage, want: "IP:port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out := runCommand(tt.args...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("exit code %d, want %d; output lacks %q:\n%s", code, tt.code, tt.want, out)
			}
		})
	}
}

// Two operators edit the same revision. The second apply must fail, print what the
// first one changed and leave the rules in force as they are.
func TestApplyStaleRulesPrintsDifferences(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&platformfake.Platform{}).Handler())
	defer server.Close()
	apply := func(text string, more ...string) (int, string) {
		return runCommand(append([]string{"rules", "apply", writeFile(t, "rules", text), "--platform", server.URL}, more...)...)
	}
	code, out := apply(validRules, "--by", "ozols")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "revision 1 is accepted"))

	_, text := runCommand("rules", "show", "--platform", server.URL)
	is.True(strings.HasPrefix(text, "# revision: 1\n"))
	first := text + "service = { id = \"billing\" } # A. Ozols: new\n"
	second := text + "service = { id = \"returns\" } # I. Liepa: new\n"
	code, _ = apply(first, "--by", "ozols")
	is.Equal(code, exitOK)
	code, out = apply(second, "--by", "liepa")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "revision 2 by ozols is in force"))
	is.True(strings.Contains(out, `- service = { id = "billing" }`))
	is.True(strings.Contains(out, `+ service = { id = "returns" }`))

	_, text = runCommand("rules", "show", "--platform", server.URL)
	is.True(strings.Contains(text, "billing") && !strings.Contains(text, "returns"))
	code, out = runCommand("rules", "diff", writeFile(t, "rules", second), "--platform", server.URL)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "2 rules differ"))
	code, _ = apply(strings.TrimPrefix(validRules, "# revision: 0\n"))
	is.Equal(code, exitUsage) // the file does not name its base revision
}

// The platform stores the rules but its answers to the first two inserts are lost.
// The command must find out that its own rules were accepted.
func TestApplyRetriesAfterLostAnswers(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	lostAnswers := 0
	p.SetFaults(func(c platformfake.Call) platformfake.Fault {
		if c.Op == "insert" && c.Table == "rules" && lostAnswers < 2 {
			lostAnswers++
			return platformfake.DropResponse
		}
		return platformfake.None
	})
	code, out := runCommand("rules", "apply", writeFile(t, "rules", validRules), "--platform", server.URL)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "revision 1 is accepted"))
}

// An explainer explains the same for each path but /unknown.
type explainer struct{}

func (explainer) Explain(q operator.ExplainQuery) (*operator.Explanation, error) {
	if q.Path == "/unknown" {
		return nil, errors.New("no route matches: use one of api.example/draft/")
	}
	return &operator.Explanation{Instance: "i0", Outcome: "sent", Upstream: "u1", Why: q.Parts, Candidates: []operator.ExplainCandidate{
		{Upstream: "u1", Chance: 1, Cold: true}, {Upstream: "u2", Excluded: "unreachable", ForMs: 120}, {Upstream: "u3", Excluded: "named-limit", ForMs: -1},
	}}, nil
}

func TestExplainPrintsTextOrJSON(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("/explain", operator.NewExplainHandler(explainer{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "text", args: []string{"--path", "/draft/1", "--parts", "a:1"}, want: "would go to u1"},
		{name: "query", args: []string{"--path", "/draft/1", "--parts", "a:1,b:2"}, want: "a:1,b:2"},
		{name: "chance", args: []string{"--path", "/draft/1"}, want: "100%, cold"},
		{name: "time of an exclusion", args: []string{"--path", "/draft/1"}, want: "120 ms"},
		{name: "exclusion that does not end", args: []string{"--path", "/draft/1"}, want: "no end"},
		{name: "JSON", args: []string{"--path", "/draft/1", "--json"}, want: `"upstream":"u1"`},
		{name: "unknown route", args: []string{"--path", "/unknown"}, code: exitFailed, want: "use one of api.example/draft/"},
		{name: "path without a slash", args: []string{"--path", "draft"}, code: exitFailed, want: "begins with a slash"},
		{name: "no path", code: exitUsage, want: "path"},
		{name: "other address", args: []string{"--path", "/draft/1", "--instance", server.URL + "/x"}, code: exitFailed, want: "readiness address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out := runCommand(append([]string{"explain", "--instance", server.URL, "--host", "api.example"}, tt.args...)...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("exit code %d, want %d; output lacks %q:\n%s", code, tt.code, tt.want, out)
			}
		})
	}
}
