// Package dryrun implements interfaces of pollenfront that report changes instead of
// making them.
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

// An Operator writes the changes that it would make, one per line, and makes none.
type Operator struct {
	out io.Writer
}

// NewOperator returns an Operator that writes to out.
func NewOperator(out io.Writer) *Operator {
	return &Operator{out: out}
}

// SetZoneDisabled implements pollenfront.Operator. It returns the error of the write.
func (o *Operator) SetZoneDisabled(_ context.Context, zone string, disabled bool) error {
	action := "return"
	if disabled {
		action = "take out"
	}
	_, err := fmt.Fprintf(o.out, "would %s zone %s\n", action, zone)
	return err
}
