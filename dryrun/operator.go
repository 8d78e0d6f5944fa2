// Package dryrun implements the interfaces of pollenfront without changing
// anything.
//
// # Usage
//
//	operator := dryrun.NewOperator(os.Stdout)
package dryrun

import (
	"context"
	"fmt"
	"io"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Operator = &Operator{}

// An Operator says what it would change.
type Operator struct {
	out io.Writer
}

// NewOperator returns an operator that writes to out.
func NewOperator(out io.Writer) *Operator {
	return &Operator{out: out}
}

// SetZoneDisabled implements pollenfront.Operator.
func (o *Operator) SetZoneDisabled(_ context.Context, zone string, out bool) error {
	action := "return"
	if out {
		action = "take out"
	}
	_, err := fmt.Fprintf(o.out, "would %s zone %s\n", action, zone)
	return err
}
