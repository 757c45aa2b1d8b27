package main

import (
	"fmt"
	"os"

	"canvasrouter/internal/lab/scale"
)

type capacityCommand struct {
	Records string `help:"Directory of the records." default:"docs/capacity" placeholder:"DIR"`
	Write   string `help:"Put the table into this page, between its marks." type:"existingfile" placeholder:"FILE"`
}

// Run prints what the records come to. The exit code is 1 where a row passes its budget or was not measured.
func (c *capacityCommand) Run() error {
	records, err := scale.LoadAll(c.Records)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return fmt.Errorf("no record in %s: canvaslab scale makes them", c.Records)
	}
	page := scale.NewPage(records)
	text := page.Render()
	if c.Write != "" {
		raw, err := os.ReadFile(c.Write)
		if err != nil {
			return err
		}
		whole, err := scale.ReplaceGenerated(string(raw), text)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Write, err)
		}
		if err := os.WriteFile(c.Write, []byte(whole), 0o644); err != nil {
			return err
		}
	} else {
		fmt.Print(text)
	}
	for _, line := range page.OverBudget {
		fmt.Fprintln(os.Stderr, "over its budget:", line)
	}
	for _, line := range page.Missing {
		fmt.Fprintln(os.Stderr, "not measured, or nothing carries it:", line)
	}
	if len(page.OverBudget)+len(page.Missing) > 0 {
		return errNotMet
	}
	return nil
}
