package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestSubmittedAgain checks that the log tells which earlier submission of a job this entry had,
// and how it ended: without it, nobody knows after an incident who ran a job twice.
func TestSubmittedAgain(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	newLogged := func() (*Jobs, *fakeAgent) {
		j, a := newLinkedJobs(t, &claimStore{claimedIDs: make(map[string]bool)})
		j.mu.Lock()
		defer j.mu.Unlock()
		j.logger = zap.New(core)
		return j, a
	}
	earlier := func() (texts []string) {
		for _, entry := range logs.TakeAll() {
			if entry.Message != "job submitted again" {
				continue
			}
			fields := entry.ContextMap()
			c.Assert(fields["request"], qt.Equals, newSubmission(false).ID)
			texts = append(texts, fmt.Sprintf("%v %v", fields["earlier"], fields["reason"]))
		}
		return texts
	}
	j, a := newLogged()
	ctx, cancel := context.WithCancel(context.Background())
	result := submitAsync(ctx, j, newSubmission(false))
	a.receiveStart(t)
	other := newSubmission(false)
	other.Payload = "another"
	c.Assert(j.Submit(context.Background(), other).Verdict, qt.Equals, pollenfront.VerdictConflict)
	cancel()
	<-result
	canceled, cancelAtOnce := context.WithCancel(context.Background())
	cancelAtOnce()
	j.Submit(canceled, newSubmission(false))
	c.Assert(earlier(), qt.DeepEquals, []string{"active <nil>", "caller-left " + string(pollenfront.ReasonCallerLeft)})
	c.Assert(testutil.ToFloat64(j.metrics.resubmissions.WithLabelValues("caller-left")), qt.Equals, 1.0)

	j, a = newLogged()
	result = submitAsync(context.Background(), j, newSubmission(true))
	run := a.receiveStart(t)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Run: run})
	c.Assert((<-result).Reason, qt.Equals, pollenfront.ReasonRunLost)
	c.Assert(j.Submit(context.Background(), newSubmission(true)).Reason, qt.Equals, pollenfront.ReasonAlreadyClaimed)
	c.Assert(earlier(), qt.DeepEquals, []string{"unknown " + string(pollenfront.ReasonRunLost)})
}

// TestRecentJobs checks that jobs are kept for 15 s after their newest end, and that their
// number is bounded.
func TestRecentJobs(t *testing.T) {
	c := qt.New(t)
	var r recentJobs
	r.add(recentJob{endedAt: 1 * time.Second, id: "a", outcome: "refused"})
	r.add(recentJob{endedAt: 2 * time.Second, id: "b", outcome: "failed"})
	r.add(recentJob{endedAt: 5 * time.Second, id: "a", outcome: "completed"})
	for _, test := range []struct {
		now  time.Duration
		id   string
		want string
	}{
		{16 * time.Second, "a", "completed"}, {17 * time.Second, "b", "failed"}, {18 * time.Second, "b", ""}, {20 * time.Second, "a", "completed"}, {21 * time.Second, "a", ""},
	} {
		job, ok := r.find(test.now, test.id)
		c.Assert(ok, qt.Equals, test.want != "")
		c.Assert(job.outcome, qt.Equals, test.want)
	}
	c.Assert(len(r.order)+len(r.byID), qt.Equals, 0)
	for i := range 50_000 {
		r.add(recentJob{endedAt: time.Minute, id: fmt.Sprintf("%016x", i), outcome: "completed"})
		c.Assert(len(r.order) <= maxRecentJobs && len(r.byID) <= maxRecentJobs, qt.IsTrue)
	}
	_, ok := r.find(time.Minute, fmt.Sprintf("%016x", 49_999))
	c.Assert(ok, qt.IsTrue)
}

// TestRefusedJobSubmittedAgain checks that the callers of refused jobs, which are told to submit
// them again, do not fill the log of an overloaded entry.
func TestRefusedJobSubmittedAgain(t *testing.T) {
	c := qt.New(t)
	j, logs, _ := newLoggedJobs()
	for i := range 200 {
		id := fmt.Sprintf("%016x", i)
		j.recent.add(recentJob{endedAt: time.Second, id: id, outcome: pollenfront.VerdictRefused.String()})
		j.recordResubmission(2*time.Second, id)
	}
	c.Assert(logs.Len() < 40, qt.IsTrue, qt.Commentf("%d lines", logs.Len()))
	c.Assert(testutil.ToFloat64(j.metrics.resubmissions.WithLabelValues("refused")), qt.Equals, 200.0)
}

// TestSilentAgentLogged checks that a run that is taken for ended because its agent was silent
// is logged once, with the age of what is known of it.
func TestSilentAgentLogged(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	core, logs := observer.New(zap.InfoLevel)
	j.mu.Lock()
	j.logger = zap.New(core)
	j.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	submitAsync(ctx, j, newSubmission(false))
	run := a.receiveStart(t)
	for started := time.Now(); time.Since(started) < 1800*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		j.tick() // Without ticks, the entry would count as suspended.
	}
	lines := logs.FilterMessage("run of a silent agent taken for ended").All()
	c.Assert(lines, qt.HasLen, 1)
	fields := lines[0].ContextMap()
	c.Assert(fields["request"], qt.Equals, run.Job)
	c.Assert(fields["agent"], qt.Equals, "agent-1")
	c.Assert(fields["update-age"].(time.Duration) > 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", fields))
	c.Assert(testutil.ToFloat64(j.metrics.silentRuns), qt.Equals, 1.0)
}
