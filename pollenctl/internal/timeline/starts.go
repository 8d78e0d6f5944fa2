package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// clockFormat is the format of times of day, which are in UTC.
const clockFormat = "15:04:05.000000"

// notStarted is the ending of a run that never started.
const notStarted = "not-started"

// A Start is a run of a task that was started, as far as the logs tell.
type Start struct {
	Agent string `json:"agent"`
	// Ended is the time by which the run was certainly over, or zero if the logs do not tell.
	Ended time.Time `json:"ended,omitzero"`
	// Ending is how the run ended by the log of its agent.
	Ending string `json:"ending,omitempty"`
	Entry  string `json:"entry"`
	// LeaseEnd is the end of the server's lease that the newest logged start request states.
	LeaseEnd time.Time `json:"lease-end,omitzero"`
	Run      int       `json:"run"`
	// SeenFrom and SeenUntil are when the server first and last listed the run although its agent
	// had taken it for over or did not know it. The agent has no end of such a run.
	SeenFrom  time.Time `json:"seen-from,omitzero"`
	SeenUntil time.Time `json:"seen-until,omitzero"`
	// Sent is when the start request was sent, or the start command if the agent does not log
	// the request.
	Sent time.Time `json:"sent"`
	Task int       `json:"task"`
	// TakenForOver is why the entry sent the task again, or nil if the logs do not tell.
	TakenForOver *Conclusion `json:"taken-for-over,omitempty"`
	Token        string      `json:"token,omitempty"`

	// sentByAgent is whether Sent is from the agent's log.
	sentByAgent bool
}

// A Conclusion is why an entry took a run for over.
type Conclusion struct {
	Age      time.Duration `json:"age-ns"`
	At       time.Time     `json:"at"`
	Ending   string        `json:"ending"`
	Entry    string        `json:"entry"`
	Evidence string        `json:"evidence"`
}

// A runKey identifies a run of a task. Two entries may use the same number on two agents.
type runKey struct {
	agent string
	run   int
	task  int
}

// A history collects the runs of a request from log lines.
type history map[runKey]*Start

// starts returns the started runs by task and time. The lines must be in the order of time.
func starts(lines []Line) []Start {
	h := make(history)
	for i := range lines {
		h.read(&lines[i])
	}
	var all []Start
	for _, s := range h {
		if s.mayHaveStarted() {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b Start) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Sent.Compare(b.Sent), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Agent, b.Agent))
	})
	return all
}

// mayHaveStarted reports whether a start was sent that was not refused or withdrawn for certain. That the
// server lists the run outweighs its ending, and that the agent sent it outweighs what the entry concluded.
func (s *Start) mayHaveStarted() bool {
	switch {
	case s.Sent.IsZero():
		return false
	case !s.SeenUntil.IsZero():
		return true
	case s.Ending == "" && s.TakenForOver != nil && s.TakenForOver.Ending == notStarted:
		return s.sentByAgent
	}
	return s.Ending != notStarted
}

// read adds what a line tells of runs.
func (h history) read(line *Line) {
	in := line.Inputs
	switch line.Message {
	case "task started again", "start answered":
		h.readStart(line)
	case "run ended":
		h.readEnd(line, line.Process)
	case "run that was taken for over has ended":
		h.readLateEnd(line)
	case "run that was taken for over goes on":
		h.run(stringValue(in["agent"]), in).seenOnServer(line.Time)
	case "unknown run on the backend server", "conclusion contradicted by the backend server":
		h.run(line.Process, in).seenOnServer(line.Time)
	case "run of a silent agent taken for ended":
		s := h.run(stringValue(in["agent"]), in)
		s.Entry = line.Process
		s.sentBefore(line.Time.Add(-seconds(in["sent-age"])))
		s.TakenForOver = &Conclusion{Age: seconds(in["update-age"]), At: line.Time, Ending: "lost", Entry: line.Process, Evidence: "agent-silent"}
	case "tasks placed":
		reruns, _ := in["reruns"].([]any)
		for _, r := range reruns {
			if rerun, ok := r.(map[string]any); ok {
				h.readRerun(line, rerun)
			}
		}
	}
}

// run returns the run that the fields task and run name on an agent, and adds it if needed.
func (h history) run(agent string, fields map[string]any) *Start {
	key := runKey{agent: agent, run: number(fields["run"]), task: number(fields["task"])}
	s, ok := h[key]
	if !ok {
		s = &Start{Agent: agent, Run: key.run, Task: key.task}
		h[key] = s
	}
	return s
}

// readStart reads a start request that an agent has sent. One that failed may have been refused.
func (h history) readStart(line *Line) {
	if _, failed := line.Inputs["error"]; failed {
		return
	}
	s := h.run(line.Process, line.Inputs)
	if !s.sentByAgent {
		s.Sent, s.sentByAgent = line.Time.Add(-seconds(line.Inputs["after"])), true
	}
	if token, ok := line.Inputs["token"].(json.Number); ok {
		s.Token = token.String()
	}
	if lease := seconds(line.Inputs["lease"]); lease > 0 {
		s.LeaseEnd = line.Time.Add(lease)
	}
	if entry := stringValue(line.Inputs["entry"]); entry != "" {
		s.Entry = entry
	}
}

