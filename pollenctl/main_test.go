package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"pollenctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(newFakeEntry(t))
			env.Defer(server.Close)
			env.Setenv("POLLENFRONT_API", server.URL)
			env.Setenv("USER", "tester")
			return nil
		},
	})
}

// newFakeEntry returns an entry whose view is kept in memory. Changes of the
// zone "anping" are recorded and never in force.
func newFakeEntry(t *testing.T) http.Handler {
	v := &view.View{}
	for i, zone := range []string{"anping", "east", "west"} {
		next, err := v.Apply(view.Change{
			Entry: view.Entry{API: "127.0.0.1:1", Incarnation: 1, Name: "entry-" + zone, Zone: zone}, Operation: view.OpJoin,
		}, time.Unix(int64(i), 0), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		v = next
	}
	mux := http.NewServeMux()
	mux.HandleFunc(operatorapi.PathView, func(w http.ResponseWriter, _ *http.Request) { observe.WriteJSON(w, http.StatusOK, v) })
	mux.HandleFunc(operatorapi.PathForce, func(w http.ResponseWriter, _ *http.Request) {
		force := operatorapi.Force{Accepted: v.Version, Version: v.Version}
		for _, e := range v.Entries {
			force.Holders = append(force.Holders, operatorapi.Holder{Name: e.Name, Program: "entry", Version: v.Version, Zone: e.Zone})
		}
		observe.WriteJSON(w, http.StatusOK, force)
	})
	mux.HandleFunc("/v1/jobs/", func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, peer.JobState{Owner: "entry-west", Why: []string{"task a is queued"}})
	})
	mux.HandleFunc(operatorapi.PathChanges, func(w http.ResponseWriter, r *http.Request) {
		var request operatorapi.ChangeRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
		}
		next, err := v.Apply(request.Change, time.Unix(100, 0), time.Hour)
		if err != nil {
			observe.WriteJSON(w, refusal.From(err).Status(), refusal.From(err))
			return
		}
		result := operatorapi.ChangeResult{Accepted: request.Change.Name != "anping", DryRun: request.DryRun, Version: next.Version}
		if !result.Accepted {
			result.Unconfirmed = []string{"entry-anping"}
		}
		if !request.DryRun {
			v = next
		}
		observe.WriteJSON(w, http.StatusOK, result)
	})
	return mux
}
