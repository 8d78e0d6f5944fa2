package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReserveRange guards against two fleets on one machine that use the same addresses
// and fail each other.
func TestReserveRange(t *testing.T) {
	c := qt.New(t)
	first, octet, err := reserveRange(0)
	c.Assert(err, qt.IsNil)
	defer func() { _ = first.Close() }()
	second, other, err := reserveRange(0)
	c.Assert(err, qt.IsNil)
	defer func() { _ = second.Close() }()
	c.Check(other, qt.Not(qt.Equals), octet)
	_, _, err = reserveRange(octet)
	c.Check(err, qt.Equals, RangeInUseError{Octet: octet})
	c.Check(err, qt.ErrorMatches, `the address range 127\.[0-9]+\.0\.0/16 is in use by another fleet: .*`)
}
