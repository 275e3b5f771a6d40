// Package settings reads the settings of an entry instance.
//
// Settings are TOML. Every key is declared once, beside its field, with its
// default and its documentation; docs/SETTINGS.md is generated from the same
// declarations. Unknown keys are errors.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"banyanyard/core/session"
	"banyanyard/core/strict"
)

// Settings are all settings of an instance. The doc tags are the text of
// docs/SETTINGS.md.
type Settings struct {
	Instance Instance `toml:"instance" doc:"Who this instance is."`
	Listen   Listen   `toml:"listen" doc:"Where it listens."`
	Platform Platform `toml:"platform" doc:"How it reaches the platform."`
	Limits   Limits   `toml:"limits" doc:"What callers may send and hold."`
	Timeouts Timeouts `toml:"timeouts" doc:"How long it waits."`
	Security Security `toml:"security" doc:"Keys and certificates."`
	Log      Log      `toml:"log" doc:"What it logs."`
}

// Instance names the process.
type Instance struct {
	ID            string   `toml:"id" doc:"Name of this instance in the platform's list, unique in the deployment. Each start adds a random part."`
	FailureDomain string   `toml:"failure-domain" doc:"Failure domain that the instance stands in, as the rules name it."`
	Peers         []string `toml:"peers" doc:"Addresses (IP:port) of other instances to try until the platform's list can be read."`
}

// Listen holds the addresses, each IP:port.
type Listen struct {
	Callers   string `toml:"callers" doc:"IP:port for callers."`
	Peers     string `toml:"peers" doc:"IP:port for the other instances."`
	Operators string `toml:"operators" doc:"IP:port for /healthz, /readyz, /metrics and status. Keep it off the callers' network."`
}

// Platform locates the platform's services.
type Platform struct {
	URL          string   `toml:"url" doc:"Base URL of the table service, object store, instance list and rating service."`
	Timeout      Duration `toml:"timeout" doc:"Longest wait for one call to the platform."`
	PollInterval Duration `toml:"poll-interval" doc:"Time between looks at the rules' revision and the list of instances."`
}

// Limits bound what callers may send and hold.
type Limits struct {
	BodyBytes         int64 `toml:"body-bytes" doc:"Largest request body, in bytes."`
	HeaderBytes       int   `toml:"header-bytes" doc:"Largest request header, in bytes."`
	StreamBufferBytes int   `toml:"stream-buffer-bytes" doc:"Most bytes held for one slow caller."`
	OrganisationBytes int64 `toml:"organisation-buffer-bytes" doc:"Most bytes held for the slow callers of one organisation."`
	InstanceBytes     int64 `toml:"instance-buffer-bytes" doc:"Most bytes held for all slow callers."`
	SocketBufferBytes int   `toml:"socket-buffer-bytes" doc:"Most bytes that the kernel holds for one caller, beside stream-buffer-bytes."`
	PendingCharges    int   `toml:"pending-charges" doc:"Most charges that wait for the table. Beyond it, requests are refused before they run."`
}

// Timeouts bound how long the instance waits.
type Timeouts struct {
	Request    Duration `toml:"request" doc:"Deadline of a request that names none."`
	MaxRequest Duration `toml:"max-request" doc:"Longest deadline that a request may name."`
	ReadHeader Duration `toml:"read-header" doc:"Longest time to read a request's header."`
	Read       Duration `toml:"read" doc:"Longest time to read a request."`
	Write      Duration `toml:"write" doc:"Longest time for one write to a caller."`
	Idle       Duration `toml:"idle" doc:"Time after which an unused connection of a caller is closed."`
	Stall      Duration `toml:"stall" doc:"Time after which a caller that doesn't read loses its upstream slot."`
	FirstByte  Duration `toml:"first-byte" doc:"Longest wait for an engine's first byte."`
	Gap        Duration `toml:"gap" doc:"Longest silence between two pieces of a stream."`
	Rating     Duration `toml:"rating" doc:"Longest wait for the rating of an answer."`
	Drain      Duration `toml:"drain" doc:"Longest wait for running requests at a planned stop."`
	Announce   Duration `toml:"announce" doc:"Time between ceasing to be ready and closing the listener at a planned stop, so that the balancer notices."`
}

// Security holds keys and certificates.
type Security struct {
	SessionKeyFile   string `toml:"session-key-file" doc:"File with the key that signs session tokens, the same at all instances, at least 32 bytes."`
	AllowPlainText   bool   `toml:"allow-plain-text" doc:"Serve callers and instances without TLS. Set it only where the network is protected otherwise."`
	CallerCertFile   string `toml:"caller-cert-file" doc:"PEM certificate chain shown to callers. Read again when it changes."`
	CallerKeyFile    string `toml:"caller-key-file" doc:"PEM key of caller-cert-file."`
	InstanceCertFile string `toml:"instance-cert-file" doc:"PEM certificate chain shown to other instances. Read again when it changes."`
	InstanceKeyFile  string `toml:"instance-key-file" doc:"PEM key of instance-cert-file."`
	InstanceCAFile   string `toml:"instance-ca-file" doc:"PEM certificates that sign the certificates of instances."`
}

// Log selects what is logged.
type Log struct {
	Level string `toml:"level" doc:"Lowest level that is logged: debug, info, warn or error."`
}

