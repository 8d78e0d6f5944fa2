package driver

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/executor"
	"github.com/pollenfront/pollenfront/tasklink"
)

// A tokenServer is a backend server that keeps the fencing token of the newest renewal.
type tokenServer struct {
	fakeServer

	tokenMu sync.Mutex
	token   uint64
}

func (s *tokenServer) Renew(ctx context.Context, request pollenfront.RenewalRequest) (pollenfront.RenewalResponse, error) {
	s.tokenMu.Lock()
	s.token = request.Token
	s.tokenMu.Unlock()
	return s.fakeServer.Renew(ctx, request)
}

// newest returns the token of the newest renewal.
func (s *tokenServer) newest() uint64 {
	s.tokenMu.Lock()
	defer s.tokenMu.Unlock()
	return s.token
}

// A holdingServer is a tokenServer that holds each renewal for as long as it may.
type holdingServer struct {
	tokenServer
}

func (s *holdingServer) Renew(ctx context.Context, request pollenfront.RenewalRequest) (pollenfront.RenewalResponse, error) {
	s.tokenMu.Lock()
	s.token = request.Token
	s.tokenMu.Unlock()
	select {
	case <-ctx.Done():
		return pollenfront.RenewalResponse{}, ctx.Err()
	case <-time.After(request.Wait):
	}
	return pollenfront.RenewalResponse{Clock: bootclock.Now(), Incarnation: 3}, nil
}

// TestRaisedTokenSentAtOnce guards against late requests of a former process that a new incarnation of the
// server carries out although the agent knows their tokens: it waits for the answer to a renewal with
// the token before.
func TestRaisedTokenSentAtOnce(t *testing.T) {
	c := qt.New(t)
	server := &holdingServer{}
	hello := tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}
	d := New(hello, server, &fakeStore{}, prometheus.NewRegistry(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	var delays []time.Duration
	for floor := uint64(10_000); floor <= 110_000; floor += 10_000 {
		for server.newest() == 0 {
			time.Sleep(time.Millisecond)
		}
		now := bootclock.Now()
		d.handleEvent(now, func() executor.Effects { return d.executor.RaiseToken(floor) })
		for deadline := time.Now().Add(5 * time.Second); server.newest() <= floor && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.Assert(server.newest() > floor, qt.IsTrue)
		delays = append(delays, bootclock.Now()-now)
		time.Sleep(30 * time.Millisecond) // Without this the last renewal has always just begun.
	}
	slices.Sort(delays) // Other work on the machine may delay some.
	c.Assert(delays[len(delays)/2] < executor.RenewalWait/3, qt.IsTrue, qt.Commentf("%v", delays))
}

// recorded returns the token that was recorded last.
func (f *fakeStore) recorded() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

// TestTokenAboveFormerProcess guards against an agent's process whose requests have lower fencing
// tokens than those of the process before, as the time of day was set back in between: late
// requests of the former process would then be carried out by a new incarnation of the server.
func TestTokenAboveFormerProcess(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	highest := uint64(0)
	for _, startedAt := range []uint64{1_000_000, 900_000, 1_000_100} {
		ctx, cancel := context.WithCancel(context.Background())
		server := &tokenServer{}
		hello := tasklink.Hello{Incarnation: startedAt, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}
		d := New(hello, server, store, prometheus.NewRegistry(), zap.NewNop())
		go func() { _ = d.Run(ctx) }()
		for deadline := time.Now().Add(5 * time.Second); (server.newest() <= highest || store.recorded() < server.newest()) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.Assert(server.newest() > highest, qt.IsTrue, qt.Commentf("%d after %d", server.newest(), highest))
		c.Assert(store.recorded() >= server.newest(), qt.IsTrue)
		highest = server.newest()
		cancel()
	}
}
