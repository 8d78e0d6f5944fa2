package store_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/configcheck"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/standin/store"
)

// newStore returns a stand-in and a client for it.
func newStore(t *testing.T) (*store.Store, *platform.Store) {
	t.Helper()
	s := store.New(store.Rates{Reads: 1000, Writes: 1000})
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	return s, platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
}

// config is a configuration in base64: version 7 with one route.
const config = "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdCI6ImgiLCJwYXRoLXByZWZpeCI6Ii9wLyIsInNlcnZpY2UiOiJzIiwic3RyZXRjaCI6MS42fV19"

// TestConfigureIsClean guards against a stand-in that writes configurations with faults,
// and against checks that find faults in a correct one.
func TestConfigureIsClean(t *testing.T) {
	c := qt.New(t)
	s := store.New(store.Rates{Reads: 1000, Writes: 1000})
	s.Configure(3, []store.Route{
		{Host: "h", Name: "a", Prefix: "/jobs/a/", Priority: 0, Service: "s"},
		{Host: "h", Name: "b", Prefix: "/jobs/b/", Priority: 1, Service: "s"},
		{Host: "h", Name: "c", Prefix: "/jobs/c/", Priority: 2, Service: "t"},
	})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/pollenfront/rows-get?table=op&part=", nil))
	var response struct{ Rows []store.Row }
	c.Assert(json.Unmarshal(w.Body.Bytes(), &response), qt.IsNil)
	c.Assert(response.Rows, qt.HasLen, 1)
	text, err := base64.StdEncoding.DecodeString(response.Rows[0].Value)
	c.Assert(err, qt.IsNil)
	document := platform.ReadConfig(text)
	c.Assert(document.Config.Routes, qt.HasLen, 3)
	c.Assert(configcheck.Check(document, pollenfront.OperatorState{}), qt.HasLen, 0)
}

