package main

import (
	"context"

	"github.com/pollenfront/pollenfront/standin/internal/backendserver"
)

// A backendCmd runs a backend server.
type backendCmd struct {
	Listen string  `arg:"required" help:"address to listen on"`
	Slots  int     `default:"8" help:"tasks that run at once"`
	Speed  float64 `default:"1" help:"work done in a unit of time by each slot"`
	Zone   string  `help:"name of the zone, for the record of starts"`
}

// execute serves until ctx ends.
func (c *backendCmd) execute(ctx context.Context) error {
	server := backendserver.New(backendserver.Config{Slots: c.Slots, Speed: c.Speed, Zone: c.Zone})
	return serveHTTP(ctx, c.Listen, server.Handler())
}
