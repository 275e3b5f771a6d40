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

const rulesText = `failure-domain = { id = "d", state = "in" } # T
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

// fakeRollouts gives the same answers for every roll-out.
type fakeRollouts struct{ enter, stopped bool }

func (f fakeRollouts) Enter(*rules.Rollout, int) bool { return f.enter }
func (f fakeRollouts) Stopped(*rules.Rollout) bool    { return f.stopped }

func TestResolve(t *testing.T) {
	withdrawn := strings.NewReplacer(`id = "v0", state = "draining"`, `id = "v0", state = "withdrawn"`)
	tests := []struct {
		name         string
		edit         *strings.Replacer
		organisation string
		requested    string
		kept         map[string]string
		rollouts     fakeRollouts
		want         string // targets separated by spaces, or the kind of refusal
		moved        string
	}{
		{name: "model", requested: "s", want: "s@v1"},
		{name: "model in a trial", requested: "s", rollouts: fakeRollouts{enter: true}, want: "s@v2"},
		{name: "organisation without the new version", organisation: "p", requested: "s", rollouts: fakeRollouts{enter: true}, want: "s@v1"},
		{name: "session keeps its version", requested: "s", kept: map[string]string{"s": "v2"}, want: "s@v2"},
		{name: "session stays on a draining version", requested: "s", kept: map[string]string{"s": "v0"}, want: "s@v0"},
		{name: "session leaves a withdrawn version", edit: withdrawn, requested: "s", kept: map[string]string{"s": "v0"}, want: "s@v1", moved: "s@v0"},
		{name: "session leaves a stopped roll-out", requested: "s", kept: map[string]string{"s": "v2"}, rollouts: fakeRollouts{stopped: true}, want: "s@v1", moved: "s@v2"},
		{name: "exact version", requested: "s@v2", want: "s@v2"},
		{name: "exact draining version", requested: "s@v0", want: string(refusal.VersionWithdrawn)},
		{name: "class", requested: "c", want: "s@v1 l@v1"},
		{name: "class tries one new version at most", requested: "c", rollouts: fakeRollouts{enter: true}, want: "s@v2 l@v1"},
		{name: "class of another organisation", organisation: "p", requested: "c", want: string(refusal.ModelNotAllowed)},
		{name: "model of another organisation", organisation: "p", requested: "l", want: string(refusal.ModelNotAllowed)},
		{name: "version of another organisation", organisation: "p", requested: "s@v2", want: string(refusal.ModelNotAllowed)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			edited := rulesText
			if tt.edit != nil {
				edited = tt.edit.Replace(rulesText)
			}
			set, err := rules.Parse(edited)
			is.NoErr(err)
			if tt.organisation == "" {
				tt.organisation = "o"
			}
			s := (&session.Session{Organisation: tt.organisation, ID: "x", Versions: tt.kept}).Clone()
			plan, refused := Resolve(set, set.Organisations[tt.organisation], tt.requested, s, tt.rollouts)
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

func TestResolveDoesNotAllocateWhenSessionKeepsVersions(t *testing.T) {
	is := is.New(t)
	set, err := rules.Parse(rulesText)
	is.NoErr(err)
	s := &session.Session{Organisation: "o", ID: "x", Versions: map[string]string{"s": "v1", "l": "v1"}}
	is.Equal(testing.AllocsPerRun(100, func() {
		_, _ = Resolve(set, set.Organisations["o"], "c", s, fakeRollouts{})
	}), 0.0)
}
