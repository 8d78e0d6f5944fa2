package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/view"
)

const retention = 5 * time.Minute

// A call is an attempt on its way between an owner and an agent.
type call struct {
	effect  dispatch.StartTask
	lost    bool // The answer is lost; the owner asks with an Await.
	outcome *pollenfront.Outcome
	owner   int
	sent    bool // Delivered at least once.
}

// A world has two owners in succession and two agents, with a message pool
// between them that delays, reorders, repeats and loses.
type world struct {
	agents   []*ledger.Ledger
	answers  []map[pollenfront.JobID]pollenfront.Answer // By owner.
	calls    []*call
	dead     []bool // Agents.
	fenced   bool
	now      time.Time
	owners   []*dispatch.Dispatcher
	jobs     []pollenfront.Job
	running  [][]pollenfront.TaskRef
	runs     map[pollenfront.TaskRef]int
	servers  []pollenfront.Server
	succeeds map[pollenfront.TaskRef]bool
	view     *view.View
}

func owner(i int) pollenfront.EntryRef {
	return pollenfront.EntryRef{Incarnation: 1, Name: fmt.Sprintf("e%d", i)}
}

// viewOf returns a view in which one of the two owners owns everything.
func viewOf(version uint64, active int) *view.View {
	v := &view.View{
		Entries: []view.Entry{{Incarnation: 1, Name: owner(active).Name, State: view.EntryActive}},
		Kinds:   []view.Kind{{Name: "pairing"}},
		Teams:   []view.Team{{Name: "clubs", Quota: 1000, Weight: 1}},
		Version: version,
	}
	for i := range active + 1 {
		v.EntrySets = append(v.EntrySets, view.EntrySet{From: uint64(i + 1), Members: []pollenfront.EntryRef{owner(i)}})
	}
	return v
}

func newWorld() *world {
	w := &world{
		answers: []map[pollenfront.JobID]pollenfront.Answer{{}, {}}, now: time.Now(), runs: map[pollenfront.TaskRef]int{},
		succeeds: map[pollenfront.TaskRef]bool{}, view: viewOf(1, 0),
	}
	for i := range 2 {
		server := pollenfront.Server{Incarnation: 1, Name: fmt.Sprintf("s%d", i), Slots: 2, Zone: "west"}
		w.servers = append(w.servers, server)
		w.agents = append(w.agents, ledger.New(server, retention))
		w.running = append(w.running, nil)
		w.dead = append(w.dead, false)
		w.owners = append(w.owners, dispatch.New(owner(i), rand.New(rand.NewPCG(1, uint64(i)))))
	}
	w.spreadView()
	return w
}

// spreadView gives everybody the present view, proved now.
func (w *world) spreadView() {
	for i := range w.agents {
		w.stepAgent(i, ledger.ViewChanged{View: w.view})
		w.stepAgent(i, ledger.Proved{SentAt: w.now, Version: w.view.Version})
	}
	for i := range w.owners {
		w.stepOwner(i, dispatch.ViewChanged{View: w.view})
		for s, server := range w.servers {
			if !w.dead[s] {
				w.stepOwner(i, dispatch.ServerSeen{Load: w.agents[s].Load(owner(i).Name), Server: server})
			}
		}
	}
}

func (w *world) stepAgent(i int, event ledger.Event) {
	for _, effect := range w.agents[i].Step(w.now, event) {
		w.agentEffect(i, effect)
	}
}

func (w *world) agentEffect(i int, effect ledger.Effect) {
	switch e := effect.(type) {
	case ledger.Run:
		w.runs[e.Ref]++
		w.running[i] = append(w.running[i], e.Ref)
	case ledger.Reply:
		for _, c := range w.calls {
			if c.sent && c.effect.Start.Ref == e.Ref && c.effect.Server.Name == w.servers[i].Name && c.outcome == nil {
				outcome := e.Outcome
				c.outcome = &outcome
			}
		}
	}
}

func (w *world) stepOwner(i int, event dispatch.Event) {
	for _, effect := range w.owners[i].Step(w.now, event) {
		switch e := effect.(type) {
		case dispatch.StartTask:
			w.calls = append(w.calls, &call{effect: e, owner: i})
		case dispatch.WithdrawTask:
			if s := w.serverIndex(e.Server); !w.dead[s] {
				w.stepAgent(s, ledger.Withdraw{Ref: e.Ref})
			}
		case dispatch.AnswerJob:
			w.answer(i, e.Answer)
		}
	}
}

func (w *world) answer(i int, answer pollenfront.Answer) {
	if earlier, ok := w.answers[i][answer.Job]; ok && earlier.Status != pollenfront.StatusNotRun {
		panic(fmt.Sprintf("owner %d answered job %s as %s and then as %s", i, answer.Job, earlier.Status, answer.Status))
	}
	w.answers[i][answer.Job] = answer
	for _, job := range w.jobs {
		if job.ID == answer.Job {
			w.checkAnswer(i, job, answer)
		}
	}
}

// checkAnswer panics if an answer is not true at this instant.
func (w *world) checkAnswer(i int, job pollenfront.Job, answer pollenfront.Answer) {
	if answer.Status == pollenfront.StatusComplete && len(answer.Results) != len(job.Tasks) {
		panic(fmt.Sprintf("owner %d: %d results for %d tasks", i, len(answer.Results), len(job.Tasks)))
	}
	if answer.Status != pollenfront.StatusComplete && len(answer.Results) > 0 {
		panic("results in an answer that is not complete")
	}
	for _, t := range job.Tasks {
		ref := pollenfront.TaskRef{Job: job.ID, Task: t.Name}
		if answer.Status == pollenfront.StatusComplete && !w.succeeds[ref] {
			panic(fmt.Sprintf("task %v is part of a complete answer and has not succeeded", ref))
		}
		// A fenced owner's "not run" is turned into "outcome unknown" by the
		// driver, which knows that its view is not proved any more.
		if answer.Status == pollenfront.StatusNotRun && w.runs[ref] > 0 && (i != 0 || !w.fenced) {
			panic(fmt.Sprintf("owner %d says that job %s did not run, and task %s started", i, job.ID, t.Name))
		}
	}
}

