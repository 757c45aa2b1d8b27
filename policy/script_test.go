package policy

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestScripts runs the files under testdata/scripts. Each holds inputs, on lines that begin with >, and below each
// input what the node did. Servers are a, b, ... A line "N x INPUT; INPUT" repeats the inputs N times and summarizes
// the result.
func TestScripts(t *testing.T) {
	paths, _ := filepath.Glob("testdata/scripts/*.txt")
	if len(paths) < 8 {
		t.Fatalf("%d scripts found, want at least 8", len(paths))
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := newScenario(t, unaskedRegistry, redeliverable, atMostOnce)
			for line := range strings.Lines(string(raw)) {
				if input, found := strings.CutPrefix(strings.TrimSpace(line), "> "); found {
					fmt.Fprintf(&s.trace, "> %s\n", input)
					s.runLine(input)
				} else if strings.HasPrefix(line, "#") {
					s.trace.WriteString(line)
				}
			}
			if *updateTraces {
				err = os.WriteFile(path, []byte(s.trace.String()), 0o644)
			} else if diff := cmp.Diff(strings.Split(string(raw), "\n"), strings.Split(s.trace.String(), "\n")); diff != "" {
				t.Errorf("trace (-want +got):\n%s", diff)
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
}

// runLine carries out one input line of a script.
func (s *scenario) runLine(line string) {
	if count, inputs, repeated := strings.Cut(line, " x "); repeated {
		s.summarize("all", func() {
			for range s.parseInt(count) {
				for input := range strings.SplitSeq(inputs, "; ") {
					s.runLine(input)
				}
			}
		})
		return
	}
	fields := append(strings.Fields(line), "0", "0", "0")
	server := ServerID(fields[2][0]-'a') + 1
	switch fields[0] {
	case "node": // number of nodes, number of this node, number of servers; "asks": with a subscription
		registry := RegistryRule{MustSubscribe: strings.Contains(line, "asks"), SubscribeWithin: 10 * Second}
		s.node = newScenario(s.T, registry, redeliverable, atMostOnce).node
		s.node.topology.NodeCount = s.parseInt(fields[1])
		s.node.topology.NodeNumber = s.parseInt(fields[2])
		s.node.topology.PeerMessaging = true
		s.receiveList(ListCached, readyServers(s.parseInt(fields[3])))
	case "alone": // without peer messages
		s.node.topology.PeerMessaging = false
	case "op": // category, deadline in milliseconds from now; "again": a retry by the client
		s.lastOp++
		s.step(Input{Kind: OpArrived, Op: s.lastOp, Category: CategoryID(s.parseInt(fields[1])),
			Deadline: s.now + Micros(s.parseInt(fields[2]))*Millisecond, ClientRetry: strings.Contains(line, "again")})
	case "acked", "lost", "refused", "errored": // the last push of the last op, latency in milliseconds
		outcome := map[string]Outcome{"acked": Acked, "lost": TimedOut, "refused": ConnectFailed,
			"errored": Errored}[fields[0]]
		if slot, found := s.node.opSlots[s.lastOp]; found {
			s.step(Input{Kind: PushEnded, Op: s.lastOp, Push: PushNumber(s.node.ops[slot].pushCount - 1), Outcome: outcome,
				Latency: Micros(s.parseInt(fields[1])) * Millisecond, OpSettled: outcome == Acked})
		}
	case "cancelled": // the last push of each op that has pushes in flight
		for i := range s.node.ops {
			if op := &s.node.ops[i]; op.inFlight > 0 {
				s.step(Input{Kind: PushEnded, Op: op.id, Push: PushNumber(op.pushCount - 1), Outcome: Cancelled,
					OpSettled: true})
			}
		}
	case "wait":
		s.advance(Micros(s.parseInt(fields[1])) * Millisecond)
	case "push", "end", "ack": // peer message: server, relative latency
		event := map[string]peerEvent{"push": peerPushSent, "end": peerPushEnded, "ack": peerPushAcked}[fields[0]]
		relativeLatency, _ := strconv.ParseFloat(fields[3], 64)
		encoded := peerMessage{event, relativeLatency, foldServerID(server)}.encode()
		s.step(Input{Kind: PeerMessageReceived, Message: encoded[:]})
	case "hear": // bytes of a peer message, in hexadecimal
		message, err := hex.DecodeString(fields[1])
		if err != nil {
			s.Fatal(err)
		}
		s.step(Input{Kind: PeerMessageReceived, Message: message})
	case "list": // form; the name of each server, then - (draining), ! (gone) or + (just started)
		var list []ListEntry
		for _, item := range fields[2 : len(fields)-3] {
			entry := ListEntry{Server: ServerID(item[0]-'a') + 1, Weight: 1}
			entry.State = map[string]ServerState{"-": Draining, "!": Gone}[item[1:]]
			entry.StartedAt = s.now * Micros(indicator(item[1:] == "+"))
			list = append(list, entry)
		}
		form := map[string]ListForm{"changes": ListChanges, "whole": ListFull, "failed": ListFailed}[fields[1]]
		s.receiveList(form, list)
	case "show": // the servers of the subset
		for _, slot := range s.node.subset {
			server := &s.node.servers[slot]
			s.record("  %s: full %.2f, holds %d, room %.0f, failed %d times, down %v", serverName(server.Server),
				s.node.fullness(server), server.inFlight, server.concurrencyLimit, server.consecutiveFailures,
				server.downUntil > s.now)
		}
	default:
		s.Fatalf("unknown input: %s", line)
	}
}

// parseInt converts a number of a script and fails the test if it is none.
func (s *scenario) parseInt(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		s.Fatal(err)
	}
	return number
}
