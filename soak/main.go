// Command soak runs entries and agents as separate processes on loopback,
// injects faults from the outside, and checks invariants.
//
// # Usage
//
//	soak --seed 1 --for 20s          # a schedule of faults drawn from a seed
//	soak --calm --for 10s            # the same fleet without faults
//	soak --starve --rate 60          # entries that get little processor time
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/pollenfront/pollenfront/soak/internal/callers"
	"github.com/pollenfront/pollenfront/soak/internal/fleet"
)

// options are the options of the command line.
type options struct {
	Agents  int           `default:"6" help:"number of agents, each with a backend server"`
	Bin     string        `default:"bin" help:"folder with the built programs"`
	Calm    bool          `help:"inject no faults; a lost or refused job is a violation"`
	Cancel  uint64        `default:"0" help:"one job in this number is canceled, none with 0"`
	Crash   uint64        `default:"0" help:"one job in this number crashes each server that starts it, none with 0"`
	Dir     string        `help:"folder for settings and logs, created if needed [default: a new temporary folder]"`
	Entries int           `default:"3" help:"number of entries"`
	For     time.Duration `default:"20s" help:"how long faults are injected"`
	Octet   int           `help:"second octet of the addresses in 127.0.0.0/8 [default: of a free range]"`
	Rate    float64       `default:"20" help:"jobs submitted per second"`
	Seed    uint64        `default:"1" help:"seed of the load and of the schedule of faults"`
	Starve  bool          `help:"starve entries of processor time and reset their callers' connections, in place of the schedule of faults"`
}

// Times and limits of a run.
const (
	// settleTime is the time for the fleet to start, and to recover from the last
	// faults.
	settleTime = 3 * time.Second

	// finalTime is how long the load runs at the end, when no more faults are
	// injected. Faults that last longer than settleTime can reach into it.
	finalTime = 4 * time.Second

	// minFinalShare is the share of the jobs in finalTime that must be completed.
	minFinalShare = 0.9

	// lingerTime is the time for the last runs to end before the final checks.
	lingerTime = 2 * time.Second

	// maxCalmLost is the number of jobs that may be lost without faults.
	maxCalmLost = 0
	exitFailure = 1

	// maxPrinted is the number of violations that are printed.
	maxPrinted = 20
)

func main() {
	var o options
	arg.MustParse(&o)
	violations, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(exitFailure)
	}
	for _, v := range violations[:min(len(violations), maxPrinted)] {
		fmt.Println("violation:", v)
	}
	if len(violations) > 0 {
		fmt.Printf("soak: 0 passed, 1 failed\n")
		os.Exit(exitFailure)
	}
	fmt.Printf("soak: 1 passed, 0 failed\n")
}

// run runs a fleet under load, with faults unless o.Calm is set, and returns the
// violations.
func run(o *options) ([]string, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		o.Dir = dir
	}
	fmt.Printf("seed %d, %v, logs in %s\n", o.Seed, o.For, o.Dir)
	f, err := fleet.Start(fleet.Options{Agents: o.Agents, Bin: o.Bin, Dir: o.Dir, Entries: o.Entries, Octet: o.Octet})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	fmt.Printf("addresses %s, entries at %s\n", f.Range(), strings.Join(f.CallerAddresses, ", "))
	time.Sleep(settleTime)
	c := callers.New(f.CallerAddresses, f.Checker, o.Seed)
	ctx, cancel := context.WithTimeout(context.Background(), o.For)
	defer cancel()
	switch {
	case o.Starve:
		go starveEntries(ctx, f, c, o.Seed)
	case !o.Calm:
		go injectFaults(ctx, f, c, o.Seed)
	}
	c.Run(ctx, o.Rate, o.Crash, o.Cancel)
	during := c.TakeCounts()
	time.Sleep(settleTime)
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalTime)
	defer cancelFinal()
	c.Run(finalCtx, o.Rate, 0, 0)
	final := c.TakeCounts()
	time.Sleep(lingerTime)
	fmt.Printf("during: %+v; afterwards: %+v; %d starts\n", during, final, f.Checker.Starts())
	if all, most := f.Checker.Crashes(); all > 0 {
		fmt.Printf("%d servers were crashed by tasks, at most %d by one task\n", all, most)
	}
	return append(f.Checker.Violations(), checkCounts(o, during, final)...), nil
}

// checkCounts returns a violation if too few jobs were completed after the
// faults, and one if jobs were lost or refused in a run without faults.
func checkCounts(o *options, during, final callers.Counts) []string {
	var violations []string
	if total := final.Completed + final.Lost + final.Refused; float64(final.Completed) < minFinalShare*float64(total) || total == 0 {
		violations = append(violations, fmt.Sprintf("after the faults %d of %d jobs were completed, want a share of at least %v", final.Completed, total, minFinalShare))
	}
	if o.Calm && (during.Lost > maxCalmLost || during.Refused > 0) {
		violations = append(violations, fmt.Sprintf("without faults: %+v", during))
	}
	return violations
}
