// Package entries keeps the agent's links to the entries: it announces the
// backend server, sends heartbeats, and brings views and proofs back.
//
// # Usage
//
//	links := entries.NewLinks(self, b, settings, metrics, logger)
//	err := links.Run(ctx)
package entries

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/agent/internal/book"
	"github.com/pollenfront/pollenfront/ledger"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/settings"
	"github.com/pollenfront/pollenfront/view"
)

// Times of the links.
const (
	callTimeout       = 2 * time.Second
	firstBackoff      = 50 * time.Millisecond
	handOverBatch     = 500 // Records.
	heartbeatInterval = time.Second
	maxBackoff        = 2 * time.Second
	reviewInterval    = 500 * time.Millisecond
)

// Links are the connections to all entries.
type Links struct {
	book     *book.Book
	fetching sync.Mutex // Held while a view is fetched.
	leaving  bool
	links    map[string]*link // By address.
	logger   *zap.Logger
	metrics  *peer.Metrics
	mutex    sync.Mutex
	self     pollenfront.Server
	settings settings.Agent
}

// A link is the connection to one entry.
type link struct {
	address string
	cancel  context.CancelFunc
	conn    *peer.Conn // Nil while not connected.
	wake    chan struct{}
}

// NewLinks returns Links for the backend server self.
func NewLinks(self pollenfront.Server, b *book.Book, s settings.Agent, metrics *peer.Metrics, logger *zap.Logger) *Links {
	return &Links{book: b, links: make(map[string]*link), logger: logger, metrics: metrics, self: self, settings: s}
}

// Run keeps links to the entries in the settings and in the view until ctx
// ends.
func (l *Links) Run(ctx context.Context) error {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		l.review(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.book.Step(ledger.Tick{})
		}
	}
}

// Leave tells all entries that the agent is leaving, waits for the tasks that
// have started, and hands the records over.
func (l *Links) Leave(ctx context.Context) {
	l.book.Step(ledger.Leave{})
	l.mutex.Lock()
	l.leaving = true
	l.mutex.Unlock()
	l.heartbeatAll(ctx)
	if !l.book.WaitIdle(ctx) {
		l.logger.Warn("stopped before all tasks ended")
		return
	}
	l.handOver(ctx)
}

// review opens the links that are missing and closes those to entries that
// have left.
func (l *Links) review(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, address := range l.settings.Entries {
		wanted[address] = true
	}
	for _, e := range l.book.View().Entries {
		wanted[e.Peer] = true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address := range wanted {
		if l.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			opened := &link{address: address, cancel: cancel, wake: make(chan struct{}, 1)}
			l.links[address] = opened
			go l.keep(linkCtx, opened)
		}
	}
	for address, opened := range l.links {
		if !wanted[address] {
			opened.cancel()
			delete(l.links, address)
		}
	}
}

// keep holds a link until ctx ends, and reconnects with backoff and jitter.
func (l *Links) keep(ctx context.Context, k *link) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		conn, err := peer.Dial(ctx, l.settings.IP, k.address, l.handler(), l.metrics)
		if err == nil {
			l.setConn(k, conn)
			if l.beat(ctx, k, conn) {
				backoff = firstBackoff
			}
			l.setConn(k, nil)
			conn.Close()
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// beat sends heartbeats over a connection until it breaks or ctx ends. It
// reports whether any was answered.
func (l *Links) beat(ctx context.Context, k *link, conn *peer.Conn) bool {
	for answered := false; ; answered = true {
		if err := l.heartbeat(ctx, conn); err != nil {
			return answered
		}
		select {
		case <-ctx.Done():
			return true
		case <-conn.Done():
			return true
		case <-k.wake:
		case <-time.After(heartbeatInterval - rand.N(heartbeatInterval/5)):
		}
	}
}

// heartbeat sends one heartbeat and takes in the proof that comes back. The
// entry's view is fetched if it is newer.
func (l *Links) heartbeat(ctx context.Context, conn *peer.Conn) error {
	l.mutex.Lock()
	leaving := l.leaving
	l.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	beat := peer.Heartbeat{Leaving: leaving, Load: l.book.Load(""), Server: l.self, Version: l.book.View().Version}
	sentAt := time.Now()
	var reply peer.HeartbeatReply
	if err := conn.Call(ctx, peer.MethodHeartbeat, beat, &reply); err != nil {
		return err
	}
	if reply.Report.Version > beat.Version {
		if err := l.fetchView(ctx, conn, reply.Report.Version); err != nil {
			return err
		}
	}
	if reply.Report.HasProof {
		l.book.Step(ledger.Proved{Age: reply.Report.Age, SentAt: sentAt, Version: reply.Report.Version})
	}
	return nil
}

// fetchView fetches the entry's view, unless another entry has just given one
// that is as new.
func (l *Links) fetchView(ctx context.Context, conn *peer.Conn, version uint64) error {
	l.fetching.Lock()
	defer l.fetching.Unlock()
	if l.book.View().Version >= version {
		return nil
	}
	var fetched view.View
	if err := conn.Call(ctx, peer.MethodView, peer.Empty{}, &fetched); err != nil {
		return err
	}
	l.book.Step(ledger.ViewChanged{View: &fetched})
	return nil
}

// setConn records the state of a link.
func (l *Links) setConn(k *link, conn *peer.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if (k.conn == nil) != (conn == nil) {
		l.logger.Info("link changed", zap.String("address", k.address), zap.Bool("connected", conn != nil))
	}
	k.conn = conn
}

// heartbeatAll sends a heartbeat to every connected entry now.
func (l *Links) heartbeatAll(ctx context.Context) {
	for _, conn := range l.conns() {
		if err := l.heartbeat(ctx, conn); err != nil {
			l.logger.Warn("heartbeat failed", zap.Error(err))
		}
	}
}

// handOver gives the records to every connected entry.
func (l *Links) handOver(ctx context.Context) {
	records := l.book.Export()
	for _, conn := range l.conns() {
		if err := l.handOverTo(ctx, conn, records); err != nil {
			l.logger.Warn("hand-over failed", zap.Error(err))
		}
	}
}

// handOverTo gives the records to one entry in batches. The last batch, which
// may be empty, is marked by naming the server.
func (l *Links) handOverTo(ctx context.Context, conn *peer.Conn, records []pollenfront.TaskRecord) error {
	for len(records) > 0 {
		n := min(len(records), handOverBatch)
		if err := conn.Call(ctx, peer.MethodHandOver, peer.HandOver{Records: records[:n]}, nil); err != nil {
			return err
		}
		records = records[n:]
	}
	return conn.Call(ctx, peer.MethodHandOver, peer.HandOver{Server: l.self.Ref()}, nil)
}

// conns returns the connections that are up.
func (l *Links) conns() []*peer.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var conns []*peer.Conn
	for _, k := range l.links {
		if k.conn != nil {
			conns = append(conns, k.conn)
		}
	}
	return conns
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
