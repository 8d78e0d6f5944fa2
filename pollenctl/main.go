// Command pollenctl is the operators' query and command language.
//
// # Usage
//
//	pollenctl --api http://127.0.1.1:8080 show zones
//	pollenctl take out zone west
//	pollenctl < statements
package main

import (
	"os"

	"github.com/pollenfront/pollenfront/program"
)

func main() {
	os.Exit(program.Main(&command{}, os.Args[1:]))
}