func TestOperatorState(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	state, err := client.OperatorState(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Config, qt.IsNil)

	s.Put("op", "config", config)
	s.Put("op", "evacuate/west", "e30=")
	state, err = client.PollOperatorState(ctx, state, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Config.Version, qt.Equals, uint64(7))
	c.Assert(state.DisabledZones, qt.DeepEquals, []string{"west"})
	route, ok := state.Config.MatchRoute("h", "/p/0011223344556677")
	c.Assert(ok, qt.IsTrue)
	c.Assert(route.Service, qt.Equals, "s")

	s.Put("op", "config", "bm90IGpzb24=")
	after, err := client.PollOperatorState(ctx, state, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(after.DecodeErrors, qt.HasLen, 1)
	c.Assert(after.DecodeErrors[0], qt.Matches, "decode the configuration: .*")
	c.Assert(after.Config, qt.DeepEquals, state.Config)
	c.Assert(after.Version > state.Version, qt.IsTrue)

	s.Put("op", "config", config)
	s.Remove("op", "evacuate/west")
	state, err = client.OperatorState(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(state.DisabledZones, qt.HasLen, 0)

	s.DiscardHistory()
	_, err = client.PollOperatorState(ctx, pollenfront.OperatorState{Version: 1}, time.Second)
	c.Assert(err, qt.ErrorIs, pollenfront.ErrHistoryGone)
}

func TestEntries(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	record := pollenfront.EntryRecord{Address: "127.0.0.1:1", Incarnation: 3, Name: "entry-1", Zone: "west"}
	c.Assert(client.Register(ctx, record), qt.IsNil)
	s.Put("pollenfront-entries", "other", "bm90IGpzb24=") // This row of another writer is not an entry.
	entries, err := client.Entries(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(entries.Records, qt.DeepEquals, map[string]pollenfront.EntryRecord{"entry-1": record})
	s.Remove("pollenfront-entries", "entry-1")
	entries, err = client.PollEntries(ctx, entries, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(entries.Records, qt.HasLen, 0)
}

func TestSaveAnnouncement(t *testing.T) {
	c := qt.New(t)
	_, client := newStore(t)
	ctx := context.Background()
	_, found, err := client.LoadAnnouncement(ctx, "agent-1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsFalse)
	a := pollenfront.Announcement{Capacity: pollenfront.Resources{CPU: 64000}, Instance: "i-1", Labels: []string{"a"}, Incarnation: 7, Zone: "west"}
	c.Assert(client.SaveAnnouncement(ctx, "agent-10", a), qt.IsNil)
	_, found, err = client.LoadAnnouncement(ctx, "agent-1")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsFalse)
	got, found, err := client.LoadAnnouncement(ctx, "agent-10")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(got, qt.DeepEquals, a)
}

// TestRecordToken checks that the store keeps the highest fencing token of each agent, and tells the
// next process of it.
func TestRecordToken(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	record := func(agent string, token, want uint64) {
		t.Helper()
		recorded, err := client.RecordToken(ctx, agent, token)
		c.Assert(err, qt.IsNil)
		c.Assert(recorded, qt.Equals, want)
	}
	record("agent-1", 500, 0)
	record("agent-1", 700, 500)
	record("agent-1", 600, 700)
	record("agent-1", 700, 700)
	record("agent-10", 400, 0)
	record("agent-1", 701, 700)

	s.SetFault(store.ResponseLost)
	_, err := client.RecordToken(ctx, "agent-1", 900)
	c.Assert(err, qt.ErrorMatches, ".*call the store: .*")
	s.SetFault(store.None)
	record("agent-1", 900, 900)
}

// TestSaveCancellations checks that the store keeps the newest cancellations of each entry.
func TestSaveCancellations(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	job := func(id, route string) pollenfront.JobRef { return pollenfront.JobRef{ID: id, Route: route} }
	c.Assert(client.SaveCancellations(ctx, "entry-1", []pollenfront.JobRef{job("01", "a")}), qt.IsNil)
	c.Assert(client.SaveCancellations(ctx, "entry-1", []pollenfront.JobRef{job("02", "a"), job("02", "b"), job("03", "a")}), qt.IsNil)
	c.Assert(client.SaveCancellations(ctx, "entry-2", []pollenfront.JobRef{job("04", "a")}), qt.IsNil)
	old := base64.StdEncoding.EncodeToString([]byte(`{"jobs":{"a":["05"]},"saved-at-ms":1796619238253}`))
	s.Put("pollenfront-cancellations", "entry-3", old)
	s.Put("pollenfront-cancellations", "other", "bm90IGpzb24=")
	saved, invalid, err := client.SavedCancellations(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(invalid, qt.HasLen, 1)
	slices.SortFunc(saved, func(a, b pollenfront.JobRef) int { return strings.Compare(a.ID+a.Route, b.ID+b.Route) })
	c.Assert(saved, qt.DeepEquals, []pollenfront.JobRef{job("02", "a"), job("02", "b"), job("03", "a"), job("04", "a")})
}

func TestClaim(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	c.Assert(client.Claim(ctx, "0011223344556677"), qt.IsNil)
	c.Assert(client.Claim(ctx, "0011223344556677"), qt.ErrorIs, pollenfront.ErrClaimed)
	s.SetFault(store.ResponseLost)
	c.Assert(client.Claim(ctx, "8899aabbccddeeff"), qt.ErrorMatches, "call the store: .*")
	s.SetFault(store.None)
	c.Assert(client.Claim(ctx, "8899aabbccddeeff"), qt.ErrorIs, pollenfront.ErrClaimed)
}

func TestSetZoneDisabled(t *testing.T) {
	c := qt.New(t)
	s, client := newStore(t)
	ctx := context.Background()
	c.Assert(client.SetZoneDisabled(ctx, "west", true), qt.ErrorMatches, "the store does not let this process write .*")
	s.OperatorsMayWrite = true
	c.Assert(client.SetZoneDisabled(ctx, "west", true), qt.IsNil)
	state, err := client.OperatorState(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(state.DisabledZones, qt.DeepEquals, []string{"west"})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault store.Fault
		want  string
	}{
		{name: "busy", fault: store.Busy, want: "the store answered with status 503"},
		{name: "reset", fault: store.Reset, want: "call the store: .*"},
		{name: "unresponsive", fault: store.Unresponsive, want: "call the store: .*deadline exceeded.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, client := newStore(t)
			s.SetFault(test.fault)
			started := time.Now()
			_, err := client.PollOperatorState(context.Background(), pollenfront.OperatorState{}, 200*time.Millisecond)
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
			s.SetFault(store.None)
			_, err = client.OperatorState(context.Background())
			c.Assert(err, qt.IsNil)
		})
	}
}

func TestRates(t *testing.T) {
	c := qt.New(t)
	s := store.New(store.Rates{Reads: 0, Writes: 1000})
	server := httptest.NewServer(s)
	defer server.Close()
	_, err := platform.NewStore(strings.TrimPrefix(server.URL, "http://")).OperatorState(context.Background())
	c.Assert(err, qt.ErrorMatches, "the store answered with status 429")
}
