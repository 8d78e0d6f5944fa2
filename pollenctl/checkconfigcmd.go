package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/configcheck"
	"github.com/pollenfront/pollenfront/platform"
	"github.com/pollenfront/pollenfront/program"
)

// storeReadTimeout bounds the reading of the state in force.
const storeReadTimeout = 5 * time.Second

// A checkConfigCmd checks a file with a configuration. It writes nothing.
type checkConfigCmd struct {
	Against string `help:"file with the configuration in force" placeholder:"FILE"`
	File    string `arg:"positional,required" help:"file with the configuration to check"`
	Output  string `default:"table" help:"table or json"`
	Store   string `help:"address of the platform's store with the configuration in force" placeholder:"IP:PORT"`
}

// A configReport is the result of a check in JSON.
type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Notes    []configcheck.Finding `json:"notes"`
}

// run checks the file and prints the findings. It returns an error if there are any
// that are not notes.
func (c *checkConfigCmd) run(ctx context.Context) error {
	switch {
	case c.Against != "" && c.Store != "":
		return usageError(errors.New("--against and --store exclude each other; name one version in force"))
	case c.Output != "table" && c.Output != "json":
		return usageError(fmt.Errorf("%q is no output; use table or json", c.Output))
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return usageError(fmt.Errorf("read the configuration: %w", err))
	}
	inForce, err := c.inForce(ctx)
	if err != nil {
		return err
	}
	report := configReport{Findings: []configcheck.Finding{}, Notes: []configcheck.Finding{}}
	for _, f := range configcheck.Check(platform.ReadConfig(text), inForce) {
		if f.Kind.IsNote() {
			report.Notes = append(report.Notes, f)
		} else {
			report.Findings = append(report.Findings, f)
		}
	}
	if err := report.write(os.Stdout, c.Output); err != nil {
		return err
	}
	if count := len(report.Findings); count > 0 {
		return fmt.Errorf("%s has faults: %d found", c.File, count)
	}
	return nil
}

// inForce returns the state with which the configuration is compared. It is empty if
// the command line names none.
func (c *checkConfigCmd) inForce(ctx context.Context) (pollenfront.OperatorState, error) {
	switch {
	case c.Against != "":
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return pollenfront.OperatorState{}, usageError(fmt.Errorf("read the configuration in force: %w", err))
		}
		config, err := platform.DecodeConfig(text)
		if err != nil {
			return pollenfront.OperatorState{}, usageError(fmt.Errorf("%s can't be in force: %w", c.Against, err))
		}
		return pollenfront.OperatorState{Config: config}, nil
	case c.Store != "":
		ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		state, err := platform.NewStore(c.Store).OperatorState(ctx)
		if err != nil {
			return state, fmt.Errorf("read the configuration in force: %w", err)
		}
		return state, nil
	}
	return pollenfront.OperatorState{}, nil
}

// write writes the report as a table or as JSON.
func (r configReport) write(w io.Writer, output string) error {
	if output == "json" {
		return writeJSON(w, r)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "no faults found")
	}
	if len(r.Findings)+len(r.Notes) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LINE\tKIND\tFIELD\tMESSAGE")
	for _, findings := range [][]configcheck.Finding{r.Findings, r.Notes} {
		for _, f := range findings {
			line, path := "-", "-"
			if f.Line > 0 {
				line = fmt.Sprint(f.Line)
			}
			if f.Path != "" {
				path = f.Path
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", line, f.Kind, path, f.Message)
		}
	}
	return table.Flush()
}

// usageError returns an error that makes the program exit with program.ExitUsage.
func usageError(err error) error {
	return program.ExitError{Code: program.ExitUsage, Err: err}
}
