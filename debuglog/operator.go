// Package debuglog wraps interfaces of pollenfront and logs the calls of their
// methods.
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

// An Operator logs each call, with its duration and error, and passes it to another
// pollenfront.Operator.
type Operator struct {
	logger  *zap.Logger
	wrapped pollenfront.Operator
}

// NewOperator returns an Operator that passes calls to wrapped.
func NewOperator(wrapped pollenfront.Operator, logger *zap.Logger) *Operator {
	return &Operator{logger: logger, wrapped: wrapped}
}

// SetZoneDisabled implements pollenfront.Operator.
func (o *Operator) SetZoneDisabled(ctx context.Context, zone string, disabled bool) error {
	started := time.Now()
	err := o.wrapped.SetZoneDisabled(ctx, zone, disabled)
	o.logger.Info("set zone out", zap.String("zone", zone), zap.Bool("out", disabled), zap.Duration("took", time.Since(started)), zap.Error(err))
	return err
}
