package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/program"
	"github.com/pollenfront/pollenfront/view"
)

// change makes a change, based on the version that the operator looked at.
func (s *session) change(ctx context.Context, change view.Change) error {
	change.Base = s.Base
	if change.Base == 0 {
		v, err := s.entries.View(ctx)
		if err != nil {
			return err
		}
		change.Base = v.Version
	}
	change.By = s.By
	change.ID = uuid.NewString()
	result, err := s.entries.Change(ctx, operatorapi.ChangeRequest{Change: change, DryRun: s.DryRun})
	if err != nil {
		return err
	}
	if err := s.writer.Lines([]string{describe(result)}, result); err != nil {
		return err
	}
	if !result.DryRun && !result.Accepted {
		return program.ExitError{Code: program.ExitNotInForce, Err: fmt.Errorf("recorded in version %d, not yet in force; run `pollenctl watch %d`", result.Version, result.Version)}
	}
	return nil
}

// describe describes what became of a change.
func describe(result operatorapi.ChangeResult) string {
	switch {
	case result.DryRun:
		return fmt.Sprintf("dry run: the change would make version %d", result.Version)
	case !result.Accepted:
		return fmt.Sprintf("recorded in version %d; not yet in force at %s", result.Version, strings.Join(result.Unconfirmed, ", "))
	case len(result.Unconfirmed) > 0:
		return fmt.Sprintf("accepted in version %d; not yet confirmed by %s", result.Version, strings.Join(result.Unconfirmed, ", "))
	}
	return fmt.Sprintf("accepted in version %d", result.Version)
}
