// Command agent runs beside a backend server. It reports the state of the server to
// the entries, checks and queues the tasks that they send, starts them on the
// server, and reports how each run ended.
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
		"Runs beside a backend server and starts the tasks that entries send to it.", load,
	), os.Args[1:]))
}
