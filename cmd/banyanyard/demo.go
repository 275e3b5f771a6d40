package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"banyanyard/core/rules"
	enginefake "banyanyard/fake/engine"
	platformfake "banyanyard/fake/platform"
	servicefake "banyanyard/fake/service"
	"banyanyard/io/platform"
	"banyanyard/node"
	"banyanyard/node/settings"

	"github.com/spf13/cobra"
)

// demoReadyTimeout bounds the wait until every instance of the demo is ready.
const demoReadyTimeout = 10 * time.Second

type demoFlags struct {
	listen   string
	settings string
	rules    string
	logLevel string
}

func newDemoCommand() *cobra.Command {
	var f demoFlags
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in one process, on loopback",
		Long: `Run three entry instances in three failure domains, model engines of two models
with two versions each, a plain service and the platform in one process. The
engines, the service and the platform are fakes. SIGTERM or SIGINT stops the
demo gracefully.`,
		Example: "  banyanyard demo\n  banyanyard demo --listen 127.0.0.1:9080 --rules my-rules",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return runDemo(c.Context(), c.OutOrStdout(), f) },
	}
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:8080", "address of the first entry instance; its other sockets and the other instances use the next ports")
	c.Flags().StringVar(&f.settings, "settings", "", "settings file to use instead of the demo's settings; its instance and addresses are overridden")
	c.Flags().StringVar(&f.rules, "rules", "", "rules file to use instead of the demo's rules and upstreams")
	c.Flags().StringVar(&f.logLevel, "log-level", "warn", "lowest level to log")
	return c
}

// A demo holds the instances of the deployment and the fakes they talk to.
type demo struct {
	out       io.Writer
	platform  *platformfake.Platform
	servers   []*http.Server
	nodes     []*node.Node
	listeners []node.Listeners
	instances []platform.Instance
}

func runDemo(ctx context.Context, out io.Writer, f demoFlags) error {
	d := &demo{out: out, platform: &platformfake.Platform{RateAnswer: rateDemoAnswer}}
	defer d.closeServers()
	text, err := d.prepareRules(f.rules)
	if err != nil {
		return err
	}
	if _, err := rules.Parse(text); err != nil {
		return err
	}
	if _, err := platform.ApplyRules(ctx, d.platform, 0, text, "demo"); err != nil {
		return err
	}
	if err := d.startNodes(f); err != nil {
		return err
	}
	d.platform.SetInstances(d.instances)
	return d.runNodes(ctx, f)
}

// rateDemoAnswer rates an answer. It rates the small model's answers to prompts
// that contain "why" below the demo's quality target of 0.8, so that the cascade
// escalates them.
func rateDemoAnswer(a platform.RatingRequest) float64 {
	if a.Model == "tiglio" && strings.Contains(strings.ToLower(a.Prompt), "why") {
		return 0.2
	}
	return 0.95
}

// prepareRules returns the text of the rules file, or, if file is empty, starts
// the fake upstreams and returns the demo's rules.
func (d *demo) prepareRules(file string) (string, error) {
	if file != "" {
		text, err := os.ReadFile(file)
		return string(text), err
	}
	return d.startUpstreams()
}

// startUpstreams starts the fake engines and services of every failure domain and
// returns the demo's rules with their addresses.
func (d *demo) startUpstreams() (string, error) {
	var b strings.Builder
	b.WriteString(demoRules)
	for _, domain := range demoDomains {
		for _, model := range []string{"tiglio", "quercia"} {
			id := model + "-" + domain
			e := &enginefake.Engine{ID: id, FirstTokenDelay: 50 * time.Millisecond, ChunkInterval: 20 * time.Millisecond, CompletionText: demoAnswer}
			address, err := d.startServer(e.Handler())
			if err != nil {
				return "", err
			}
			fmt.Fprintf(&b, demoEngineRule, id, domain, address, model, model)
		}
		address, err := d.startServer((&servicefake.Service{}).Handler())
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, demoServiceRule, domain, domain, address)
	}
	return b.String(), nil
}

func demoAnswer(model, prompt string) string {
	return fmt.Sprintf("This is %s. You asked: %s. Here is an answer in a few more words, so that a stream has something to show.", model, prompt)
}

// startServer serves h on a free loopback port and returns the address.
func (d *demo) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *demo) closeServers() {
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// startNodes creates the entry instances and opens their sockets: callers' sockets
// from the port of f.listen on, then operators' and peers' sockets.
func (d *demo) startNodes(f demoFlags) error {
	firstAddress, err := netip.ParseAddrPort(f.listen)
	if err != nil {
		return &usageError{cause: fmt.Errorf("--listen %q is not IP:port", f.listen)}
	}
	baseSettings, err := demoSettings(f.settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(f.logLevel)
	if err != nil {
		return err
	}
	sessionKey := []byte(strings.Repeat("demo session key", 2))
	for i, domain := range demoDomains {
		s := baseSettings
		s.Instance = settings.Instance{ID: "entry-" + domain, FailureDomain: domain}
		s.Listen.Callers = netip.AddrPortFrom(firstAddress.Addr(), firstAddress.Port()+uint16(i)).String()
		s.Listen.Operators = netip.AddrPortFrom(firstAddress.Addr(), firstAddress.Port()+uint16(len(demoDomains)+i)).String()
		s.Listen.Peers = netip.AddrPortFrom(firstAddress.Addr(), firstAddress.Port()+uint16(2*len(demoDomains)+i)).String()
		n, err := node.New(node.Config{Settings: s, SessionKey: sessionKey, Store: d.platform, Log: logger})
		if err != nil {
			return err
		}
		l, err := n.Listen()
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.listeners = append(d.listeners, l)
		d.instances = append(d.instances, platform.Instance{ID: s.Instance.ID, FailureDomain: domain, Address: s.Listen.Peers})
	}
	return nil
}

// demoSettings loads the settings file, or returns the demo's own settings if file
// is empty.
func demoSettings(file string) (settings.Settings, error) {
	if file != "" {
		return settings.Load(file)
	}
	s := settings.Default()
	s.Security.AllowPlainText = true
	return s, nil
}

// runNodes runs the instances until ctx ends or one of them fails, and waits until
// all have stopped. It returns the first failure.
func (d *demo) runNodes(ctx context.Context, f demoFlags) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nodesRunning sync.WaitGroup
	serveErrors := make(chan error, len(d.nodes))
	for i, n := range d.nodes {
		nodesRunning.Go(func() {
			if err := n.Serve(ctx, d.listeners[i]); err != nil {
				serveErrors <- err
				cancel()
			}
		})
	}
	if d.waitReady(ctx) {
		_, _ = fmt.Fprintf(d.out, demoReadyMessage(f.rules != ""), d.messageAddresses()...)
	}
	nodesRunning.Wait()
	select {
	case err := <-serveErrors:
		return err
	default:
		_, err := fmt.Fprintln(d.out, "stopped; no request was interrupted")
		return err
	}
}

// waitReady reports whether every instance became ready within demoReadyTimeout.
func (d *demo) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		ready := true
		for _, n := range d.nodes {
			ready = ready && n.Ready()
		}
		if ready {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// messageAddresses returns the arguments of demoReadyMessage: the callers'
// addresses of all instances and the operators' address of the first.
func (d *demo) messageAddresses() []any {
	var addresses []any
	for _, l := range d.listeners {
		addresses = append(addresses, l.Callers.Addr())
	}
	return append(addresses, d.listeners[0].Operators.Addr())
}
