package main

import (
	"context"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// handler serves the calls of agents and of other entries.
func (n *node) handler() peer.Handler {
	return peer.Handler{
		peer.MethodCancel:    peer.Serve(n.serveCancel),
		peer.MethodHandOver:  peer.Serve(n.serveHandOver),
		peer.MethodHeartbeat: peer.Serve(n.serveHeartbeat),
		peer.MethodInquire:   peer.Serve(n.serveInquire),
		peer.MethodJob:       peer.Serve(n.serveJob),
		peer.MethodPing:      peer.Serve(n.servePing),
		peer.MethodRoster:    peer.Serve(n.serveRoster),
		peer.MethodSubmit:    peer.Serve(n.serveSubmit),
		peer.MethodView:      peer.Serve(n.serveView),
	}
}

// serveHeartbeat takes in an agent's heartbeat and passes the proof on.
func (n *node) serveHeartbeat(_ context.Context, conn *peer.Conn, beat peer.Heartbeat) (peer.HeartbeatReply, error) {
	n.agents.Heartbeat(conn, beat)
	return peer.HeartbeatReply{Report: n.members.Report()}, nil
}

// serveHandOver takes in the records of an agent that is leaving.
func (n *node) serveHandOver(_ context.Context, _ *peer.Conn, over peer.HandOver) (peer.Empty, error) {
	n.agents.HandOver(over)
	return peer.Empty{}, nil
}

// serveView returns the view.
func (n *node) serveView(context.Context, *peer.Conn, peer.Empty) (*view.View, error) {
	return n.members.View(), nil
}

// servePing exchanges reports. A newer view is fetched before the answer, so
// that the answer confirms it.
func (n *node) servePing(ctx context.Context, conn *peer.Conn, ping peer.Ping) (peer.PingReply, error) {
	newer := n.members.Hear(ping.Report, ping.Silence, time.Time{})
	if !n.members.MayAnswer(ping.Report.Name) {
		return peer.PingReply{}, refusal.New(refusal.NotReady, "entry %s was silent and may be fenced", ping.Report.Name)
	}
	if newer {
		n.catchUp(ctx, conn, ping.Report.Version)
	}
	return peer.PingReply{
		Accepted: n.members.Accepted(), Report: n.members.Report(), Silence: n.members.Silence(),
	}, nil
}

// serveRoster returns the agents that this entry knows.
func (n *node) serveRoster(context.Context, *peer.Conn, peer.Empty) (peer.RosterReply, error) {
	return peer.RosterReply{Estimates: n.owner.Estimates(), Members: n.agents.Roster(), Records: n.agents.Records()}, nil
}

// serveSubmit takes a job that another entry handed over.
func (n *node) serveSubmit(ctx context.Context, conn *peer.Conn, submit peer.Submit) (pollenfront.Answer, error) {
	n.catchUp(ctx, conn, submit.Version)
	return n.owner.Submit(ctx, submit)
}

// serveInquire tells a new owner whether this entry has a job. The newer view,
// under which it is not the owner, is fetched first.
func (n *node) serveInquire(ctx context.Context, conn *peer.Conn, inquire peer.Inquire) (peer.InquireReply, error) {
	n.catchUp(ctx, conn, inquire.Version)
	return n.owner.Inquire(inquire)
}

// serveJob describes a job of this entry.
func (n *node) serveJob(_ context.Context, _ *peer.Conn, query peer.JobQuery) (peer.JobState, error) {
	return n.owner.JobState(query.Job)
}

// serveCancel gives up a job of this entry.
func (n *node) serveCancel(_ context.Context, _ *peer.Conn, query peer.JobQuery) (peer.Empty, error) {
	return peer.Empty{}, n.owner.Cancel(query.Job)
}

// catchUp fetches the view of the process at the other end if it is newer.
func (n *node) catchUp(ctx context.Context, conn *peer.Conn, version uint64) {
	if n.members.View().Version >= version {
		return
	}
	var v view.View
	if err := conn.Call(ctx, peer.MethodView, peer.Empty{}, &v); err == nil {
		n.members.Apply(&v)
	}
}
