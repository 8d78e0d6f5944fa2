package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/ledger"
)

// BenchmarkRecord measures an agent's check and record of one task, and the
// memory that the record takes afterwards.
func BenchmarkRecord(b *testing.B) {
	owner := pollenfront.EntryRef{Incarnation: 1, Name: "e1"}
	now := time.Now()
	l := ledger.New(self, retention)
	l.Step(now, ledger.ViewChanged{View: viewOf(1, owner, false)})
	l.Step(now, ledger.Proved{SentAt: now, Version: 1})
	payload := []byte(`{"result":"a payload of about one hundred bytes, as the stand-ins of the backend servers return it......"}`)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		ref := pollenfront.TaskRef{Job: pollenfront.NewJobID(), Task: fmt.Sprint("t", n)}
		n++
		l.Step(now, ledger.Start{Accepted: 1, Attempt: 1, Deadline: now.Add(time.Hour), Owner: owner, Ref: ref, Target: self.Ref()})
		l.Step(now, ledger.Finished{Payload: append([]byte(nil), payload...), Ref: ref})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Records()), "B/record")
	runtime.KeepAlive(l)
}
