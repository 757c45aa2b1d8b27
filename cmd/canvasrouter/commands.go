//go:build !platform

package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"canvasrouter/internal/config"
	"canvasrouter/internal/serve"
)

// commandLine lists the commands of the program for kong.
type commandLine struct {
	Serve   serveCommand   `cmd:"" help:"Run a node until SIGTERM, as the program does without arguments."`
	Check   checkCommand   `cmd:"" help:"Check a configuration and report what is wrong with it."`
	Explain explainCommand `cmd:"" help:"Describe what a configuration means."`
	Fleet   fleetCommand   `cmd:"" help:"Print what a running node knows of the other nodes, read from its control socket (fleet.control)."`
	Replica replicaCommand `cmd:"" help:"Run a replica of the store that holds the fleet's changes of configuration."`
	Change  changeCommand  `cmd:"" help:"Change the configuration of all nodes, of a service or of one node, and check whether the change is in force."`
	Changes changesCommand `cmd:"" help:"Show the current changes of configuration and the nodes that run them."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// runCommandLine runs the command that the arguments name.
func runCommandLine() {
	var root commandLine
	parser := kong.Must(&root, kong.Name("canvasrouter"), kong.UsageOnError(),
		kong.Description("A load balancer for services that call services."))
	context, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := context.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "canvasrouter:", err)
		os.Exit(2)
	}
}

// environmentWithConfig returns a getenv function that returns file, if it is set, for NODE_CONFIG.
func environmentWithConfig(file string) func(string) string {
	return func(key string) string {
		if key == "NODE_CONFIG" && file != "" {
			return file
		}
		return os.Getenv(key)
	}
}

// serveCommand runs a node.
type serveCommand struct {
	File string `arg:"" optional:"" help:"The configuration file; NODE_CONFIG if left out."`
}

// Run runs the node and exits with its code.
func (s *serveCommand) Run() error {
	os.Exit(serve.Main(serve.Options{Getenv: environmentWithConfig(s.File)}))
	return nil
}

// checkCommand checks a configuration.
type checkCommand struct {
	File string `arg:"" help:"The configuration file."`
}

// Run prints that the configuration is valid, or returns its error.
func (c *checkCommand) Run() error {
	loaded, err := config.Load(environmentWithConfig(c.File))
	if err != nil {
		return err
	}
	if err := serve.CheckConfig(loaded); err != nil {
		return err
	}
	fmt.Printf("%s: no fault found\n", c.File)
	return nil
}

// explainCommand describes a configuration.
type explainCommand struct {
	File string `arg:"" help:"The configuration file."`
}

// Run prints the description.
func (e *explainCommand) Run() error {
	c, err := config.Load(environmentWithConfig(e.File))
	if err != nil {
		return err
	}
	if err := serve.CheckConfig(c); err != nil {
		return err
	}
	fmt.Print(c.Explain())
	return nil
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the versions of the program and of Go.
func (*versionCommand) Run() error {
	version, goVersion := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	fmt.Println("canvasrouter", version, goVersion)
	return nil
}
