package resolver

import (
	"strings"
	"testing"

	"banyanyard/core/refusal"
	"banyanyard/core/rules"
	"banyanyard/core/session"

	"github.com/matryer/is"
)

const hash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const text = `failure-domain = { id = "d", state = "in" } # T
model = { id = "s", context-tokens = 100 } # T
model = { id = "l", context-tokens = 100 } # T
version = { model = "s", id = "v1", state = "serving" } # T
version = { model = "s", id = "v2", state = "serving" } # T
version = { model = "s", id = "v0", state = "draining" } # T
version = { model = "l", id = "v1", state = "serving" } # T
version = { model = "l", id = "v2", state = "serving" } # T
upstream = { id = "u", failure-domain = "d", address = "10.0.0.1:80", serves = ["s@v0", "s@v1", "s@v2", "l@v1", "l@v2"], max-requests = 1 } # T
class = { id = "c", models = ["s", "l"], quality-target = 0.9 } # T
rollout = { model = "s", from = "v1", to = "v2", shares-percent = [50, 100] } # T
rollout = { model = "l", from = "v1", to = "v2", shares-percent = [50, 100] } # T
organisation = { id = "o", keys = ["` + hash + `"] } # T
allow = { organisation = "o", model = "s" } # T
allow = { organisation = "o", model = "l" } # T
allow = { organisation = "o", class = "c" } # T
organisation = { id = "p", keys = ["` + hash + `"] } # T
allow = { organisation = "p", model = "s", versions = ["v1"] } # T
`

// trials answers for the roll-outs.
type trials struct{ enter, stopped bool }

func (t trials) Enter(*rules.Rollout, int) bool { return t.enter }
func (t trials) Stopped(*rules.Rollout) bool    { return t.stopped }

func TestResolve(t *testing.T) {
	withdrawn := strings.NewReplacer(`id = "v0", state = "draining"`, `id = "v0", state = "withdrawn"`)
	tests := []struct {
		name         string
		edit         *strings.Replacer
		organisation string
		ask          string
		kept         map[string]string
		trials       trials
		want         string // targets, or the kind of refusal
		moved        string
	}{
		{name: "model", ask: "s", want: "s@v1"},
		{name: "model in a trial", ask: "s", trials: trials{enter: true}, want: "s@v2"},
		{name: "organisation without the new version", organisation: "p", ask: "s", trials: trials{enter: true}, want: "s@v1"},
		{name: "session keeps its version", ask: "s", kept: map[string]string{"s": "v2"}, want: "s@v2"},
		{name: "session stays on a draining version", ask: "s", kept: map[string]string{"s": "v0"}, want: "s@v0"},
		{name: "session leaves a withdrawn version", edit: withdrawn, ask: "s", kept: map[string]string{"s": "v0"}, want: "s@v1", moved: "s@v0"},
		{name: "session leaves a stopped roll-out", ask: "s", kept: map[string]string{"s": "v2"}, trials: trials{stopped: true}, want: "s@v1", moved: "s@v2"},
		{name: "exact version", ask: "s@v2", want: "s@v2"},
		{name: "exact draining version", ask: "s@v0", want: string(refusal.VersionWithdrawn)},
		{name: "class", ask: "c", want: "s@v1 l@v1"},
		{name: "class tries one new version at most", ask: "c", trials: trials{enter: true}, want: "s@v2 l@v1"},
		{name: "class of another organisation", organisation: "p", ask: "c", want: string(refusal.ModelNotAllowed)},
		{name: "model of another organisation", organisation: "p", ask: "l", want: string(refusal.ModelNotAllowed)},
		{name: "version of another organisation", organisation: "p", ask: "s@v2", want: string(refusal.ModelNotAllowed)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			edited := text
			if tt.edit != nil {
				edited = tt.edit.Replace(text)
			}
			set, err := rules.Parse(edited)
			is.NoErr(err)
			if tt.organisation == "" {
				tt.organisation = "o"
			}
			s := (&session.Session{Organisation: tt.organisation, ID: "x", Versions: tt.kept}).Clone()
			plan, refused := Resolve(set, set.Organisations[tt.organisation], tt.ask, s, tt.trials)
			if refused != nil {
				is.Equal(string(refused.Kind), tt.want)
				is.Equal(refused.Execution, refusal.NotRun)
				return
			}
			var got []string
			for _, target := range plan.Targets() {
				got = append(got, target.String())
			}
			is.Equal(strings.Join(got, " "), tt.want)
			is.Equal(plan.MovedFrom.String(), tt.moved)
		})
	}
}

func TestResolveAllocatesNothingForAKeptSession(t *testing.T) {
	is := is.New(t)
	set, err := rules.Parse(text)
	is.NoErr(err)
	s := &session.Session{Organisation: "o", ID: "x", Versions: map[string]string{"s": "v1", "l": "v1"}}
	is.Equal(testing.AllocsPerRun(100, func() {
		_, _ = Resolve(set, set.Organisations["o"], "c", s, trials{})
	}), 0.0)
}
