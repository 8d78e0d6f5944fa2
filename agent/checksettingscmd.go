package main

import (
	"fmt"

	"github.com/pollenfront/pollenfront/settings"
)

// A checkSettingsCmd checks a settings file.
type checkSettingsCmd struct {
	Settings string `arg:"--settings" help:"TOML file with the settings, required" placeholder:"FILE"`
}

// execute returns all faults of the file.
func (c *checkSettingsCmd) execute() error {
	var s settings.Agent
	if err := settings.Load(c.Settings, &s); err != nil {
		return err
	}
	fmt.Println("settings are correct")
	return nil
}
