package main

import (
	"context"
	"os"

	"github.com/pollenfront/pollenfront/standin/internal/deployment"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

// A planCmd lays out the processes of a deployment.
type planCmd struct {
	Deployment string `default:"tainan" help:"andino or tainan"`
	Dir        string `arg:"required" help:"directory for the settings"`
	Entries    int    `default:"1" help:"entries in each zone"`
	Octet      int    `default:"0" help:"second number of the loopback addresses"`
	Servers    int    `default:"0" help:"number of backend servers; default: those of the deployment"`
}

// execute writes the layout.
func (c *planCmd) execute(context.Context) error {
	d, err := deployment.ByName(c.Deployment)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	if c.Servers > 0 {
		d = d.WithServers(c.Servers)
	}
	_, err = plan.Write(d, c.Dir, c.Octet, c.Entries)
	return err
}
