// Command compare simulates the load patterns of package replay with several placement
// policies, and writes how the jobs were answered as a table and a chart.
//
// # Usage
//
//	compare --draws 6 --out docs/measurements
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"

	"github.com/pollenfront/pollenfront/compare/internal/chart"
	"github.com/pollenfront/pollenfront/compare/internal/table"
)

// options are the command-line options.
type options struct {
	Draws int    `default:"6" help:"number of seeds with which each pattern is simulated"`
	Out   string `default:"docs/measurements" help:"folder for the table and the plot"`
}

// header is the text of the page above the table. Its verbs take the number of seeds. The
// page and the chart call a placement policy a way, the value of answers their worth, and
// the offered value what was owed.
const header = `# Ways of placing, by load pattern

Written by ` + "`bin/compare --draws %d`" + `: the replay in virtual time, seeds 1 to %d added up. The patterns stand in
replay/pattern.go. "Worth" is the worth of the answers as a share of what was owed; a late one has a fifth of it. "Worst 3 s" is
its mean over the three worst seconds. The ways differ in the choice of a server; order, refusals, agents and the
stopping of stuck runs are the same, but for the clairvoyant queue, which knows all without delay and is the limit. How far
the model is from the users' bench, and what binds, stands in [design/3-placing](../design/3-placing.md).

![worth of the answers](placing.svg)

`

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// run simulates all patterns with all policies and writes the table and the chart.
func run(o *options) error {
	results := simulateAll(o.Draws)
	if err := os.MkdirAll(o.Out, 0o750); err != nil {
		return fmt.Errorf("create the output folder: %w", err)
	}
	page := fmt.Sprintf(header, o.Draws, o.Draws) + table.Markdown(results)
	if err := os.WriteFile(filepath.Join(o.Out, "placing.md"), []byte(page), 0o600); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	if err := chart.Write(filepath.Join(o.Out, "placing.svg"), results); err != nil {
		return fmt.Errorf("write the chart: %w", err)
	}
	return nil
}
