package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/agent/internal/driver"
	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/cell"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/tasklink"
)

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestManyRecordsWrittenAgain guards against an agent that spends its time on the list of
// entries when another writer has left thousands of records and changes a row that is not
// one every few milliseconds, and against links without bounds to what they name.
func TestManyRecordsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hello := tasklink.Hello{Incarnation: 9, Name: "agent-1", Service: "service", Version: tasklink.Version, Zone: "west"}
	d := driver.New(hello, platform.NewBackendServer("127.0.0.1:1"), platform.NewStore("127.0.0.1:1"), prometheus.NewRegistry(), zap.NewNop())
	dialer := newEntryDialer(d, cell.New(bootclock.Now(), "agent-1", "west", []string{"127.0.0.1:1"}))
	entries := pollenfront.Entries{Records: make(map[string]pollenfront.EntryRecord)}
	for i := range 10_000 {
		name := fmt.Sprintf("odd-%d", i)
		// Nothing listens at port 1. The records collide in their addresses.
		entries.Records[name] = pollenfront.EntryRecord{Address: fmt.Sprintf("127.0.0.%d:1", i%250+1), Incarnation: 1, Name: name, Zone: "no-such-zone"}
	}
	dialer.setEntries(ctx, entries)
	before := processorTime(t)
	for version := range uint64(100) {
		dialer.setEntries(ctx, pollenfront.Entries{
			InvalidRows: []pollenfront.InvalidRow{{Fault: "too deep", Key: "odd"}}, Records: entries.Records, Version: version,
		})
	}
	took := processorTime(t) - before
	c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	c.Assert(len(dialer.cancels) > 0 && len(dialer.cancels) <= 3*cell.DefaultSize+1, qt.IsTrue, qt.Commentf("%d addresses are dialed", len(dialer.cancels)))
}
