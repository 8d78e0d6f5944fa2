// Command entry takes callers' jobs, owns a share of them, and decides which
// backend server runs which task.
//
// # Usage
//
//	entry run --settings entry.toml
//	entry check-settings --settings entry.toml
package main

import (
	"os"

	"github.com/pollenfront/pollenfront/program"
)

func main() {
	os.Exit(program.Main(program.NewDaemon(
		"Takes jobs, owns a share of them, and decides which backend server runs which task.", load, loadServer,
	), os.Args[1:]))
}
