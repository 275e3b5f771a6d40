package main

import (
	"fmt"
	"os"
	"time"
)

// A scriptedCase is a case of the review that is a script.
type scriptedCase struct {
	rule string
	play func(r *record, folder string, trouble bool) (broken bool, err error)
}

var cases = map[string]scriptedCase{
	"zone-back": {rule: "FAILBACK", play: playZoneBack},
	"limit":     {rule: "LIMIT", play: playLimit},
	"endless":   {rule: "Fault", play: playEndless},
}

// main plays a case. It exits with 1 if its rule was broken, with 0 if it held, and with 2
// if the case could not run. With TROUBLE=0 it leaves out the disruption.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	c := cases[os.Args[1]]
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{began: time.Now(), out: out}
	r.line("with the disruption: %v", trouble)
	broken, err := c.play(r, folder, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		r.line("%s is broken", c.rule)
		fmt.Println(c.rule, "is broken; the logs of the instances are in", folder)
		os.Exit(1)
	}
	r.line("%s holds", c.rule)
	_ = os.RemoveAll(folder)
}
