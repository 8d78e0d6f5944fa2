package timeline_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/pollenctl/internal/timeline"
)

// readLogs returns the table of a request from all logs in a folder of testdata.
func readLogs(t *testing.T, request, folder string) string {
	t.Helper()
	c := qt.New(t)
	logs, err := filepath.Glob(filepath.Join("testdata", folder, "*.log"))
	c.Assert(err, qt.IsNil)
	c.Assert(logs, qt.Not(qt.HasLen), 0)
	tl := timeline.New(request)
	for _, name := range logs {
		data, err := os.ReadFile(name) //nolint:gosec // A file of the test.
		c.Assert(err, qt.IsNil)
		c.Assert(tl.Read(bytes.NewReader(data)), qt.IsNil)
	}
	var out bytes.Buffer
	c.Assert(tl.WriteTable(&out), qt.IsNil)
	return out.String()
}

// linesWith returns the lines of text that contain part.
func linesWith(text, part string) []string {
	var lines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, part) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// TestOverlaps guards against logs of two processes that hide that a task ran twice at the same
// time, or why, and against a claim of it where a run was over. The lines were recorded in soaks
// with seeds 3320 (two-entries, in which the soak saw the same two servers) and 3327 (late-start). In
// one-entry, the run on agent-0 ends 1.3 s later than recorded.
func TestOverlaps(t *testing.T) {
	tests := []struct {
		name    string
		folder  string
		request string
		want    []string
	}{
		{
			name: "two entries have the job", folder: "two-entries", request: "000000000000006f",
			want: []string{
				"task 1: two runs at the same time: run 1 on agent-0 and run 1 on agent-3 from 08:02:53.240417 to 08:02:53.687317, " +
					"because entry-0 took its caller for waiting until 08:02:51.936767 and entry-1 got the job at 08:02:53.240409",
			},
		},
		{
			name: "a start that was taken for withdrawn", folder: "one-entry", request: "0000000000000080",
			want: []string{
				"task 3: two runs at the same time: run 1 on agent-3 and run 2 on agent-0 from 08:01:53.230740 to 08:01:53.309938, " +
					"because run 1 was taken for over by stopped-and-unlisted, 0.016 s old, at entry-2",
			},
		},
		{name: "a late start after the end of the second run", folder: "late-start", request: "0000000000000080"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, linesWith(readLogs(t, test.request, test.folder), "two runs at the same time"), qt.DeepEquals, test.want)
		})
	}
}

// TestStarts checks that the starts of a task are listed in order with the token, the end of the
// lease, the entry, and why the run was taken for over.
func TestStarts(t *testing.T) {
	c := qt.New(t)
	lines := linesWith(readLogs(t, "0000000000000080", "late-start"), "task 3: run")
	c.Assert(lines, qt.DeepEquals, []string{
		"task 3: run 1 on agent-3, sent 08:01:51.098923 by entry-2, not-started by 08:01:51.609956, on the server from 08:01:53.230740 to 08:01:53.330559, " +
			"taken for over by stopped-and-unlisted, 0.016 s old, at entry-2",
		"task 3: run 2 on agent-0, sent 08:01:51.615727 by entry-2, token 1796457702460, lease until 08:01:52.198040, stopped by 08:01:52.009938",
	})
}

// TestMissingEnd checks that a run of which no log tells the end is named, and not taken for one
// that went on.
func TestMissingEnd(t *testing.T) {
	c := qt.New(t)
	const logs = `{"ts":"2026-12-05T08:00:03Z","msg":"tasks placed","name":"entry-1","request":"0a","server":"agent-2","run":2,"tasks":1,"waited":2,
"reruns":[{"task":0,"run":2,"former":1,"former-agent":"agent-1","former-sent-age":1.9,"ending":"lost","evidence":"agent-silent","evidence-age":1.31}]}
{"ts":"2026-12-05T08:00:04Z","msg":"run ended","name":"agent-2","request":"0a","task":0,"run":2,"ending":"failed","entry":"entry-1","seconds":0.9,"evidence":"end-listed"}
`
	tl := timeline.New("0a")
	c.Assert(tl.Read(strings.NewReader(strings.Replace(logs, ",\n", ",", 1))), qt.IsNil)
	var out bytes.Buffer
	c.Assert(tl.WriteTable(&out), qt.IsNil)
	c.Assert(tl.Overlaps, qt.HasLen, 0)
	c.Assert(linesWith(out.String(), "missing: the end of run 1 of task 0 on agent-1"), qt.HasLen, 1)
	c.Assert(linesWith(out.String(), "taken for over by agent-silent, 1.310 s old, at entry-1"), qt.HasLen, 1)
}

// TestLateEnd guards against an overlap that only the entry knows of: the first run was taken for
// over, and ended as done after the second one had started. The report of it arrives late.
func TestLateEnd(t *testing.T) {
	c := qt.New(t)
	const logs = `{"ts":"2026-12-05T08:00:03Z","msg":"tasks placed","name":"entry-1","request":"0a","server":"agent-2","run":2,"tasks":1,"waited":2,
"reruns":[{"task":0,"run":2,"former":1,"former-agent":"agent-1","former-sent-age":1.9,"ending":"lost","evidence":"agent-silent","evidence-age":1.31}]}
{"ts":"2026-12-05T08:00:03.9Z","msg":"run that was taken for over has ended","name":"entry-1","request":"0a","task":0,"run":1,"agent":"agent-1","ending":"done","seconds":2.1}
`
	tl := timeline.New("0a")
	c.Assert(tl.Read(strings.NewReader(strings.Replace(logs, ",\n", ",", 1))), qt.IsNil)
	var out bytes.Buffer
	c.Assert(tl.WriteTable(&out), qt.IsNil)
	c.Assert(linesWith(out.String(), "two runs"), qt.DeepEquals, []string{
		"task 0: two runs at the same time: run 1 on agent-1 and run 2 on agent-2 from 08:00:03.000000 to 08:00:03.200000, " +
			"because run 1 was taken for over by agent-silent, 1.310 s old, at entry-1",
	})
}
