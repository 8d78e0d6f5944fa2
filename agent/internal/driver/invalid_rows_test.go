package driver

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/tasklink"
)

// An invalidStore is a store whose saved announcement is invalid. It counts the reads.
type invalidStore struct {
	pollenfront.Store

	reads int
}

func (s *invalidStore) RecordToken(context.Context, string, uint64) (uint64, error) { return 0, nil }

func (s *invalidStore) LoadAnnouncement(context.Context, string) (pollenfront.Announcement, bool, error) {
	s.reads++
	return pollenfront.Announcement{}, false, fmt.Errorf("%w: too deep", pollenfront.ErrInvalidRow)
}

// TestInvalidSavedAnnouncement guards against an agent that reads an invalid saved
// announcement again and again, of calls that all processes share.
func TestInvalidSavedAnnouncement(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	store := &invalidStore{}
	d := New(tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Zone: "west"}, &fakeServer{}, store, prometheus.NewRegistry(), zap.New(core))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.RestoreAnnouncement(ctx)
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(store.reads, qt.Equals, 1)
	c.Assert(logs.FilterMessage("invalid row ignored").Len(), qt.Equals, 1)
	c.Assert(d.serverAnnounced(), qt.IsFalse)
}

// TestInvalidAnnouncementLoggedOnce guards against a log that the announcements of another
// writer fill, who sends one every 100 ms.
func TestInvalidAnnouncementLoggedOnce(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	d := New(tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Zone: "west"}, &fakeServer{}, &fakeStore{}, prometheus.NewRegistry(), zap.New(core))
	for range 600 {
		d.HandleInvalidAnnouncement("i-1", errors.New("a field is missing"))
		d.HandleInvalidAnnouncement("i-2", errors.New("a field is missing"))
	}
	c.Assert(logs.FilterMessage("announcement ignored").Len(), qt.Equals, 2)
}
