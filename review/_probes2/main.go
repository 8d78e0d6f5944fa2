// Command probes2 runs one case of the second review: it starts entries and agents as processes on
// loopback addresses, with stand-ins for the platform, the runners and the clients in this process.
//
// # Usage
//
//	probes2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
// in its environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns what was seen, and whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (seen string, isBroken bool, err error){
	"late-order":       lateOrder,
	"renamed-queue":    renamedQueue,
	"planned-stop":     plannedStop,
	"cancel-forgotten": cancelForgotten,
	"at-most-once":     atMostOnce,
}

func main() {
	os.Exit(run())
}

// run runs the case that the command line names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probes2 CASE RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.addf("case %s, disruption: %v", os.Args[1], trouble)
	seen, isBroken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.addf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case isBroken:
		rec.addf("BROKEN: %s", seen)
		fmt.Println("broken:", seen)
		return broken
	}
	rec.addf("held: %s", seen)
	fmt.Println("held:", seen)
	return held
}
