// Command simadapter connects the gateway's policy to the simulator over standard input and output.
package main

import (
	"fmt"
	"os"

	"willowdeck/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simadapter: %v\n", err)
		os.Exit(1)
	}
}
