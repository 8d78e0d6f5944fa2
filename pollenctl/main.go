// Command pollenctl shows the state of a pollenfront installation, explains from
// the logs of its processes how a request was handled, checks configurations, and
// takes availability zones out of service.
//
// # Usage
//
//	pollenctl show servers --api 127.0.1.1:8081
//	pollenctl explain 5c0e7a21d94b36f8 entry-*.log agent-*.log
//	pollenctl check-config --store 127.0.0.1:7000 next.json
//	pollenctl take-out --store 127.0.0.1:7000 zone-1
package main

import (
	"os"

	"github.com/pollenfront/pollenfront/program"
)

func main() {
	os.Exit(program.Main(&command{}, os.Args[1:]))
}
