package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pollenfront/pollenfront/pollenctl/internal/timeline"
)

// An explainCmd prints the timeline of a request from logs.
type explainCmd struct {
	Output  string `default:"table" help:"table or json"`
	Request string `arg:"positional,required" help:"ID of the request"`

	// Files must be declared after Request: the order of the fields is that of
	// the arguments on the command line.
	Files []string `arg:"positional" help:"logs of processes [default: standard input]"`
}

// run reads the logs and prints the timeline.
func (c *explainCmd) run() error {
	t := timeline.New(c.Request)
	if len(c.Files) == 0 {
		if err := t.Read(os.Stdin); err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
	}
	for _, name := range c.Files {
		if err := readFile(t, name); err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	if c.Output == "json" {
		return t.WriteJSON(os.Stdout)
	}
	return t.WriteTable(os.Stdout)
}

// readFile adds the lines of a log file to the timeline.
func readFile(t *timeline.Timeline, name string) error {
	file, err := os.Open(name) //nolint:gosec // The operator chooses the file.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return t.Read(io.Reader(file))
}
