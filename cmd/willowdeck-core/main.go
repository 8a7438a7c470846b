// Command willowdeck-core is the control program of the serving system.
package main

import (
	"os"

	"willowdeck/internal/serving/core"
	"willowdeck/internal/serving/program"
)

func main() {
	p := program.Program{
		Name:    "willowdeck-core",
		Summary: "core of the serving system: agrees on the configuration, hears the workers, tells the edges",
		Run:     core.Run,
	}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