// A Duration is a time.Duration that is written like 1.5s or 200ms.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration: write it like 1.5s or 200ms", text)
	}
	*d = Duration(v)
	return nil
}

// String returns the duration as it is written in settings.
func (d Duration) String() string { return time.Duration(d).String() }

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		Listen:   Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Platform: Platform{Timeout: Duration(2 * time.Second), PollInterval: Duration(time.Second)},
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 32 << 10, StreamBufferBytes: 16 << 10,
			OrganisationBytes: 32 << 20, InstanceBytes: 64 << 20, SocketBufferBytes: 32 << 10, PendingCharges: 200_000,
		},
		Timeouts: Timeouts{
			Request: Duration(2 * time.Minute), MaxRequest: Duration(10 * time.Minute),
			ReadHeader: Duration(5 * time.Second), Read: Duration(30 * time.Second),
			Write: Duration(30 * time.Second), Idle: Duration(time.Minute), Stall: Duration(2 * time.Second),
			FirstByte: Duration(20 * time.Second), Gap: Duration(5 * time.Second), Rating: Duration(2 * time.Second),
			Drain: Duration(2 * time.Minute), Announce: Duration(time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// An Error lists every fault of a settings file.
type Error struct {
	File     string
	Problems []*strict.Problem
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("the settings cannot be read: %w", err)
	}
	return Parse(file, data)
}

// Parse reads and checks settings. The file name appears in errors only.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	problems := strict.Decode(data, &s)
	if len(problems) == 0 {
		problems = s.check()
	}
	if len(problems) > 0 {
		return Settings{}, &Error{File: file, Problems: problems}
	}
	return s, nil
}

// check returns the faults that the types don't exclude. They have no line,
// since they may come from what the file leaves out.
func (s *Settings) check() []*strict.Problem {
	var c checker
	c.require("instance.id", s.Instance.ID)
	c.require("instance.failure-domain", s.Instance.FailureDomain)
	for _, a := range s.Instance.Peers {
		c.address("instance.peers", a)
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.require("platform.url", s.Platform.URL)
	c.require("security.session-key-file", s.Security.SessionKeyFile)
	c.positive("limits.body-bytes", s.Limits.BodyBytes)
	c.positive("limits.header-bytes", int64(s.Limits.HeaderBytes))
	c.positive("limits.stream-buffer-bytes", int64(s.Limits.StreamBufferBytes))
	c.positive("limits.organisation-buffer-bytes", s.Limits.OrganisationBytes)
	c.positive("limits.instance-buffer-bytes", s.Limits.InstanceBytes)
	c.positive("limits.socket-buffer-bytes", int64(s.Limits.SocketBufferBytes))
	c.positive("limits.pending-charges", int64(s.Limits.PendingCharges))
	c.durations(s)
	c.security(&s.Security)
	return c.problems
}

type checker struct{ problems []*strict.Problem }

func (c *checker) add(remedy, format string, args ...any) {
	c.problems = append(c.problems, &strict.Problem{Line: 1, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) require(key, value string) {
	if value == "" {
		c.add("set it; docs/SETTINGS.md describes it", "%s is not set", key)
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add("write IP:port, such as 10.0.0.7:8080", "%s %q is not an IP address and port", key, value)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add("use a positive number", "%s is %d", key, value)
	}
}

func (c *checker) durations(s *Settings) {
	t := &s.Timeouts
	c.positive("platform.timeout", int64(s.Platform.Timeout))
	c.positive("platform.poll-interval", int64(s.Platform.PollInterval))
	c.positive("timeouts.request", int64(t.Request))
	c.positive("timeouts.max-request", int64(t.MaxRequest))
	c.positive("timeouts.read-header", int64(t.ReadHeader))
	c.positive("timeouts.read", int64(t.Read))
	c.positive("timeouts.write", int64(t.Write))
	c.positive("timeouts.idle", int64(t.Idle))
	c.positive("timeouts.stall", int64(t.Stall))
	c.positive("timeouts.first-byte", int64(t.FirstByte))
	c.positive("timeouts.gap", int64(t.Gap))
	c.positive("timeouts.rating", int64(t.Rating))
	c.positive("timeouts.drain", int64(t.Drain))
}

func (c *checker) security(s *Security) {
	if s.AllowPlainText {
		return
	}
	c.require("security.caller-cert-file", s.CallerCertFile)
	c.require("security.caller-key-file", s.CallerKeyFile)
	c.require("security.instance-cert-file", s.InstanceCertFile)
	c.require("security.instance-key-file", s.InstanceKeyFile)
	c.require("security.instance-ca-file", s.InstanceCAFile)
	if len(c.problems) > 0 {
		c.add("set the files, or set security.allow-plain-text = true where the network is protected otherwise", "TLS is not configured")
	}
}

// SessionKey reads the key that signs session tokens.
func (s *Settings) SessionKey() ([]byte, error) {
	key, err := os.ReadFile(s.Security.SessionKeyFile)
	if err != nil {
		return nil, fmt.Errorf("security.session-key-file cannot be read: %w", err)
	}
	if len(key) < session.MinKeyBytes {
		return nil, fmt.Errorf("security.session-key-file holds %d bytes: write at least %d random bytes into it", len(key), session.MinKeyBytes)
	}
	return key, nil
}
