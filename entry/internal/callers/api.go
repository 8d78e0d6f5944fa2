// Package callers serves the HTTP API for callers.
//
// # Usage
//
//	callers.NewAPI(router, members, agents.Surveyed, registry).Routes(mux)
//
// The routes are POST /v1/jobs, GET and DELETE /v1/jobs/{id}, POST
// /v1/job-ids, GET /healthz and GET /readyz.
package callers

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/entry/internal/handover"
	"github.com/pollenfront/pollenfront/entry/internal/members"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// Limits on callers.
const (
	maxCallers  = 20_000 // Requests that wait for an answer.
	maxDeadline = 2 * time.Minute
	maxNameSize = 128 // bytes
)

// An API serves callers.
type API struct {
	members  *members.Members
	answers  *prometheus.CounterVec
	router   *handover.Router
	stopping atomic.Bool
	surveyed func() bool // Whether the entry knows the agents.
	waiting  atomic.Int64
}

// NewAPI returns an API that hands jobs to router.
func NewAPI(router *handover.Router, m *members.Members, surveyed func() bool, registry prometheus.Registerer) *API {
	a := &API{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_answers_total", Help: "Answers and refusals given to callers.",
		}, []string{"status", "reason"}),
		members:  m,
		router:   router,
		surveyed: surveyed,
	}
	registry.MustRegister(a.answers)
	return a
}

// Routes adds the routes to a router.
func (a *API) Routes(r *mux.Router) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/job-ids", a.newID).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", a.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", a.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/jobs/{id}", a.state).Methods(http.MethodGet)
}

// Stop makes the balancer send no more requests. Those that come are served.
func (a *API) Stop() {
	a.stopping.Store(true)
}

// Waiting returns the number of callers that wait for an answer.
func (a *API) Waiting() int64 {
	return a.waiting.Load()
}

// ready tells the balancer whether to send requests here.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	self, ok := a.members.View().Entry(a.members.Self().Name)
	if a.stopping.Load() || !ok || self.State != view.EntryActive || a.members.View().ZoneOut(self.Zone) || !a.members.Fresh() || !a.members.InContact() || !a.surveyed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// A newIDReply is the answer to a request for a job ID.
type newIDReply struct {
	ID pollenfront.JobID `json:"id"`
}

// newID returns a job ID for callers whose clock is wrong, or whose job's owner
// is lost.
func (a *API) newID(w http.ResponseWriter, _ *http.Request) {
	observe.WriteJSON(w, http.StatusOK, newIDReply{ID: a.router.NewID()})
}

// submit submits a job and waits for its answer.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	if a.waiting.Add(1) > maxCallers {
		a.waiting.Add(-1)
		a.refuse(w, "", refusal.New(refusal.Overloaded, "%d callers are waiting", maxCallers).After(time.Second))
		return
	}
	defer a.waiting.Add(-1)
	job, err := decodeJob(w, r, time.Now())
	if err != nil {
		a.refuse(w, job.ID, err)
		return
	}
	answer, err := a.router.Submit(r.Context(), job)
	if err != nil {
		a.refuse(w, job.ID, err)
		return
	}
	a.answers.WithLabelValues(string(answer.Status), answer.Reason).Inc()
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(answer.RetryAfter))
	}
	observe.WriteJSON(w, statusOf(answer), answer)
}

// cancel gives a job up.
func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id, err := pollenfront.ParseJobID(mux.Vars(r)["id"])
	if err != nil {
		a.refuse(w, "", refusal.New(refusal.BadRequest, "%v", err))
		return
	}
	if err := a.router.Cancel(r.Context(), id); err != nil {
		a.refuse(w, id, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// state describes a job.
func (a *API) state(w http.ResponseWriter, r *http.Request) {
	id, err := pollenfront.ParseJobID(mux.Vars(r)["id"])
	if err != nil {
		a.refuse(w, "", refusal.New(refusal.BadRequest, "%v", err))
		return
	}
	state, err := a.router.State(r.Context(), id)
	if err != nil {
		a.refuse(w, id, err)
		return
	}
	observe.WriteJSON(w, http.StatusOK, state)
}

// refuse answers with a refusal. It says "refused", not "not run", since only
// the owner of a job knows what became of earlier submissions of it.
func (a *API) refuse(w http.ResponseWriter, id pollenfront.JobID, err error) {
	refused := refusal.From(err)
	answer := pollenfront.Answer{
		Job: id, Message: err.Error(), Reason: string(refused.Kind), RetryAfter: refused.RetryAfter, Status: pollenfront.StatusRefused,
	}
	if refused.Kind == refusal.OutcomeUnknown || refused.Kind == refusal.Internal {
		answer.Status = pollenfront.StatusUnknown
	}
	a.answers.WithLabelValues(string(answer.Status), answer.Reason).Inc()
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(answer.RetryAfter))
	}
	observe.WriteJSON(w, refused.Status(), answer)
}

// statusOf returns the HTTP status for an answer.
func statusOf(answer pollenfront.Answer) int {
	if answer.Status == pollenfront.StatusNotRun {
		return (&refusal.Error{Kind: refusal.Kind(answer.Reason)}).Status()
	}
	return http.StatusOK
}

// retryAfter returns a time in whole seconds, rounded up.
func retryAfter(d pollenfront.Duration) string {
	seconds := (time.Duration(d) + time.Second - 1) / time.Second
	return strconv.Itoa(int(seconds))
}

// decodeJob reads and checks a job.
func decodeJob(w http.ResponseWriter, r *http.Request, now time.Time) (pollenfront.Job, error) {
	var body jobBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, pollenfront.MaxBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return body.Job, refusal.New(refusal.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
		}
		return body.Job, refusal.New(refusal.BadRequest, "the body is not a job: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body.Job, refusal.New(refusal.BadRequest, "the body has more than one job")
	}
	return body.job(now)
}
