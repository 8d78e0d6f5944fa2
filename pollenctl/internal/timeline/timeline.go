// Package timeline collects the log lines that concern one request from the
// logs of several processes, orders them by time and summarizes them. It lists the starts of
// each task, and finds two runs of one task that went on at the same time, with the evidence on
// which the entry had taken the first one for over. Lines of the entries and of both agents tell
// that; the clocks of their machines must agree.
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
	// Overlaps are the runs of a task that went on at the same time.
	Overlaps []Overlap `json:"overlaps"`
	// Request is the ID of the request.
	Request string `json:"request"`
	// Starts are the started runs by task and time.
	Starts  []Start `json:"starts"`
	Summary string  `json:"summary"`
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
		if fields, err := decode(line[start:]); err == nil {
			t.add(fields)
		}
	}
	return scanner.Err()
}

// decode decodes a JSON object. Numbers keep their digits, since tokens and incarnations have more
// of them than a float64.
func decode(object []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	var fields map[string]any
	err := decoder.Decode(&fields)
	return fields, err
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

// summarize sorts the lines by time, and sets Summary, Starts, Overlaps and Missing.
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
	t.Starts = starts(t.Lines)
	t.Overlaps = overlaps(t.Starts, t.Lines)
	t.Missing = append(t.Missing, missingEnds(t.Starts)...)
}

// missingEnds names the runs that another one of the same task followed and whose ends no log
// tells. Whether the two overlapped is not known.
func missingEnds(all []Start) []string {
	var missing []string
	for i := range all {
		s := &all[i]
		if i+1 < len(all) && all[i+1].Task == s.Task && s.Ended.IsZero() && s.SeenUntil.IsZero() {
			missing = append(missing, fmt.Sprintf("the end of run %d of task %d on %s: look for the log of the agent, or the end of its process", s.Run, s.Task, s.Agent))
		}
	}
	return missing
}

// WriteJSON writes the timeline as an indented JSON object.
func (t *Timeline) WriteJSON(out io.Writer) error {
	t.summarize()
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// WriteTable writes the timeline as a table for people: the summary, the overlaps, the
// starts, one row for each line, and what is missing. Times are in UTC.
func (t *Timeline) WriteTable(out io.Writer) error {
	t.summarize()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Summary)
	for i := range t.Overlaps {
		fmt.Fprintln(w, &t.Overlaps[i])
	}
	for i := range t.Starts {
		fmt.Fprintln(w, &t.Starts[i])
	}
	for _, line := range t.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", line.Time.UTC().Format(clockFormat), line.Process, line.Message, formatInputs(line.Inputs))
	}
	for _, missing := range t.Missing {
		fmt.Fprintf(w, "missing: %s\n", missing)
	}
	return w.Flush()
}

// formatInput returns the text of an input. The elements of a list are in brackets.
func formatInput(input any) string {
	switch value := input.(type) {
	case []any:
		var b strings.Builder
		for _, element := range value {
			fmt.Fprintf(&b, "[%s]", formatInput(element))
		}
		return b.String()
	case map[string]any:
		return formatInputs(value)
	}
	return fmt.Sprint(input)
}

// formatInputs returns the inputs of a line as "name=value" pairs sorted by
// name. It leaves out empty strings.
func formatInputs(inputs map[string]any) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(inputs)) {
		if value := formatInput(inputs[name]); value != "" {
			pairs = append(pairs, name+"="+value)
		}
	}
	return strings.Join(pairs, " ")
}
