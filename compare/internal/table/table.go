// Package table formats the results of the comparison as a Markdown table.
//
// # Usage
//
//	page := table.Markdown(results)
package table

import (
	"fmt"
	"strings"

	"github.com/pollenfront/pollenfront/replay"
)

// A Result is the result of a pattern with a placement policy.
type Result struct {
	replay.Result

	Pattern string
	Policy  string
}

// Markdown returns a table with a row for each result, in the given order.
func Markdown(results []Result) string {
	var b strings.Builder
	b.WriteString("| pattern | way | in time | late | refused | unknown | worth | worst 3 s | wasted, % of used |\n|---|---|---|---|---|---|---|---|---|\n")
	for i := range results {
		b.WriteString(row(&results[i]))
	}
	return b.String()
}

// row returns the table row of a result.
func row(r *Result) string {
	all, worst := r.ValueShares()
	return fmt.Sprintf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f |\n", r.Pattern, r.Policy, r.OnTimeShare(),
		countShare(r, r.Late), countShare(r, r.Refused), countShare(r, r.Unknown), all, worst, 100*r.WastedCoreSeconds/max(1, r.UsefulCoreSeconds))
}

// countShare returns the sum of some counts as a share of all submitted jobs.
func countShare(r *Result, counts map[string]int) float64 {
	sum, submitted := 0, 0
	for kind, n := range r.Submitted {
		sum += counts[kind]
		submitted += n
	}
	return float64(sum) / max(1, float64(submitted))
}
