package executor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

// TestAnswerToEarlierRunOfSameNumber guards against the answer to a start that counts for another
// run with the same number. Each entry numbers the runs of a task from 1.
func TestAnswerToEarlierRunOfSameNumber(t *testing.T) {
	c := qt.New(t)
	x := newExecutor()
	first := x.HandleCommands(at(0), testEntry, startCommands(at(0), 0)).Starts[0]
	// The goroutine of the start does not run, and the lease expires without any answer.
	c.Assert(x.Tick(at(700)).Ended, qt.HasLen, 1)
	x.HandleRenewal(at(1351), at(1350), &pollenfront.RenewalResponse{Clock: serverClock(at(1351)), Incarnation: 1})
	x.LinkEntry(at(1351), busyEntry)
	c.Assert(x.HandleCommands(at(1352), busyEntry, startCommands(at(1352), 0)).Starts, qt.HasLen, 0)
	refused, _ := x.NextUpdate(at(1352), busyEntry.Name)
	c.Assert(refused.RunEnds, qt.HasLen, 1)
	c.Assert(refused.RunEnds[0].Superseded, qt.IsTrue, qt.Commentf("the entry must use another number"))
	commands := startCommands(at(1352), 0)
	commands.Starts[0].Tasks[0].Run = 9
	c.Assert(x.HandleCommands(at(1352), busyEntry, commands).Starts, qt.HasLen, 1)
	x.HandleStartResponse(at(1353), first, serverClock(at(1353)), pollenfront.ErrLate)
	update, _ := x.NextUpdate(at(1353), busyEntry.Name)
	c.Assert(update.RunEnds, qt.HasLen, 0, qt.Commentf("the second start may still be carried out"))
}
