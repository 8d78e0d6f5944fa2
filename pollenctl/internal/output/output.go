// Package output writes results as tables for people and as JSON for programs.
//
// # Usage
//
//	w := output.NewWriter(os.Stdout, false)
//	w.Table([]string{"zone", "state"}, rows, value)
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// A Writer writes results.
type Writer struct {
	json   bool
	writer io.Writer
}

// NewWriter returns a Writer. With asJSON, it writes JSON.
func NewWriter(w io.Writer, asJSON bool) *Writer {
	return &Writer{json: asJSON, writer: w}
}

// Table writes rows under a header, or the value as JSON.
func (w *Writer) Table(header []string, rows [][]string, value any) error {
	if w.json {
		return w.encode(value)
	}
	tabs := tabwriter.NewWriter(w.writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tabs, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(tabs, strings.Join(row, "\t"))
	}
	return tabs.Flush()
}

// Lines writes lines, or the value as JSON.
func (w *Writer) Lines(lines []string, value any) error {
	if w.json {
		return w.encode(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w.writer, line); err != nil {
			return err
		}
	}
	return nil
}

// encode writes a value as JSON.
func (w *Writer) encode(value any) error {
	encoder := json.NewEncoder(w.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
