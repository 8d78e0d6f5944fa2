package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/view"
)

// BenchmarkDecision measures an owner's work for one task, from its submission
// to its outcome, at 100 known servers that are half loaded.
func BenchmarkDecision(b *testing.B) {
	const servers, slots, tasksPerJob = 100, 8, 4
	self := owner(0)
	d := dispatch.New(self, rand.New(rand.NewPCG(1, 2)))
	v := viewOf(1, 0)
	v.Teams = []view.Team{{Name: "clubs", Quota: 1 << 30, Weight: 1}}
	now := time.Now()
	d.Step(now, dispatch.ViewChanged{View: v})
	refs := make([]pollenfront.Server, 0, servers)
	for i := range servers {
		server := pollenfront.Server{Incarnation: 1, Name: fmt.Sprintf("s%03d", i), Slots: slots, Zone: "west"}
		refs = append(refs, server)
		d.Step(now, dispatch.ServerSeen{Server: server})
	}
	now = now.Add(time.Minute) // Past the ramp of new servers.
	seen := now
	for _, server := range refs {
		d.Step(now, dispatch.ServerSeen{Server: server})
	}
	var sent []dispatch.StartTask
	step := func(event dispatch.Event) {
		for _, effect := range d.Step(now, event) {
			if start, ok := effect.(dispatch.StartTask); ok {
				sent = append(sent, start)
			}
		}
	}
	end := func() {
		first := sent[0]
		sent = sent[1:]
		outcome := pollenfront.Outcome{RunTime: pollenfront.Duration(100 * time.Millisecond), State: pollenfront.OutcomeSucceeded}
		step(dispatch.TaskEnded{Attempt: first.Start.Attempt, Outcome: outcome, Ref: first.Start.Ref, Server: first.Server})
	}
	for range 5 * servers { // Every server is known.
		step(dispatch.Submit{Accepted: 1, Job: pollenfront.Job{
			Deadline: now.Add(time.Minute), ID: pollenfront.NewJobID(), Kind: "pairing", Tasks: []pollenfront.Task{{Name: "a"}}, Team: "clubs",
		}})
		for len(sent) > 0 {
			end()
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(250 * time.Microsecond)
		if now.Sub(seen) > time.Second {
			seen = now
			for _, server := range refs {
				step(dispatch.ServerSeen{Server: server})
			}
		}
		job := pollenfront.Job{Deadline: now.Add(time.Minute), ID: pollenfront.NewJobID(), Kind: "pairing", Team: "clubs"}
		for i := range tasksPerJob {
			job.Tasks = append(job.Tasks, pollenfront.Task{Name: fmt.Sprint(i)})
		}
		step(dispatch.Submit{Accepted: 1, Job: job})
		for len(sent) > servers*slots/2 {
			end()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasksPerJob), "µs/task")
}
