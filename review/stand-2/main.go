package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 118 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(r *recorder, trouble bool) (held bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		endProcesses()
		r.line("the case could not run: it was ended, or took longer than %v", timeLimit)
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		r.line("the rule was broken")
		os.Exit(1)
	}
	r.line("the rule held")
}
