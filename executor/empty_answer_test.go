package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestAnswerWithoutIncarnation guards against an answer that states no incarnation and counts as
// a restart, after which all later answers of the server are ignored.
func TestAnswerWithoutIncarnation(t *testing.T) {
	for _, restarts := range []uint64{1, 9} {
		c := qt.New(t)
		x := executor.New("agent-1", "service", "west", 10)
		for incarnation := uint64(1); incarnation <= restarts; incarnation++ {
			x.HandleRenewal(at(int(incarnation)), at(int(incarnation)), &pollenfront.RenewalResponse{Clock: 1, Incarnation: incarnation})
		}
		x.HandleAnnouncement(at(40), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Incarnation: restarts, SeqNum: 1, Zone: "west"})
		c.Assert(x.State(), qt.Equals, tasklink.StateReady)
		x.HandleRenewal(at(60), at(55), &pollenfront.RenewalResponse{})
		for ms := 75; ms < 5000; ms += 75 {
			x.HandleRenewal(at(ms+1), at(ms), &pollenfront.RenewalResponse{Clock: serverClock(at(ms)), Incarnation: restarts})
			x.HandleAnnouncement(at(ms+1), pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 12000}, Incarnation: restarts, SeqNum: uint64(ms), Zone: "west"})
		}
		c.Check(x.State(), qt.Equals, tasklink.StateReady, qt.Commentf("after %d incarnations", restarts))
	}
}
