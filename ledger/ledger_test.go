package ledger_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

const retention = 5 * time.Minute

var (
	self  = pollenfront.Server{Incarnation: 5, Name: "swap-01", Slots: 2, Zone: "west"}
	start = time.Now()
)

// viewOf returns a view with the given owner and zone state.
func viewOf(version uint64, owner pollenfront.EntryRef, out bool) *view.View {
	return &view.View{
		Entries:   []view.Entry{{Incarnation: owner.Incarnation, Name: owner.Name, State: view.EntryActive}},
		EntrySets: []view.EntrySet{{From: 1, Members: []pollenfront.EntryRef{{Incarnation: 1, Name: "e1"}}}},
		Version:   version,
		Zones:     []view.Zone{{Name: "west", Out: out}},
	}
}

// A harness is a ledger behind a message pool that repeats and reorders.
type harness struct {
	attempts map[pollenfront.TaskRef]uint64 // Newest attempt made.
	ledger   *ledger.Ledger
	now      time.Time
	pool     []ledger.Event
	promised map[pollenfront.TaskRef]uint64 // Attempt up to which "not started" was promised.
	running  []pollenfront.TaskRef
	runs     map[pollenfront.TaskRef]int
	refs     []pollenfront.TaskRef
	version  uint64
}

func newHarness() *harness {
	h := &harness{
		attempts: map[pollenfront.TaskRef]uint64{}, ledger: ledger.New(self, retention), now: start,
		promised: map[pollenfront.TaskRef]uint64{}, runs: map[pollenfront.TaskRef]int{}, version: 1,
	}
	for i := range 4 {
		h.refs = append(h.refs, pollenfront.TaskRef{Job: pollenfront.JobID(uuid.Must(uuid.NewV7()).String()), Task: fmt.Sprint(i)})
	}
	h.step(ledger.ViewChanged{View: viewOf(1, pollenfront.EntryRef{Incarnation: 1, Name: "e1"}, false)})
	h.step(ledger.Proved{SentAt: h.now, Version: 1})
	return h
}

// step passes an event to the ledger and notes its effects.
func (h *harness) step(event ledger.Event) {
	for _, effect := range h.ledger.Step(h.now, event) {
		switch e := effect.(type) {
		case ledger.Run:
			h.runs[e.Ref]++
			h.running = append(h.running, e.Ref)
		case ledger.Reply:
			if e.Outcome.State == pollenfront.OutcomeNotStarted {
				h.promised[e.Ref] = max(h.promised[e.Ref], h.deliveredAttempt(event, e.Ref))
			}
		}
	}
}

// deliveredAttempt returns the attempt that an event is about.
func (h *harness) deliveredAttempt(event ledger.Event, ref pollenfront.TaskRef) uint64 {
	switch e := event.(type) {
	case ledger.Start:
		if e.Ref == ref {
			return e.Attempt
		}
	case ledger.Await:
		if e.Ref == ref {
			return e.Attempt
		}
	}
	return 0
}

func (h *harness) newStart(t *rapid.T) ledger.Start {
	ref := rapid.SampledFrom(h.refs).Draw(t, "task")
	h.attempts[ref]++
	return ledger.Start{
		Accepted: 1, Attempt: h.attempts[ref], Deadline: start.Add(time.Hour), Owner: pollenfront.EntryRef{Incarnation: 1, Name: "e1"},
		Ref: ref, Target: self.Ref(),
	}
}

func TestLedgerUnderLossRepetitionAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for ref, n := range h.runs {
					if n > 1 {
						t.Fatalf("task %v ran %d times", ref, n)
					}
				}
			},
			"send": func(t *rapid.T) { h.pool = append(h.pool, h.newStart(t)) },
			"await": func(t *rapid.T) {
				ref := rapid.SampledFrom(h.refs).Draw(t, "task")
				h.pool = append(h.pool, ledger.Await{Attempt: h.attempts[ref], Ref: ref})
			},
			"withdraw": func(t *rapid.T) {
				h.pool = append(h.pool, ledger.Withdraw{Ref: rapid.SampledFrom(h.refs).Draw(t, "task")})
			},
			"deliver": func(t *rapid.T) { // The message stays in the pool, so that it can come again.
				if len(h.pool) == 0 {
					t.Skip("empty pool")
				}
				message := rapid.SampledFrom(h.pool).Draw(t, "message")
				before := h.runs[refOf(message)]
				promised := h.promised[refOf(message)]
				h.step(message)
				if s, ok := message.(ledger.Start); ok && h.runs[s.Ref] > before && s.Attempt <= promised {
					t.Fatalf("attempt %d started after the promise that attempts up to %d never start", s.Attempt, promised)
				}
			},
			"finish": func(t *rapid.T) {
				if len(h.running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(h.running)-1).Draw(t, "run")
				ref := h.running[i]
				h.running = append(h.running[:i], h.running[i+1:]...)
				h.step(ledger.Finished{Ref: ref})
			},
			"time": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				h.step(ledger.Tick{})
			},
			"prove": func(*rapid.T) { h.step(ledger.Proved{SentAt: h.now, Version: h.version}) },
		})
	})
}

func refOf(event ledger.Event) pollenfront.TaskRef {
	switch e := event.(type) {
	case ledger.Start:
		return e.Ref
	case ledger.Await:
		return e.Ref
	case ledger.Withdraw:
		return e.Ref
	}
	return pollenfront.TaskRef{}
}

