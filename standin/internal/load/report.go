package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/standin/internal/yardstick"
)

// Histograms hold ratios in thousandths, and times in microseconds.
const (
	histogramDigits = 3
	histogramMax    = 10_000_000_000
	ratioUnit       = 1000
)

// A Quantiles holds three quantiles of a distribution.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// A Report is the result of a run.
type Report struct {
	Bytes         float64              `json:"bytes"`       // Between processes, at the entries.
	Clairvoyant   Quantiles            `json:"clairvoyant"` // The clairvoyant queue's response over ideal.
	CPU           pollenfront.Duration `json:"cpu"`         // Of the entries.
	Goodput       float64              `json:"goodput"`     // Work of complete jobs a second.
	Jobs          int                  `json:"jobs"`
	Messages      map[string]float64   `json:"messages"`
	Offered       float64              `json:"offered"` // Work submitted a second.
	Outcomes      map[string]int       `json:"outcomes"`
	Overhead      Quantiles            `json:"overhead-ms"`      // Response beyond the run time at the server, of jobs with one task.
	OverIdeal     Quantiles            `json:"over-ideal"`       // Response over ideal, of complete jobs.
	OverClair     Quantiles            `json:"over-clairvoyant"` // Response over clairvoyant, of complete jobs.
	RefusalTime   Quantiles            `json:"refusal-time-ms"`
	Resubmissions int                  `json:"resubmissions"`
	ResponseTime  Quantiles            `json:"response-time-ms"`
	ByKind        map[string]Quantiles `json:"by-kind"` // Response over ideal.
	Seconds       []Second             `json:"seconds"`
	Wasted        float64              `json:"wasted"` // Messages beyond two for each task, as a share of those.
}

// A Second is what was done in one second of a run.
type Second struct {
	At       int     `json:"at"` // Since the first submission.
	Complete int     `json:"complete"`
	NotRun   int     `json:"not-run"`
	Other    int     `json:"other"`
	Work     float64 `json:"work"` // Seconds of work at speed 1 that ended.
}

// A distribution collects values.
type distribution struct {
	histogram *hdrhistogram.Histogram
}

