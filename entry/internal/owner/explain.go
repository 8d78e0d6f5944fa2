package owner

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
)

// explain lists why a job waits and why its servers were chosen.
func explain(dump dispatch.Dump, id pollenfront.JobID) []string {
	var lines []string
	for _, j := range dump.Jobs {
		if j.ID != id {
			continue
		}
		if j.Waiting != "" {
			lines = append(lines, j.Waiting)
		}
		for _, t := range j.Tasks {
			line := fmt.Sprintf("task %s is %s", t.Name, t.State)
			if t.Choice != "" {
				line += ": " + t.Choice
			}
			if t.Refusal != "" {
				line += fmt.Sprintf("; refused %d times, last %s", t.Refusals, t.Refusal)
			}
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		lines = []string{"former owners are being asked whether they have the job"}
	}
	return lines
}

// countsDesc describes the dispatcher's totals.
var countsDesc = prometheus.NewDesc("pollenfront_dispatch_total", "Totals of the dispatcher.", []string{"count"}, nil)

// A countsCollector exports the dispatcher's totals.
type countsCollector struct {
	owner *Owner
}

// Describe implements prometheus.Collector.
func (*countsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- countsDesc
}

// Collect implements prometheus.Collector.
func (c *countsCollector) Collect(metrics chan<- prometheus.Metric) {
	c.owner.mutex.Lock()
	counts := c.owner.dispatcher.Counts()
	c.owner.mutex.Unlock()
	for name, value := range map[string]int{
		"accepted":    counts.Accepted,
		"complete":    counts.Complete,
		"ejected":     counts.Ejected,
		"failed":      counts.Failed,
		"not-run":     counts.NotRun,
		"not-started": counts.NotStarted,
		"refused":     counts.Refused,
		"sent":        counts.Sent,
		"unknown":     counts.Unknown,
		"withdrawn":   counts.Withdrawn,
	} {
		metrics <- prometheus.MustNewConstMetric(countsDesc, prometheus.CounterValue, float64(value), name)
	}
}
