package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/standin/internal/network"
)

// A networkCmd runs relays.
type networkCmd struct {
	Callers time.Duration `default:"1ms" help:"one-way latency to callers"`
	Listen  string        `arg:"required" help:"address for orders"`
	Relay   []string      `arg:"required" help:"relays, each LISTEN=TARGET"`
	Zones   time.Duration `default:"1.5ms" help:"one-way latency between zones"`
}

// execute relays until ctx ends.
func (c *networkCmd) execute(ctx context.Context) error {
	n := network.New(network.Latency{Callers: c.Callers, Zones: c.Zones})
	for _, relay := range c.Relay {
		listen, target, ok := strings.Cut(relay, "=")
		if !ok {
			return fmt.Errorf("relay %q is not LISTEN=TARGET", relay)
		}
		go func() {
			if err := n.Relay(ctx, listen, target); err != nil && ctx.Err() == nil {
				fmt.Fprintf(os.Stderr, "relay %s: %v\n", relay, err)
			}
		}()
	}
	r := mux.NewRouter()
	r.HandleFunc("/cuts", func(w http.ResponseWriter, request *http.Request) {
		var cuts []network.Cut
		if !observe.ReadJSON(w, request, &cuts) {
			return
		}
		n.SetCuts(cuts)
		observe.WriteJSON(w, http.StatusOK, cuts)
	}).Methods(http.MethodPost)
	return serveHTTP(ctx, c.Listen, r)
}
