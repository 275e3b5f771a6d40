// Command standin serves the stand-ins of the platform, a model engine or a
// plain service as a process of its own, so that entry instances can be tried as
// separate processes:
//
//	standin -platform 127.0.0.1:7000 -instance entry-1=127.0.0.1:9001
//	standin -engine 127.0.0.1:8001
//	standin -service 127.0.0.1:8002
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"banyanyard/fake/engine"
	"banyanyard/fake/platform"
	"banyanyard/fake/service"
	client "banyanyard/io/platform"
)

// The pace of the engine.
const (
	firstToken = 50 * time.Millisecond
	gap        = 20 * time.Millisecond
)

// instances is a flag that names instances as the platform's list does.
type instances []client.Instance

// String implements flag.Value.
func (i *instances) String() string { return fmt.Sprint(*i) }

// Set implements flag.Value.
func (i *instances) Set(text string) error {
	id, address, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("%q is not ID=IP:port", text)
	}
	*i = append(*i, client.Instance{ID: id, Address: address})
	return nil
}

func main() {
	var list instances
	platformAddress := flag.String("platform", "", "address of the platform")
	engineAddress := flag.String("engine", "", "address of a model engine")
	serviceAddress := flag.String("service", "", "address of a plain service")
	flag.Var(&list, "instance", "ID=IP:port of an instance in the platform's list; repeat it for several")
	flag.Parse()
	failed := make(chan error)
	serve(*platformAddress, newPlatform(list), failed)
	serve(*engineAddress, (&engine.Engine{FirstToken: firstToken, Gap: gap}).Handler(), failed)
	serve(*serviceAddress, (&service.Service{}).Handler(), failed)
	_, _ = fmt.Fprintln(os.Stderr, "standin:", <-failed)
	os.Exit(1)
}

func newPlatform(list instances) http.Handler {
	p := &platform.Platform{}
	p.SetInstances(list)
	return p.Handler()
}

// serve serves a handler at an address, unless it is empty.
func serve(address string, h http.Handler, failed chan<- error) {
	if address == "" {
		return
	}
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Second}
	go func() { failed <- s.ListenAndServe() }()
}
