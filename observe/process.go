// Package observe gives every process its log, its metrics and the dump of its
// state.
//
// # Usage
//
//	p := observe.NewProcess("entry", name, os.Stdout)
//	p.Routes(router, func() any { return dump })
package observe

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

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

// maxLines bounds the lines of the log with one message in a second. What is
// beyond is left out and counted.
const maxLines = 300

// NewProcess returns a Process of the given program and name, which logs to out.
func NewProcess(program, name string, out io.Writer) *Process {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	writer := NewWriter(out, registry)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, zap.InfoLevel)
	left := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			writer.dropped.Inc()
		}
	})
	logger := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLines, 0, left))
	logger = logger.With(zap.String("program", program), zap.String("name", name))
	return &Process{Logger: logger, Registry: registry}
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

// WriteJSON writes value as the body of a response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
