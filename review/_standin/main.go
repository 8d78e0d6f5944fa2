// Command _standin runs the cases of the review. It starts the project's own programs as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// backend servers, the balancer and the callers, and checks one rule of RULES.md.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// A testCase plays a case. It returns whether the rule was broken, or an error if the case
// couldn't run. With trouble false it leaves the disruption out.
type testCase func(f *fleet, r *record, trouble bool) (broken bool, err error)

// cases are the cases by name, with the fleet that each of them needs.
var cases = map[string]struct {
	options fleetOptions
	play    testCase
}{
	"freeze":       {options: fleetOptions{entries: 3, agents: 11}, play: playFreeze},
	"try":          {options: fleetOptions{entries: envInt("ENTRIES", 3), agents: envInt("AGENTS", 11)}, play: playTry},
	"try-own":      {options: fleetOptions{entries: envInt("ENTRIES", 3), agents: envInt("AGENTS", 11), ownRunners: true}, play: playTry},
	"wide":         {options: fleetOptions{entries: 3, agents: 11}, play: playWide},
	"late-random":  {options: fleetOptions{entries: 3, agents: 11, ownRunners: true}, play: playLateRandom},
	"late":         {options: fleetOptions{entries: 3, agents: 11, ownRunners: true}, play: playLate},
	"cancel":       {options: fleetOptions{entries: 1, agents: 3}, play: playCancel},
	"cancel-other": {options: fleetOptions{entries: 3, agents: 11}, play: playCancelOther},
}

// interrupted is closed when the program is asked to end.
var interrupted = make(chan struct{})

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	r.printf("case %s, trouble %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		close(interrupted)
	}()
	broken, err := play(c.options, c.play, r, trouble)
	status := 0
	switch {
	case err != nil:
		r.printf("COULD NOT RUN: %v", err)
		status = 2
	case broken:
		r.printf("BROKEN")
		status = 1
	default:
		r.printf("HELD")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

// play starts a fleet, plays a case and stops all processes.
func play(options fleetOptions, c testCase, r *record, trouble bool) (bool, error) {
	f, err := startFleet(options, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := c(f, r, trouble)
		done <- outcome{broken: broken, err: err}
	}()
	select {
	case o := <-done:
		return o.broken, o.err
	case <-interrupted:
		return false, errors.New("interrupted")
	}
}
