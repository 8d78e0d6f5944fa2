package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// A fleet is a dispatcher with servers that run tasks in simulated time.
type fleet struct {
	answers    map[pollenfront.JobID]pollenfront.Answer
	dispatcher *dispatch.Dispatcher
	fails      map[string]bool
	now        time.Time
	pending    []pendingTask
	runTime    map[string]time.Duration
	sent       map[string]int
	servers    []pollenfront.Server
}

// A pendingTask is an attempt that ends at a time.
type pendingTask struct {
	at    time.Time
	start dispatch.StartTask
}

func newFleet(servers, slots int) *fleet {
	f := &fleet{
		answers: map[pollenfront.JobID]pollenfront.Answer{}, dispatcher: dispatch.New(owner(0), rand.New(rand.NewPCG(1, 2))),
		fails: map[string]bool{}, now: time.Now(), runTime: map[string]time.Duration{}, sent: map[string]int{},
	}
	f.step(dispatch.ViewChanged{View: viewOf(1, 0)})
	for i := range servers {
		server := pollenfront.Server{Incarnation: 1, Name: fmt.Sprintf("s%d", i), Slots: slots, Zone: "west"}
		f.servers = append(f.servers, server)
		f.runTime[server.Name] = 100 * time.Millisecond
	}
	f.run(3 * time.Second) // Past the ramp of new servers.
	return f
}

func (f *fleet) step(event dispatch.Event) {
	for _, effect := range f.dispatcher.Step(f.now, event) {
		switch e := effect.(type) {
		case dispatch.StartTask:
			f.sent[e.Server.Name]++
			run := f.runTime[e.Server.Name]
			if f.fails[e.Server.Name] {
				run = 0
			}
			f.pending = append(f.pending, pendingTask{at: f.now.Add(run), start: e})
		case dispatch.AnswerJob:
			f.answers[e.Answer.Job] = e.Answer
		}
	}
}

// run lets time pass in ticks.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(dispatch.TickInterval) {
		due := f.pending
		f.pending = nil
		for _, p := range due {
			if p.at.After(f.now) {
				f.pending = append(f.pending, p)
				continue
			}
			f.end(p.start)
		}
		for _, server := range f.servers {
			f.step(dispatch.ServerSeen{Server: server})
		}
		f.step(dispatch.Tick{})
	}
}

func (f *fleet) end(start dispatch.StartTask) {
	outcome := pollenfront.Outcome{RunTime: pollenfront.Duration(f.runTime[start.Server.Name]), State: pollenfront.OutcomeSucceeded}
	if f.fails[start.Server.Name] {
		outcome = pollenfront.Outcome{Reason: string(refusal.TaskFailed), State: pollenfront.OutcomeFailed}
	}
	f.step(dispatch.TaskEnded{Attempt: start.Start.Attempt, Outcome: outcome, Ref: start.Start.Ref, Server: start.Server})
}

func (f *fleet) submit(tasks int, timeout time.Duration) pollenfront.JobID {
	job := pollenfront.Job{Deadline: f.now.Add(timeout), ID: pollenfront.NewJobID(), Kind: "pairing", Team: "clubs"}
	for i := range tasks {
		job.Tasks = append(job.Tasks, pollenfront.Task{Name: fmt.Sprint(i)})
	}
	f.step(dispatch.Submit{Accepted: 1, Job: job})
	return job.ID
}

func TestServerThatFailsEverythingIsEjected(t *testing.T) {
	f := newFleet(4, 8)
	for range 50 {
		f.submit(1, time.Minute)
		f.run(dispatch.TickInterval)
	}
	f.fails["s0"] = true
	before := f.sent["s0"]
	for range 150 { // Three seconds: less than the first pause.
		f.submit(1, time.Minute)
		f.run(dispatch.TickInterval)
	}
	got := f.sent["s0"] - before
	qt.Assert(t, got <= 10, qt.IsTrue, qt.Commentf("%d tasks were sent to a server that fails everything", got))

	f.fails["s0"] = false
	for range 1000 {
		f.submit(1, time.Minute)
		f.run(dispatch.TickInterval)
	}
	before = f.sent["s0"]
	f.submit(32, time.Minute) // As many tasks as there are slots.
	f.run(time.Second)
	qt.Assert(t, f.sent["s0"]-before >= 8, qt.IsTrue, qt.Commentf("%d tasks were sent to the server after its return", f.sent["s0"]-before))
}

func TestSilentServersAreNoCapacity(t *testing.T) {
	f := newFleet(2, 2)
	f.submit(1, time.Minute)
	f.run(time.Second)
	f.now = f.now.Add(5 * time.Second) // No heartbeat in that time.
	id := f.submit(1, time.Minute)
	qt.Assert(t, f.answers[id].Status, qt.Equals, pollenfront.StatusNotRun)
	qt.Assert(t, f.answers[id].Reason, qt.Equals, string(refusal.NoServers))
	qt.Assert(t, f.answers[id].RetryAfter > 0, qt.IsTrue)
}

