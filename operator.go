package pollenfront

import "context"

// An Operator changes the operators' orders in the platform's store, with the
// rights of whoever runs it.
type Operator interface {
	// SetZoneDisabled takes an availability zone out of service, or returns it.
	SetZoneDisabled(ctx context.Context, zone string, out bool) error
}
