package main

import "context"

// A command is the command line of the program.
type command struct {
	CheckSettings *checkSettingsCmd `arg:"subcommand:check-settings" help:"check a settings file and name every fault"`
	Run           *runCmd           `arg:"subcommand:run" help:"run the agent until SIGTERM"`
}

// Description describes the program in its help.
func (*command) Description() string {
	return "Runs beside a backend server and makes the last check before a task starts."
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
