package policy

import (
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPeerMessageEncoding checks that a message is decoded as it was encoded, the relative latency within half a step.
// A message of another version, length or event is not understood.
func TestPeerMessageEncoding(t *testing.T) {
	for _, latency := range []float64{0, 0.25, 0.5, 1, 3, 16} {
		want := peerMessage{event: peerPushAcked, relativeLatency: latency, foldedServerID: 0xabcd}
		encoded := want.encode()
		got, understood := decodePeerMessage(encoded[:])
		if stepError := math.Abs(math.Log2(got.relativeLatency / latency)); !understood || got.event != want.event ||
			got.foldedServerID != want.foldedServerID ||
			latency == 0 && got.relativeLatency != 0 || latency > 0 && stepError > 0.5/latencyStepsPerOctave {
			t.Errorf("encoded %+v, decoded %+v, understood: %v", want, got, understood)
		}
	}
	for _, encoded := range [][]byte{nil, {1 << 6}, {1<<6 | 0<<4, 0}, {2 << 6, 0, 1}, {1<<6 | 3<<4, 0, 1}, {1 << 6, 0, 1, 0}} {
		if got, understood := decodePeerMessage(encoded); understood {
			t.Errorf("% x is decoded as %+v", encoded, got)
		}
	}
}

// TestPeerMessageRecipients checks that each push and its end is reported once to all nodes that have the server in
// their subset, and to no other node.
func TestPeerMessageRecipients(t *testing.T) {
	for _, fleet := range []struct{ nodes, servers int }{{40, 8}, {7, 30}, {20, 1}, {31, 13}} {
		newNode := func(number int) *Node {
			s := newScenario(t, unaskedRegistry, redeliverable)
			s.node.topology.NodeCount = fleet.nodes
			s.node.topology.NodeNumber = number
			s.node.topology.PeerMessaging = true
			s.receiveList(ListCached, readyServers(fleet.servers))
			return s.node
		}
		nodesByServer := map[int32][]int{}
		for number := range fleet.nodes {
			for _, i := range newNode(number).subset {
				nodesByServer[i] = append(nodesByServer[i], number)
			}
		}
		for number := range fleet.nodes {
			node := newNode(number)
			node.peerMessageBudget = 8 * peerMessagesPerOp // as if ops had been nacked before
			var want []int
			for _, input := range []Input{{Kind: OpArrived, Op: 1, Deadline: 3 * Second},
				{Kind: PushEnded, Op: 1, Outcome: Acked, Latency: 50 * Millisecond, OpSettled: true}} {
				recipients := []int{number}
				for _, effect := range node.Step(2*Second, &input) {
					if effect.Kind == SendToPeer {
						recipients = append(recipients, effect.PeerNumber)
					}
					if effect.Kind == Push {
						want = nodesByServer[node.ops[0].pushServers[0]]
					}
				}
				if slices.Sort(recipients); !slices.Equal(recipients, want) {
					t.Errorf("%v, node %d: message sent to %v and itself, server used by %v", fleet, number, recipients, want)
				}
			}
		}
	}
}

// newPeerScenario starts one of several nodes that send each other peer messages.
func newPeerScenario(t *testing.T, nodeCount, nodeNumber, serverCount int) *scenario {
	s := newScenario(t, unaskedRegistry, redeliverable, atMostOnce)
	s.node.topology.NodeCount = nodeCount
	s.node.topology.NodeNumber = nodeNumber
	s.node.topology.PeerMessaging = true
	s.receiveList(ListCached, readyServers(serverCount))
	return s
}

// receiveEvent passes a peer message to the node.
func (s *scenario) receiveEvent(event peerEvent, server ServerID, relativeLatency float64) {
	encoded := peerMessage{event, relativeLatency, foldServerID(server)}.encode()
	s.step(Input{Kind: PeerMessageReceived, Message: encoded[:]})
}

// TestPeerMessagesShiftLoad checks that pushes of peers count for the load of a server: ops go to the other server
// until the peers report the ends of their pushes, or until the messages are forgotten. A high relative latency
// reported by peers has the same effect.
func TestPeerMessagesShiftLoad(t *testing.T) {
	for _, test := range []struct {
		name       string
		prepare    func(*scenario)
		wantServer string // where an op goes; "": both are equally full
	}{
		{"no messages", func(*scenario) {}, ""},
		{"ten pushes at a", func(s *scenario) { s.receiveEvents(10, peerPushSent, 1, 0) }, "b"},
		{"ten pushes at a and their ends", func(s *scenario) {
			s.receiveEvents(10, peerPushSent, 1, 0)
			s.receiveEvents(10, peerPushAcked, 1, 1)
		}, ""},
		{"more ends than pushes", func(s *scenario) { s.receiveEvents(50, peerPushEnded, 1, 0) }, ""},
		{"ten pushes at a 20 s ago", func(s *scenario) {
			s.receiveEvents(10, peerPushSent, 1, 0)
			s.advance(20 * Second)
		}, ""},
		{"b is slow", func(s *scenario) { s.receiveEvents(10, peerPushAcked, 2, 8) }, "a"},
		{"pushes at a server that is not listed", func(s *scenario) { s.receiveEvents(10, peerPushSent, 77, 0) }, ""},
		{"truncated message", func(s *scenario) { s.step(Input{Kind: PeerMessageReceived, Message: []byte{64}}) }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newPeerScenario(t, 20, 0, 2)
			test.prepare(s)
			a := s.node.fullness(&s.node.servers[0])
			b := s.node.fullness(&s.node.servers[1])
			s.arrive(1, 0)
			if test.wantServer != "" && serverName(s.lastServer["1"]) != test.wantServer ||
				test.wantServer == "" && math.Abs(a-b) > 0.01 {
				t.Errorf("fullness of a %v, of b %v; an op went to %s", a, b, serverName(s.lastServer["1"]))
			}
		})
	}
}

