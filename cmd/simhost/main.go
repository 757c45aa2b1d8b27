// Command simhost runs the decisions on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"canvasrouter/internal/simwire"
)

func main() {
	debug.SetGCPercent(400) // nodes hold little; collecting rarely costs less than collecting often
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
