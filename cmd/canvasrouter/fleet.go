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
	if c.Fleet == nil || c.Fleet.ControlSocket == "" {
		return errors.New("config: key fleet.control is left out: the node has no socket to be asked by")
	}
	view, err := fleet.FetchView(context.Background(), c.Fleet.ControlSocket)
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
	fmt.Fprintf(w, "fleet %s: node %s, number %d, life %s at %s; %d there\n", v.Fleet, v.Self.Name, v.Self.Number, v.Self.Incarnation, v.Self.Addr, there)
	for _, m := range v.Members {
		fmt.Fprintf(w, "  %-16s %-8s for %.1f s  number %d, zone %d, life %s at %s\n", m.Name, m.State, m.StateAgeMs/1000, m.Number, m.Zone, m.Incarnation, m.Addr)
	}
	c := v.Transport
	fmt.Fprintf(w, "ways: %d frames sent (%d bytes), %d got (%d bytes); dropped for pace %d, unread %d; not understood %d, doubled %d, of unknown kind %d\n",
		c.Sent, c.SentBytes, c.Received, c.ReceivedBytes, c.RateLimited, c.DroppedUnread, c.Malformed, c.Duplicates, c.UnknownKind)
	fmt.Fprintf(w, "streams: %d, refused %d, with harm %d\n", c.Streams, c.StreamsRefused, c.StreamsCorrupted)
	if s := v.Messages; s != nil {
		fmt.Fprintf(w, "words: told %d, sent %d, heard %d; pushed out of a full queue %d, to nobody %d, dropped for pace %d, too late %d, not understood %d, node busy %d\n",
			s.Submitted, s.Sent, s.Delivered, s.Evicted, s.NoOwner, s.RateLimited, s.Stale, s.UnknownFormat, s.MailboxFull)
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
		own := s.OwnCondition
		if own == "" {
			own = "nothing fresh"
		}
		fmt.Fprintf(w, "server %s: others say %s, %.3f of its weight left; own finding %s\n", s.Server, s.Condition, s.RemainingFraction, own)
		for _, r := range s.Reports {
			fmt.Fprintf(w, "    %-13s by node %d (life %s, zone %d), %.1f s ago, since %.1f s before\n", r.Condition, r.NodeNumber, r.Reporter, r.Zone, r.AgeMs/1000, r.DurationMs/1000)
		}
	}
}
