package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"canvasrouter/internal/lab/fleetlog"
)

// countCommand counts events over the logs of all nodes of a fleet.
type countCommand struct {
	Dir            string        `arg:"" help:"A directory with a log file of each node. Only level debug (NODE_LOG_LEVEL) has all events."`
	WindowDuration time.Duration `name:"span" help:"Length of the time window of a column." default:"2s"`
	WarmUpTime     time.Duration `name:"warm" help:"A server that started less than this ago is cold." default:"8s"`
}

// Run reads all log files of the directory and prints the table of counts.
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

// readLogFile adds the log of one node to the counter.
func readLogFile(counter *fleetlog.Counter, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return counter.ReadLog(file)
}