func TestNotMoreThanAThirdIsEjected(t *testing.T) {
	f := newFleet(6, 4)
	for i := range 6 {
		f.fails[fmt.Sprintf("s%d", i)] = true
	}
	for range 200 {
		f.submit(1, time.Minute)
		f.run(dispatch.TickInterval)
	}
	ejected := 0
	for _, s := range f.dispatcher.Dump(f.now, "").Servers {
		if s.Ejected {
			ejected++
		}
	}
	qt.Assert(t, ejected <= 2, qt.IsTrue, qt.Commentf("%d of 6", ejected))
}

func TestJobThatCannotFinishIsAnsweredBeforeItsDeadline(t *testing.T) {
	f := newFleet(1, 2)
	for range 20 {
		f.submit(1, time.Minute)
		f.run(100 * time.Millisecond)
	}
	// Ten seconds of work arrive, then the only server becomes five times slower.
	var ids []pollenfront.JobID
	for range 200 {
		ids = append(ids, f.submit(1, 12*time.Second))
	}
	f.runTime["s0"] = 500 * time.Millisecond
	f.run(6 * time.Second)
	notRun := 0
	for _, id := range ids {
		if f.answers[id].Status == pollenfront.StatusNotRun {
			notRun++
		}
	}
	qt.Assert(t, notRun > 100, qt.IsTrue, qt.Commentf("%d of 200 were given up after half of their time", notRun))
}

func TestQuotaAndRefusals(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*pollenfront.Job)
		timeout time.Duration
		want    refusal.Kind
	}{
		{name: "accepted", timeout: time.Minute},
		{name: "unknown team", change: func(j *pollenfront.Job) { j.Team = "x" }, timeout: time.Minute, want: refusal.UnknownTeam},
		{name: "unknown kind", change: func(j *pollenfront.Job) { j.Kind = "x" }, timeout: time.Minute, want: refusal.UnknownKind},
		{name: "deadline passed", timeout: -time.Second, want: refusal.DeadlinePassed},
		{name: "deadline too near", timeout: 20 * time.Millisecond, want: refusal.CannotFinish},
		{
			name: "larger than the quota", timeout: time.Minute, want: refusal.NeverRuns,
			change: func(j *pollenfront.Job) {
				for i := range 1001 {
					j.Tasks = append(j.Tasks, pollenfront.Task{Name: fmt.Sprint(i)})
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(2, 2)
			f.submit(4, time.Minute)
			f.run(time.Second)
			job := pollenfront.Job{
				Deadline: f.now.Add(test.timeout), ID: pollenfront.NewJobID(), Kind: "pairing", Tasks: []pollenfront.Task{{Name: "a"}}, Team: "clubs",
			}
			if test.change != nil {
				test.change(&job)
			}
			f.step(dispatch.Submit{Accepted: 1, Job: job})
			if test.want == "" {
				f.run(time.Second)
				qt.Assert(t, f.answers[job.ID].Status, qt.Equals, pollenfront.StatusComplete)
				return
			}
			qt.Assert(t, f.answers[job.ID].Status, qt.Equals, pollenfront.StatusNotRun)
			qt.Assert(t, f.answers[job.ID].Reason, qt.Equals, string(test.want))
		})
	}
}

func TestTeamsShareByWeight(t *testing.T) {
	f := newFleet(1, 4)
	v := viewOf(2, 0)
	v.EntrySets[0].From = 1
	v.Teams = []view.Team{{Name: "clubs", Quota: 10_000, Weight: 3}, {Name: "schools", Quota: 10_000, Weight: 1}}
	f.step(dispatch.ViewChanged{View: v})
	for i := range 400 {
		job := pollenfront.Job{Deadline: f.now.Add(time.Hour), ID: pollenfront.NewJobID(), Kind: "pairing", Team: "schools"}
		if i%2 == 0 {
			job.Team = "clubs"
		}
		job.Tasks = []pollenfront.Task{{Name: "a"}, {Name: "b"}}
		f.step(dispatch.Submit{Accepted: 1, Job: job})
	}
	f.run(6 * time.Second)
	served := map[string]float64{}
	for _, team := range f.dispatcher.Dump(f.now, "").Teams {
		served[team.Name] = float64(400 - team.Queued)
	}
	ratio := served["clubs"] / served["schools"]
	qt.Assert(t, ratio > 1.8 && ratio < 4, qt.IsTrue, qt.Commentf("%v", served))
}