// readEnd reads the end of a run from the log of its agent, or of the entry that the agent told of it.
// An expired lease shows that the run was over by then. All other evidence states a time at which the run
// may still have gone on.
func (h history) readEnd(line *Line, agent string) {
	s := h.run(agent, line.Inputs)
	if s.endKnown(stringValue(line.Inputs["evidence"])) {
		return
	}
	s.Ending, s.Ended = stringValue(line.Inputs["ending"]), line.Time
	s.Entry = cmp.Or(stringValue(line.Inputs["entry"]), line.Process)
	if stringValue(line.Inputs["evidence"]) == "lease-expired" {
		s.Ended = line.Time.Add(-seconds(line.Inputs["evidence-age"]))
	}
	if took := seconds(line.Inputs["seconds"]); took > 0 {
		s.sentBefore(line.Time.Add(-took))
	}
}

// readLateEnd reads the end of a run from the log of its entry. The agent's update may have been delayed,
// so the run is taken to have ended as soon as it can have.
func (h history) readLateEnd(line *Line) {
	h.readEnd(line, stringValue(line.Inputs["agent"]))
	s := h.run(stringValue(line.Inputs["agent"]), line.Inputs)
	if soonest := s.Sent.Add(seconds(line.Inputs["seconds"])); s.Ended.Equal(line.Time) && soonest.Before(s.Ended) {
		s.Ended = soonest
	}
}

// endKnown reports whether a line with an end on the given evidence tells nothing new: the entry's line
// follows the one of the agent, or the agent refused the same number from another entry.
func (s *Start) endKnown(evidence string) bool {
	if evidence == "no-start-sent" && s.sentByAgent {
		return true
	}
	return !s.Ended.IsZero() && s.Ending != notStarted
}

// readRerun reads a rerun from the log of the entry that has placed it, and why the entry took the
// former run for over.
func (h history) readRerun(line *Line, rerun map[string]any) {
	next := h.run(stringValue(line.Inputs["server"]), rerun)
	next.Entry = line.Process
	next.sentBefore(line.Time)
	former := h.run(stringValue(rerun["former-agent"]), map[string]any{"run": rerun["former"], "task": rerun["task"]})
	former.Entry = line.Process
	former.sentBefore(line.Time.Add(-seconds(rerun["former-sent-age"])))
	former.TakenForOver = &Conclusion{
		Age: seconds(rerun["evidence-age"]), At: line.Time, Ending: stringValue(rerun["ending"]), Entry: line.Process, Evidence: stringValue(rerun["evidence"]),
	}
}

// seenOnServer records that the server listed the run.
func (s *Start) seenOnServer(at time.Time) {
	if s.SeenFrom.IsZero() {
		s.SeenFrom = at
	}
	s.SeenUntil = at
	s.sentBefore(at)
}

// sentBefore records that the start was sent at the given time or before, unless the agent has
// logged the time.
func (s *Start) sentBefore(at time.Time) {
	if s.Sent.IsZero() || !s.sentByAgent && at.Before(s.Sent) {
		s.Sent = at
	}
}

// String describes the start in one line.
func (s *Start) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "task %d: run %d on %s, sent %s by %s", s.Task, s.Run, s.Agent, s.Sent.UTC().Format(clockFormat), cmp.Or(s.Entry, "an unknown entry"))
	if s.Token != "" {
		fmt.Fprintf(&b, ", token %s", s.Token)
	}
	if !s.LeaseEnd.IsZero() {
		fmt.Fprintf(&b, ", lease until %s", s.LeaseEnd.UTC().Format(clockFormat))
	}
	if !s.Ended.IsZero() {
		fmt.Fprintf(&b, ", %s by %s", s.Ending, s.Ended.UTC().Format(clockFormat))
	}
	if !s.SeenUntil.IsZero() {
		fmt.Fprintf(&b, ", on the server from %s to %s", s.SeenFrom.UTC().Format(clockFormat), s.SeenUntil.UTC().Format(clockFormat))
	}
	if s.TakenForOver != nil {
		fmt.Fprintf(&b, ", taken for over %s", s.TakenForOver)
	}
	return b.String()
}

// String describes the conclusion as the end of a sentence.
func (c *Conclusion) String() string {
	return fmt.Sprintf("by %s, %.3f s old, at %s", cmp.Or(c.Evidence, "no stated evidence"), c.Age.Seconds(), c.Entry)
}

// number returns a field that is a whole number, or 0.
func number(field any) int {
	n, _ := field.(json.Number)
	value, _ := n.Int64()
	return int(value)
}

// seconds returns a field that is a time in seconds, or 0.
func seconds(field any) time.Duration {
	n, _ := field.(json.Number)
	value, _ := n.Float64()
	return time.Duration(value * float64(time.Second))
}