func TestStartCheck(t *testing.T) {
	owner := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	id := pollenfront.JobID(uuid.Must(uuid.NewV7()).String())
	good := ledger.Start{
		Accepted: 1, Attempt: 1, Deadline: start.Add(time.Hour), Owner: owner, Ref: pollenfront.TaskRef{Job: id, Task: "a"}, Target: self.Ref(),
	}
	tests := []struct {
		name   string
		after  time.Duration
		change func(*ledger.Start)
		events []ledger.Event
		view   *view.View
		want   refusal.Kind // Empty if the task must start.
	}{
		{name: "good"},
		{name: "earlier incarnation of the agent", change: func(s *ledger.Start) { s.Target.Incarnation = 4 }, want: refusal.WrongIncarnation},
		{name: "stale view", after: freshness.Limit + time.Millisecond, want: refusal.StaleView},
		{name: "zone out", view: viewOf(2, owner, true), want: refusal.ZoneOut},
		{name: "fenced owner", view: viewOf(2, pollenfront.EntryRef{Incarnation: 2, Name: "e1"}, false), want: refusal.Fenced},
		{name: "not the owner", change: func(s *ledger.Start) { s.Accepted = 0 }, want: refusal.NotOwner},
		{name: "deadline passed", change: func(s *ledger.Start) { s.Deadline = start.Add(-time.Second) }, want: refusal.DeadlinePassed},
		{name: "leaving", events: []ledger.Event{ledger.Leave{}}, want: refusal.AgentLeaving},
		{
			name: "old ID", want: refusal.IDTooOld,
			change: func(s *ledger.Start) { s.Ref.Job = "00000000-0000-7000-8000-000000000000" },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := ledger.New(self, retention)
			v := test.view
			if v == nil {
				v = viewOf(1, owner, false)
			}
			l.Step(start, ledger.ViewChanged{View: v})
			l.Step(start, ledger.Proved{SentAt: start, Version: v.Version})
			for _, e := range test.events {
				l.Step(start, e)
			}
			request := good
			if test.change != nil {
				test.change(&request)
			}
			effects := l.Step(start.Add(test.after), request)
			qt.Assert(t, effects, qt.HasLen, 1)
			if test.want == "" {
				_, ran := effects[0].(ledger.Run)
				qt.Assert(t, ran, qt.IsTrue)
				return
			}
			reply, replied := effects[0].(ledger.Reply)
			qt.Assert(t, replied, qt.IsTrue)
			qt.Assert(t, reply.Outcome.Reason, qt.Equals, string(test.want))
			qt.Assert(t, reply.Outcome.State, qt.Equals, pollenfront.OutcomeNotStarted)
		})
	}
}

func TestQueuedTaskIsCheckedAgainAtItsStart(t *testing.T) {
	owner := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	l := ledger.New(self, retention)
	l.Step(start, ledger.ViewChanged{View: viewOf(1, owner, false)})
	l.Step(start, ledger.Proved{SentAt: start, Version: 1})
	var refs []pollenfront.TaskRef
	for i := range 3 {
		ref := pollenfront.TaskRef{Job: pollenfront.NewJobID(), Task: fmt.Sprint(i)}
		refs = append(refs, ref)
		l.Step(start, ledger.Start{Accepted: 1, Attempt: 1, Deadline: start.Add(time.Hour), Owner: owner, Ref: ref, Target: self.Ref()})
	}
	qt.Assert(t, l.Load("e1"), qt.Equals, pollenfront.Load{Queued: 1, Running: 2, Serial: 5})
	effects := l.Step(start, ledger.ViewChanged{View: viewOf(2, owner, true)})
	qt.Assert(t, effects, qt.HasLen, 0)
	effects = l.Step(start, ledger.Finished{Ref: refs[0]})
	qt.Assert(t, effects, qt.HasLen, 2)
	reply := effects[1].(ledger.Reply)
	qt.Assert(t, reply.Ref, qt.Equals, refs[2])
	qt.Assert(t, reply.Outcome.State, qt.Equals, pollenfront.OutcomeNotStarted)
}

func TestRecordsExpire(t *testing.T) {
	l := ledger.New(self, retention)
	l.Step(start, ledger.Await{Attempt: 1, Ref: pollenfront.TaskRef{Job: pollenfront.NewJobID(), Task: "a"}})
	qt.Assert(t, l.Records(), qt.Equals, 1)
	l.Step(start.Add(2*retention+time.Minute), ledger.Tick{})
	qt.Assert(t, l.Records(), qt.Equals, 0)
}

func TestResultsAreBoundedInSize(t *testing.T) {
	owner := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	l := ledger.New(self, retention)
	l.Step(start, ledger.ViewChanged{View: viewOf(1, owner, false)})
	l.Step(start, ledger.Proved{SentAt: start, Version: 1})
	payload := make([]byte, 1<<20)
	for n := 0; ; n++ {
		ref := pollenfront.TaskRef{Job: pollenfront.NewJobID(), Task: "a"}
		effects := l.Step(start, ledger.Start{Accepted: 1, Attempt: 1, Deadline: start.Add(time.Hour), Owner: owner, Ref: ref, Target: self.Ref()})
		if reply, refused := effects[0].(ledger.Reply); refused {
			qt.Assert(t, reply.Outcome.Reason, qt.Equals, string(refusal.ServerFull))
			qt.Assert(t, n > 10 && n < 200, qt.IsTrue)
			return
		}
		l.Step(start, ledger.Finished{Payload: payload, Ref: ref})
	}
}
