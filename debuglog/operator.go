// Package debuglog wraps the interfaces of pollenfront and logs their use.
//
// # Usage
//
//	operator = debuglog.NewOperator(operator, logger)
package debuglog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Operator = &Operator{}

// An Operator logs the calls of another one.
type Operator struct {
	logger *zap.Logger
	next   pollenfront.Operator
}

// NewOperator returns an operator that logs and passes calls on to next.
func NewOperator(next pollenfront.Operator, logger *zap.Logger) *Operator {
	return &Operator{logger: logger, next: next}
}

// SetZoneDisabled implements pollenfront.Operator.
func (o *Operator) SetZoneDisabled(ctx context.Context, zone string, out bool) error {
	started := time.Now()
	err := o.next.SetZoneDisabled(ctx, zone, out)
	o.logger.Info("set zone out", zap.String("zone", zone), zap.Bool("out", out), zap.Duration("took", time.Since(started)), zap.Error(err))
	return err
}
