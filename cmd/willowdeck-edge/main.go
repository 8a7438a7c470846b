// Command willowdeck-edge runs an edge proxy, which forwards clients' requests to workers.
package main

import (
	"os"

	"willowdeck/internal/serving/edge"
	"willowdeck/internal/serving/program"
)

func main() {
	p := program.Program{
		Name:    "willowdeck-edge",
		Summary: "edge proxy: forwards clients' requests to workers",
		Run:     edge.Run,
	}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
