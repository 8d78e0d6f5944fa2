package main

import (
	"fmt"
	"io"

	"github.com/pollenfront/pollenfront/scheduler"
)

// printInterference prints the pairs of routes of which one slows the other down.
func printInterference(w io.Writer, dump *scheduler.InterferenceDump) {
	if dump == nil {
		fmt.Fprintln(w, "interference is off")
		return
	}
	fmt.Fprintf(w, "mode %s, estimates of %d agents\n", dump.Mode, dump.Agents)
	fmt.Fprintln(w, "ROUTE\tNEIGHBOR\tFACTOR\tSCORE\tAGENTS\tAGE")
	for _, p := range dump.Pairs {
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f\t%d\t%s\n", p.Route, p.Neighbor, p.Factor, p.Score, p.Agents, p.Age)
	}
}
