// Package settings reads the settings of an entry instance.
//
// Settings are written in TOML. The struct tags of a field declare its key and
// documentation, and Default its default value; docs/SETTINGS.md is generated from
// both. Unknown keys are errors.
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

// Settings are all settings of an instance. The doc tags hold the text of
// docs/SETTINGS.md.
type Settings struct {
	Instance Instance `toml:"instance" doc:"Identity of this instance."`
	Listen   Listen   `toml:"listen" doc:"Addresses on which this instance listens."`
	Platform Platform `toml:"platform" doc:"Access to the services of the platform."`
	Limits   Limits   `toml:"limits" doc:"Limits on requests, and on memory held for callers."`
	Timeouts Timeouts `toml:"timeouts" doc:"Timeouts and other durations."`
	Security Security `toml:"security" doc:"Keys and certificates."`
	Log      Log      `toml:"log" doc:"Logging."`
}

// Instance identifies an instance.
type Instance struct {
	ID            string   `toml:"id" doc:"Name of this instance in the platform's list of instances, unique in the deployment. A random suffix is added at each start."`
	FailureDomain string   `toml:"failure-domain" doc:"Failure domain of this instance, as named in the rules."`
	Peers         []string `toml:"peers" doc:"Addresses (IP:port) of other instances to contact until the platform's list can be read."`
}

// Listen holds the addresses to listen on, each as IP:port.
type Listen struct {
	Callers   string `toml:"callers" doc:"Address (IP:port) for callers."`
	Peers     string `toml:"peers" doc:"Address (IP:port) for the other instances."`
	Operators string `toml:"operators" doc:"Address (IP:port) for /healthz, /readyz, /metrics and status. It must not be reachable from the callers' network."`
}

// Platform holds the settings for calls to the platform's services.
type Platform struct {
	URL          string   `toml:"url" doc:"Base URL of the table service, object store, instance list and rating service."`
	Timeout      Duration `toml:"timeout" doc:"Timeout of one call to the platform."`
	PollInterval Duration `toml:"poll-interval" doc:"Time between polls of the rules' revision and of the list of instances."`
}

// Limits bound the size of requests and the memory held for callers.
type Limits struct {
	BodyBytes               int64 `toml:"body-bytes" doc:"Maximum size of a request body, in bytes."`
	HeaderBytes             int   `toml:"header-bytes" doc:"Maximum size of a request header, in bytes."`
	StreamBufferBytes       int   `toml:"stream-buffer-bytes" doc:"Maximum number of bytes buffered for one slow caller."`
	OrganisationBufferBytes int64 `toml:"organisation-buffer-bytes" doc:"Maximum number of bytes buffered for the slow callers of one organisation."`
	InstanceBufferBytes     int64 `toml:"instance-buffer-bytes" doc:"Maximum number of bytes buffered for all slow callers."`
	SocketBufferBytes       int   `toml:"socket-buffer-bytes" doc:"Maximum number of bytes that the kernel buffers for one caller, in addition to stream-buffer-bytes."`
	PendingCharges          int   `toml:"pending-charges" doc:"Maximum number of charges waiting to be written to the table service. Above it, requests are refused before they run."`
}

// Timeouts bound the waiting times of an instance.
type Timeouts struct {
	Request    Duration `toml:"request" doc:"Deadline of a request that sets none."`
	MaxRequest Duration `toml:"max-request" doc:"Longest deadline that a request may set."`
	ReadHeader Duration `toml:"read-header" doc:"Timeout for reading the header of a request."`
	Read       Duration `toml:"read" doc:"Timeout for reading a whole request."`
	Write      Duration `toml:"write" doc:"Timeout of one write to a caller."`
	Idle       Duration `toml:"idle" doc:"Time after which an idle connection of a caller is closed."`
	Stall      Duration `toml:"stall" doc:"Time after which a caller that doesn't read its answer loses its slot at the upstream."`
	FirstByte  Duration `toml:"first-byte" doc:"Timeout for the first byte of an engine's answer."`
	Gap        Duration `toml:"gap" doc:"Maximum time between two parts of a stream."`
	Rating     Duration `toml:"rating" doc:"Timeout for the rating of an answer."`
	Drain      Duration `toml:"drain" doc:"Maximum time to wait for running requests during a planned stop."`
	Announce   Duration `toml:"announce" doc:"Time between reporting not ready and closing the listener during a planned stop, so that the load balancer stops sending requests."`
}

// Security holds the settings for keys and certificates.
type Security struct {
	SessionKeyFile   string `toml:"session-key-file" doc:"File with the key that signs session tokens: at least 32 bytes, the same on all instances."`
	AllowPlainText   bool   `toml:"allow-plain-text" doc:"Serve callers and other instances without TLS. Set it only if the network is protected by other means."`
	CallerCertFile   string `toml:"caller-cert-file" doc:"File with the PEM certificate chain presented to callers. It is reloaded when it changes."`
	CallerKeyFile    string `toml:"caller-key-file" doc:"File with the PEM private key of caller-cert-file."`
	InstanceCertFile string `toml:"instance-cert-file" doc:"File with the PEM certificate chain presented to other instances. It is reloaded when it changes."`
	InstanceKeyFile  string `toml:"instance-key-file" doc:"File with the PEM private key of instance-cert-file."`
	InstanceCAFile   string `toml:"instance-ca-file" doc:"File with the PEM certificates of the authorities that sign the instances' certificates."`
}

