package cancellog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/cancellog"
	"github.com/pollenfront/pollenfront/tasklink"
)

// cancellation returns the cancellation of the job with a number.
func cancellation(n int) pollenfront.Cancellation {
	return pollenfront.Cancellation{JobRef: pollenfront.JobRef{ID: fmt.Sprintf("%016x", n), Route: "route-1"}}
}

// TestAdd checks which cancellations are kept.
func TestAdd(t *testing.T) {
	known, found, foundLater := cancellation(1), cancellation(2), cancellation(1)
	found.Found, foundLater.Found = true, true
	otherRoute, old, large := cancellation(1), cancellation(3), cancellation(3)
	otherRoute.Route, old.Age, large.ID = "route-2", 16*time.Second, strings.Repeat("0", 65)
	largeRoute, fromFuture := cancellation(3), cancellation(3)
	largeRoute.Route, fromFuture.Age = strings.Repeat("r", 1025), -time.Hour
	tests := []struct {
		name  string
		added pollenfront.Cancellation
		want  bool
	}{
		{name: "new", added: cancellation(3), want: true},
		{name: "known", added: known},
		{name: "known as found", added: cancellation(2)},
		{name: "found later", added: foundLater, want: true},
		{name: "same ID on another route", added: otherRoute, want: true},
		{name: "too old", added: old},
		{name: "ID too large", added: large},
		{name: "route too large", added: largeRoute},
		{name: "negative age", added: fromFuture, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := cancellog.New()
			c.Assert(l.Add(0, known, "a"), qt.IsTrue)
			c.Assert(l.Add(0, found, "a"), qt.IsTrue)
			c.Assert(l.Add(time.Second, test.added, "b"), qt.Equals, test.want)
			got, ok := l.Find(time.Second, test.added.JobRef)
			c.Assert(ok, qt.Equals, l.Contains(test.added.JobRef))
			c.Assert(got.Found, qt.Equals, ok && (test.added.Found || test.added.JobRef == found.JobRef))
			c.Assert(got.Age >= 0, qt.IsTrue)
		})
	}
}

// TestExpire checks that a cancellation is kept for 15 s after its request, also by a peer that
// has learned of it late.
func TestExpire(t *testing.T) {
	c := qt.New(t)
	first, second := cancellog.New(), cancellog.New()
	job := cancellation(1).JobRef
	first.Add(0, cancellation(1), "")
	news, _ := first.Since(10*time.Second, 0, "second")
	c.Assert(news, qt.HasLen, 1)
	c.Assert(second.Add(10*time.Second, news[0], "first"), qt.IsTrue)
	for _, l := range []*cancellog.Log{first, second} {
		l.Expire(15 * time.Second)
		c.Assert(l.Contains(job), qt.IsTrue)
		l.Expire(15*time.Second + 1)
		c.Assert(l.Contains(job), qt.IsFalse)
	}
}

// TestFlood guards against a log or a message that grows without a limit, against a cancellation
// that is forgotten while runs of its job may go on, and against a lost position of a peer that was
// told of cancellations which are not kept any more.
func TestFlood(t *testing.T) {
	c := qt.New(t)
	l := cancellog.New()
	l.Add(0, cancellation(0), "")
	_, cursor := l.Since(0, 0, "peer")
	for n := 1; n <= 10_000; n++ {
		c.Assert(l.Add(2*time.Second-1, cancellation(n), ""), qt.Equals, n < 2048)
	}
	c.Assert(l.Contains(cancellation(0).JobRef), qt.IsTrue)
	for n := 2048; n <= 10_000; n++ {
		c.Assert(l.Add(4*time.Second, cancellation(n), ""), qt.Equals, n < 2*2048)
	}
	c.Assert(l.HasNews(cursor, "peer"), qt.IsTrue)
	news, cursor := l.Since(0, cursor, "peer")
	c.Assert(news, qt.HasLen, 2048)
	c.Assert(l.Contains(cancellation(0).JobRef), qt.IsFalse)
	c.Assert(l.Contains(cancellation(2*2048-1).JobRef), qt.IsTrue)
	c.Assert(l.HasNews(cursor, "peer"), qt.IsFalse)
	data, err := (&tasklink.Commands{Cancellations: news}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes for %d cancellations", len(data), len(news))
	c.Assert(len(data) <= 60*len(news), qt.IsTrue)
}

// TestSince checks that peers which pass on what they learn, over links that are opened again at
// any time, all learn of every cancellation, and whether its job was found, and that none is
// sent back to its source.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const peers = 4
		names := [peers]string{"a", "b", "c", "d"}
		var logs [peers]*cancellog.Log
		var cursors [peers][peers]uint64
		for i := range logs {
			logs[i] = cancellog.New()
		}
		learnedFrom := make(map[[2]int]map[pollenfront.Cancellation]bool)
		send := func(from, to int) {
			hasNews := logs[from].HasNews(cursors[from][to], names[to])
			news, next := logs[from].Since(0, cursors[from][to], names[to])
			cursors[from][to] = next
			if hasNews != (len(news) > 0) {
				t.Fatalf("HasNews returned %t with %d cancellations", hasNews, len(news))
			}
			for _, n := range news {
				if learnedFrom[[2]int{from, to}][n] {
					t.Fatalf("%s was told of %v by the peer that learned it there", names[to], n)
				}
				if logs[to].Add(0, n, names[from]) {
					if learnedFrom[[2]int{to, from}] == nil {
						learnedFrom[[2]int{to, from}] = make(map[pollenfront.Cancellation]bool)
					}
					learnedFrom[[2]int{to, from}][n] = true
				}
			}
		}
		found := make(map[int]bool)
		total := rapid.IntRange(1, 100).Draw(t, "cancellations")
		for range total {
			n := rapid.IntRange(0, 20).Draw(t, "job")
			added := cancellation(n)
			added.Found = rapid.Bool().Draw(t, "found")
			found[n] = found[n] || added.Found
			logs[rapid.IntRange(0, peers-1).Draw(t, "at")].Add(0, added, "")
			// Peers are linked in a line.
			from := rapid.IntRange(0, peers-2).Draw(t, "from")
			if rapid.Bool().Draw(t, "relink") {
				cursors[from][from+1], cursors[from+1][from] = 0, 0
			}
			send(from, from+1)
			send(from+1, from)
		}
		for range 2 * peers {
			for i := range peers - 1 {
				send(i, i+1)
				send(i+1, i)
			}
		}
		for i, l := range logs {
			for n, want := range found {
				got, ok := l.Find(0, cancellation(n).JobRef)
				if !ok || got.Found != want {
					t.Fatalf("%s knows of cancellation %d: %t, found: %t, want %t", names[i], n, ok, got.Found, want)
				}
			}
		}
	})
}
