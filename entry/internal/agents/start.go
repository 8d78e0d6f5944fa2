package agents

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
)

// Start sends an attempt to an agent and waits for its outcome. If the answer
// is lost, the same incarnation is asked how the attempt ended; nothing is
// sent again blindly.
func (a *Agents) Start(ctx context.Context, e dispatch.StartTask) pollenfront.Outcome {
	if !e.Join {
		conn := a.conn(e.Server)
		if conn == nil {
			return notStarted(refusal.New(refusal.AgentLeaving, "the agent of %s is not connected", e.Server.Name))
		}
		outcome, err := a.call(ctx, conn, e, peer.MethodStart, e.Start)
		if err == nil {
			return outcome
		}
	}
	return a.resolve(ctx, e)
}

// Withdraw asks an agent to give a queued task back.
func (a *Agents) Withdraw(ctx context.Context, e dispatch.WithdrawTask) {
	if conn := a.conn(e.Server); conn != nil {
		_ = conn.Notify(ctx, peer.MethodWithdraw, ledger.Withdraw{Ref: e.Ref})
	}
}

// resolve asks an agent how an attempt ended. If the agent does not come back
// in time, the outcome is unknown.
func (a *Agents) resolve(ctx context.Context, e dispatch.StartTask) pollenfront.Outcome {
	lostAt := time.Now()
	for time.Since(lostAt) < resolveWindow {
		conn := a.conn(e.Server)
		if conn == nil {
			time.Sleep(retryPause)
			continue
		}
		outcome, err := a.call(ctx, conn, e, peer.MethodAwait, ledger.Await{Attempt: e.Start.Attempt, Ref: e.Start.Ref})
		if err == nil {
			return outcome
		}
		lostAt = time.Now()
		time.Sleep(retryPause)
	}
	return pollenfront.Outcome{
		Detail: "the agent of " + e.Server.Name + " was lost",
		Reason: string(refusal.OutcomeUnknown),
		State:  pollenfront.OutcomeUnknown,
	}
}

// call calls an agent and passes the load that comes back on. A refusal is an
// outcome: the agent did not start the task. An internal error proves nothing.
func (a *Agents) call(ctx context.Context, conn *peer.Conn, e dispatch.StartTask, method string, params any) (pollenfront.Outcome, error) {
	var reply peer.StartReply
	err := conn.Call(ctx, method, params, &reply)
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Kind != refusal.Internal {
		return notStarted(refused), nil
	}
	if err != nil {
		return pollenfront.Outcome{}, err
	}
	if method == peer.MethodStart {
		a.sink(dispatch.LoadSeen{Load: reply.Load, Server: e.Server})
	}
	return reply.Outcome, nil
}

// Adopt asks all agents for their records of a job that this entry came to own
// at the given version. It names an agent that may have records and can't be
// asked, or returns an empty name.
func (a *Agents) Adopt(ctx context.Context, id pollenfront.JobID, version uint64) ([]pollenfront.TaskRecord, string) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	a.mutex.Lock()
	records := append([]pollenfront.TaskRecord(nil), a.handed[id]...)
	a.mutex.Unlock()
	var failed string
	var mutex sync.Mutex
	var all sync.WaitGroup
	for _, k := range a.connected() {
		all.Go(func() {
			found, err := adoptFrom(ctx, k.conn, peer.Adopt{Job: id, Version: version})
			mutex.Lock()
			defer mutex.Unlock()
			records = append(records, found...)
			if err != nil {
				failed = k.server.Name
			}
		})
	}
	all.Wait()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if failed == "" {
		failed = a.roster.Unaccounted(id.Time().Add(-clockSkew))
	}
	return records, failed
}

// adoptFrom asks one agent, again while it has not seen the version yet.
func adoptFrom(ctx context.Context, conn *peer.Conn, adopt peer.Adopt) ([]pollenfront.TaskRecord, error) {
	for {
		var reply peer.AdoptReply
		err := conn.Call(ctx, peer.MethodAdopt, adopt, &reply)
		if !refusal.Is(err, refusal.StaleView) {
			return reply.Records, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

// notStarted returns the outcome of an attempt that was refused.
func notStarted(refused *refusal.Error) pollenfront.Outcome {
	return pollenfront.Outcome{
		Detail: refused.Detail, Reason: string(refused.Kind), State: pollenfront.OutcomeNotStarted,
	}
}
