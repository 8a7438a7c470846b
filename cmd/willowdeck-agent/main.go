// Command willowdeck-agent runs the agent that subscribes to the core for the edge proxy beside it.
package main

import (
	"os"

	"willowdeck/internal/serving/agent"
	"willowdeck/internal/serving/program"
)

func main() {
	p := program.Program{
		Name:    "willowdeck-agent",
		Summary: "agent beside an edge proxy: subscribes to the core for it",
		Run:     agent.Run,
	}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
