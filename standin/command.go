package main

import "context"

// A command is the command line of the program.
type command struct {
	Backend  *backendCmd  `arg:"subcommand:backend" help:"run a backend server that sleeps"`
	Check    *checkCmd    `arg:"subcommand:check" help:"check a history against the model"`
	Faults   *faultsCmd   `arg:"subcommand:faults" help:"order a seeded schedule of faults on a running fleet"`
	Gap      *gapCmd      `arg:"subcommand:gap" help:"state how long the jobs of a killed owner had to wait"`
	Load     *loadCmd     `arg:"subcommand:load" help:"submit jobs in an open loop and report"`
	Network  *networkCmd  `arg:"subcommand:network" help:"run relays that add latency and can be cut"`
	Plan     *planCmd     `arg:"subcommand:plan" help:"lay out the processes of a deployment"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run the platform's table service and object store"`
	Table    *tableCmd    `arg:"subcommand:table" help:"write the reports of many runs as a table and plots"`
}

// Description describes the program in its help.
func (*command) Description() string {
	return "Stand-ins of the systems around pollenfront, for tests and the demo."
}

// Chosen reports whether a subcommand was chosen.
func (c *command) Chosen() bool {
	return c.chosen() != nil
}

// Execute runs the chosen subcommand.
func (c *command) Execute(ctx context.Context) error {
	return c.chosen().execute(ctx)
}

// A subcommand is one command of the program.
type subcommand interface {
	execute(ctx context.Context) error
}

// chosen returns the chosen subcommand, or nil.
func (c *command) chosen() subcommand {
	switch {
	case c.Backend != nil:
		return c.Backend
	case c.Check != nil:
		return c.Check
	case c.Faults != nil:
		return c.Faults
	case c.Gap != nil:
		return c.Gap
	case c.Load != nil:
		return c.Load
	case c.Network != nil:
		return c.Network
	case c.Plan != nil:
		return c.Plan
	case c.Platform != nil:
		return c.Platform
	case c.Table != nil:
		return c.Table
	}
	return nil
}
