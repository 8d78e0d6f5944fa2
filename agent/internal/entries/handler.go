package entries

import (
	"context"

	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/peer"
)

// handler serves the entries' calls.
func (l *Links) handler() peer.Handler {
	return peer.Handler{
		peer.MethodAdopt:       peer.Serve(l.adopt),
		peer.MethodAwait:       peer.Serve(l.await),
		peer.MethodStart:       peer.Serve(l.start),
		peer.MethodViewChanged: peer.Serve(l.viewChanged),
		peer.MethodWithdraw:    peer.Serve(l.withdraw),
	}
}

// start starts a task and answers when it has ended. A start that names a
// newer view than the agent has makes it fetch that view first.
func (l *Links) start(ctx context.Context, conn *peer.Conn, start ledger.Start) (peer.StartReply, error) {
	if err := l.catchUp(ctx, conn, start.Accepted); err != nil {
		return peer.StartReply{}, err
	}
	return l.book.Start(ctx, start)
}

// await answers when an earlier attempt has ended.
func (l *Links) await(ctx context.Context, _ *peer.Conn, await ledger.Await) (peer.StartReply, error) {
	return l.book.Await(ctx, await)
}

// withdraw gives a queued task back.
func (l *Links) withdraw(_ context.Context, _ *peer.Conn, withdraw ledger.Withdraw) (peer.Empty, error) {
	l.book.Step(withdraw)
	return peer.Empty{}, nil
}

// adopt lists the records of a job for its new owner.
func (l *Links) adopt(ctx context.Context, conn *peer.Conn, adopt peer.Adopt) (peer.AdoptReply, error) {
	if err := l.catchUp(ctx, conn, adopt.Version); err != nil {
		return peer.AdoptReply{}, err
	}
	return l.book.Adopt(adopt)
}

// viewChanged fetches a newer view and reports it at once.
func (l *Links) viewChanged(ctx context.Context, conn *peer.Conn, changed peer.ViewChanged) (peer.Empty, error) {
	if changed.Version <= l.book.View().Version {
		return peer.Empty{}, nil
	}
	return peer.Empty{}, l.heartbeat(ctx, conn)
}

// catchUp fetches the entry's view if the agent's is older than version.
func (l *Links) catchUp(ctx context.Context, conn *peer.Conn, version uint64) error {
	if l.book.View().Version >= version {
		return nil
	}
	return l.heartbeat(ctx, conn)
}
