package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/debuglog"
	"github.com/pollenfront/pollenfront/dryrun"
	"github.com/pollenfront/pollenfront/platform"
)

// A zoneCmd takes an availability zone out of service or returns it to service.
type zoneCmd struct {
	Debug  bool   `help:"log the calls to the store"`
	DryRun bool   `arg:"--dry-run" help:"print what would be changed, without changing it"`
	Store  string `help:"address of the platform's store, required" placeholder:"IP:PORT"`
	Zone   string `arg:"positional,required"`
}

// run takes the zone out of service, or returns it to service if disabled is
// false.
func (z *zoneCmd) run(ctx context.Context, disabled bool) error {
	if z.Store == "" {
		return errors.New("--store is missing; name the address of the platform's store")
	}
	var operator pollenfront.Operator = platform.NewStore(z.Store)
	if z.DryRun {
		operator = dryrun.NewOperator(os.Stdout)
	}
	if z.Debug {
		logger, err := zap.NewDevelopment()
		if err != nil {
			return err
		}
		operator = debuglog.NewOperator(operator, logger)
	}
	if err := operator.SetZoneDisabled(ctx, z.Zone, disabled); err != nil {
		return fmt.Errorf("zone %s: %w", z.Zone, err)
	}
	return nil
}