// newDistribution returns an empty distribution.
func newDistribution() *distribution {
	return &distribution{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// add adds a value.
func (d *distribution) add(value float64) {
	_ = d.histogram.RecordValue(int64(value * ratioUnit))
}

// quantiles returns three quantiles.
func (d *distribution) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(d.histogram.ValueAtQuantile(q)) / ratioUnit }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// newReport calculates the report of a run.
func newReport(r *runner, starts []history.Record, m metrics) *Report {
	counted := r.counted()
	report := &Report{
		Bytes: m.bytes, ByKind: make(map[string]Quantiles), CPU: pollenfront.Duration(time.Duration(m.seconds * float64(time.Second))),
		Jobs: len(counted), Messages: m.messages, Outcomes: make(map[string]int),
	}
	report.addResponses(r, counted)
	report.addOverhead(counted, starts)
	report.addSeconds(counted, starts)
	report.addMessages(m)
	return report
}

// yardstickOf returns the yardstick of a fleet.
func yardstickOf(r *runner) *yardstick.Yardstick {
	var speeds []float64
	for _, s := range r.Fleet.Servers {
		for range s.Slots {
			speeds = append(speeds, s.Speed)
		}
	}
	return yardstick.New(speeds)
}

// addResponses adds the outcomes and the distributions of response times.
func (p *Report) addResponses(r *runner, counted []*submission) {
	y := yardstickOf(r)
	var arrivals []yardstick.Arrival
	for _, s := range counted {
		arrivals = append(arrivals, yardstick.Arrival{At: s.arrived, Work: s.drawn.Work})
	}
	clairvoyant := y.Clairvoyant(arrivals)
	clair, overIdeal, overClair := newDistribution(), newDistribution(), newDistribution()
	response, refused := newDistribution(), newDistribution()
	byKind := make(map[string]*distribution)
	var done, offered time.Duration
	for i, s := range counted {
		work := total(s.drawn.Work)
		offered += work
		p.Resubmissions += max(0, s.tries-1)
		p.Outcomes[s.outcome()]++
		ideal := y.Ideal(s.drawn.Work).Seconds()
		clair.add(clairvoyant[i].Seconds() / ideal)
		took := s.ended.Sub(s.arrived).Seconds()
		if s.lost || s.answer.Status != pollenfront.StatusComplete {
			refused.add(took * 1e3)
			continue
		}
		done += work
		overIdeal.add(took / ideal)
		overClair.add(took / clairvoyant[i].Seconds())
		response.add(took * 1e3)
		if byKind[s.kind.Name] == nil {
			byKind[s.kind.Name] = newDistribution()
		}
		byKind[s.kind.Name].add(took / ideal)
	}
	for kind, d := range byKind {
		p.ByKind[kind] = d.quantiles()
	}
	span := (r.For - r.Warm).Seconds()
	p.Goodput, p.Offered = done.Seconds()/span, offered.Seconds()/span
	p.Clairvoyant, p.OverIdeal, p.OverClair = clair.quantiles(), overIdeal.quantiles(), overClair.quantiles()
	p.ResponseTime, p.RefusalTime = response.quantiles(), refused.quantiles()
}

// addOverhead adds the response time beyond the run time at the server, of
// complete jobs with one task.
func (p *Report) addOverhead(counted []*submission, starts []history.Record) {
	runTimes := make(map[pollenfront.JobID]time.Duration)
	for _, s := range starts {
		runTimes[s.Job] = s.End.Sub(s.At)
	}
	overhead := newDistribution()
	for _, s := range counted {
		ran, ok := runTimes[s.answer.Job]
		if ok && len(s.drawn.Work) == 1 && s.answer.Status == pollenfront.StatusComplete {
			overhead.add(1e3 * (s.ended.Sub(s.arrived) - ran).Seconds())
		}
	}
	p.Overhead = overhead.quantiles()
}

// addSeconds adds what was done in each second.
func (p *Report) addSeconds(counted []*submission, starts []history.Record) {
	if len(counted) == 0 {
		return
	}
	began := counted[0].arrived
	seconds := make(map[int]*Second)
	at := func(t time.Time) *Second {
		i := int(t.Sub(began) / time.Second)
		if seconds[i] == nil {
			seconds[i] = &Second{At: i}
		}
		return seconds[i]
	}
	for _, s := range counted {
		switch second := at(s.ended); {
		case s.lost:
			second.Other++
		case s.answer.Status == pollenfront.StatusComplete:
			second.Complete++
		case s.answer.Status == pollenfront.StatusNotRun:
			second.NotRun++
		default:
			second.Other++
		}
	}
	for _, s := range starts {
		if s.OK && !s.End.Before(began) {
			at(s.End).Work += time.Duration(s.Work).Seconds()
		}
	}
	for _, s := range seconds {
		p.Seconds = append(p.Seconds, *s)
	}
	sort.Slice(p.Seconds, func(i, j int) bool { return p.Seconds[i].At < p.Seconds[j].At })
}

// addMessages adds the share of wasted messages. Two are needed for a task
// that succeeded: its start and its outcome.
func (p *Report) addMessages(m metrics) {
	var all float64
	for _, count := range m.messages {
		all += count
	}
	if needed := 2 * m.messages["succeeded"]; needed > 0 {
		p.Wasted = (all - needed) / needed
	}
}

// outcome names what became of a submission.
func (s *submission) outcome() string {
	if s.lost {
		return "lost"
	}
	if s.answer.Reason != "" {
		return string(s.answer.Status) + "/" + s.answer.Reason
	}
	return string(s.answer.Status)
}

// Print writes the report for people.
func (p *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "jobs %d, offered %.1f, goodput %.1f work-seconds/s, resubmissions %d\n", p.Jobs, p.Offered, p.Goodput, p.Resubmissions)
	var names []string
	for name := range p.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %-36s %d\n", name, p.Outcomes[name])
	}
	row := func(name string, q Quantiles) {
		fmt.Fprintf(w, "%-28s p50 %8.2f  p95 %8.2f  p99 %8.2f\n", name, q.P50, q.P95, q.P99)
	}
	row("response ms", p.ResponseTime)
	row("response/ideal", p.OverIdeal)
	for kind, q := range p.ByKind {
		row("  "+kind, q)
	}
	row("clairvoyant/ideal", p.Clairvoyant)
	row("response/clairvoyant", p.OverClair)
	row("refusal ms", p.RefusalTime)
	row("overhead ms, single tasks", p.Overhead)
	fmt.Fprintf(w, "messages: %s; wasted %.1f%%\n", metrics{messages: p.Messages}.describe(), 100*p.Wasted)
	fmt.Fprintf(w, "entries: cpu %v, %.0f bytes\n", time.Duration(p.CPU).Round(time.Millisecond), p.Bytes)
}

// total returns the sum of durations.
func total(work []time.Duration) time.Duration {
	var sum time.Duration
	for _, w := range work {
		sum += w
	}
	return sum
}
