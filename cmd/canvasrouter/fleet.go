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

// fleetCommand prints what a running node knows of the fleet.
type fleetCommand struct {
	File string `arg:"" help:"The node's configuration file."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Run asks the node through its control socket and prints the answer.
func (f *fleetCommand) Run() error {
	c, err := config.Load(environmentWithConfig(f.File))
	if err != nil {
		return err
	}
	if c.Fleet == nil || c.Fleet.ControlSocket == "" {
		return errors.New("config: key fleet.control is left out: the node has no control socket")
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

// printView writes a view as text.
func printView(out io.Writer, view *fleet.View) {
	aliveCount := 1
	for _, member := range view.Members {
		if member.State == "alive" {
			aliveCount++
		}
	}
	fmt.Fprintf(out, "fleet %s: node %s, number %d, life %s at %s; %d there\n", view.Fleet, view.Self.Name, view.Self.Number, view.Self.Incarnation, view.Self.Addr, aliveCount)
	for _, member := range view.Members {
		fmt.Fprintf(out, "  %-16s %-8s for %.1f s  number %d, zone %d, life %s at %s\n", member.Name, member.State, member.StateAgeMs/1000, member.Number, member.Zone, member.Incarnation, member.Addr)
	}
	counts := view.Transport
	fmt.Fprintf(out, "ways: %d frames sent (%d bytes), %d got (%d bytes); dropped for pace %d, unread %d; not understood %d, doubled %d, of unknown kind %d\n",
		counts.Sent, counts.SentBytes, counts.Received, counts.ReceivedBytes, counts.RateLimited, counts.DroppedUnread, counts.Malformed, counts.Duplicates, counts.UnknownKind)
	fmt.Fprintf(out, "streams: %d, refused %d, with harm %d\n", counts.Streams, counts.StreamsRefused, counts.StreamsCorrupted)
	if messages := view.Messages; messages != nil {
		fmt.Fprintf(out, "words: told %d, sent %d, heard %d; pushed out of a full queue %d, to nobody %d, dropped for pace %d, too late %d, not understood %d, node busy %d\n",
			messages.Submitted, messages.Sent, messages.Delivered, messages.Evicted, messages.NoOwner, messages.RateLimited, messages.Stale, messages.UnknownFormat, messages.MailboxFull)
	}
	if storeView := view.Store; storeView != nil {
		replica := storeView.Replica
		if replica == "" {
			replica = "no replica"
		}
		fmt.Fprintf(out, "store: watches %s; runs %v of what it was told, %v\n", replica, storeView.Applied, storeView.Received)
		for _, key := range slices.Sorted(maps.Keys(storeView.Refused)) {
			fmt.Fprintf(out, "    %s version %d refused: %s\n", key, storeView.Refused[key].Version, storeView.Refused[key].Reason)
		}
	}
	for _, server := range view.Servers {
		ownCondition := server.OwnCondition
		if ownCondition == "" {
			ownCondition = "nothing fresh"
		}
		fmt.Fprintf(out, "server %s: others say %s, %.3f of its weight left; own finding %s\n", server.Server, server.Condition, server.RemainingFraction, ownCondition)
		for _, report := range server.Reports {
			fmt.Fprintf(out, "    %-13s by node %d (life %s, zone %d), %.1f s ago, since %.1f s before\n", report.Condition, report.NodeNumber, report.Reporter, report.Zone, report.AgeMs/1000, report.DurationMs/1000)
		}
	}
}
