package jobs

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// TestRerunsLogged guards against second runs of a task of which the entry's log does not tell on
// what evidence, and how old, the run before was taken for over.
func TestRerunsLogged(t *testing.T) {
	c := qt.New(t)
	j, a := newLinkedJobs(t, nil)
	core, logs := observer.New(zap.InfoLevel)
	j.mu.Lock()
	j.logger = zap.New(core)
	j.mu.Unlock()
	conn, _ := newWatchedConn(t, j)
	ctx, cancel := context.WithCancel(conn)
	defer cancel()
	submitAsync(ctx, j, newSubmission(false))
	first := a.receiveStart(t)
	a.sendUpdate(t, tasklink.RunEnd{Ending: pollenfront.EndingLost, Evidence: tasklink.LeaseExpired, EvidenceAge: 40 * time.Millisecond, Run: first})
	c.Assert(a.receiveStart(t).Number, qt.Equals, 2)
	lines := logs.FilterMessage("tasks placed").All()
	c.Assert(lines, qt.HasLen, 1, qt.Commentf("one line for the second run and none for the first"))
	fields := lines[0].ContextMap()
	logged := fields["reruns"].([]any)
	c.Assert(logged, qt.HasLen, 1)
	rerun := logged[0].(map[string]any)
	c.Assert(rerun["former-sent-age"].(time.Duration) > 0, qt.IsTrue)
	delete(rerun, "former-sent-age")
	c.Assert(rerun, qt.DeepEquals, map[string]any{
		"ending": "lost", "evidence": "lease-expired", "evidence-age": 40 * time.Millisecond, "former": 1, "former-agent": "agent-1", "run": 2, "task": 0,
	})
	c.Assert(fields["caller-checked"].(time.Duration) < time.Second, qt.IsTrue)
	c.Assert(fields["caller-heard"].(time.Duration) < time.Second, qt.IsTrue)
	c.Assert(testutil.ToFloat64(j.metrics.reruns.WithLabelValues("lease-expired")), qt.Equals, 1.0)
}
