package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pollenfront/pollenfront/standin/internal/deployment"
	"github.com/pollenfront/pollenfront/standin/internal/load"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

// A loadCmd submits jobs in an open loop.
type loadCmd struct {
	Burst   float64       `default:"1" help:"factor by which the rate changes every two seconds"`
	Cancel  float64       `help:"share of the jobs that are cancelled"`
	Dir     string        `arg:"required" help:"directory of the layout"`
	Double  float64       `help:"share of the jobs submitted to two entries at once"`
	Fail    float64       `help:"share of the jobs with a task that fails"`
	For     time.Duration `default:"20s" help:"time to submit jobs for"`
	History string        `help:"file for the history"`
	JSON    string        `help:"file for the report"`
	Mix     string        `default:"morning" help:"morning or evening"`
	Never   float64       `help:"share of the jobs that can never run"`
	Seed    uint64        `default:"1" help:"seed of the arrivals"`
	Util    float64       `default:"0.5" help:"share of the capacity that the jobs need"`
	Warm    time.Duration `default:"5s" help:"time before jobs count"`
}

// execute runs the load and prints the report.
func (c *loadCmd) execute(ctx context.Context) error {
	fleet, err := plan.Read(c.Dir)
	if err != nil {
		return err
	}
	d, err := deployment.ByName(fleet.Deployment)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Options{
		Burst: c.Burst, Cancel: c.Cancel, Deployment: d, Double: c.Double, Fail: c.Fail, Fleet: fleet, For: c.For,
		History: c.History, Mix: c.Mix, Never: c.Never, Seed: c.Seed, Utilization: c.Util, Warm: c.Warm,
	})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if c.JSON == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, encoded, 0o600)
}
