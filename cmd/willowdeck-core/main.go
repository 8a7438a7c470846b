// Command willowdeck-core runs a core: a replica of the control plane of the serving system.
package main

import (
	"os"

	"willowdeck/internal/serving/core"
	"willowdeck/internal/serving/program"
)

func main() {
	p := program.Program{
		Name:    "willowdeck-core",
		Summary: "core of the serving system: replicates the configuration, tracks workers, updates edges",
		Run:     core.Run,
	}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
