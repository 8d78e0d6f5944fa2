package main

import (
	"context"
	"os"

	"github.com/pollenfront/pollenfront/standin/internal/summary"
)

// A tableCmd writes the reports of many runs as a table and plots.
type tableCmd struct {
	Dir   string `arg:"required" help:"directory of the reports"`
	Plots string `help:"directory for the plots"`
}

// execute writes the table to standard output.
func (c *tableCmd) execute(context.Context) error {
	rows, err := summary.Read(c.Dir)
	if err != nil {
		return err
	}
	summary.Table(os.Stdout, rows)
	if c.Plots == "" {
		return nil
	}
	return summary.Plot(c.Plots, rows)
}
