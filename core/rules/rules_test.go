package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const validRules = `
# A comment on its own line is allowed.
failure-domain = { id = "riga-a", state = "in" } # A. Ozols: set-up
model = { id = "alksnis", context-tokens = 8192 } # A. Ozols: set-up
model = { id = "ozols", context-tokens = 8192 } # A. Ozols: set-up
version = { model = "alksnis", id = "v1", state = "serving", input-cost = 1, output-cost = 4 } # A. Ozols: set-up
version = { model = "alksnis", id = "v2", state = "serving", input-cost = 1, output-cost = 4 } # A. Ozols: set-up
version = { model = "ozols", id = "v1", state = "serving", input-cost = 9, output-cost = 36 } # A. Ozols: set-up
upstream = { id = "e1", failure-domain = "riga-a", address = "10.0.0.1:8000", serves = ["alksnis@v1", "alksnis@v2", "ozols@v1"], max-requests = 8 } # A. Ozols: set-up
class = { id = "letter", models = ["alksnis", "ozols"], quality-target = 0.9 } # I. Liepa: answers
organisation = { id = "joiners", keys = ["` + hash + `"] } # I. Liepa: contract 4
allow = { organisation = "joiners", model = "alksnis" } # I. Liepa: contract 4
allow = { organisation = "joiners", model = "ozols", versions = ["v1"] } # I. Liepa: contract 4
allow = { organisation = "joiners", class = "letter" } # I. Liepa: contract 4
rollout = { model = "alksnis", from = "v1", to = "v2", shares-percent = [1, 10, 100] } # A. Ozols: ticket 9
service = { id = "parcels" } # A. Ozols: set-up
service-call = { service = "parcels", method = "POST", path = "/orders", idempotent = false } # A. Ozols: one order a call
`

func TestParseValid(t *testing.T) {
	is := is.New(t)
	set, err := Parse(validRules)
	is.NoErr(err)
	is.True(set.VersionAllowed("joiners", Target{"alksnis", "v2"}))
	is.True(!set.VersionAllowed("joiners", Target{"ozols", "v2"}))
	is.True(set.ClassAllowed("joiners", "letter"))
	is.Equal(set.Organisations["joiners"].RequestedBy, "I. Liepa: contract 4")
	is.True(!set.MatchServiceCall("parcels", "POST", "/orders/7").Idempotent)
	is.True(!set.MatchServiceCall("parcels", "POST", "/other").Idempotent)
	is.True(set.MatchServiceCall("parcels", "GET", "/orders").Idempotent)
}

// Each line is appended to the valid rules and has one problem, except the last,
// which has two.
func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name   string
		line   string
		what   string
		remedy string
	}{
		{name: "missing requester", line: `service = { id = "a1" }`, what: "does not say who asked", remedy: "# C. Rossi"},
		{name: "unknown kind", line: `modell = { id = "a2" } # A`, what: `unknown key "modell"`, remedy: `"model"`},
		{name: "unknown key", line: `model = { id = "a3", context-token = 4 } # A`, what: `unknown key "model.context-token"`, remedy: `"context-tokens"`},
		{name: "wrong type", line: `model = { id = 4 } # A`, what: "string", remedy: "correct the value"},
		{name: "syntax", line: `model = { id = "a4" # A`, what: "inline table", remedy: "correct"},
		{name: "duplicate rule", line: `model = { id = "alksnis", context-tokens = 1 } # A`, what: "already set on line 4", remedy: "keep one"},
		{name: "undeclared model", line: `allow = { organisation = "joiners", model = "alksnus" } # A`, what: `model "alksnus" is not declared`, remedy: `"alksnis"`},
		{name: "key that is not hashed", line: `organisation = { id = "a5", keys = ["secret"] } # A`, what: "is not a SHA-256", remedy: "sha256sum"},
		{name: "unknown state", line: `failure-domain = { id = "a6", state = "gone" } # A`, what: `state "gone"`, remedy: "in or out"},
		{name: "host name", line: `upstream = { id = "a7", failure-domain = "riga-a", address = "host:80", service = "parcels", max-requests = 1 } # A`, what: "not an IP address", remedy: "10.0.0.7:8000"},
		{name: "cold limit above limit", line: `upstream = { id = "a8", failure-domain = "riga-a", address = "10.0.0.2:80", service = "parcels", max-requests = 1, cold-requests = 2 } # A`, what: "cold-requests 2", remedy: "max-requests"},
		{name: "class with an undeclared model", line: `class = { id = "a9", models = ["birch"] } # A`, what: `model "birch" is not declared`, remedy: "model"},
		{name: "decreasing shares", line: `rollout = { model = "ozols", from = "v1", to = "v1", shares-percent = [5, 1] } # A`, what: "do not rise", remedy: "rising"},
	}
	is := is.New(t)
	text := validRules
	for _, tt := range tests {
		text += tt.line + "\n"
	}
	_, err := Parse(text)
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), len(tests)+1) // the roll-out has two problems
	first := strings.Count(validRules, "\n") + 1
	for i, tt := range tests {
		found := false
		for _, p := range problems {
			found = found || p.Line == first+i && strings.Contains(p.Message, tt.what) && strings.Contains(p.Remedy, tt.remedy)
		}
		if !found {
			t.Errorf("%s: no problem on line %d with %q and %q in:\n%v", tt.name, first+i, tt.what, tt.remedy, err)
		}
	}
}

