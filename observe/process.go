// Package observe provides the log, the metrics and the debug endpoints of a
// process.
//
// # Usage
//
//	p := observe.NewProcess("entry", name, os.Stdout)
//	p.Routes(router, func() any { return dump() })
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

// A Process holds the logger and the metrics registry of a process.
type Process struct {
	Logger   *zap.Logger
	Registry *prometheus.Registry
}

// maxLinesPerMessage is the number of log lines with the same level and message that
// are written per second. Further lines are dropped and counted.
const maxLinesPerMessage = 300

// NewProcess returns a Process that logs to out as JSON. Each line names the program
// and the process. Logging never blocks, even if out does.
func NewProcess(program, name string, out io.Writer) *Process {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	writer := NewAsyncWriter(out, registry)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, zap.InfoLevel)
	countDropped := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			writer.dropped.Inc()
		}
	})
	logger := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerMessage, 0, countDropped))
	logger = logger.With(zap.String("program", program), zap.String("name", name))
	return &Process{Logger: logger, Registry: registry}
}

// Routes adds routes to router: the metrics at /metrics, the value that state returns
// as JSON at /debug/state, and the profiles of net/http/pprof below /debug/pprof.
func (p *Process) Routes(router *mux.Router, state func() any) {
	router.Handle("/metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, state())
	}).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}

// WriteJSON writes a response with the given status and value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
