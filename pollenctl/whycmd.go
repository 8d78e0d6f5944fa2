package main

import (
	"context"
	"fmt"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/program"
)

// why says why a job waits, why its servers were chosen, or why it was refused.
func (s *session) why(ctx context.Context, id string) error {
	state, err := s.job(ctx, id)
	if err != nil {
		return err
	}
	lines := append([]string{describeJob(id, state)}, state.Why...)
	return s.writer.Lines(lines, state)
}

// where says which entry owns a job and which servers its tasks are on.
func (s *session) where(ctx context.Context, id string) error {
	state, err := s.job(ctx, id)
	if err != nil {
		return err
	}
	lines := []string{describeJob(id, state)}
	if state.Answer != nil {
		for _, r := range state.Answer.Results {
			lines = append(lines, fmt.Sprintf("task %s: %s", r.Name, r.Server))
		}
	} else {
		lines = append(lines, state.Why...)
	}
	return s.writer.Lines(lines, state)
}

// job returns the state of a job.
func (s *session) job(ctx context.Context, id string) (peer.JobState, error) {
	parsed, err := pollenfront.ParseJobID(id)
	if err != nil {
		return peer.JobState{}, program.ExitError{Code: program.ExitUsage, Err: err}
	}
	return s.entries.Job(ctx, parsed)
}

// describeJob describes a job in one line.
func describeJob(id string, state peer.JobState) string {
	status := "no answer yet"
	if state.Answer != nil {
		status = string(state.Answer.Status)
	}
	return fmt.Sprintf("job %s, owner %s: %s", id, state.Owner, status)
}
