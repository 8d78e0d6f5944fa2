package timeline

import (
	"cmp"
	"fmt"
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

// endKnown reports whether a line with an end on the given evidence tells nothing new: the entry's line
// follows the one of the agent, or the agent refused the same number from another entry.
func (s *Start) endKnown(evidence string) bool {
	if evidence == "no-start-sent" && s.sentByAgent {
		return true
	}
	return !s.Ended.IsZero() && s.Ending != notStarted
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
