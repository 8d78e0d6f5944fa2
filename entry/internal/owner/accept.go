package owner

import (
	"context"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/freshness"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// An origin says what a job's new owner learned about its past.
type origin struct {
	holder      string // Former owner that has the job, or empty.
	records     []pollenfront.TaskRecord
	unaccounted string // Agent that may have started tasks and can't be asked.
}

// accept finds out whether a former owner has the job, and takes it over
// accordingly.
func (o *Owner) accept(job pollenfront.Job, f *flight, version uint64) {
	ctx, cancel := context.WithDeadline(context.Background(), job.Deadline)
	defer cancel()
	found, err := o.trace(ctx, job.ID)
	if err == nil && found.holder != "" {
		o.follow(ctx, job, found.holder)
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		o.finish(job.ID, pollenfront.Answer{}, err)
		return
	}
	submit := dispatch.Submit{Accepted: version, Job: job, Recovered: found.records, Unaccounted: found.unaccounted}
	o.perform(o.dispatcher.Step(time.Now(), submit))
	if f.cancelled {
		o.perform(o.dispatcher.Step(time.Now(), dispatch.Cancel{Job: job.ID}))
	}
}

// follow gets the answer from the former owner that has the job.
func (o *Owner) follow(ctx context.Context, job pollenfront.Job, holder string) {
	var answer pollenfront.Answer
	err := o.members.Call(ctx, holder, peer.MethodSubmit, peer.Submit{Job: job, JoinOnly: true}, &answer)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		answer = pollenfront.Answer{
			Job:     job.ID,
			Message: "the former owner " + holder + " has the job and was lost: " + err.Error(),
			Reason:  string(refusal.OutcomeUnknown),
			Status:  pollenfront.StatusUnknown,
		}
	}
	o.finish(job.ID, answer, nil)
}

// trace asks the former owners of a job, and the agents for those that are
// gone. It asks nobody for a job that no former owner can have accepted.
func (o *Owner) trace(ctx context.Context, id pollenfront.JobID) (origin, error) {
	v := o.members.View()
	former := v.FormerOwners(id, o.members.Self(), settle, skew)
	o.mutex.Lock()
	askAgents := o.answers.mayHaveForgotten(id)
	o.mutex.Unlock()
	for _, ref := range former {
		mine, gone, err := o.inquire(ctx, id, ref)
		if err != nil {
			return origin{}, err
		}
		if mine {
			return origin{holder: ref.Name}, nil
		}
		askAgents = askAgents || gone
	}
	if !askAgents {
		return origin{}, nil
	}
	if err := o.waitFenced(ctx, v, former); err != nil {
		return origin{}, err
	}
	// The agents must hold a view without the former owners that are gone, so
	// that no start of theirs that is still on the way can take effect.
	records, unaccounted := o.agents.Adopt(ctx, id, o.members.View().Version)
	return origin{records: records, unaccounted: unaccounted}, nil
}

// inquire asks a former owner whether it has the job, until it answers, leaves
// the view, or the deadline passes. Gone is true if the agents must be asked
// in its place.
func (o *Owner) inquire(ctx context.Context, id pollenfront.JobID, ref pollenfront.EntryRef) (mine, gone bool, err error) {
	for o.members.View().Has(ref) {
		var reply peer.InquireReply
		callCtx, cancel := context.WithTimeout(ctx, inquireTimeout)
		err := o.members.Call(callCtx, ref.Name, peer.MethodInquire, peer.Inquire{Job: id, Owner: ref, Version: o.members.View().Version}, &reply)
		cancel()
		if err == nil {
			return reply.Mine, false, nil
		}
		if refusal.Is(err, refusal.OutcomeUnknown) {
			return false, true, nil
		}
		select {
		case <-ctx.Done():
			return false, false, refusal.New(refusal.OutcomeUnknown, "the former owner %s, which may have the job, does not answer", ref.Name).After(time.Second)
		case <-time.After(inquirePause):
		}
	}
	return false, true, nil
}

// waitFenced waits until a fenced former owner can't say "not run" any more:
// until the fence has been accepted for as long as a proof lasts.
func (o *Owner) waitFenced(ctx context.Context, v *view.View, former []pollenfront.EntryRef) error {
	for _, set := range v.EntrySets {
		if set.Cause != view.OpFence || len(former) == 0 {
			continue
		}
		for {
			since, accepted := o.members.AcceptedFor(set.From)
			if accepted && since > freshness.Limit {
				break
			}
			select {
			case <-ctx.Done():
				return refusal.New(refusal.OutcomeUnknown, "the fence of a former owner is not settled yet").After(freshness.Limit)
			case <-time.After(inquirePause):
			}
		}
	}
	return nil
}
