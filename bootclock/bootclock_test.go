package bootclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/bootclock"
)

// TestSuspended checks that the time for which the machine was suspended is a part of the time
// since it booted, and does not grow while it works.
func TestSuspended(t *testing.T) {
	c := qt.New(t)
	before := bootclock.Suspended()
	time.Sleep(50 * time.Millisecond)
	after := bootclock.Suspended()
	c.Assert(before >= 0 && after <= bootclock.Now(), qt.IsTrue)
	c.Assert((after-before).Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after-before))
}
