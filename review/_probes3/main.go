// Command probes3 runs the cases of the third review that can't be put as a day of the bench. It
// starts the project's programs and small stand-ins on loopback, as the run.sh of each case calls it.
//
// # Usage
//
//	probes3 CASE RECORD
//
// With TROUBLE=0 a case does the same without the disturbance. The exit code is 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is when a case is ended that has not ended by itself.
const caseLimit = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the names of the cases to their functions, which return what breaks the rule.
var cases = map[string]func(r *record, trouble bool) ([]string, error){
	"attempts": attempts,
	"tokens":   tokens,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probes3 CASE RECORD")
		os.Exit(exitFailed)
	}
	go endEarly()
	r := newRecord()
	breaks, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	for _, b := range breaks {
		r.add("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "error:", err)
	}
	if writeErr := r.write(os.Args[2]); writeErr != nil {
		fmt.Fprintln(os.Stderr, "error:", writeErr)
		os.Exit(exitFailed)
	}
	switch {
	case len(breaks) > 0:
		os.Exit(exitBroken)
	case err != nil:
		os.Exit(exitFailed)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// endEarly ends all processes and this one when the case is interrupted or takes too long.
func endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(caseLimit):
	}
	killAll()
	os.Exit(exitFailed)
}
