package callers

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

func TestDecodeJob(t *testing.T) {
	const id = "01a23edb-3bdf-7ee3-8e68-116d09d06a9e"
	now := time.Now()
	tasks := func(n int) string {
		names := make([]string, 0, n)
		for i := range n {
			names = append(names, fmt.Sprintf(`{"name":"t%d"}`, i))
		}
		return strings.Join(names, ",")
	}
	job := func(fields string) string { return fmt.Sprintf(`{"id":%q,"team":"a","kind":"b",%s}`, id, fields) }
	tests := []struct {
		name string
		body string
		want refusal.Kind // Empty if the job is well formed.
	}{
		{name: "good", body: job(`"timeout":"5s","tasks":[{"name":"a"}]`)},
		{name: "as many tasks as allowed", body: job(`"timeout":"5s","tasks":[` + tasks(pollenfront.MaxTasksPerJob) + `]`)},
		{name: "not JSON", body: "hello", want: refusal.BadRequest},
		{name: "empty", body: "", want: refusal.BadRequest},
		{name: "unknown field", body: job(`"timeout":"5s","tsaks":[]`), want: refusal.BadRequest},
		{name: "two jobs", body: job(`"timeout":"5s","tasks":[{"name":"a"}]`) + "{}", want: refusal.BadRequest},
		{name: "no ID", body: `{"timeout":"5s","tasks":[{"name":"a"}]}`, want: refusal.BadRequest},
		{name: "UUIDv4", body: strings.Replace(job(`"timeout":"5s","tasks":[{"name":"a"}]`), "-7ee3", "-4ee3", 1), want: refusal.BadRequest},
		{name: "upper-case ID", body: strings.Replace(job(`"timeout":"5s","tasks":[{"name":"a"}]`), "01a23edb", "01A23EDB", 1), want: refusal.BadRequest},
		{name: "no deadline", body: job(`"tasks":[{"name":"a"}]`), want: refusal.BadRequest},
		{name: "deadline and timeout", body: job(`"timeout":"5s","deadline":"2030-01-01T00:00:00Z","tasks":[{"name":"a"}]`), want: refusal.BadRequest},
		{name: "deadline too far", body: job(`"timeout":"1h","tasks":[{"name":"a"}]`), want: refusal.BadRequest},
		{name: "no tasks", body: job(`"timeout":"5s","tasks":[]`), want: refusal.BadRequest},
		{name: "too many tasks", body: job(`"timeout":"5s","tasks":[` + tasks(pollenfront.MaxTasksPerJob+1) + `]`), want: refusal.TooLarge},
		{name: "two tasks of one name", body: job(`"timeout":"5s","tasks":[{"name":"a"},{"name":"a"}]`), want: refusal.BadRequest},
		{name: "empty task name", body: job(`"timeout":"5s","tasks":[{"name":""}]`), want: refusal.BadRequest},
		{name: "negative run time", body: job(`"timeout":"5s","tasks":[{"name":"a","declared":"-1s"}]`), want: refusal.BadRequest},
		{name: "run time of the wrong form", body: job(`"timeout":"5s","tasks":[{"name":"a","declared":3}]`), want: refusal.BadRequest},
		{name: "large payload", body: job(`"timeout":"5s","tasks":[{"name":"a","payload":"` + strings.Repeat("x", pollenfront.MaxPayloadSize) + `"}]`), want: refusal.TooLarge},
		{name: "large body", body: job(`"timeout":"5s","tasks":[{"name":"` + strings.Repeat("x", pollenfront.MaxBodySize) + `"}]`), want: refusal.TooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(test.body))
			decoded, err := decodeJob(httptest.NewRecorder(), request, now)
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, decoded.Deadline, qt.Equals, now.Add(5*time.Second))
				return
			}
			qt.Assert(t, refusal.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
