package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/tasklink"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"pollenctl": main})
}

func TestScripts(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(scheduler.Dump{
			Agents: []scheduler.AgentDump{{
				LastUpdate: "80ms", Name: "agent-1", Runs: 3, Usable: true, Zone: "west", Report: tasklink.Report{
					Capacity: pollenfront.Resources{CPU: 64000}, FailRate: 0.4, Free: pollenfront.Resources{CPU: 12000}, Slowness: 1.25,
				},
			}},
			Interference: &scheduler.InterferenceDump{Agents: 9, Mode: "observe", Pairs: []scheduler.FindingDump{
				{Age: "2m0s", Agents: 7, Factor: 1.5, Neighbor: "reports", Route: "lookups", Score: 6.2},
			}},
			Jobs: []scheduler.JobDump{{Age: "20ms", DoneCount: 1, ID: "5c0e7a21d94b36f8", Route: "lookups", Tasks: 4, ToPlace: 2}},
		})
	}))
	t.Cleanup(entry.Close) // A deferred call would close the server before the scripts, which run in parallel, use it.
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("ENTRY", strings.TrimPrefix(entry.URL, "http://"))
			return nil
		},
	})
}
