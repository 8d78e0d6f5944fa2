package main

import (
	"context"
	"errors"
	"net/http"

	"github.com/oklog/run"

	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/standin/internal/tableservice"
)

// A platformCmd runs the platform's table service and object store.
type platformCmd struct {
	Listen string `arg:"required" help:"address to listen on"`
	Reads  int    `default:"2000" help:"reads taken each second"`
	Writes int    `default:"300" help:"writes taken each second"`
}

// execute serves until ctx ends.
func (c *platformCmd) execute(ctx context.Context) error {
	service := tableservice.New(tableservice.Limits{Reads: c.Reads, Writes: c.Writes})
	return serveHTTP(ctx, c.Listen, service.Handler())
}

// serveHTTP serves HTTP until ctx ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	var group run.Group
	program.AddHTTP(&group, address, handler)
	group.Add(func() error {
		<-ctx.Done()
		return http.ErrServerClosed
	}, func(error) {})
	err := group.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
