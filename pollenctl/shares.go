package main

import (
	"fmt"
	"io"

	"github.com/pollenfront/pollenfront/scheduler"
)

// A shareRow is an entry's share of one server.
type shareRow struct {
	// CPU is the announced capacity of the server, in thousandths of a core.
	CPU int `json:"cpu"`
	// Demand is the entry's demand for the server, in thousandths of a core.
	Demand int `json:"demand"`
	// Entries is the number of entries that share the server.
	Entries int    `json:"entries"`
	Server  string `json:"server"`
	// Share is the share that the entry counts on, in thousandths of a core.
	Share int `json:"share"`
	// Stated is set if the agent has stated the share. Otherwise the entry counts on an
	// equal share.
	Stated bool   `json:"stated"`
	Usable bool   `json:"usable"`
	Zone   string `json:"zone"`
}

// shareRows returns the shares of an entry, in the order of the dump.
func shareRows(dump *scheduler.Dump) []shareRow {
	rows := make([]shareRow, 0, len(dump.Agents))
	for i := range dump.Agents {
		a := &dump.Agents[i]
		row := shareRow{
			CPU: a.Report.Capacity.CPU, Demand: a.Demand, Entries: a.Report.EntryCount, Server: a.Name, Share: a.Share, Stated: a.Share > 0,
			Usable: a.Usable, Zone: a.Zone,
		}
		if !row.Stated {
			row.Share = row.CPU / max(1, row.Entries)
		}
		rows = append(rows, row)
	}
	return rows
}

// printShares prints the shares of an entry as a table.
func printShares(w io.Writer, dump *scheduler.Dump) {
	fmt.Fprintln(w, "SERVER\tZONE\tUSABLE\tCPU\tDEMAND\tSHARE\tBASIS\tENTRIES")
	for _, row := range shareRows(dump) {
		basis := "equal"
		if row.Stated {
			basis = "stated"
		}
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%s\t%d\n", row.Server, row.Zone, row.Usable, row.CPU, row.Demand, row.Share, basis, row.Entries)
	}
}
