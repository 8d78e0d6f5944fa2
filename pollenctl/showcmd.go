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

// showTimeout is how long the command waits for the response of the entry.
const showTimeout = 5 * time.Second

// A showCmd prints the state of an entry: its view of the servers, its jobs, its shares, or
// the routes that slow each other down.
type showCmd struct {
	API    string `help:"API address of an entry, required" placeholder:"IP:PORT"`
	Output string `default:"table" help:"table or json"`
	What   string `arg:"positional,required" help:"servers, jobs, shares or interference"`
}

// run gets the state of the entry and prints it.
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

// print prints the part of the state that What selects. As JSON, only the shares have a
// form of their own; for the other parts it prints the whole state as received.
func (c *showCmd) print(data []byte) error {
	if c.Output == "json" && c.What != "shares" {
		_, err := os.Stdout.Write(data)
		return err
	}
	var dump scheduler.Dump
	if err := json.Unmarshal(data, &dump); err != nil {
		return fmt.Errorf("decode the entry's state: %w", err)
	}
	if c.Output == "json" {
		return writeJSON(os.Stdout, shareRows(&dump))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	switch c.What {
	case "servers":
		fmt.Fprintln(w, "SERVER\tZONE\tUSABLE\tHOME\tCPU\tEFFECTIVE\tFREE\tRUNS\tSLOWNESS\tFAILING\tHEARD")
		for _, a := range dump.Agents {
			fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%s\n", a.Name, a.Zone, a.Usable, a.Primary, a.Report.Capacity.CPU,
				a.Report.EffectiveCapacity.CPU, a.Report.Free.CPU, a.Runs, a.Report.Slowness, a.Report.FailRate, a.LastUpdate)
		}
	case "jobs":
		fmt.Fprintln(w, "JOB\tROUTE\tAGE\tTASKS\tDONE\tWAITING\tENDING")
		for _, j := range dump.Jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%t\n", j.ID, j.Route, j.Age, j.Tasks, j.DoneCount, j.ToPlace, j.Canceled)
		}
	case "interference":
		printInterference(w, dump.Interference)
	case "shares":
		printShares(w, &dump)
	default:
		return fmt.Errorf("%q can't be shown; ask for servers, jobs, shares or interference", c.What)
	}
	return w.Flush()
}
