package program

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGuard checks that a panic while a Guard is held ends the process even if it happens
// in a request, where the HTTP server would catch it, and that nothing else does.
func TestGuard(t *testing.T) {
	tests := []struct {
		name    string
		handler func()
		crashed bool
	}{
		{name: "no panic", handler: func() {}, crashed: false},
		{name: "a panic", handler: func() { panic("half changed") }, crashed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var causes []any
			called := false
			onPanic := func() {
				called = true
				panic("in OnPanic")
			}
			g := &Guard{OnPanic: onPanic, crash: func(cause any) { causes = append(causes, cause) }}
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				g.Lock()
				defer g.Unlock()
				test.handler()
			})
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			c.Assert(len(causes) > 0, qt.Equals, test.crashed)
			c.Assert(called, qt.Equals, test.crashed)
			c.Assert(g.TryLock(), qt.IsTrue)
		})
	}
}
