package members

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// round reads the table, pings the other entries and fences the dead ones.
func (m *Members) round(ctx context.Context) {
	m.forgetSilence(time.Now())
	var both sync.WaitGroup
	both.Go(func() { m.readTable(ctx) })
	both.Go(func() { m.PingAll(ctx) })
	both.Wait()
	m.rejoinIfFenced(ctx)
	for _, dead := range m.deadEntries(time.Now()) {
		m.fence(ctx, dead)
	}
}

// readTable reads the version of the view, and the view if it is newer.
func (m *Members) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	row, v, err := m.readView(ctx, m.View().Version)
	if err != nil {
		return
	}
	if v != nil {
		m.Apply(v)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tracker.TableRead(sentAt, row.Version)
	m.noteAccepted()
}

// readView reads the view's row. The view is nil if its version is known.
func (m *Members) readView(ctx context.Context, known uint64) (pollenfront.Row, *view.View, error) {
	row, err := m.table.Get(ctx, viewKey, known)
	if err != nil || row.Value == nil {
		return row, nil, err
	}
	var v view.View
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return row, nil, refusal.New(refusal.Internal, "decode the view: %v", err)
	}
	v.Version = row.Version
	return row, &v, nil
}

// PingAll exchanges reports with all other entries.
func (m *Members) PingAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, e := range m.View().Entries {
		if e.Name == m.settings.Name {
			continue
		}
		all.Go(func() { m.ping(ctx, e) })
	}
	all.Wait()
}

// ping exchanges reports with one entry.
func (m *Members) ping(ctx context.Context, e view.Entry) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	var reply peer.PingReply
	if err := m.Call(ctx, e.Name, peer.MethodPing, peer.Ping{Report: m.Report(), Silence: m.Silence()}, &reply); err != nil {
		return
	}
	m.NoteAccepted(reply.Accepted)
	if m.Hear(reply.Report, reply.Silence, sentAt) {
		m.fetchView(ctx, e.Name)
	}
}

// fetchView fetches the view of another entry.
func (m *Members) fetchView(ctx context.Context, name string) {
	var v view.View
	if err := m.Call(ctx, name, peer.MethodView, peer.Empty{}, &v); err == nil {
		m.Apply(&v)
	}
}

// Call calls a method of another entry, and connects first if need be.
func (m *Members) Call(ctx context.Context, name, method string, params, result any) error {
	conn, err := m.conn(ctx, name)
	if err != nil {
		return refusal.New(refusal.NotReached, "entry %s: %v", name, err).After(time.Second)
	}
	err = conn.Call(ctx, method, params, result)
	if err != nil && refusal.From(err).Kind == refusal.Internal && method == peer.MethodPing {
		m.dropConn(name, conn)
	}
	return err
}

// conn returns the connection to another entry.
func (m *Members) conn(ctx context.Context, name string) (*peer.Conn, error) {
	m.mutex.Lock()
	conn := m.conns[name]
	e, ok := m.view.Entry(name)
	m.mutex.Unlock()
	if conn != nil {
		return conn, nil
	}
	if !ok {
		return nil, fmt.Errorf("entry %s is not in the view", name)
	}
	conn, err := peer.Dial(ctx, m.settings.IP, e.Peer, m.handler, m.metrics)
	if err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if other := m.conns[name]; other != nil {
		conn.Close()
		return other, nil
	}
	m.conns[name] = conn
	go func() {
		<-conn.Done()
		m.dropConn(name, conn)
	}()
	return conn, nil
}

// dropConn closes and forgets a connection.
func (m *Members) dropConn(name string, conn *peer.Conn) {
	conn.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.conns[name] == conn {
		delete(m.conns, name)
	}
}

// fence removes an entry that is dead.
func (m *Members) fence(ctx context.Context, dead deadEntry) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	change := view.Change{By: m.settings.Name, ID: newChangeID(), Operation: view.OpFence, Ref: dead.ref, Silent: dead.silentAt}
	_, err := m.write(ctx, change, m.table)
	if err != nil && !isConflict(err) {
		m.logger.Warn("fence failed", zap.String("entry", dead.ref.Name), zap.Error(err))
		return
	}
	m.logger.Info("fenced", zap.String("entry", dead.ref.Name), zap.Uint64("incarnation", dead.ref.Incarnation))
	m.PingAll(ctx)
}
