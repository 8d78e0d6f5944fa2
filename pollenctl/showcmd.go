package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pollenfront/pollenfront/scheduler"
)

// showTimeout bounds the wait for an entry's answer.
const showTimeout = 5 * time.Second

// A showCmd shows what an entry believes.
type showCmd struct {
	API    string `help:"API address of an entry, required" placeholder:"IP:PORT"`
	Output string `default:"table" help:"table or json"`
	What   string `arg:"positional,required" help:"servers or jobs"`
}

// run carries the command out.
func (c *showCmd) run(ctx context.Context) error {
	if c.API == "" {
		return errors.New("--api is missing; name the API address of an entry")
	}
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.API+"/debug/state", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("ask the entry at %s: %w", c.API, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read the answer of the entry at %s: %w", c.API, err)
	}
	return c.print(data)
}

// print prints what was asked for.
func (c *showCmd) print(data []byte) error {
	if c.Output == "json" {
		_, err := os.Stdout.Write(data)
		return err
	}
	var s scheduler.Dump
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode the entry's state: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	switch c.What {
	case "servers":
		fmt.Fprintln(w, "SERVER\tZONE\tUSABLE\tHOME\tCPU\tFREE\tRUNS\tSLOWNESS\tFAILING\tHEARD")
		for _, a := range s.Agents {
			fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%d\t%d\t%.2f\t%.2f\t%s\n", a.Name, a.Zone, a.Usable, a.Home, a.Report.Capacity.CPU, a.Report.Free.CPU,
				a.Runs, a.Report.Slowness, a.Report.FailRate, a.LastUpdate)
		}
	case "jobs":
		fmt.Fprintln(w, "JOB\tROUTE\tAGE\tTASKS\tDONE\tWAITING\tENDING")
		for _, j := range s.Jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%t\n", j.ID, j.Route, j.Age, j.Tasks, j.Done, j.ToPlace, j.Ending)
		}
	default:
		return fmt.Errorf("%q can't be shown; ask for servers or jobs", c.What)
	}
	return w.Flush()
}
