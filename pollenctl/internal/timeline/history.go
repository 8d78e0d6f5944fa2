package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

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
