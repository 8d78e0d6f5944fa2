package pollenfront

import (
	"context"
	"errors"
	"time"
)

// Errors of a BackendServer. Each says that the order was certainly not
// carried out, any other error that it may have been.
var (
	// ErrFenced means that the server has seen a higher fencing token.
	ErrFenced = errors.New("the backend server has seen a higher fencing token")
	// ErrLate means that the order's lease had lapsed on the server's clock.
	ErrLate = errors.New("the order reached the backend server after its lease")
	// ErrNoCapacity means that the server has no room for the task.
	ErrNoCapacity = errors.New("the backend server has no room for the task")
	// ErrRejected means that the server will never accept this task.
	ErrRejected = errors.New("the backend server does not accept the task")
	// ErrReplaced means that another incarnation of the server answered.
	ErrReplaced = errors.New("another incarnation of the backend server answered")
	// ErrRunSuperseded means that the server has ended or stopped this or a later run of the task.
	ErrRunSuperseded = errors.New("the backend server has passed this run of the task")
	// ErrUnreachable means that nothing listens at the server's address.
	ErrUnreachable = errors.New("nothing listens at the backend server's address")
	// ErrUnhealthy means that the server takes no orders now.
	ErrUnhealthy = errors.New("the backend server takes no orders now")
)

// A StartRequest tells a backend server to start a run of a task.
type StartRequest struct {
	Lease   time.Duration // On the server's clock, the instant at which all that it runs is killed unless it was extended.
	Payload string
	Run     RunID
	Timeout time.Duration // How long the answer is waited for.
	Token   uint64        // Fencing token.
}

// A RenewalRequest extends the lease of all that runs on a backend server and asks
// what runs there.
type RenewalRequest struct {
	Acknowledged uint64        // Endings up to this number may be forgotten.
	Interval     time.Duration // After which another one is sent, though this one is not answered.
	Lease        time.Duration // As in StartRequest.
	Timeout      time.Duration // As in StartRequest.
	Token        uint64        // Fencing token.
	Wait         time.Duration // How long the server may wait for an ending.
}

// A RenewalResponse says what runs on a backend server.
type RenewalResponse struct {
	Clock       time.Duration // The server's clock.
	Ended       []EndedRun
	Incarnation uint64 // Incarnation of the server.
	Running     []RunningRun
}

// An EndedRun is a run that has ended, by its number in the server's list.
type EndedRun struct {
	Ending Ending
	Run    RunID
	SeqNum uint64
}

// A RunningRun is a run with the share of its work that is done.
type RunningRun struct {
	Percent int
	Run     RunID
}

// A BackendServer takes the orders of the agent beside it. Each call returns
// the server's clock where it answered with one, and zero otherwise.
type BackendServer interface {
	// Renew extends the lease and returns what runs and what has ended.
	Renew(ctx context.Context, order RenewalRequest) (RenewalResponse, error)

	// Start starts a run.
	Start(ctx context.Context, order StartRequest) (time.Duration, error)

	// Stop stops a run, or keeps it from starting if it has not.
	Stop(ctx context.Context, run RunID, token uint64) (time.Duration, error)
}
