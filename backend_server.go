package pollenfront

import (
	"context"
	"errors"
	"time"
)

// Errors of a BackendServer. Each of them means that the request had no effect.
// After any other error, the request may have been carried out.
var (
	// ErrFenced means that the server has seen a higher fencing token.
	ErrFenced = errors.New("the backend server has seen a higher fencing token")
	// ErrLate means that the lease in the request had already expired on the
	// server's clock.
	ErrLate = errors.New("the order reached the backend server after its lease")
	// ErrNoCapacity means that the server has too few free resources for the task.
	ErrNoCapacity = errors.New("the backend server has no room for the task")
	// ErrNotSent means that the agent did not send the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrRejected means that the server will never accept this task.
	ErrRejected = errors.New("the backend server does not accept the task")
	// ErrReplaced means that another incarnation of the server responded.
	ErrReplaced = errors.New("another incarnation of the backend server answered")
	// ErrRunSuperseded means that this run of the task or a later one has already
	// ended on the server or was stopped there.
	ErrRunSuperseded = errors.New("the backend server has passed this run of the task")
	// ErrUnreachable means that nothing listens at the server's address.
	ErrUnreachable = errors.New("nothing listens at the backend server's address")
	// ErrUnhealthy means that the server accepts no requests at the moment.
	ErrUnhealthy = errors.New("the backend server takes no orders now")
)

// A StartRequest tells a backend server to start a run of a task.
type StartRequest struct {
	// Incarnation is the incarnation of the server that the request is meant for.
	Incarnation uint64
	// LeaseExpiry is the time on the server's clock at which the lease expires.
	// The server then kills everything that it runs, unless the lease was
	// extended.
	LeaseExpiry time.Duration
	// Payload is passed to the task.
	Payload string
	// Run is the run to start.
	Run RunID
	// Timeout is how long the agent waits for the response.
	Timeout time.Duration
	// Token is the fencing token. The server rejects requests with a token
	// lower than the highest one that it has seen.
	Token uint64
}

// A RenewalRequest extends the lease of everything that runs on a backend
// server, and asks for the runs that are running or have ended.
type RenewalRequest struct {
	// AcknowledgedSeqNum is the highest SeqNum of an ended run that the agent
	// has recorded. The server may discard ended runs up to it.
	AcknowledgedSeqNum uint64
	// Interval is the time after which the agent sends the next renewal, even
	// if this one is still unanswered.
	Interval time.Duration
	// LeaseExpiry is the time on the server's clock to which the lease is
	// extended, or zero if the request does not change the lease.
	LeaseExpiry time.Duration
	// Timeout is how long the agent waits for the response.
	Timeout time.Duration
	// Token is the fencing token, as in StartRequest.
	Token uint64
	// Wait is how long the server may hold the request until a run ends.
	Wait time.Duration
}

// A RenewalResponse lists the runs on a backend server.
type RenewalResponse struct {
	// Clock is the reading of the server's clock.
	Clock time.Duration
	// Ended lists the ended runs that were not acknowledged yet.
	Ended []EndedRun
	// Incarnation is the server's current incarnation.
	Incarnation uint64
	// InvalidRows lists rows of both lists that can't be used, with the names of the lists as
	// keys.
	InvalidRows []InvalidRow
	// Running lists the runs that have not ended.
	Running []RunningRun
}

// An EndedRun is a run that has ended. The server numbers its ended runs with
// SeqNum, by which the agent acknowledges them.
type EndedRun struct {
	Ending Ending
	Run    RunID
	SeqNum uint64
}

// A RunningRun is a run that has not ended, with the percentage of its work
// that is done.
type RunningRun struct {
	Percent int
	Run     RunID
}

// A BackendServer is the interface of a backend server to the agent beside it.
// Start and Stop return the reading of the server's clock, or zero if the
// response does not contain one.
type BackendServer interface {
	// Renew extends the lease and returns the running and the ended runs.
	Renew(ctx context.Context, request RenewalRequest) (RenewalResponse, error)

	// Start starts a run. A repeated request for a run that is still running has
	// no further effect.
	Start(ctx context.Context, request StartRequest) (time.Duration, error)

	// Stop stops a run. If the run has not started yet, it never will.
	Stop(ctx context.Context, run RunID, token uint64) (time.Duration, error)
}
