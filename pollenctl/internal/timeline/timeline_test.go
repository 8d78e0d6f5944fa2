package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/pollenctl/internal/timeline"
)

func TestTimeline(t *testing.T) {
	const logs = `not a line of pollenfront
  3.1 agent-1 {"level":"info","ts":"2026-12-04T04:31:05.2Z","msg":"run ended","program":"agent","name":"agent-1","request":"0a","ending":"lost","reason":"the lease has lapsed"}
{"level":"info","ts":"2026-12-04T04:31:05.1Z","msg":"job taken","program":"entry","name":"entry-1","request":"0a","tasks":4}
{"level":"info","ts":"2026-12-04T04:31:05.3Z","msg":"job answered","program":"entry","name":"entry-1","request":"0a","verdict":"unknown","reason":"time-limit","after":1.5}
{"level":"info","ts":"2026-12-04T04:31:05.4Z","msg":"job answered","program":"entry","name":"entry-1","request":"0b","verdict":"refused","reason":"overloaded","after":0}
{"level":"info","ts":"2026-12-04T04:32:00.1Z","msg":"caller left","program":"entry","name":"entry-1","request":"0d","after":0.3}
{"level":"warn","ts":"2026-12-04T04:32:01.4Z","msg":"run of a silent agent taken for ended","name":"entry-2","request":"0d","run":1,"agent":"agent-7","update-age":1.31}
{"level":"info","ts":"2026-12-04T04:32:01.5Z","msg":"job submitted again","name":"entry-1","request":"0d","earlier":"caller-left","reason":"left","ended-before":1.4}
{"level":"info","ts":"2026-12-04T04:32:01.6Z","msg":"task accepted again","name":"agent-1","request":"0d","task":2,"run":1,"earlier-entry":"entry-2"}
{"level":"error","ts":"2026-12-04T04:32:01.7Z","msg":"conclusion contradicted by the backend server","name":"agent-7","evidence":"lease-expired","age":0.2,"request":"0d"}
`
	tests := []struct {
		name    string
		request string
		// want are texts that the table contains in this order.
		want []string
	}{
		{
			name: "lines of several processes sorted by time", request: "0a",
			want: []string{"request 0a: entry-1 answered unknown after 1.5 s: time-limit", "job taken", "run ended", "ending=lost reason=the lease has lapsed", "job answered"},
		},
		{
			name: "a request that was not sampled", request: "0b",
			want: []string{"refused after 0 s: overloaded", "missing: the request was not sampled"},
		},
		{
			name: "a request of two entries", request: "0d",
			want: []string{
				"its caller left entry-1", "caller left", "entry-2", "run of a silent agent taken for ended", "agent=agent-7", "update-age=1.31",
				"job submitted again", "earlier=caller-left ended-before=1.4", "task accepted again", "earlier-entry=entry-2",
				"conclusion contradicted by the backend server", "evidence=lease-expired",
			},
		},
		{name: "a request that is not in the logs", request: "0c", want: []string{"missing: no line names the request"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tl := timeline.New(test.request)
			c.Assert(tl.Read(strings.NewReader(logs)), qt.IsNil)
			var out bytes.Buffer
			c.Assert(tl.WriteTable(&out), qt.IsNil)
			remaining := out.String()
			for _, want := range test.want {
				before, after, found := strings.Cut(remaining, want)
				c.Assert(found, qt.IsTrue, qt.Commentf("%q is not in %q", want, before))
				remaining = after
			}
		})
	}
}