func (w *world) serverIndex(ref pollenfront.ServerRef) int {
	if ref.Name == w.servers[0].Name {
		return 0
	}
	return 1
}

func (w *world) submit(t *rapid.T) {
	job := pollenfront.Job{
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline-s")) * time.Second),
		ID:       pollenfront.JobID(uuid.Must(uuid.NewV7()).String()), Kind: "pairing", Team: "clubs",
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
		job.Tasks = append(job.Tasks, pollenfront.Task{Name: fmt.Sprint(i)})
	}
	w.jobs = append(w.jobs, job)
	if w.fenced {
		w.stepOwner(1, dispatch.Submit{Accepted: w.view.Version, Job: job})
		return
	}
	w.stepOwner(0, dispatch.Submit{Accepted: w.view.Version, Job: job})
}

// deliver passes one call on to its agent, maybe not for the first time.
func (w *world) deliver(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no calls")
	}
	c := rapid.SampledFrom(w.calls).Draw(t, "call")
	s := w.serverIndex(c.effect.Server)
	if w.dead[s] {
		return
	}
	c.sent = true
	if c.effect.Join || c.lost {
		w.stepAgent(s, ledger.Await{Attempt: c.effect.Start.Attempt, Ref: c.effect.Start.Ref})
		return
	}
	w.stepAgent(s, c.effect.Start)
}

// returnOutcome passes one outcome back to its owner, or loses it.
func (w *world) returnOutcome(t *rapid.T, lose bool) {
	for i, c := range w.calls {
		if c.outcome == nil {
			continue
		}
		if lose {
			c.outcome, c.lost = nil, true
			return
		}
		w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
		w.stepOwner(c.owner, dispatch.TaskEnded{
			Attempt: c.effect.Start.Attempt, Outcome: *c.outcome, Ref: c.effect.Start.Ref, Server: c.effect.Server,
		})
		return
	}
	t.Skip("no outcomes")
}

func (w *world) finish(t *rapid.T) {
	s := rapid.IntRange(0, 1).Draw(t, "server")
	if len(w.running[s]) == 0 || w.dead[s] {
		t.Skip("nothing runs")
	}
	ref := w.running[s][0]
	w.running[s] = w.running[s][1:]
	w.succeeds[ref] = true
	w.stepAgent(s, ledger.Finished{Ref: ref})
}

// killAgent loses an agent with its records. The calls to it end unknown.
func (w *world) killAgent(t *rapid.T) {
	s := rapid.IntRange(0, 1).Draw(t, "server")
	if w.dead[s] || w.fenced {
		t.Skip("dead or after the fence")
	}
	w.dead[s] = true
	for i := range w.owners {
		w.stepOwner(i, dispatch.ServerGone{Server: w.servers[s].Ref()})
	}
	for _, c := range w.calls {
		if w.serverIndex(c.effect.Server) == s {
			c.outcome = &pollenfront.Outcome{State: pollenfront.OutcomeUnknown}
		}
	}
}

// fence makes the second owner the owner of everything. It takes over all
// jobs, as if all were submitted again.
func (w *world) fence(t *rapid.T) {
	if w.fenced {
		t.Skip("fenced already")
	}
	w.fenced = true
	w.view = viewOf(2, 1)
	for i := range w.agents {
		w.stepAgent(i, ledger.ViewChanged{View: w.view})
		w.stepAgent(i, ledger.Proved{SentAt: w.now, Version: 2})
	}
	w.stepOwner(1, dispatch.ViewChanged{View: w.view})
	for _, job := range w.jobs {
		submit := dispatch.Submit{Accepted: 2, Job: job}
		for s, agent := range w.agents {
			if w.dead[s] {
				submit.Unaccounted = w.servers[s].Name
				continue
			}
			records, effects, err := agent.Adopt(w.now, job.ID, 2)
			if err != nil {
				t.Fatalf("adopt: %v", err)
			}
			for _, effect := range effects {
				w.agentEffect(s, effect)
			}
			submit.Recovered = append(submit.Recovered, records...)
		}
		w.stepOwner(1, submit)
	}
}

func TestJobsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for ref, n := range w.runs {
					if n > 1 {
						t.Fatalf("task %v ran %d times", ref, n)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if len(w.jobs) > 0 {
					w.stepOwner(0, dispatch.Cancel{Job: rapid.SampledFrom(w.jobs).Draw(t, "job").ID})
				}
			},
			"deliver":     w.deliver,
			"deliver-too": w.deliver,
			"fence":       w.fence,
			"finish":      w.finish,
			"kill-agent":  w.killAgent,
			"lose":        func(t *rapid.T) { w.returnOutcome(t, true) },
			"return":      func(t *rapid.T) { w.returnOutcome(t, false) },
			"return-too":  func(t *rapid.T) { w.returnOutcome(t, false) },
			"submit":      w.submit,
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				w.spreadView()
				for i := range w.owners {
					w.stepOwner(i, dispatch.Tick{})
				}
			},
		})
	})
}
