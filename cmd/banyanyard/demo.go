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

func newDemo() *cobra.Command {
	var f demoFlags
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in one process, on loopback",
		Long: `Run three entry instances in three failure domains, model engines of two models
with two versions each, a plain service and the platform, all as stand-ins in
one process. SIGTERM and SIGINT stop it gracefully.`,
		Example: "  banyanyard demo\n  banyanyard demo --listen 127.0.0.1:9080 --rules my-rules",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return runDemo(c.Context(), c.OutOrStdout(), f) },
	}
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:8080", "address of the first entry instance; the others follow by port")
	c.Flags().StringVar(&f.settings, "settings", "", "settings file that replaces the demo's settings, but for addresses")
	c.Flags().StringVar(&f.rules, "rules", "", "rules file that replaces the demo's rules")
	c.Flags().StringVar(&f.logLevel, "log-level", "warn", "lowest level that is logged")
	return c
}

// A demo is the running stand-ins and instances.
type demo struct {
	out       io.Writer
	platform  *platformfake.Platform
	servers   []*http.Server
	nodes     []*node.Node
	listeners []node.Listeners
	instances []platform.Instance
}

func runDemo(ctx context.Context, out io.Writer, f demoFlags) error {
	d := &demo{out: out, platform: &platformfake.Platform{RateAnswer: rateDemo}}
	defer d.closeServers()
	text, err := d.rules(f.rules)
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
	return d.serve(ctx, f)
}

// rateDemo judges an answer: the small model's answers to prompts with the word
// "why" do not suffice.
func rateDemo(a platform.RatingRequest) float64 {
	if a.Model == "tiglio" && strings.Contains(strings.ToLower(a.Prompt), "why") {
		return 0.2
	}
	return 0.95
}

// rules starts the upstreams and returns the rules, the user's own or those of
// the demo.
func (d *demo) rules(file string) (string, error) {
	if file != "" {
		text, err := os.ReadFile(file)
		return string(text), err
	}
	return d.startUpstreams()
}

// startUpstreams starts the stand-ins and returns the rules that name them.
func (d *demo) startUpstreams() (string, error) {
	var b strings.Builder
	b.WriteString(demoRules)
	for _, domain := range demoDomains {
		for _, model := range []string{"tiglio", "quercia"} {
			id := model + "-" + domain
			e := &enginefake.Engine{ID: id, FirstTokenDelay: 50 * time.Millisecond, ChunkInterval: 20 * time.Millisecond, CompletionText: demoText}
			address, err := d.start(e.Handler())
			if err != nil {
				return "", err
			}
			fmt.Fprintf(&b, demoEngineLine, id, domain, address, model, model)
		}
		address, err := d.start((&servicefake.Service{}).Handler())
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, demoServiceLine, domain, domain, address)
	}
	return b.String(), nil
}

func demoText(model, prompt string) string {
	return fmt.Sprintf("This is %s. You asked: %s. Here is an answer in a few more words, so that a stream has something to show.", model, prompt)
}

// start serves a stand-in on a free port of loopback.
func (d *demo) start(h http.Handler) (string, error) {
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

// startNodes makes the entry instances and opens their sockets.
func (d *demo) startNodes(f demoFlags) error {
	first, err := netip.ParseAddrPort(f.listen)
	if err != nil {
		return &usageError{cause: fmt.Errorf("--listen %q is not IP:port", f.listen)}
	}
	base, err := demoSettings(f.settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(f.logLevel)
	if err != nil {
		return err
	}
	key := []byte(strings.Repeat("demo session key", 2))
	for i, domain := range demoDomains {
		s := base
		s.Instance = settings.Instance{ID: "entry-" + domain, FailureDomain: domain}
		s.Listen.Callers = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		s.Listen.Operators = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(len(demoDomains)+i)).String()
		s.Listen.Peers = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(2*len(demoDomains)+i)).String()
		n, err := node.New(node.Config{Settings: s, SessionKey: key, Store: d.platform, Log: logger})
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

func demoSettings(file string) (settings.Settings, error) {
	if file != "" {
		return settings.Load(file)
	}
	s := settings.Default()
	s.Security.AllowPlainText = true
	return s, nil
}

// serve runs the instances until the context ends and all have stopped.
func (d *demo) serve(ctx context.Context, f demoFlags) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	failed := make(chan error, len(d.nodes))
	for i, n := range d.nodes {
		running.Go(func() {
			if err := n.Serve(ctx, d.listeners[i]); err != nil {
				failed <- err
				cancel()
			}
		})
	}
	if d.waitReady(ctx) {
		_, _ = fmt.Fprintf(d.out, demoGreeting(f.rules != ""), d.addresses()...)
	}
	running.Wait()
	select {
	case err := <-failed:
		return err
	default:
		_, err := fmt.Fprintln(d.out, "stopped; no request was cut")
		return err
	}
}

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

func (d *demo) addresses() []any {
	var list []any
	for _, l := range d.listeners {
		list = append(list, l.Callers.Addr())
	}
	return append(list, d.listeners[0].Operators.Addr())
}
