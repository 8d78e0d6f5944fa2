// Package observe gives every process its log, its metrics and the dump of its
// state.
//
// # Usage
//
//	p, err := observe.NewProcess("entry", name, debug)
//	p.Routes(router, func() any { return dump })
package observe

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Process holds what a process is observed by.
type Process struct {
	Logger   *zap.Logger
	Registry *prometheus.Registry
}

// NewProcess returns a Process of the given program and name. Debug lowers the
// level of the log.
func NewProcess(program, name string, debug bool) (*Process, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.Sampling = nil
	if debug {
		config.Level = zap.NewAtomicLevelAt(zap.DebugLevel)
	}
	logger, err := config.Build(zap.WithCaller(false))
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	logger = logger.With(zap.String("program", program), zap.String("name", name))
	return &Process{Logger: logger, Registry: registry}, nil
}

// Routes serves the metrics at /metrics, the dump that state returns at
// /debug/state, and profiles below /debug/pprof.
func (p *Process) Routes(router *mux.Router, state func() any) {
	router.Handle("/metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, state())
	}).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}

// ReadJSON reads the body of a request into value. If it can't, it answers with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes value as the body of a response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
