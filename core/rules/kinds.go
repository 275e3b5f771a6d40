package rules

import (
	"fmt"
	"strings"
)

// A Source records the line of a rule and who requested it.
type Source struct {
	Line        int    // 1-based
	RequestedBy string // never empty
	Text        string // the whole line, without surrounding white space
}

// A Target is one version of one model. An empty Version means any version; the
// rules decide which.
type Target struct {
	Model   string
	Version string
}

// ParseTarget parses "model" or "model@version".
func ParseTarget(s string) Target {
	model, version, _ := strings.Cut(s, "@")
	return Target{Model: model, Version: version}
}

// String returns "model@version", or "model" without a version.
func (t Target) String() string {
	if t.Version == "" {
		return t.Model
	}
	return t.Model + "@" + t.Version
}

// A VersionState says which sessions may use a version.
type VersionState string

// The states of a version.
const (
	Serving   VersionState = "serving"   // new and existing sessions
	Draining  VersionState = "draining"  // existing sessions only
	Withdrawn VersionState = "withdrawn" // no sessions
)

// An AdminState says whether operators have put a failure domain or an upstream in
// service.
type AdminState string

// The administrative states of a failure domain or an upstream.
const (
	InService    AdminState = "in"
	OutOfService AdminState = "out"
)

// A Priority decides the order of requests that wait for the same upstreams.
type Priority string

// The priorities, highest first.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// An Organisation is a caller that authenticates with one of its keys.
type Organisation struct {
	Source `toml:"-"`
	ID     string   `toml:"id"`
	Keys   []string `toml:"keys"`   // each "sha256:" and 64 hexadecimal digits, the hash of a key
	Weight int      `toml:"weight"` // weight of its share of contended upstreams; 0 means 1
}

// A Model is a named model, which has one or more versions.
type Model struct {
	Source        `toml:"-"`
	ID            string `toml:"id"`
	ContextTokens int    `toml:"context-tokens"` // maximum tokens of prompt and answer together
}

// A Version is one build of a model.
type Version struct {
	Source     `toml:"-"`
	Model      string       `toml:"model"`
	ID         string       `toml:"id"`
	State      VersionState `toml:"state"`
	InputCost  int64        `toml:"input-cost"`  // millionths of a cost unit per prompt token
	OutputCost int64        `toml:"output-cost"` // millionths of a cost unit per answer token
}

// Target returns the model and version that v declares.
func (v *Version) Target() Target { return Target{Model: v.Model, Version: v.ID} }

// Cost returns the cost of a call in millionths of a cost unit.
func (v *Version) Cost(inputTokens, outputTokens int) int64 {
	return v.InputCost*int64(inputTokens) + v.OutputCost*int64(outputTokens)
}

// An Allow permits an organisation to use a model, some of its versions, a class or
// a plain service. Exactly one of Model, Class and Service is set.
type Allow struct {
	Source       `toml:"-"`
	Organisation string   `toml:"organisation"`
	Model        string   `toml:"model"`
	Versions     []string `toml:"versions"` // empty means every version of Model
	Class        string   `toml:"class"`
	Service      string   `toml:"service"`
}

// A Class names a kind of request and the models that may answer it.
type Class struct {
	Source        `toml:"-"`
	ID            string   `toml:"id"`
	Models        []string `toml:"models"`         // "model" or "model@version", cheapest first
	QualityTarget float64  `toml:"quality-target"` // minimum share of answers of sufficient quality, 0 to 1
	Priority      Priority `toml:"priority"`       // empty means Interactive
}

// A Rollout moves sessions of a model from one version to another.
type Rollout struct {
	Source        `toml:"-"`
	Model         string `toml:"model"`
	From          string `toml:"from"`
	To            string `toml:"to"`
	SharesPercent []int  `toml:"shares-percent"` // increasing, 0 to 100
	Step          int    `toml:"step"`           // index into SharesPercent at which the roll-out begins
	Manual        bool   `toml:"manual"`         // only an operator changes Step; a bad version still stops the roll-out
}

// StateKey returns the key of the roll-out's stored state. It includes Step, so
// that a change of Step by an operator starts with a new state.
func (r *Rollout) StateKey() string {
	return fmt.Sprintf("%s/%s/%s/%d", r.Model, r.From, r.To, r.Step)
}

// A FailureDomain is a group of entry instances and upstreams that can fail
// together.
type FailureDomain struct {
	Source `toml:"-"`
	ID     string     `toml:"id"`
	State  AdminState `toml:"state"`
}

// An Upstream is one model engine or plain service instance.
type Upstream struct {
	Source             `toml:"-"`
	ID                 string     `toml:"id"`
	FailureDomain      string     `toml:"failure-domain"`
	Address            string     `toml:"address"`       // IP:port
	Serves             []string   `toml:"serves"`        // "model@version"; exactly one of Serves and Service is set
	Service            string     `toml:"service"`       // plain service that the upstream runs
	MaxRequests        int        `toml:"max-requests"`  // maximum concurrent requests of all entry instances
	MaxTokens          int        `toml:"max-tokens"`    // maximum tokens of its concurrent requests; 0 means no limit
	ColdRequests       int        `toml:"cold-requests"` // maximum concurrent requests after a start; 0 means 1
	ChecksFencingToken bool       `toml:"checks-fence"`  // whether it rejects requests with an outdated fencing token
	State              AdminState `toml:"state"`         // empty means InService
}

// A Service is a plain service, one that is not a model engine.
type Service struct {
	Source `toml:"-"`
	ID     string `toml:"id"`
	// RefusesBeforeRunning says that the service has not run a call that it
	// answers with status 429 or 503.
	RefusesBeforeRunning bool `toml:"refuses-before-running"`
}

// A ServiceCall describes the calls of a service with one method under a path.
type ServiceCall struct {
	Source     `toml:"-"`
	Service    string `toml:"service"`
	Method     string `toml:"method"`
	Path       string `toml:"path"` // prefix of the path within the service, begins with "/"
	Idempotent bool   `toml:"idempotent"`
}

// A Rule is a rule of any kind.
type Rule interface {
	// Identity returns a name for the subject of the rule. Two rules of a file
	// must not have the same identity.
	Identity() string
	source() *Source
	check(c *checker)
}

func (s *Source) source() *Source { return s }

// Identity implements Rule.
func (o *Organisation) Identity() string { return "organisation " + o.ID }

// Identity implements Rule.
func (m *Model) Identity() string { return "model " + m.ID }

// Identity implements Rule.
func (v *Version) Identity() string { return "version " + v.Target().String() }

// Identity implements Rule.
func (a *Allow) Identity() string {
	switch {
	case a.Class != "":
		return fmt.Sprintf("allow %s class %s", a.Organisation, a.Class)
	case a.Service != "":
		return fmt.Sprintf("allow %s service %s", a.Organisation, a.Service)
	}
	return fmt.Sprintf("allow %s model %s", a.Organisation, a.Model)
}

// Identity implements Rule.
func (c *Class) Identity() string { return "class " + c.ID }

// Identity implements Rule.
func (r *Rollout) Identity() string { return "rollout " + r.Model }

// Identity implements Rule.
func (d *FailureDomain) Identity() string { return "failure-domain " + d.ID }

// Identity implements Rule.
func (u *Upstream) Identity() string { return "upstream " + u.ID }

// Identity implements Rule.
func (s *Service) Identity() string { return "service " + s.ID }

// Identity implements Rule.
func (c *ServiceCall) Identity() string {
	return fmt.Sprintf("service-call %s %s %s", c.Service, c.Method, c.Path)
}
