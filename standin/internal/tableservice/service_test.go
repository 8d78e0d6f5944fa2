package tableservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/standin/internal/tableservice"
)

// newTable returns the platform's client of a new service, and the base URL.
func newTable(t *testing.T, limits tableservice.Limits) (*platform.Table, string) {
	t.Helper()
	server := httptest.NewServer(tableservice.New(limits).Handler())
	t.Cleanup(server.Close)
	return platform.NewTable(server.URL, "127.0.0.1"), server.URL
}

func order(t *testing.T, base, faults string) {
	t.Helper()
	response, err := http.Post(base+"/faults", "application/json", strings.NewReader(faults))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	_ = response.Body.Close()
}

func TestCompareAndSet(t *testing.T) {
	table, base := newTable(t, tableservice.DefaultLimits)
	row, err := table.Get(t.Context(), "view", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row, qt.DeepEquals, pollenfront.Row{})

	version, err := table.CompareAndSet(t.Context(), "view", pollenfront.Row{Value: []byte("a")})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, uint64(1))
	_, err = table.CompareAndSet(t.Context(), "view", pollenfront.Row{Value: []byte("b")})
	qt.Assert(t, refusal.Is(err, refusal.Conflict), qt.IsTrue, qt.Commentf("%v", err))

	row, err = table.Get(t.Context(), "view", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row, qt.DeepEquals, pollenfront.Row{Value: []byte("a"), Version: 1})
	row, err = table.Get(t.Context(), "view", 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row, qt.DeepEquals, pollenfront.Row{Version: 1}, qt.Commentf("a known version comes without its value"))

	order(t, base, `{"lose-answers": 1}`)
	_, err = table.CompareAndSet(t.Context(), "view", pollenfront.Row{Value: []byte("c"), Version: 1})
	qt.Assert(t, refusal.Is(err, refusal.TableUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	order(t, base, `{}`)
	row, err = table.Get(t.Context(), "view", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(row.Value), qt.Equals, "c", qt.Commentf("the write took effect"))
}

func TestTableUnavailable(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		limits tableservice.Limits
	}{
		{name: "down", faults: `{"down": true}`, limits: tableservice.DefaultLimits},
		{name: "over its limits", faults: `{}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, base := newTable(t, test.limits)
			order(t, base, test.faults)
			_, err := table.Get(t.Context(), "view", 0)
			qt.Assert(t, refusal.Is(err, refusal.TableUnavailable), qt.IsTrue, qt.Commentf("%v", err))
			_, err = table.CompareAndSet(t.Context(), "view", pollenfront.Row{})
			qt.Assert(t, refusal.Is(err, refusal.TableUnavailable), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
