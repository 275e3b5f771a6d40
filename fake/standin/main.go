// Command standin serves the fake platform, model engine or plain service, or
// several of them, in a process of its own, for trying entry instances as
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

// Delays of the fake engine.
const (
	firstTokenDelay = 50 * time.Millisecond
	chunkInterval   = 20 * time.Millisecond
)

// instanceFlag is a repeatable flag for the platform's list of instances.
type instanceFlag []client.Instance

// String implements flag.Value.
func (i *instanceFlag) String() string { return fmt.Sprint(*i) }

// Set implements flag.Value.
func (i *instanceFlag) Set(text string) error {
	id, address, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("instance %q is not of the form ID=IP:port", text)
	}
	*i = append(*i, client.Instance{ID: id, Address: address})
	return nil
}

func main() {
	var list instanceFlag
	platformAddress := flag.String("platform", "", "serve the fake platform at this `IP:port`")
	engineAddress := flag.String("engine", "", "serve a fake model engine at this `IP:port`")
	serviceAddress := flag.String("service", "", "serve a fake plain service at this `IP:port`")
	flag.Var(&list, "instance", "add an instance to the platform's list, as `ID=IP:port`; may be repeated")
	flag.Parse()
	failed := make(chan error)
	serve(*platformAddress, newPlatform(list), failed)
	serve(*engineAddress, (&engine.Engine{FirstTokenDelay: firstTokenDelay, ChunkInterval: chunkInterval}).Handler(), failed)
	serve(*serviceAddress, (&service.Service{}).Handler(), failed)
	_, _ = fmt.Fprintln(os.Stderr, "standin:", <-failed)
	os.Exit(1)
}

func newPlatform(list instanceFlag) http.Handler {
	p := &platform.Platform{}
	p.SetInstances(list)
	return p.Handler()
}

// serve starts an HTTP server at address and sends the error that ends it to
// failed. It does nothing if address is empty.
func serve(address string, h http.Handler, failed chan<- error) {
	if address == "" {
		return
	}
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Second}
	go func() { failed <- s.ListenAndServe() }()
}
