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

// SettingsVariable names the environment variable that holds the path of the
// settings file where the command line names none.
const SettingsVariable = "POLLENFRONT_CONFIG"

// stopTimeout is how long an HTTP server may take to stop.
const stopTimeout = 2 * time.Second

// SettingsPath returns the path of the settings file.
func SettingsPath(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(SettingsVariable)
}

// OnHangup adds a part to a run group that calls reload at each SIGHUP.
func OnHangup(group *run.Group, reload func()) {
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

// OnStop adds a part to a run group that leaves in a planned way when stop ends,
// and with it the group. It ends by itself when another part has failed, which
// ends parts.
func OnStop(stop, parts context.Context, group *run.Group, leave func()) {
	group.Add(func() error {
		select {
		case <-stop.Done():
			leave()
		case <-parts.Done():
		}
		return nil
	}, func(error) {})
}

// AddServer adds an HTTP server to a run group, which ends if the server can't
// listen. When the group stops, the server closes its listener and its idle
// connections and waits for its requests. If it was shut down before, the group
// goes on.
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
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			logger.Warn("requests were cut off", zap.String("address", address), zap.Error(err))
		}
	})
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
