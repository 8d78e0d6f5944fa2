package pollenfront

import "context"

// An Operator changes the operator state in the platform's store. The store
// allows it only to processes that run with an operator's account.
type Operator interface {
	// SetZoneDisabled takes an availability zone out of service if disabled is
	// true, and puts it back into service otherwise.
	SetZoneDisabled(ctx context.Context, zone string, disabled bool) error
}
