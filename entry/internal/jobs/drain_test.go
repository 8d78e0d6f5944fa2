package jobs

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestDrain guards against a planned stop that cuts jobs which came by another interface than that of
// the platform's callers, as only those requests were waited for (review case 8).
func TestDrain(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, &claimStore{claimedIDs: make(map[string]bool)})
	result := submitAsync(context.Background(), j, newSubmission(false))
	run := a.receiveStart(t)
	drained := make(chan bool, 1)
	go func() { drained <- j.Drain(context.Background()) }()
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		j.mu.Lock()
		draining = j.draining
		j.mu.Unlock()
	}
	for _, atMostOnce := range []bool{false, true} {
		late := newSubmission(atMostOnce)
		late.ID = "8899aabbccddeeff"
		refused := j.Submit(context.Background(), late)
		c.Assert(refused.Verdict, qt.Equals, pollenfront.VerdictRefused)
		c.Assert(refused.Reason, qt.Equals, pollenfront.ReasonStopping)
	}
	again := submitAsync(context.Background(), j, newSubmission(false)) // A job that runs is joined.
	select {
	case <-drained:
		c.Fatal("drained while a job runs")
	case <-time.After(5 * drainCheckInterval):
	}
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingDone, Run: run})
	c.Assert((<-result).Verdict, qt.Equals, pollenfront.VerdictCompleted)
	c.Assert((<-again).Verdict, qt.Equals, pollenfront.VerdictCompleted)
	c.Assert(<-drained, qt.IsTrue)
}

// TestDrainLimit checks that a planned stop ends although a job goes on.
func TestDrainLimit(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	submitAsync(context.Background(), j, newSubmission(false))
	a.receiveStart(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(j.Drain(ctx), qt.IsFalse)
}
