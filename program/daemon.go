package program

import (
	"context"
	"fmt"
)

// A Daemon is the command line of a program that runs with a settings file.
type Daemon struct {
	CheckSettings *SettingsFile `arg:"subcommand:check-settings" help:"check a settings file and name every fault"`
	Run           *SettingsFile `arg:"subcommand:run" help:"run until SIGTERM, then leave in a planned way"`

	description string
	load        Loader
}

// A SettingsFile names a settings file.
type SettingsFile struct {
	File string `arg:"--settings" help:"TOML file with the settings [default: the path in POLLENFRONT_CONFIG]" placeholder:"FILE"`
}

// A Loader reads and checks a settings file. It returns what runs the program
// with these settings until its context ends.
type Loader func(file string) (run func(ctx context.Context) error, err error)

// NewDaemon returns the command line of a program.
func NewDaemon(description string, load Loader) *Daemon {
	return &Daemon{description: description, load: load}
}

// Chosen implements Command.
func (d *Daemon) Chosen() bool {
	return d.CheckSettings != nil || d.Run != nil
}

// Description describes the program in its help.
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

// check returns all faults of a settings file.
func (d *Daemon) check(file string) error {
	if _, err := d.load(SettingsPath(file)); err != nil {
		return err
	}
	fmt.Println("settings are correct")
	return nil
}
