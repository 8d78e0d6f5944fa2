package program

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
)

// SettingsEnvVar is the environment variable that holds the path of the settings
// file. It is read if the command line names no file.
const SettingsEnvVar = "POLLENFRONT_CONFIG"

// shutdownTimeout bounds the time that a stopping HTTP server waits for the requests
// in progress.
const shutdownTimeout = 2 * time.Second

// SettingsPath returns option, the path on the command line, or the value of
// SettingsEnvVar if option is empty.
func SettingsPath(option string) string {
	if option != "" {
		return option
	}
	return os.Getenv(SettingsEnvVar)
}

// AddReloadHandler adds an actor to group that calls reload on each SIGHUP.
func AddReloadHandler(group *run.Group, reload func()) {
	ctx, cancel := context.WithCancel(context.Background())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	group.Add(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				reload()
			}
		}
	}, func(error) {
		signal.Stop(hangups)
		cancel()
	})
}

// AddDrainHandler adds an actor to group that calls drain when stopCtx is done. The
// group stops when drain returns. If the group stops because another actor has
// failed, the caller must cancel partsCtx, and the actor returns without calling
// drain.
func AddDrainHandler(stopCtx, partsCtx context.Context, group *run.Group, drain func()) {
	group.Add(func() error {
		select {
		case <-stopCtx.Done():
			drain()
		case <-partsCtx.Done():
		}
		return nil
	}, func(error) {})
}

// AddServer adds an HTTP server to group. The group stops if the server can't listen
// on address. When the group stops, the server closes its listener and its idle
// connections, and waits up to shutdownTimeout for the requests in progress. A
// server that the caller shuts down earlier does not stop the group.
func AddServer(group *run.Group, server *http.Server, address string, logger *zap.Logger) {
	server.ErrorLog, _ = zap.NewStdLogAt(logger, zap.DebugLevel)
	stopped := make(chan struct{})
	group.Add(func() error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			logger.Warn("HTTP server shut down with requests in progress", zap.String("address", address), zap.Error(err))
		}
	})
}

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
