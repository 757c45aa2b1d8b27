// Command canvasrouter is one node of a load balancer for services that call services, at any tier. Without arguments it
// runs the node with the configuration file that NODE_CONFIG names. A build with the tag platform can do only that: linking
// the library for the command line would take 2 MB of a small machine's memory.
package main

import (
	"os"

	"canvasrouter/internal/serve"
)

func main() {
	if len(os.Args) > 1 {
		runCommandLine()
		return
	}
	os.Exit(serve.Main(serve.Options{}))
}
