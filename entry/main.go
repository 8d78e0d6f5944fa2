// Command entry takes jobs from callers and decides which backend server runs which
// task.
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
		"Takes jobs, and decides which backend server runs which task.", load,
	), os.Args[1:]))
}
