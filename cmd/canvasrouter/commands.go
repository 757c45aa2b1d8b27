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

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run a node until SIGTERM, as the program does without arguments."`
	Check   checkCommand   `cmd:"" help:"Read a configuration and say what is wrong with it."`
	Explain explainCommand `cmd:"" help:"Say in words what a configuration means."`
	Fleet   fleetCommand   `cmd:"" help:"Print what a running node knows of the others, by its own socket (fleet.control)."`
	Replica replicaCommand `cmd:"" help:"Hold changes of configuration for the fleet, as one of the machines set aside for control."`
	Change  changeCommand  `cmd:"" help:"Change configuration at all nodes, a service's or one, and look whether it is in force."`
	Changes changesCommand `cmd:"" help:"Show which changes of configuration stand, and which nodes run them."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// command runs what the arguments name.
func command() {
	var c commands
	parser := kong.Must(&c, kong.Name("canvasrouter"), kong.UsageOnError(),
		kong.Description("A load balancer for services that call services."))
	context, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := context.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "canvasrouter:", err)
		os.Exit(2)
	}
}

// environment gives the file in place of NODE_CONFIG, and the rest as it is.
func environment(file string) func(string) string {
	return func(key string) string {
		if key == "NODE_CONFIG" && file != "" {
			return file
		}
		return os.Getenv(key)
	}
}

type serveCommand struct {
	File string `arg:"" optional:"" help:"The configuration; NODE_CONFIG if left out."`
}

func (s *serveCommand) Run() error {
	os.Exit(serve.Main(serve.Options{Getenv: environment(s.File)}))
	return nil
}

type checkCommand struct {
	File string `arg:"" help:"The configuration."`
}

func (c *checkCommand) Run() error {
	got, err := config.Load(environment(c.File))
	if err != nil {
		return err
	}
	if err := serve.CheckConfig(got); err != nil {
		return err
	}
	fmt.Printf("%s: no fault found\n", c.File)
	return nil
}

type explainCommand struct {
	File string `arg:"" help:"The configuration."`
}

func (e *explainCommand) Run() error {
	c, err := config.Load(environment(e.File))
	if err != nil {
		return err
	}
	if err := serve.CheckConfig(c); err != nil {
		return err
	}
	fmt.Print(c.Explain())
	return nil
}

type versionCommand struct{}

func (*versionCommand) Run() error {
	version, goVersion := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	fmt.Println("canvasrouter", version, goVersion)
	return nil
}
