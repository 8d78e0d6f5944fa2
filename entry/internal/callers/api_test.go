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

// fakeJobs answers every submission alike.
type fakeJobs struct {
	config    *pollenfront.Config
	end       pollenfront.Result
	submitted []pollenfront.Submission
}

func (f *fakeJobs) Config(context.Context) *pollenfront.Config { return f.config }

func (f *fakeJobs) Pending(pollenfront.Route) int { return 0 }

func (f *fakeJobs) RecordRefusal(string, pollenfront.Reason, string) {}

func (f *fakeJobs) Submit(_ context.Context, s pollenfront.Submission) pollenfront.Result {
	f.submitted = append(f.submitted, s)
	return f.end
}

func TestSubmit(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	configured := &pollenfront.Config{Routes: []pollenfront.Route{{Name: "lookups"}}}
	job := func(more string) string { return `{"id":"` + id + `","queue":"lookups","tasks":4` + more + `}` }
	tests := []struct {
		name    string
		body    string
		config  *pollenfront.Config
		end     pollenfront.Result
		status  int
		want    string // A part of the answer.
		arrives *pollenfront.Submission
	}{
		{
			name: "at most once by default", body: job(`,"need":{"cpu":500,"memory":64},"declared":"60ms","payload":"p","time-limit":"2s"`), config: configured,
			status: http.StatusOK, want: `"status": "completed"`,
			arrives: &pollenfront.Submission{
				AtMostOnce: true, Count: 4, Estimate: 60 * time.Millisecond, ID: id, Need: pollenfront.Resources{CPU: 500, Memory: 64}, Payload: "p",
				Route: configured.Routes[0], TimeLimit: 2 * time.Second,
			},
		},
		{
			name: "may run again", body: job(`,"may-run-again":true`), config: configured, status: http.StatusOK, want: `"status": "completed"`,
			arrives: &pollenfront.Submission{Count: 4, ID: id, Route: configured.Routes[0], TimeLimit: 4 * time.Second},
		},
		{
			name: "another job with the ID", body: job(""), config: configured, status: http.StatusConflict, want: `"remedy": "use another ID for another job"`,
			end: pollenfront.Result{ID: id, Reason: pollenfront.ReasonConflict, Verdict: pollenfront.VerdictConflict},
		},
		{
			name: "overloaded", body: job(""), config: configured, status: http.StatusServiceUnavailable, want: `"retry-after": "1.5s"`,
			end: pollenfront.Result{ID: id, Reason: pollenfront.ReasonOverloaded, RetryAfter: 1500 * time.Millisecond, Verdict: pollenfront.VerdictRefused},
		},
		{
			name: "outcome not known", body: job(""), config: configured, status: http.StatusGatewayTimeout, want: `"status": "unknown"`,
			end: pollenfront.Result{ID: id, Reason: pollenfront.ReasonRunLost, Verdict: pollenfront.VerdictUnknown},
		},
		{name: "no such queue", body: strings.Replace(job(""), "lookups", "others", 1), config: configured, status: http.StatusNotFound, want: "others"},
		{name: "no configuration", body: job(""), status: http.StatusServiceUnavailable, want: `"reason": "unconfigured"`},
		{name: "not JSON", body: "{", config: configured, status: http.StatusBadRequest, want: "not a job"},
		{name: "an unknown field", body: job(`,"colour":1`), config: configured, status: http.StatusBadRequest, want: "colour"},
		{name: "a bad ID", body: strings.Replace(job(""), id, "xyz", 1), config: configured, status: http.StatusBadRequest, want: "16 hexadecimal digits"},
		{name: "no tasks", body: strings.Replace(job(""), `"tasks":4`, `"tasks":0`, 1), config: configured, status: http.StatusBadRequest, want: "tasks must be from 1 to 360"},
		{name: "negative room", body: job(`,"need":{"cpu":-1}`), config: configured, status: http.StatusBadRequest, want: "must not be negative"},
		{name: "a body of 64 MB", body: `{"payload":"` + strings.Repeat("x", 64<<20), config: configured, status: http.StatusBadRequest, want: "larger than 262144 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			jobs := &fakeJobs{config: test.config, end: test.end}
			router := mux.NewRouter()
			callers.NewAPI(jobs).Routes(router)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(test.body)))
			c.Assert(w.Code, qt.Equals, test.status)
			c.Assert(w.Body.String(), qt.Contains, test.want)
			if test.arrives != nil {
				c.Assert(jobs.submitted, qt.DeepEquals, []pollenfront.Submission{*test.arrives})
			}
		})
	}
}
