// Package book drives the ledger: it makes it safe for concurrent use, runs
// tasks on the backend server and answers the requests that wait for a task.
//
// # Usage
//
//	b := book.New(ledger.New(self, retention), backend, registry)
//	reply := b.Start(ctx, start) // waits until the task ends
package book

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/view"
)

// A Book is a ledger that is safe for concurrent use.
type Book struct {
	backend  pollenfront.Backend
	ledger   *ledger.Ledger
	mutex    sync.Mutex
	outcomes *prometheus.CounterVec
	running  sync.WaitGroup
	waiting  map[pollenfront.TaskRef][]chan pollenfront.Outcome
}

// New returns a Book that runs tasks on backend.
func New(l *ledger.Ledger, backend pollenfront.Backend, registry prometheus.Registerer) *Book {
	b := &Book{
		backend: backend,
		ledger:  l,
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_agent_outcomes_total", Help: "Outcomes of attempts to start a task.",
		}, []string{"state", "reason"}),
		waiting: make(map[pollenfront.TaskRef][]chan pollenfront.Outcome),
	}
	registry.MustRegister(b.outcomes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollenfront_agent_records", Help: "Tasks on record.",
	}, func() float64 { return float64(b.State().Records) }))
	return b
}

// Start asks to start a task and waits for the outcome.
func (b *Book) Start(ctx context.Context, start ledger.Start) (peer.StartReply, error) {
	return b.request(ctx, start.Ref, start.Owner.Name, start)
}

// Await waits for the outcome of an earlier attempt.
func (b *Book) Await(ctx context.Context, await ledger.Await) (peer.StartReply, error) {
	return b.request(ctx, await.Ref, "", await)
}

// Step passes an event to the ledger that nobody waits for.
func (b *Book) Step(event ledger.Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.perform(b.ledger.Step(time.Now(), event))
}

// Adopt returns the records of a job for its new owner.
func (b *Book) Adopt(adopt peer.Adopt) (peer.AdoptReply, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	records, effects, err := b.ledger.Adopt(time.Now(), adopt.Job, adopt.Version)
	b.perform(effects)
	return peer.AdoptReply{Records: records}, err
}

// Export returns the records of all tasks that have started.
func (b *Book) Export() []pollenfront.TaskRecord {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.Export()
}

// Load returns the load as it concerns an owner.
func (b *Book) Load(owner string) pollenfront.Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.Load(owner)
}

// View returns the present view.
func (b *Book) View() *view.View {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.View()
}

// WaitIdle waits until no task is queued or running, or ctx ends. It reports
// whether the book is idle.
func (b *Book) WaitIdle(ctx context.Context) bool {
	const interval = 10 * time.Millisecond
	for ctx.Err() == nil {
		if state := b.State(); state.Idle {
			b.running.Wait()
			return true
		}
		time.Sleep(interval)
	}
	return false
}

// A State is the state of a book for operators.
type State struct {
	Fresh   bool             `json:"fresh"` // Whether the view is proved to be current.
	Idle    bool             `json:"idle"`
	Load    pollenfront.Load `json:"load"`
	Records int              `json:"records"`
	Version uint64           `json:"version"`
}

// State returns the state for operators.
func (b *Book) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return State{
		Fresh:   b.ledger.Fresh(time.Now()),
		Idle:    b.ledger.Idle(),
		Load:    b.ledger.Load(""),
		Records: b.ledger.Records(),
		Version: b.ledger.View().Version,
	}
}

// request passes an event to the ledger and waits for the reply about ref.
func (b *Book) request(ctx context.Context, ref pollenfront.TaskRef, owner string, event ledger.Event) (peer.StartReply, error) {
	reply := make(chan pollenfront.Outcome, 1)
	b.mutex.Lock()
	b.waiting[ref] = append(b.waiting[ref], reply)
	b.perform(b.ledger.Step(time.Now(), event))
	b.mutex.Unlock()
	select {
	case outcome := <-reply:
		return peer.StartReply{Load: b.Load(owner), Outcome: outcome}, nil
	case <-ctx.Done():
		return peer.StartReply{}, ctx.Err()
	}
}

// perform carries out effects. The caller holds the mutex.
func (b *Book) perform(effects []ledger.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ledger.Reply:
			b.reply(e)
		case ledger.Run:
			b.running.Add(1)
			go b.run(e)
		}
	}
}

// reply answers all requests that wait for a task.
func (b *Book) reply(e ledger.Reply) {
	b.outcomes.WithLabelValues(string(e.Outcome.State), e.Outcome.Reason).Inc()
	for _, waiter := range b.waiting[e.Ref] {
		waiter <- e.Outcome
	}
	delete(b.waiting, e.Ref)
}

// run runs a task on the backend server. A task that has started runs to its
// end, whatever becomes of the request for it.
func (b *Book) run(e ledger.Run) {
	defer b.running.Done()
	payload, err := b.backend.Run(context.Background(), e.Ref, e.Kind, e.Task, e.StartBy)
	b.Step(ledger.Finished{Err: err, Payload: payload, Ref: e.Ref})
}
