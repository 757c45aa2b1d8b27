package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"canvasrouter/internal/lab/fleetlog"
)

type countCommand struct {
	Dir  string        `arg:"" help:"A folder with a log file of each node, at level debug (NODE_LOG_LEVEL) for all that can be counted."`
	Span time.Duration `help:"Of a column." default:"2s"`
	Warm time.Duration `help:"A server that started less than this ago is cold." default:"8s"`
}

// Run counts over all nodes of a fleet.
func (c *countCommand) Run() error {
	if c.Span <= 0 {
		return fmt.Errorf("--span %v is not above 0", c.Span)
	}
	files, err := filepath.Glob(filepath.Join(c.Dir, "*"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no log files in %s", c.Dir)
	}
	fleet := fleetlog.New(c.Span, c.Warm)
	for _, name := range files {
		if err := read(fleet, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	fleet.Count()
	return fleet.WriteTable(os.Stdout)
}

func read(fleet *fleetlog.Counter, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return fleet.ReadLog(file)
}
