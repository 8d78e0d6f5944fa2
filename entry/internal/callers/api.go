// Package callers serves pollenfront's own HTTP API for callers. Package platform
// serves the API of the users' platform.
//
// A job that is submitted through this API runs at most once, whatever fails, unless
// its caller sets may-run-again: its ID is claimed in the platform's store before any
// task starts, and a task is not started again once a run of it may have started.
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

// Defaults and limits of submissions.
const (
	defaultTimeLimit = 4 * time.Second
	maxBodySize      = 256 << 10 // bytes
	maxPayloadSize   = 4000      // bytes
	maxTasks         = 360
)

// jobIDPattern matches the job IDs that the API accepts.
var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// An API serves the HTTP API for callers.
type API struct {
	jobs pollenfront.Jobs
}

// NewAPI returns an API that passes submissions to jobs.
func NewAPI(jobs pollenfront.Jobs) *API {
	return &API{jobs: jobs}
}

// Routes adds the API's routes to r.
func (a *API) Routes(r *mux.Router) {
	r.HandleFunc("/v1/jobs", a.submit).Methods(http.MethodPost)
}

// A jobBody is the body of a submission. The name of the type is part of decoding
// errors, which callers receive.
type jobBody struct {
	// Estimate is the caller's estimate of the run time of a task.
	Estimate pollenfront.Duration `json:"declared"`
	// ID consists of 16 hexadecimal digits.
	ID string `json:"id"`
	// MayRunAgain allows a task to be run again from the start.
	MayRunAgain bool `json:"may-run-again"`
	// Need is the amount of resources that one task needs.
	Need pollenfront.Resources `json:"need"`
	// Payload is passed to the backend server with each task.
	Payload string `json:"payload"`
	// Queue is the name of a route of the operators' configuration.
	Queue string `json:"queue"`
	Tasks int    `json:"tasks"`
	// TimeLimit is how long the caller waits for the answer.
	TimeLimit pollenfront.Duration `json:"time-limit"`
}

// A resultBody is the body of a response.
type resultBody struct {
	Detail     string               `json:"detail,omitempty"`
	ID         string               `json:"id"`
	Reason     pollenfront.Reason   `json:"reason,omitempty"`
	Remedy     string               `json:"remedy,omitempty"`
	RetryAfter pollenfront.Duration `json:"retry-after,omitempty"`
	Status     string               `json:"status"`
}

// submit decodes a job, submits it and answers with its result.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	body, err := decodeJob(w, r)
	if err != nil {
		a.refuse(w, body.ID, pollenfront.ReasonMalformed, err.Error())
		return
	}
	config := a.jobs.Config(r.Context())
	if config == nil {
		a.refuse(w, body.ID, pollenfront.ReasonUnconfigured, "")
		return
	}
	route, ok := config.RouteByName(body.Queue)
	if !ok {
		a.refuse(w, body.ID, pollenfront.ReasonUnroutable, fmt.Sprintf("there is no queue %q", body.Queue))
		return
	}
	writeResult(w, a.jobs.Submit(r.Context(), pollenfront.Submission{
		AtMostOnce: !body.MayRunAgain, Estimate: time.Duration(body.Estimate), ID: body.ID, Need: body.Need, Payload: body.Payload,
		Route: route, TaskCount: body.Tasks, TimeLimit: time.Duration(body.TimeLimit),
	}))
}

// decodeJob decodes and checks the body of a submission. With an error, it returns as
// much of the body as it could decode, so that the ID can be logged.
func decodeJob(w http.ResponseWriter, r *http.Request) (jobBody, error) {
	body := jobBody{TimeLimit: pollenfront.Duration(defaultTimeLimit)}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return body, fmt.Errorf("the body is larger than %d bytes", tooLarge.Limit)
		}
		return body, fmt.Errorf("the body is not a job: %w", err)
	}
	switch {
	case !jobIDPattern.MatchString(body.ID):
		return body, errors.New("id must be 16 hexadecimal digits in lower case")
	case body.Tasks < 1 || body.Tasks > maxTasks:
		return body, fmt.Errorf("tasks must be from 1 to %d", maxTasks)
	case len(body.Payload) > maxPayloadSize:
		return body, fmt.Errorf("payload must be at most %d bytes", maxPayloadSize)
	case body.Need.CPU < 0 || body.Need.GPU < 0 || body.Need.Memory < 0:
		return body, errors.New("need must not be negative")
	case body.Estimate < 0 || body.TimeLimit <= 0:
		return body, errors.New("declared and time-limit must be positive")
	}
	return body, nil
}

// refuse records and answers a request that is refused before it becomes a submission.
func (a *API) refuse(w http.ResponseWriter, id string, reason pollenfront.Reason, detail string) {
	a.jobs.RecordRefusal(id, reason, detail)
	writeResult(w, pollenfront.Result{Detail: detail, ID: id, Reason: reason, Verdict: pollenfront.VerdictRefused})
}

// writeResult writes the result of a job as the response.
func writeResult(w http.ResponseWriter, result pollenfront.Result) {
	if result.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(pollenfront.RetryAfterSeconds(result.RetryAfter)))
	}
	observe.WriteJSON(w, httpStatus(result), resultBody{
		Detail: result.Detail, ID: result.ID, Reason: result.Reason, Remedy: result.Reason.Remedy(),
		RetryAfter: pollenfront.Duration(result.RetryAfter), Status: result.Verdict.String(),
	})
}

// httpStatus returns the HTTP status for the result of a job.
func httpStatus(result pollenfront.Result) int {
	switch result.Verdict {
	case pollenfront.VerdictCanceled, pollenfront.VerdictCompleted, pollenfront.VerdictFailed:
		return http.StatusOK
	case pollenfront.VerdictConflict:
		return http.StatusConflict
	case pollenfront.VerdictUnknown:
		return http.StatusGatewayTimeout
	case pollenfront.VerdictRefused:
	}
	switch result.Reason {
	case pollenfront.ReasonMalformed:
		return http.StatusBadRequest
	case pollenfront.ReasonUnroutable:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}
