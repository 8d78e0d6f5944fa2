// Package summary turns the reports of many runs into a table and plots.
//
// # Usage
//
//	rows, err := summary.Read("run/bench")
//	summary.Table(os.Stdout, rows)
//	err = summary.Plot("docs/measurements", rows)
package summary

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pollenfront/pollenfront/standin/internal/load"
)

// A Row is the report of one run.
type Row struct {
	load.Report

	Deployment  string
	Event       string // Ordered in mid-run, or empty.
	Mix         string
	Policy      string
	Utilization string
}

// Read reads the reports in a directory, whose names are
// DEPLOYMENT_MIX_UTILIZATION_POLICY[_EVENT].json.
func Read(dir string) ([]Row, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(files))
	for _, file := range files {
		parts := strings.Split(strings.TrimSuffix(filepath.Base(file), ".json"), "_")
		if len(parts) < 4 {
			continue
		}
		row := Row{Deployment: parts[0], Mix: parts[1], Policy: parts[3], Utilization: parts[2]}
		if len(parts) > 4 {
			row.Event = parts[4]
		}
		encoded, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(encoded, &row.Report); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].key() < rows[j].key() })
	return rows, nil
}

// Table writes the rows as a Markdown table.
func Table(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| run | jobs | goodput / offered | over ideal p50 / p95 / p99 | clairvoyant queue over ideal | over clairvoyant | wasted | refused (p99) | failed or unknown |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		refused, failed := r.split()
		fmt.Fprintf(w, "| %s | %d | %.1f / %.1f | %s | %s | %s | %.1f%% | %d (%.0f ms) | %d |\n",
			r.key(), r.Jobs, r.Goodput, r.Offered, quantiles(r.OverIdeal), quantiles(r.Clairvoyant), quantiles(r.OverClair),
			100*r.Wasted, refused, r.RefusalTime.P99, failed)
	}
}

// key names a row.
func (r Row) key() string {
	parts := []string{r.Deployment, r.Mix, r.Utilization, r.Policy}
	if r.Event != "" {
		parts = append(parts, r.Event)
	}
	return strings.Join(parts, "/")
}

// split counts the submissions that were refused, and those that failed, had
// an unknown outcome or no answer.
func (r Row) split() (refused, failed int) {
	for outcome, n := range r.Outcomes {
		switch {
		case outcome == "complete":
		case strings.HasPrefix(outcome, "not-run"), strings.HasPrefix(outcome, "refused"):
			refused += n
		default:
			failed += n
		}
	}
	return refused, failed
}

// quantiles writes three quantiles.
func quantiles(q load.Quantiles) string {
	return fmt.Sprintf("%.2f / %.2f / %.2f", q.P50, q.P95, q.P99)
}