func TestParseReportsProblemsAcrossLines(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		what     string
	}{
		{name: "cascade to a model that is not allowed", from: `allow = { organisation = "joiners", model = "ozols", versions = ["v1"] } # I. Liepa: contract 4`, to: "", what: `is not allowed`},
		{name: "roll-out to a withdrawn version", from: `id = "v2", state = "serving"`, to: `id = "v2", state = "withdrawn"`, what: "leads to withdrawn version"},
		{name: "class that nothing serves", from: `"alksnis@v2", "ozols@v1"`, to: `"alksnis@v2"`, what: `nothing serves model "ozols"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(strings.Replace(validRules, tt.from, tt.to, 1))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.what))
		})
	}
}

func TestOrganisationByKeyComparesWholeKeys(t *testing.T) {
	is := is.New(t)
	set, err := Parse(strings.Replace(validRules, hash, "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", 1))
	is.NoErr(err)
	is.Equal(set.OrganisationByKey("secret").ID, "joiners")
	is.True(set.OrganisationByKey("Secret") == nil)
	is.True(set.OrganisationByKey("") == nil)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	before, err := Parse(validRules)
	is.NoErr(err)
	after, err := Parse(strings.Replace(validRules, "[1, 10, 100]", "[5, 100]", 1) + "service = { id = \"billing\" } # A. Ozols: new\n")
	is.NoErr(err)
	changes := Diff(before, after)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Identity, "rollout alksnis")
	is.True(changes[0].Before != nil && changes[0].After != nil)
	is.Equal(changes[1].Identity, "service billing")
	is.True(changes[1].Before == nil)
	is.Equal(len(Diff(after, after)), 0)
}

// largeFile returns valid rules of about n lines.
func largeFile(n int) string {
	var b strings.Builder
	b.WriteString(validRules)
	for i := range n {
		fmt.Fprintf(&b, "organisation = { id = \"o%d\", keys = [%q] } # I. Liepa: contract\n", i, hash)
	}
	return b.String()
}

// BenchmarkParse10000Lines measures the time to parse and check a large file. It
// fails above the target of one second.
func BenchmarkParse10000Lines(b *testing.B) {
	text := largeFile(10_000)
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
	perFile := b.Elapsed() / time.Duration(b.N)
	b.ReportMetric(perFile.Seconds(), "s/file")
	if perFile > time.Second {
		b.Errorf("a file of 10,000 lines took %v, more than a second", perFile)
	}
}

func FuzzParse(f *testing.F) {
	for line := range strings.Lines(validRules) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(set.Text)
		if err != nil || len(Diff(set, again)) != 0 {
			t.Fatalf("an accepted text was rejected or changed when parsed again: %v", err)
		}
	})
}
