package main

import (
	"context"

	"github.com/pollenfront/pollenfront/program"
)

var _ program.Command = &command{}

// A command is the command line of pollenctl. It has a field for each subcommand;
// all but that of the chosen one are nil.
type command struct {
	CheckConfig *checkConfigCmd `arg:"subcommand:check-config" help:"check a configuration before it is put in force"`
	Explain     *explainCmd     `arg:"subcommand:explain" help:"explain how a request was handled, from logs"`
	Return      *zoneCmd        `arg:"subcommand:return" help:"return an availability zone to service"`
	Show        *showCmd        `arg:"subcommand:show" help:"show the servers, jobs, shares or interference of an entry"`
	TakeOut     *zoneCmd        `arg:"subcommand:take-out" help:"take an availability zone out of service"`
}

// Description returns the text at the head of the program's help.
func (*command) Description() string {
	return "Shows the state of a pollenfront installation, explains requests from logs, checks configurations, and takes zones out of service."
}

// HasSubcommand implements program.Command.
func (c *command) HasSubcommand() bool {
	return c.CheckConfig != nil || c.Explain != nil || c.Return != nil || c.Show != nil || c.TakeOut != nil
}

// Execute implements program.Command.
func (c *command) Execute(ctx context.Context) error {
	switch {
	case c.CheckConfig != nil:
		return c.CheckConfig.run(ctx)
	case c.Explain != nil:
		return c.Explain.run()
	case c.Return != nil:
		return c.Return.run(ctx, false)
	case c.Show != nil:
		return c.Show.run(ctx)
	default:
		return c.TakeOut.run(ctx, true)
	}
}
