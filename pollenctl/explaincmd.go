package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pollenfront/pollenfront/pollenctl/internal/story"
)

// An explainCmd tells what became of a request.
type explainCmd struct {
	Output  string   `default:"table" help:"table or json"`
	Request string   `arg:"positional,required" help:"ID of the request"`
	Files   []string `arg:"positional" help:"logs of processes [default: standard input]"` // After Request on the command line.
}

// run carries the command out.
func (c *explainCmd) run() error {
	s := story.New(c.Request)
	if len(c.Files) == 0 {
		if err := s.Read(os.Stdin); err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
	}
	for _, name := range c.Files {
		if err := readFile(s, name); err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	if c.Output == "json" {
		return s.WriteJSON(os.Stdout)
	}
	return s.WriteTable(os.Stdout)
}

// readFile reads the lines of one file.
func readFile(s *story.Story, name string) error {
	file, err := os.Open(name) //nolint:gosec // The operator names it.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return s.Read(io.Reader(file))
}
