// Command standin holds small stand-ins of the systems around pollenfront, for
// tests and the demo: the platform, backend servers and the network, together
// with a load tool, a fault tool and a checker of histories.
//
// # Usage
//
//	standin plan --deployment tainan --dir run
//	standin platform --listen 127.0.9.1:7900
//	standin backend --listen 127.0.1.11:7200 --slots 8 --speed 1.5
//	standin network --listen 127.0.9.2:7950 --relay 127.0.1.1:8000=127.0.1.1:7000
//	standin load --dir run --rate 50 --for 10s
//	standin faults --dir run --seed 1 --for 30s
//	standin check --history run/history.jsonl
package main

import (
	"os"

	"github.com/pollenfront/pollenfront/program"
)

func main() {
	os.Exit(program.Main(&command{}, os.Args[1:]))
}