// Log holds the settings for logging.
type Log struct {
	Level string `toml:"level" doc:"Minimum level of logged events: debug, info, warn or error."`
}

// A Duration is a time.Duration that is written as text, such as 1.5s or 200ms.
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

// String returns the duration as written in settings files.
func (d Duration) String() string { return time.Duration(d).String() }

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	return Settings{
		Listen:   Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Platform: Platform{Timeout: Duration(2 * time.Second), PollInterval: Duration(time.Second)},
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 32 << 10, StreamBufferBytes: 16 << 10,
			OrganisationBufferBytes: 32 << 20, InstanceBufferBytes: 64 << 20, SocketBufferBytes: 32 << 10, PendingCharges: 200_000,
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

// An Error lists all problems of a settings file.
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
		return Settings{}, fmt.Errorf("cannot read the settings file: %w", err)
	}
	return Parse(file, data)
}

// Parse parses and checks settings. The file name is used only in errors, which
// have type *Error.
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

// check returns the problems that decoding cannot detect. They have no line of
// their own, since they may be due to a key that the file doesn't set.
func (s *Settings) check() []*strict.Problem {
	var c checker
	c.requireSet("instance.id", s.Instance.ID)
	c.requireSet("instance.failure-domain", s.Instance.FailureDomain)
	for _, a := range s.Instance.Peers {
		c.requireAddress("instance.peers", a)
	}
	c.requireAddress("listen.callers", s.Listen.Callers)
	c.requireAddress("listen.peers", s.Listen.Peers)
	c.requireAddress("listen.operators", s.Listen.Operators)
	c.requireSet("platform.url", s.Platform.URL)
	c.requireSet("security.session-key-file", s.Security.SessionKeyFile)
	c.requirePositive("limits.body-bytes", s.Limits.BodyBytes)
	c.requirePositive("limits.header-bytes", int64(s.Limits.HeaderBytes))
	c.requirePositive("limits.stream-buffer-bytes", int64(s.Limits.StreamBufferBytes))
	c.requirePositive("limits.organisation-buffer-bytes", s.Limits.OrganisationBufferBytes)
	c.requirePositive("limits.instance-buffer-bytes", s.Limits.InstanceBufferBytes)
	c.requirePositive("limits.socket-buffer-bytes", int64(s.Limits.SocketBufferBytes))
	c.requirePositive("limits.pending-charges", int64(s.Limits.PendingCharges))
	c.checkDurations(s)
	c.checkSecurity(&s.Security)
	return c.problems
}

type checker struct{ problems []*strict.Problem }

func (c *checker) add(remedy, format string, args ...any) {
	c.problems = append(c.problems, &strict.Problem{Line: 1, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) requireSet(key, value string) {
	if value == "" {
		c.add("set it; docs/SETTINGS.md describes it", "%s is not set", key)
	}
}

func (c *checker) requireAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add("write IP:port, such as 10.0.0.7:8080", "%s %q is not an IP address and port", key, value)
	}
}

func (c *checker) requirePositive(key string, value int64) {
	if value <= 0 {
		c.add("use a positive number", "%s is %d", key, value)
	}
}

func (c *checker) checkDurations(s *Settings) {
	t := &s.Timeouts
	c.requirePositive("platform.timeout", int64(s.Platform.Timeout))
	c.requirePositive("platform.poll-interval", int64(s.Platform.PollInterval))
	c.requirePositive("timeouts.request", int64(t.Request))
	c.requirePositive("timeouts.max-request", int64(t.MaxRequest))
	c.requirePositive("timeouts.read-header", int64(t.ReadHeader))
	c.requirePositive("timeouts.read", int64(t.Read))
	c.requirePositive("timeouts.write", int64(t.Write))
	c.requirePositive("timeouts.idle", int64(t.Idle))
	c.requirePositive("timeouts.stall", int64(t.Stall))
	c.requirePositive("timeouts.first-byte", int64(t.FirstByte))
	c.requirePositive("timeouts.gap", int64(t.Gap))
	c.requirePositive("timeouts.rating", int64(t.Rating))
	c.requirePositive("timeouts.drain", int64(t.Drain))
}

func (c *checker) checkSecurity(s *Security) {
	if s.AllowPlainText {
		return
	}
	c.requireSet("security.caller-cert-file", s.CallerCertFile)
	c.requireSet("security.caller-key-file", s.CallerKeyFile)
	c.requireSet("security.instance-cert-file", s.InstanceCertFile)
	c.requireSet("security.instance-key-file", s.InstanceKeyFile)
	c.requireSet("security.instance-ca-file", s.InstanceCAFile)
	if len(c.problems) > 0 {
		c.add("set the files, or set security.allow-plain-text = true if the network is protected by other means", "TLS is not configured")
	}
}

// SessionKey reads the key that signs session tokens from its file.
func (s *Settings) SessionKey() ([]byte, error) {
	key, err := os.ReadFile(s.Security.SessionKeyFile)
	if err != nil {
		return nil, fmt.Errorf("cannot read security.session-key-file: %w", err)
	}
	if len(key) < session.MinKeyBytes {
		return nil, fmt.Errorf("security.session-key-file holds %d bytes: write at least %d random bytes into it", len(key), session.MinKeyBytes)
	}
	return key, nil
}
