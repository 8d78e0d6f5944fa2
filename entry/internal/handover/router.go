// Package handover hands jobs over to their owners, whichever entry took the
// caller's request.
//
// # Usage
//
//	r := handover.NewRouter(members, owner)
//	answer, err := r.Submit(ctx, job)
package handover

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/entry/internal/members"
	"github.com/pollenfront/pollenfront/entry/internal/owner"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
)

// Parameters of the retries. A hand-over is idempotent: the owner joins a
// repeated one to the first.
const (
	firstPause  = 20 * time.Millisecond
	grace       = 500 * time.Millisecond // Wait after the deadline for the owner's own answer.
	maxAttempts = 200
	maxPause    = 200 * time.Millisecond
	newIDTries  = 64
)

// A Router finds the owner of a job.
type Router struct {
	members *members.Members
	owner   *owner.Owner
}

// NewRouter returns a Router of this entry.
func NewRouter(m *members.Members, o *owner.Owner) *Router {
	return &Router{members: m, owner: o}
}

// Submit hands a job over to its owner and waits for the answer. Entries whose
// views differ settle who the owner is. It returns a refusal if the job did
// not run, and a refusal.OutcomeUnknown error if an owner that may have
// accepted it was lost until the deadline.
func (r *Router) Submit(ctx context.Context, job pollenfront.Job) (pollenfront.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(0, time.Until(job.Deadline))+grace)
	defer cancel()
	submission := uuid.NewString()
	lost := false
	pause := firstPause
	var lastErr error
	for range maxAttempts {
		answer, err := r.submitOnce(ctx, job, submission)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if !transient(err) {
			return answer, lostOr(lost, err)
		}
		lost = lost || !isRefusal(err)
		select {
		case <-ctx.Done():
			return answer, lostOr(lost, lastErr)
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxPause)
	}
	return pollenfront.Answer{}, lostOr(lost, lastErr)
}

// NewID returns a job ID whose owner is not known to be lost, for callers that
// have no good clock or were told to take another ID.
func (r *Router) NewID() pollenfront.JobID {
	id := pollenfront.NewJobID()
	for range newIDTries {
		name, own := r.ownerOf(id)
		if own || !r.members.Abandoned(name) {
			break
		}
		id = pollenfront.NewJobID()
	}
	return id
}

// State asks the owner of a job for its state.
func (r *Router) State(ctx context.Context, id pollenfront.JobID) (peer.JobState, error) {
	name, own := r.ownerOf(id)
	if own {
		return r.owner.JobState(id)
	}
	var state peer.JobState
	err := r.members.Call(ctx, name, peer.MethodJob, peer.JobQuery{Job: id}, &state)
	return state, reachable(name, err)
}

// Cancel asks the owner of a job to give it up.
func (r *Router) Cancel(ctx context.Context, id pollenfront.JobID) error {
	name, own := r.ownerOf(id)
	if own {
		return r.owner.Cancel(id)
	}
	return reachable(name, r.members.Call(ctx, name, peer.MethodCancel, peer.JobQuery{Job: id}, nil))
}

// submitOnce hands a job over to the owner that the present view names.
func (r *Router) submitOnce(ctx context.Context, job pollenfront.Job, submission string) (pollenfront.Answer, error) {
	name, own := r.ownerOf(job.ID)
	if own {
		return r.owner.Submit(ctx, peer.Submit{Job: job, Submission: submission})
	}
	if name == "" {
		return pollenfront.Answer{}, refusal.New(refusal.NotReady, "no entry owns jobs yet").After(time.Second)
	}
	if r.members.Abandoned(name) {
		return pollenfront.Answer{}, refusal.New(refusal.OwnerLost, "entry %s, which owns the job, is silent, and the table is down", name)
	}
	var answer pollenfront.Answer
	submit := peer.Submit{Job: job, Submission: submission, Version: r.members.View().Version}
	err := r.members.Call(ctx, name, peer.MethodSubmit, submit, &answer)
	return answer, err
}

// ownerOf returns the name of a job's owner and whether it is this entry.
func (r *Router) ownerOf(id pollenfront.JobID) (string, bool) {
	owner, ok := r.members.View().Owner(id)
	if !ok {
		return "", false
	}
	return owner.Name, owner.Ref() == r.members.Self()
}

// transient reports whether a hand-over can be tried again: the owner was not
// reached, or the two views differ.
func transient(err error) bool {
	return !isRefusal(err) || refusal.Is(err, refusal.NotOwner) || refusal.Is(err, refusal.Fenced) || refusal.Is(err, refusal.NotReached) || refusal.Is(err, refusal.NotReady)
}

// isRefusal reports whether the other entry answered.
func isRefusal(err error) bool {
	var refused *refusal.Error
	return errors.As(err, &refused)
}

// lostOr returns err, or a refusal.OutcomeUnknown error if an earlier
// hand-over was lost on the way.
func lostOr(lost bool, err error) error {
	if !lost && isRefusal(err) {
		return err
	}
	return refusal.New(refusal.OutcomeUnknown, "the owner of the job was lost: %v", err).After(time.Second)
}

// reachable returns err as a refusal.
func reachable(name string, err error) error {
	if err == nil || isRefusal(err) {
		return err
	}
	return refusal.New(refusal.NotReady, "entry %s does not answer: %v", name, err).After(time.Second)
}
