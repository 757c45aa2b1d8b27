// Command canvasrouter is one node: a load balancer for services that call services, at any tier. Without arguments it
// is the platform's node and takes its configuration from NODE_CONFIG. Built with the tag platform it is that alone:
// the commands' library would cost 2 MB of the small machine's memory by being linked.
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
