package pollenfront

import (
	"context"
	"encoding/json"
	"time"
)

// A Backend runs tasks on the backend server beside an agent.
type Backend interface {
	// Run runs task and returns its result. The backend server must not
	// start the task after startBy, a wall-clock time of the machine that
	// both processes share. It returns a refusal.NotStarted error only if
	// the task certainly did not start, and a refusal.OutcomeUnknown error
	// if it may have.
	Run(ctx context.Context, ref TaskRef, kind string, task Task, startBy time.Time) (json.RawMessage, error)
}
