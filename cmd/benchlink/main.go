// Command benchlink puts the decision module on the bench's wire, over standard input and output.
package main

import (
	"fmt"
	"os"

	"willowdeck/internal/benchwire"
)

func main() {
	if err := benchwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "benchlink: %v\n", err)
		os.Exit(1)
	}
}
