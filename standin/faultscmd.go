package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pollenfront/pollenfront/standin/internal/faults"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

// A faultsCmd orders a seeded schedule of faults on a running fleet.
type faultsCmd struct {
	Dir     string        `arg:"required" help:"directory of the layout"`
	DryRun  bool          `arg:"--dry-run" help:"print the schedule only"`
	For     time.Duration `default:"30s" help:"length of the schedule"`
	History string        `help:"file for the records of what operators did"`
	Seed    uint64        `default:"1" help:"seed of the schedule"`
}

// execute runs the schedule.
func (c *faultsCmd) execute(ctx context.Context) error {
	fleet, err := plan.Read(c.Dir)
	if err != nil {
		return err
	}
	schedule := faults.NewSchedule(fleet, c.Seed, c.For)
	if c.DryRun {
		for _, f := range schedule {
			fmt.Println(f)
		}
		return nil
	}
	records := faults.Run(ctx, fleet, c.Dir, schedule, os.Stdout)
	if c.History == "" {
		return nil
	}
	return history.Write(c.History, records)
}
