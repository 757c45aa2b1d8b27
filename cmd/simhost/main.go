// Command simhost runs policy nodes for the simulator, with the simulator's wire protocol on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"canvasrouter/internal/simwire"
)

func main() {
	debug.SetGCPercent(400) // nodes use little memory, so rare collections save time
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
