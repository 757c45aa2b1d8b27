package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"canvasrouter/internal/lab/fleetlog"
)

type countCommand struct {
	Dir            string        `arg:"" help:"A folder with a log file of each node, at level debug (NODE_LOG_LEVEL) for all that can be counted."`
	WindowDuration time.Duration `name:"span" help:"Of a column." default:"2s"`
	WarmUpTime     time.Duration `name:"warm" help:"A server that started less than this ago is cold." default:"8s"`
}

// Run counts over all nodes of a fleet.
func (c *countCommand) Run() error {
	if c.WindowDuration <= 0 {
		return fmt.Errorf("--span %v is not above 0", c.WindowDuration)
	}
	files, err := filepath.Glob(filepath.Join(c.Dir, "*"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no log files in %s", c.Dir)
	}
	counter := fleetlog.New(c.WindowDuration, c.WarmUpTime)
	for _, name := range files {
		if err := readLogFile(counter, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	counter.Count()
	return counter.WriteTable(os.Stdout)
}

func readLogFile(counter *fleetlog.Counter, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return counter.ReadLog(file)
}