// receiveEvents passes a peer message to the node several times.
func (s *scenario) receiveEvents(count int, event peerEvent, server ServerID, relativeLatency float64) {
	for range count {
		s.receiveEvent(event, server, relativeLatency)
	}
}

// TestPeerMessagesDoNotRestoreServers checks that peer messages never add a server, nor do they make one usable that
// drains or that has failed at this node. A reported ack only saves the trial push after the server's down time, so
// that an at-most-once op may go there too.
func TestPeerMessagesDoNotRestoreServers(t *testing.T) {
	s := newPeerScenario(t, 20, 0, 2)
	draining := readyServers(1)
	draining[0].State = Draining
	s.receiveList(ListChanges, draining)
	s.arrive(1, 1)
	s.endPush(1, 0, ConnectFailed)
	s.receiveEvents(20, peerPushAcked, 1, 1)
	s.receiveEvents(20, peerPushAcked, 77, 1)
	s.arrive(2, 1)
	if _, found := s.lastServer["2"]; found && s.lastServer["2"] != 2 {
		t.Errorf("an op went to server %d", s.lastServer["2"])
	}
	downUntil := s.node.servers[1].downUntil
	s.receiveEvents(20, peerPushAcked, 2, 1)
	if s.node.servers[1].downUntil != downUntil || s.node.servers[1].consecutiveFailures != 0 {
		t.Errorf("down until %d, before the messages %d; %d consecutive failures", s.node.servers[1].downUntil, downUntil,
			s.node.servers[1].consecutiveFailures)
	}
}

// TestPeerMessageBudget checks that the number of peer messages is bounded by the clients' first tries, however many
// pushes end and retries come.
func TestPeerMessageBudget(t *testing.T) {
	s := newPeerScenario(t, 2000, 0, 2)
	messages := 0
	for op := OpID(1); op <= 100; op++ {
		for _, input := range []Input{{Kind: OpArrived, Op: op, Deadline: s.now + 2*Second, ClientRetry: op > 50},
			{Kind: PushEnded, Op: op, Outcome: Acked, Latency: 50 * Millisecond, OpSettled: true}} {
			for _, effect := range s.node.Step(s.now, &input) {
				messages += int(indicator(effect.Kind == SendToPeer))
			}
		}
	}
	if maxMessages := 50 * peerMessagesPerOp; messages > maxMessages || messages < maxMessages/2 {
		t.Errorf("%d peer messages for 50 ops, want at most %d and at least half of that", messages, maxMessages)
	}
}

// TestSubsetWithPeers checks that a node whose servers fail keeps to the rest of its subset until all of that is down.
// If nodes went on to the next servers of the ring, where they get no peer messages, these would be congested, and then
// the next ones.
func TestSubsetWithPeers(t *testing.T) {
	s := newPeerScenario(t, 40, 0, 8) // with subsets of four servers
	subset := func() (names string) {
		for _, i := range s.node.subset {
			names += serverName(s.node.servers[i].Server)
		}
		return names
	}
	got := []string{subset()}
	for _, down := range []int32{0, 1, 2, 3} {
		s.node.servers[down].downUntil = s.now + Second
		s.node.chooseSubset()
		got = append(got, subset())
	}
	if diff := cmp.Diff([]string{"abcd", "abcd", "abcd", "abcd", "abcde"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestIdleConnectionsAreClosed checks that idle connections are closed before a push once more than a third of the
// pushes after such an idle time is lost, and more than three times the share lost without idle time. An idle
// connection may be dropped on its way without notice: what is then sent on it is lost without an error, and its server
// looks as if it had stopped answering. Where pushes are lost at any time, none is closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for name, test := range map[string]struct {
		afterIdle, whileBusy Outcome
		wantClosed           bool
	}{
		"well":                 {Acked, Acked, false},
		"lost after idle time": {TimedOut, Acked, true},
		"lost at any time":     {TimedOut, TimedOut, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, unaskedRegistry, atMostOnce)
			s.receiveList(ListCached, readyServers(1))
			closed := false
			send := func(outcome Outcome) {
				s.lastOp++
				input := Input{Kind: OpArrived, Op: s.lastOp, Deadline: s.now + 2*Second}
				for _, effect := range s.node.Step(s.now, &input) {
					closed = closed || effect.Kind == CloseIdle
				}
				s.step(Input{Kind: PushEnded, Op: s.lastOp, Outcome: outcome, Latency: 50 * Millisecond,
					OpSettled: outcome == Acked})
				// Keep the server in the rotation.
				s.node.servers[0].consecutiveFailures = 0
				s.node.servers[0].downUntil = 0
			}
			for range 8 {
				s.advance(3 * Second)
				send(test.afterIdle)
				for range 4 {
					s.advance(20 * Millisecond)
					send(test.whileBusy)
				}
			}
			if closed != test.wantClosed {
				t.Errorf("idle connections closed: %v", closed)
			}
		})
	}
}

