// Package timeline collects the log lines that concern one request from the
// logs of several processes, orders them by time and summarizes them.
//
// # Usage
//
//	t := timeline.New("5c0e7a21d94b36f8")
//	err := t.Read(file)
//	err = t.WriteTable(os.Stdout)
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// maxLineBytes is the longest log line that Read accepts. Read returns
// bufio.ErrTooLong for a longer one.
const maxLineBytes = 1 << 20

// A Line is a log line that concerns a request.
type Line struct {
	// Inputs are the remaining fields of the log line: the values that a decision
	// was based on, and their age.
	Inputs  map[string]any `json:"inputs"`
	Message string         `json:"message"`
	// Process is the name of the process that logged the line.
	Process string    `json:"process"`
	Time    time.Time `json:"time"`
}

// A Timeline is the history of a request as far as the logs contain it.
type Timeline struct {
	Lines []Line `json:"lines"`
	// Missing explains which expected log lines are absent.
	Missing []string `json:"missing"`
	// Request is the ID of the request.
	Request string `json:"request"`
	Summary string `json:"summary"`
}

// New returns an empty timeline of the request with the given ID.
func New(request string) *Timeline {
	return &Timeline{Request: request}
}

// Read adds the lines of a log that concern the request. It skips lines that
// are not JSON objects, and ignores text before the object of a line, such as a
// time and the name of a process.
func (t *Timeline) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	requestField := []byte(`"request":"` + t.Request + `"`)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, requestField) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line[start:], &fields) == nil {
			t.add(fields)
		}
	}
	return scanner.Err()
}

// add adds a line with the given fields, unless its time can't be parsed. It
// removes fields from the map, which becomes the Inputs of the line.
func (t *Timeline) add(fields map[string]any) {
	at, err := time.Parse(time.RFC3339Nano, stringValue(fields["ts"]))
	if err != nil {
		return
	}
	line := Line{Message: stringValue(fields["msg"]), Process: stringValue(fields["name"]), Time: at}
	for _, name := range []string{"level", "ts", "msg", "program", "name", "request"} {
		delete(fields, name)
	}
	line.Inputs = fields
	t.Lines = append(t.Lines, line)
}

// stringValue returns the value of a field if it is a string, and "" otherwise.
func stringValue(field any) string {
	value, _ := field.(string)
	return value
}

// summarize sorts the lines by time, and sets Summary and Missing.
func (t *Timeline) summarize() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	seen := make(map[string]bool)
	t.Missing = []string{}
	t.Summary = "the logs do not tell how the request ended"
	for _, line := range t.Lines {
		seen[line.Message] = true
		switch line.Message {
		case "job answered":
			t.Summary = fmt.Sprintf("%s answered %v after %v s: %v %s", line.Process, line.Inputs["verdict"], line.Inputs["after"], line.Inputs["reason"],
				stringValue(line.Inputs["detail"]))
		case "caller left":
			t.Summary = fmt.Sprintf("its caller left %s after %v s", line.Process, line.Inputs["after"])
		case "request refused":
			t.Summary = fmt.Sprintf("%s refused it by its form: %v %v", line.Process, line.Inputs["reason"], line.Inputs["detail"])
		}
	}
	switch {
	case len(t.Lines) == 0:
		t.Missing = append(t.Missing, "no line names the request: it never arrived, or it was completed in time and was not sampled")
	case !seen["job answered"] && !seen["caller left"] && !seen["request refused"]:
		t.Missing = append(t.Missing, "no answer is logged: look for the end of the entry's process")
	case !seen["job taken"]:
		t.Missing = append(t.Missing, "the request was not sampled: placements of first runs are not logged")
	}
}

// WriteJSON writes the timeline as an indented JSON object.
func (t *Timeline) WriteJSON(out io.Writer) error {
	t.summarize()
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// WriteTable writes the timeline as a table for people: the summary, one row
// for each line, and what is missing. Times are in UTC.
func (t *Timeline) WriteTable(out io.Writer) error {
	t.summarize()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Summary)
	for _, line := range t.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", line.Time.UTC().Format("15:04:05.000000"), line.Process, line.Message, formatInputs(line.Inputs))
	}
	for _, missing := range t.Missing {
		fmt.Fprintf(w, "missing: %s\n", missing)
	}
	return w.Flush()
}

// formatInputs returns the inputs of a line as "name=value" pairs sorted by
// name. It leaves out empty strings.
func formatInputs(inputs map[string]any) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(inputs)) {
		if value := inputs[name]; value != "" {
			pairs = append(pairs, fmt.Sprintf("%s=%v", name, value))
		}
	}
	return strings.Join(pairs, " ")
}
