package callers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/entry/internal/callers"
)

// fakeJobs records submissions, and returns the same result for each of them.
type fakeJobs struct {
	config    *pollenfront.Config
	result    pollenfront.Result
	submitted []pollenfront.Submission
}

func (f *fakeJobs) Cancel(context.Context, pollenfront.JobRef, time.Duration) pollenfront.CancelOutcome {
	return pollenfront.CancelNoJob
}

func (f *fakeJobs) Config(context.Context) *pollenfront.Config { return f.config }

func (f *fakeJobs) Pending(pollenfront.Route) int { return 0 }

func (f *fakeJobs) RecordRefusal(string, pollenfront.Reason, string) {}

func (f *fakeJobs) Submit(_ context.Context, s pollenfront.Submission) pollenfront.Result {
	f.submitted = append(f.submitted, s)
	return f.result
}

func TestSubmit(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	configured := &pollenfront.Config{Routes: []pollenfront.Route{{Name: "lookups"}}}
	job := func(more string) string { return `{"id":"` + id + `","queue":"lookups","tasks":4` + more + `}` }
	tests := []struct {
		name           string
		body           string
		config         *pollenfront.Config
		result         pollenfront.Result
		wantBody       string // wantBody is a part of the response body.
		wantStatus     int
		wantSubmission *pollenfront.Submission
	}{
		{
			name: "at most once by default", body: job(`,"need":{"cpu":500,"memory":64},"declared":"60ms","payload":"p","time-limit":"2s"`), config: configured,
			wantStatus: http.StatusOK, wantBody: `"status": "completed"`,
			wantSubmission: &pollenfront.Submission{
				AtMostOnce: true, Estimate: 60 * time.Millisecond, ID: id, Need: pollenfront.Resources{CPU: 500, Memory: 64}, Payload: "p",
				Route: configured.Routes[0], TaskCount: 4, TimeLimit: 2 * time.Second,
			},
		},
		{
			name: "may run again", body: job(`,"may-run-again":true`), config: configured, wantStatus: http.StatusOK, wantBody: `"status": "completed"`,
			wantSubmission: &pollenfront.Submission{ID: id, Route: configured.Routes[0], TaskCount: 4, TimeLimit: 4 * time.Second},
		},
		{
			name: "conflicting ID", body: job(""), config: configured, wantStatus: http.StatusConflict, wantBody: `"remedy": "use another ID for another job"`,
			result: pollenfront.Result{ID: id, Reason: pollenfront.ReasonConflict, Verdict: pollenfront.VerdictConflict},
		},
		{
			name: "overloaded", body: job(""), config: configured, wantStatus: http.StatusServiceUnavailable, wantBody: `"retry-after": "1.5s"`,
			result: pollenfront.Result{ID: id, Reason: pollenfront.ReasonOverloaded, RetryAfter: 1500 * time.Millisecond, Verdict: pollenfront.VerdictRefused},
		},
		{
			name: "unknown outcome", body: job(""), config: configured, wantStatus: http.StatusGatewayTimeout, wantBody: `"status": "unknown"`,
			result: pollenfront.Result{ID: id, Reason: pollenfront.ReasonRunLost, Verdict: pollenfront.VerdictUnknown},
		},
		{name: "unknown queue", body: strings.Replace(job(""), "lookups", "others", 1), config: configured, wantStatus: http.StatusNotFound, wantBody: "others"},
		{name: "no configuration", body: job(""), wantStatus: http.StatusServiceUnavailable, wantBody: `"reason": "unconfigured"`},
		{name: "not JSON", body: "{", config: configured, wantStatus: http.StatusBadRequest, wantBody: "not a job"},
		{name: "unknown field", body: job(`,"colour":1`), config: configured, wantStatus: http.StatusBadRequest, wantBody: "colour"},
		{name: "malformed ID", body: strings.Replace(job(""), id, "xyz", 1), config: configured, wantStatus: http.StatusBadRequest, wantBody: "16 hexadecimal digits"},
		{name: "no tasks", body: strings.Replace(job(""), `"tasks":4`, `"tasks":0`, 1), config: configured, wantStatus: http.StatusBadRequest, wantBody: "tasks must be from 1 to 360"},
		{name: "negative resources", body: job(`,"need":{"cpu":-1}`), config: configured, wantStatus: http.StatusBadRequest, wantBody: "must not be negative"},
		{name: "body of 64 MB", body: `{"payload":"` + strings.Repeat("x", 64<<20), config: configured, wantStatus: http.StatusBadRequest, wantBody: "larger than 262144 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			jobs := &fakeJobs{config: test.config, result: test.result}
			router := mux.NewRouter()
			callers.NewAPI(jobs).Routes(router)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(test.body)))
			c.Assert(w.Code, qt.Equals, test.wantStatus)
			c.Assert(w.Body.String(), qt.Contains, test.wantBody)
			if test.wantSubmission != nil {
				c.Assert(jobs.submitted, qt.DeepEquals, []pollenfront.Submission{*test.wantSubmission})
			}
		})
	}
}
