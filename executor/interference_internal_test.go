package executor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestGoneEntriesAreForgotten guards against the state of what was sent to entries that stays
// after they are gone.
func TestGoneEntriesAreForgotten(t *testing.T) {
	x := New("agent", "service", "zone", 1)
	x.SetInterference(pollenfront.InterferenceObserve)
	for i := range 10 {
		ref := pollenfront.EntryRef{Incarnation: 1, Name: fmt.Sprint("entry-", i)}
		x.LinkEntry(time.Second, ref)
		_, ok := x.NextUpdate(time.Second, ref.Name)
		qt.Assert(t, ok, qt.IsTrue)
		x.UnlinkEntry(ref)
	}
	qt.Assert(t, x.interference.sent, qt.HasLen, 10)
	x.Tick(2*time.Second + runEndRetention)
	qt.Assert(t, x.entries, qt.HasLen, 0)
	qt.Assert(t, x.interference.sent, qt.HasLen, 0)
}
