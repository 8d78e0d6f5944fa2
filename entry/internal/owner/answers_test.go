package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
)

func TestAnswersAreBoundedInSize(t *testing.T) {
	a := newAnswers(time.Minute)
	payload := make([]byte, maxKeptSize/4)
	ids := make([]pollenfront.JobID, 6)
	for i := range ids {
		ids[i] = pollenfront.NewJobID()
		a.keep(ids[i], pollenfront.Answer{Job: ids[i], Results: []pollenfront.TaskResult{{Payload: payload}}, Status: pollenfront.StatusComplete}, nil)
	}
	qt.Assert(t, a.size <= maxKeptSize, qt.IsTrue)
	_, ok := a.get(ids[0])
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, a.mayHaveForgotten(ids[0]), qt.IsTrue)
	_, ok = a.get(ids[5])
	qt.Assert(t, ok, qt.IsTrue)
}

func TestAnswers(t *testing.T) {
	id := pollenfront.NewJobID()
	a := newAnswers(time.Minute)

	a.keep(id, pollenfront.Answer{Job: id, Status: pollenfront.StatusNotRun}, []string{"s1"})
	_, ok := a.get(id)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("a job that did not run may be submitted again"))
	_, ok = a.notRun("s1")
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("a late copy of the submission stays refused"))
	_, ok = a.notRun("s2")
	qt.Assert(t, ok, qt.IsFalse)

	// Entries that join a job for a caller of theirs name no submission.
	a.keep(id, pollenfront.Answer{Job: id, Status: pollenfront.StatusNotRun}, []string{""})
	_, ok = a.notRun("")
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("no answer may go to a request for another job"))

	a.keep(id, pollenfront.Answer{Job: id, Status: pollenfront.StatusComplete}, []string{"s2"})
	_, ok = a.get(id)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a.mayHaveForgotten(id), qt.IsFalse)

	a.sweep(time.Now().Add(2 * time.Minute))
	_, ok = a.get(id)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, a.mayHaveForgotten(id), qt.IsTrue, qt.Commentf("the owner must ask the agents again"))
}
