package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/scheduler"
	"github.com/pollenfront/pollenfront/standin/store"
	"github.com/pollenfront/pollenfront/tasklink"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"pollenctl": main})
}

func TestScripts(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(scheduler.Dump{
			Agents: []scheduler.AgentDump{{
				Demand: 90000, LastUpdate: "80ms", Name: "agent-1", Runs: 3, Share: 23000, Usable: true, Zone: "west", Report: tasklink.Report{
					Capacity: pollenfront.Resources{CPU: 64000}, EffectiveCapacity: pollenfront.Resources{CPU: 35000}, EntryCount: 4,
					FailRate: 0.4, Free: pollenfront.Resources{CPU: 12000}, Slowness: 1.25,
				},
			}, {
				Name: "agent-2", Zone: "east", Report: tasklink.Report{Capacity: pollenfront.Resources{CPU: 32000}, EntryCount: 4},
			}},
			Interference: &scheduler.InterferenceDump{Agents: 9, Mode: "observe", Pairs: []scheduler.FindingDump{
				{Age: "2m0s", Agents: 7, Factor: 1.5, Neighbor: "reports", Route: "lookups", Score: 6.2},
			}},
			Jobs: []scheduler.JobDump{{Age: "20ms", DoneCount: 1, ID: "5c0e7a21d94b36f8", Route: "lookups", Tasks: 4, ToPlace: 2}},
		})
	}))
	t.Cleanup(entry.Close) // A deferred call would close the server before the scripts, which run in parallel, use it.
	// The stores accept no writes, so that a command that writes fails.
	good := store.New(store.Rates{Reads: 1000})
	good.Configure(7, []store.Route{{Host: "h", Name: "a", Prefix: "/a/", Service: "s"}})
	good.SetZoneDisabled("west", true)
	bad := store.New(store.Rates{Reads: 1000})
	bad.Put("op", "config", "bm90IGpzb24=")
	empty := store.New(store.Rates{Reads: 1000})
	addresses := map[string]string{"ENTRY": strings.TrimPrefix(entry.URL, "http://")}
	for name, s := range map[string]*store.Store{"STORE": good, "BAD_STORE": bad, "EMPTY_STORE": empty} {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		addresses[name] = strings.TrimPrefix(server.URL, "http://")
	}
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exit-code": checkExitCode},
		Dir:  "testdata/script",
		Setup: func(env *testscript.Env) error {
			for name, address := range addresses {
				env.Setenv(name, address)
			}
			return nil
		},
	})
}

// checkExitCode runs pollenctl with the arguments after the first one, which is the
// expected exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	var exitError *exec.ExitError
	if err := ts.Exec("pollenctl", args[1:]...); errors.As(err, &exitError) {
		code = exitError.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}
