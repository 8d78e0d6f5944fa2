package program

import (
	"context"
	"fmt"
)

// A Daemon is the command line of a program that runs with a settings file until it
// receives SIGTERM or SIGINT.
type Daemon struct {
	CheckSettings *SettingsFile `arg:"subcommand:check-settings" help:"check a settings file and report every error"`
	Run           *SettingsFile `arg:"subcommand:run" help:"run until SIGTERM, then drain and stop"`

	description string
	load        LoadFunc
}

// A SettingsFile holds the option that names the settings file.
type SettingsFile struct {
	File string `arg:"--settings" help:"TOML file with the settings [default: the path in POLLENFRONT_CONFIG]" placeholder:"FILE"`
}

// A LoadFunc reads and checks a settings file. It returns a function that runs the
// program with these settings until its context is done.
type LoadFunc func(file string) (run func(ctx context.Context) error, err error)

// NewDaemon returns the command line of a program. The help of the program shows
// description.
func NewDaemon(description string, load LoadFunc) *Daemon {
	return &Daemon{description: description, load: load}
}

// HasSubcommand implements Command.
func (d *Daemon) HasSubcommand() bool {
	return d.CheckSettings != nil || d.Run != nil
}

// Description returns the text at the head of the help. It implements
// arg.Described.
func (d *Daemon) Description() string {
	return d.description
}

// Execute implements Command.
func (d *Daemon) Execute(ctx context.Context) error {
	if d.CheckSettings != nil {
		return d.check(d.CheckSettings.File)
	}
	run, err := d.load(SettingsPath(d.Run.File))
	if err != nil {
		return err
	}
	return run(ctx)
}

// check returns the errors of a settings file, or prints that the settings are
// correct.
func (d *Daemon) check(file string) error {
	if _, err := d.load(SettingsPath(file)); err != nil {
		return err
	}
	fmt.Println("settings are correct")
	return nil
}
