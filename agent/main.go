// Command agent runs beside a backend server: it announces the server to the
// entries, makes the last check before a task starts, and keeps the record of
// what started.
//
// # Usage
//
//	agent run --settings agent.toml
//	agent check-settings --settings agent.toml
package main

import (
	"os"

	"github.com/pollenfront/pollenfront/program"
)

func main() {
	os.Exit(program.Main(program.NewDaemon(
		"Runs beside a backend server and makes the last check before a task starts.", load,
	), os.Args[1:]))
}
