//go:build platform

package main

import (
	"fmt"
	"os"
)

// command says that this build has none.
func runCommandLine() {
	fmt.Fprintln(os.Stderr, "canvasrouter: built for the platform, without commands: the configuration comes from NODE_CONFIG")
	os.Exit(2)
}
