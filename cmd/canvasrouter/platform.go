//go:build platform

package main

import (
	"fmt"
	"os"
)

// runCommandLine reports that this build has no commands.
func runCommandLine() {
	fmt.Fprintln(os.Stderr, "canvasrouter: built for the platform, without commands: the configuration comes from NODE_CONFIG")
	os.Exit(2)
}
