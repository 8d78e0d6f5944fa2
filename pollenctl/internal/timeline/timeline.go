// Package timeline puts together what became of a request, from the lines that
// several processes have logged.
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

// maxLine bounds a line of a log.
const maxLine = 1 << 20 // bytes

// A Line is a line of a log that touches a request.
type Line struct {
	Inputs  map[string]any `json:"inputs"` // What decided, with its age.
	Message string         `json:"message"`
	Process string         `json:"process"`
	Time    time.Time      `json:"time"`
}

// A Timeline is what became of a request.
type Timeline struct {
	Lines   []Line   `json:"lines"`
	Missing []string `json:"missing"` // What the logs do not tell.
	Request string   `json:"request"`
	Summary string   `json:"summary"`
}

// New returns a story of which nothing is known.
func New(request string) *Timeline {
	return &Timeline{Request: request}
}

// Read takes the lines of a log that touch the request. Lines that are not of
// pollenfront's processes are passed over, and text before a line's object.
func (t *Timeline) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	mark := []byte(`"request":"` + t.Request + `"`)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, mark) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line[start:], &fields) == nil {
			t.add(fields)
		}
	}
	return scanner.Err()
}

// add adds a line.
func (t *Timeline) add(fields map[string]any) {
	at, err := time.Parse(time.RFC3339Nano, text(fields["ts"]))
	if err != nil {
		return
	}
	l := Line{Message: text(fields["msg"]), Process: text(fields["name"]), Time: at}
	for _, known := range []string{"level", "ts", "msg", "program", "name", "request"} {
		delete(fields, known)
	}
	l.Inputs = fields
	t.Lines = append(t.Lines, l)
}

// text returns a field as text, or "".
func text(field any) string {
	t, _ := field.(string)
	return t
}

// conclude orders the lines and sums them up.
func (t *Timeline) conclude() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	seen := make(map[string]bool)
	t.Missing = []string{}
	t.Summary = "the logs do not tell how the request ended"
	for _, l := range t.Lines {
		seen[l.Message] = true
		switch l.Message {
		case "job answered":
			t.Summary = fmt.Sprintf("%s answered %v after %v s: %v %s", l.Process, l.Inputs["verdict"], l.Inputs["after"], l.Inputs["reason"], text(l.Inputs["detail"]))
		case "caller left":
			t.Summary = fmt.Sprintf("its caller left %s after %v s", l.Process, l.Inputs["after"])
		case "request refused":
			t.Summary = fmt.Sprintf("%s refused it by its form: %v %v", l.Process, l.Inputs["reason"], l.Inputs["detail"])
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

// WriteJSON writes the story as an object.
func (t *Timeline) WriteJSON(out io.Writer) error {
	t.conclude()
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// WriteTable writes the story for people.
func (t *Timeline) WriteTable(out io.Writer) error {
	t.conclude()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Summary)
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.UTC().Format("15:04:05.000000"), l.Process, l.Message, inputs(l.Inputs))
	}
	for _, m := range t.Missing {
		fmt.Fprintf(w, "missing: %s\n", m)
	}
	return w.Flush()
}

// inputs returns the inputs of a line in a fixed order.
func inputs(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if value := fields[name]; value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	return strings.Join(parts, " ")
}
