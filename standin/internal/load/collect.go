package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/pollenfront/pollenfront/standin/internal/backendserver"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
)

// collectTimeout bounds a request for starts or metrics.
const collectTimeout = 5 * time.Second

// collectStarts returns the starts that all backend servers have on record.
func collectStarts(fleet plan.Fleet) ([]history.Record, error) {
	client := &http.Client{Timeout: collectTimeout}
	var records []history.Record
	for _, server := range fleet.Servers {
		response, err := client.Get(server.Backend + "/v1/starts")
		if err != nil {
			return nil, fmt.Errorf("starts of %s: %w", server.Name, err)
		}
		var starts []backendserver.Start
		err = json.NewDecoder(response.Body).Decode(&starts)
		_ = response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("starts of %s: %w", server.Name, err)
		}
		for _, s := range starts {
			records = append(records, history.Record{
				At: s.At, End: s.End, Event: history.EventStart, Job: s.Job, OK: s.OK, Server: server.Name, Task: s.Task, Work: s.Work, Zone: s.Zone,
			})
		}
	}
	return records, nil
}

// metrics are sums over all entries.
type metrics struct {
	bytes    float64 // Between processes.
	messages map[string]float64
	seconds  float64 // Processor time.
}

// scrape sums the metrics of all entries that answer.
func scrape(fleet plan.Fleet) metrics {
	sum := metrics{messages: make(map[string]float64)}
	client := &http.Client{Timeout: collectTimeout}
	for _, e := range fleet.Entries {
		response, err := client.Get(e.API + "/metrics")
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(response.Body)
		_ = response.Body.Close()
		if err == nil {
			sum.add(families)
		}
	}
	return sum
}

// add adds the metrics of one entry.
func (m *metrics) add(families map[string]*dto.MetricFamily) {
	for _, metric := range families["pollenfront_task_messages_total"].GetMetric() {
		m.messages[metric.GetLabel()[0].GetValue()] += metric.GetCounter().GetValue()
	}
	for _, metric := range families["pollenfront_peer_bytes_total"].GetMetric() {
		m.bytes += metric.GetCounter().GetValue()
	}
	for _, metric := range families["process_cpu_seconds_total"].GetMetric() {
		m.seconds += metric.GetCounter().GetValue()
	}
}

// minus returns the difference of two sums.
func (m metrics) minus(before metrics) metrics {
	difference := metrics{bytes: m.bytes - before.bytes, messages: make(map[string]float64), seconds: m.seconds - before.seconds}
	for name, value := range m.messages {
		difference.messages[name] = value - before.messages[name]
	}
	return difference
}

// describe lists the messages by name.
func (m metrics) describe() string {
	var parts []string
	for name, value := range m.messages {
		parts = append(parts, fmt.Sprintf("%s %.0f", name, value))
	}
	return strings.Join(parts, ", ")
}
