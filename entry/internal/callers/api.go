// Package callers serves the product's own interface for callers, beside the
// one of the users' platform.
//
// A job submitted here runs at most once, whatever happens, unless its caller
// says that it may run again: its ID is claimed in the platform's store before
// anything starts, and a task of which a run may have begun is not started
// again.
//
// # Usage
//
//	callers.NewAPI(jobs).Routes(router)
//
//	POST /v1/jobs
//	{"id":"5c0e7a21d94b36f8","queue":"lookups","tasks":4,"need":{"cpu":500,"memory":64},"declared":"60ms","time-limit":"2s"}
package callers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/observe"
)

// Limits on what a caller may submit.
const (
	defaultTimeLimit = 4 * time.Second
	maxBody          = 256 << 10 // bytes
	maxPayload       = 4000      // bytes
	maxTasks         = 360
)

// idPattern matches the IDs of jobs.
var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// An API is the callers' API.
type API struct {
	jobs pollenfront.Jobs
}

// NewAPI returns the callers' API to jobs.
func NewAPI(jobs pollenfront.Jobs) *API {
	return &API{jobs: jobs}
}

// Routes adds the API's routes to a router.
func (a *API) Routes(r *mux.Router) {
	r.HandleFunc("/v1/jobs", a.submit).Methods(http.MethodPost)
}

// A jobBody is a job as its caller submits it.
type jobBody struct {
	Declared    pollenfront.Duration  `json:"declared"`      // The caller's guess of a task's run time.
	ID          string                `json:"id"`            // 16 hexadecimal digits.
	MayRunAgain bool                  `json:"may-run-again"` // Whether a task may be run again from the start.
	Need        pollenfront.Resources `json:"need"`          // Of one task.
	Payload     string                `json:"payload"`       // Passed to the backend server with each task.
	Queue       string                `json:"queue"`         // A route of the operators' configuration.
	Tasks       int                   `json:"tasks"`
	TimeLimit   pollenfront.Duration  `json:"time-limit"` // How long the caller waits.
}

// An answerBody is the answer to a job.
type answerBody struct {
	Detail     string               `json:"detail,omitempty"`
	ID         string               `json:"id"`
	Reason     pollenfront.Reason   `json:"reason,omitempty"`
	Remedy     string               `json:"remedy,omitempty"`
	RetryAfter pollenfront.Duration `json:"retry-after,omitempty"`
	Status     string               `json:"status"`
}

// submit runs a job and answers with how it ended.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	body, err := decode(w, r)
	if err != nil {
		a.refuse(w, body.ID, pollenfront.ReasonMalformed, err.Error())
		return
	}
	config := a.jobs.Config(r.Context())
	if config == nil {
		a.refuse(w, body.ID, pollenfront.ReasonUnconfigured, "")
		return
	}
	route, ok := config.Route(body.Queue)
	if !ok {
		a.refuse(w, body.ID, pollenfront.ReasonUnroutable, fmt.Sprintf("there is no queue %q", body.Queue))
		return
	}
	answer(w, a.jobs.Submit(r.Context(), pollenfront.Submission{
		AtMostOnce: !body.MayRunAgain, Count: body.Tasks, Estimate: time.Duration(body.Declared), ID: body.ID, Need: body.Need,
		Payload: body.Payload, Route: route, TimeLimit: time.Duration(body.TimeLimit),
	}))
}

// decode reads and checks a job.
func decode(w http.ResponseWriter, r *http.Request) (jobBody, error) {
	body := jobBody{TimeLimit: pollenfront.Duration(defaultTimeLimit)}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return body, fmt.Errorf("the body is larger than %d bytes", tooLarge.Limit)
		}
		return body, fmt.Errorf("the body is not a job: %w", err)
	}
	switch {
	case !idPattern.MatchString(body.ID):
		return body, errors.New("id must be 16 hexadecimal digits in lower case")
	case body.Tasks < 1 || body.Tasks > maxTasks:
		return body, fmt.Errorf("tasks must be from 1 to %d", maxTasks)
	case len(body.Payload) > maxPayload:
		return body, fmt.Errorf("payload must be at most %d bytes", maxPayload)
	case body.Need.CPU < 0 || body.Need.GPU < 0 || body.Need.Memory < 0:
		return body, errors.New("need must not be negative")
	case body.Declared < 0 || body.TimeLimit <= 0:
		return body, errors.New("declared and time-limit must be positive")
	}
	return body, nil
}

// refuse answers a request that can't be passed on.
func (a *API) refuse(w http.ResponseWriter, id string, reason pollenfront.Reason, detail string) {
	a.jobs.RecordRefusal(id, reason, detail)
	answer(w, pollenfront.Result{Detail: detail, ID: id, Reason: reason, Verdict: pollenfront.VerdictRefused})
}

// answer writes how a job ended.
func answer(w http.ResponseWriter, end pollenfront.Result) {
	if end.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(pollenfront.RetrySeconds(end.RetryAfter)))
	}
	observe.WriteJSON(w, status(end), answerBody{
		Detail: end.Detail, ID: end.ID, Reason: end.Reason, Remedy: end.Reason.Remedy(),
		RetryAfter: pollenfront.Duration(end.RetryAfter), Status: end.Verdict.String(),
	})
}

// status returns the HTTP status of an answer.
func status(end pollenfront.Result) int {
	switch end.Verdict {
	case pollenfront.VerdictCompleted, pollenfront.VerdictFailed:
		return http.StatusOK
	case pollenfront.VerdictConflict:
		return http.StatusConflict
	case pollenfront.VerdictUnknown:
		return http.StatusGatewayTimeout
	case pollenfront.VerdictRefused:
	}
	switch end.Reason {
	case pollenfront.ReasonMalformed:
		return http.StatusBadRequest
	case pollenfront.ReasonUnroutable:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}
