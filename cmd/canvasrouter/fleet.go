//go:build !platform

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet"
)

type fleetCommand struct {
	File string `arg:"" help:"The node's configuration."`
	JSON bool   `name:"json" help:"As JSON."`
}

func (f *fleetCommand) Run() error {
	c, err := config.Load(environment(f.File))
	if err != nil {
		return err
	}
	if c.Fleet == nil || c.Fleet.Control == "" {
		return errors.New("config: key fleet.control is left out: the node has no socket to be asked by")
	}
	view, err := fleet.Ask(context.Background(), c.Fleet.Control)
	if err != nil {
		return fmt.Errorf("the node does not answer: %w", err)
	}
	if f.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", " ")
		return encoder.Encode(view)
	}
	printView(os.Stdout, view)
	return nil
}

// printView writes a view as a person reads it.
func printView(w io.Writer, v *fleet.View) {
	there := 1
	for _, m := range v.Members {
		if m.State == "alive" {
			there++
		}
	}
	fmt.Fprintf(w, "fleet %s: node %s, number %d, life %s at %s; %d there\n", v.Fleet, v.Own.Name, v.Own.Number, v.Own.Life, v.Own.Addr, there)
	for _, m := range v.Members {
		fmt.Fprintf(w, "  %-16s %-8s for %.1f s  number %d, zone %d, life %s at %s\n", m.Name, m.State, m.ForMs/1000, m.Number, m.Zone, m.Life, m.Addr)
	}
	c := v.Ways
	fmt.Fprintf(w, "ways: %d frames sent (%d bytes), %d got (%d bytes); dropped for pace %d, unread %d; not understood %d, doubled %d, of unknown kind %d\n",
		c.Sent, c.SentBytes, c.Got, c.GotBytes, c.Paced, c.Overrun, c.Spoilt, c.Doubled, c.Unknown)
	fmt.Fprintf(w, "streams: %d, refused %d, with harm %d\n", c.Streams, c.Refused, c.Broken)
	if s := v.Words; s != nil {
		fmt.Fprintf(w, "words: told %d, sent %d, heard %d; pushed out of a full queue %d, to nobody %d, dropped for pace %d, too late %d, not understood %d, node busy %d\n",
			s.Told, s.Sent, s.Heard, s.Pushed, s.Nobody, s.Paced, s.Stale, s.Foreign, s.Busy)
	}
	if s := v.Store; s != nil {
		at := s.Replica
		if at == "" {
			at = "no replica"
		}
		fmt.Fprintf(w, "store: watches %s; runs %v of what it was told, %v\n", at, s.Applied, s.Received)
		for _, key := range slices.Sorted(maps.Keys(s.Refused)) {
			fmt.Fprintf(w, "    %s version %d refused: %s\n", key, s.Refused[key].Version, s.Refused[key].Reason)
		}
	}
	for _, s := range v.Servers {
		own := s.Own
		if own == "" {
			own = "nothing fresh"
		}
		fmt.Fprintf(w, "server %s: others say %s, %.3f of its weight left; own finding %s\n", s.Server, s.Ill, s.Part, own)
		for _, r := range s.Reports {
			fmt.Fprintf(w, "    %-13s by node %d (life %s, zone %d), %.1f s ago, since %.1f s before\n", r.Ill, r.Node, r.Source, r.Zone, r.AgeMs/1000, r.SpanMs/1000)
		}
	}
}
