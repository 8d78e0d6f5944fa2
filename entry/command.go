package main

import "context"

// A command is the command line of the program.
type command struct {
	CheckSettings *checkSettingsCmd `arg:"subcommand:check-settings" help:"check a settings file and name every fault"`
	Run           *runCmd           `arg:"subcommand:run" help:"run the entry until SIGTERM"`
}

// Description describes the program in its help.
func (*command) Description() string {
	return "Takes jobs, owns a share of them, and decides which backend server runs which task."
}

// Execute runs the chosen subcommand.
func (c *command) Execute(ctx context.Context) error {
	if c.CheckSettings != nil {
		return c.CheckSettings.execute()
	}
	return c.Run.execute(ctx)
}

// Chosen reports whether a subcommand was chosen.
func (c *command) Chosen() bool {
	return c.CheckSettings != nil || c.Run != nil
}