// TestLowTrafficNode checks that a node that gets an op every half second rejects none although one answer in twenty is
// slow.
func TestLowTrafficNode(t *testing.T) {
	s := newPeerScenario(t, 1200, 7, 130)
	for i := range 200 {
		s.lastOp++
		s.arrive(s.lastOp, 1)
		if _, pushed := s.lastServer[opKey(s.lastOp)]; !pushed {
			t.Errorf("op %d is rejected", i)
			continue
		}
		latency := 150 * Millisecond
		if i%20 == 19 {
			latency = 900 * Millisecond
		}
		s.advance(latency)
		s.ackFirstPush(s.lastOp, latency)
		s.advance(500*Millisecond - min(latency, 500*Millisecond))
	}
}

// TestImpatientClient checks a client that retries at once, 15 times, and waits no longer than a tenth of the target
// latency: each try gets one answer by its deadline, and in the end no push is left in flight.
func TestImpatientClient(t *testing.T) {
	s := newPeerScenario(t, 20, 0, 2)
	answers := map[OpID]int{}
	step := func(input Input) {
		for _, effect := range s.node.Step(s.now, &input) {
			switch effect.Kind {
			case Push:
				s.lastServer[opKey(effect.Op)] = effect.Server
			case Nack, DeadLetter:
				answers[effect.Op]++
			case SetTimer:
				s.timers = append(s.timers, effect)
			}
		}
	}
	for range 20 {
		first := s.lastOp + 1
		for try := range 15 {
			s.lastOp++
			step(Input{Kind: OpArrived, Op: s.lastOp, Deadline: s.now + 100*Millisecond, ClientRetry: try > 0})
		}
		s.now += 110 * Millisecond
		for op := first; op <= s.lastOp; op++ {
			if _, found := s.node.opSlots[op]; found {
				step(Input{Kind: PushEnded, Op: op, Outcome: TimedOut, Latency: 100 * Millisecond})
			}
			if answers[op] != 1 {
				t.Errorf("op %d has %d answers", op, answers[op])
			}
		}
	}
	if s.node.inFlight != 0 || s.node.peerMessageBudget > 8*peerMessagesPerOp {
		t.Errorf("%v pushes in flight, %v peer messages saved up", s.node.inFlight, s.node.peerMessageBudget)
	}
}

// TestHighTrafficNode checks that a node with ten times the mean traffic is served by its subset while the servers keep
// up: an op is pushed or nacked in the step of its arrival, and no server holds more pushes than its concurrency limit.
func TestHighTrafficNode(t *testing.T) {
	s := newPeerScenario(t, 40, 0, 8)
	pushed, nacked := 0, 0
	var inFlight []OpID
	for round := range 400 {
		s.lastOp++
		input := Input{Kind: OpArrived, Op: s.lastOp, Deadline: s.now + 2*Second}
		answered := 0
		for _, effect := range s.node.Step(s.now, &input) {
			switch effect.Kind {
			case Push:
				s.lastServer[opKey(effect.Op)] = effect.Server
				inFlight = append(inFlight, effect.Op)
				pushed++
				answered++
			case Nack:
				nacked++
				answered++
			}
		}
		if answered != 1 {
			t.Errorf("op %d: pushed or nacked %d times", round, answered)
		}
		if round%10 < 4 {
			s.receiveEvent(peerPushSent, ServerID(1+round%10), 0)
		}
		for _, slot := range s.node.subset {
			if server := &s.node.servers[slot]; float64(server.inFlight) > server.concurrencyLimit+1 {
				t.Errorf("op %d: server %d holds %d pushes, limit %v", round, slot, server.inFlight, server.concurrencyLimit)
			}
		}
		s.now += 10 * Millisecond
		if round%10 == 9 { // ten answers per 100 ms, which the servers can do
			for _, op := range inFlight[:min(len(inFlight), 10)] {
				s.ackFirstPush(op, 200*Millisecond)
			}
			inFlight = inFlight[min(len(inFlight), 10):]
			for slot := range 4 {
				s.receiveEvent(peerPushAcked, ServerID(1+slot), 0)
			}
		}
	}
	if pushed < 380 {
		t.Errorf("%d pushed, %d nacked", pushed, nacked)
	}
}
