package policy

import (
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What is said is understood, its pace within half a step; another version, length or kind is not.
func TestSaid(t *testing.T) {
	for _, pace := range []float64{0, 0.25, 0.5, 1, 3, 16} {
		want := said{what: saidAck, pace: pace, server: 0xabcd}
		b := want.bytes()
		got, understood := readSaid(b[:])
		if off := math.Abs(math.Log2(got.pace / pace)); !understood || got.what != want.what || got.server != want.server ||
			pace == 0 && got.pace != 0 || pace > 0 && off > 0.5/paceSteps {
			t.Errorf("said %+v, heard %+v, %v", want, got, understood)
		}
	}
	for _, b := range [][]byte{nil, {1 << 6}, {1<<6 | 0<<4, 0}, {2 << 6, 0, 1}, {1<<6 | 3<<4, 0, 1}, {1 << 6, 0, 1, 0}} {
		if got, understood := readSaid(b); understood {
			t.Errorf("% x is heard as %+v", b, got)
		}
	}
}

// Of each push and its end all nodes hear, and only those, that have the server in their run, each once.
func TestWhoIsTold(t *testing.T) {
	for _, fleet := range []struct{ nodes, servers int }{{40, 8}, {7, 30}, {20, 1}, {31, 13}} {
		talk := func(k int) *Node {
			s := start(t, pushed, safe)
			s.node.place.NodeCount, s.node.place.NodeNumber, s.node.place.PeerMessaging = fleet.nodes, k, true
			s.list(ListCached, servers(fleet.servers))
			return s.node
		}
		users := map[int32][]int{}
		for k := range fleet.nodes {
			for _, i := range talk(k).run {
				users[i] = append(users[i], k)
			}
		}
		for k := range fleet.nodes {
			n := talk(k)
			n.words = 8 * saidAnOp // some ops were nacked before
			var want []int
			for _, in := range []Input{{Kind: OpArrived, Op: 1, Deadline: 3 * Second},
				{Kind: PushEnded, Op: 1, Outcome: Acked, Latency: 50 * Millisecond, OpSettled: true}} {
				told := []int{k}
				for _, e := range n.Step(2*Second, &in) {
					if e.Kind == SendToPeer {
						told = append(told, e.PeerNumber)
					}
					if e.Kind == Push {
						want = users[n.ops[0].to[0]]
					}
				}
				if slices.Sort(told); !slices.Equal(told, want) {
					t.Errorf("%v, node %d: told %v, used by %v", fleet, k, told, want)
				}
			}
		}
	}
}

// talk makes the node number k of so many that tell each other.
func talk(t *testing.T, nodes, number, list int) *script {
	s := start(t, pushed, safe, once)
	s.node.place.NodeCount, s.node.place.NodeNumber, s.node.place.PeerMessaging = nodes, number, true
	s.list(ListCached, servers(list))
	return s
}

func (s *script) say(what saidWhat, server ServerID, pace float64) {
	b := said{what, pace, fold(server)}.bytes()
	s.step(Input{Kind: PeerMessageReceived, Message: b[:]})
}

// What others push counts for what a server holds: ops go to the other one, until the ends are told, or for as long as
// such a word is remembered. A slow pace told does the same.
func TestHearsay(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*script)
		to   string // where an op goes; "": both are equally full
	}{
		{"nothing", func(*script) {}, ""},
		{"ten pushes at a", func(s *script) { s.repeat(10, saidPush, 1, 0) }, "b"},
		{"and their ends", func(s *script) { s.repeat(10, saidPush, 1, 0); s.repeat(10, saidAck, 1, 1) }, ""},
		{"more ends than pushes", func(s *script) { s.repeat(50, saidEnd, 1, 0) }, ""},
		{"ten pushes, 20 s ago", func(s *script) { s.repeat(10, saidPush, 1, 0); s.wait(20 * Second) }, ""},
		{"b is slow", func(s *script) { s.repeat(10, saidAck, 2, 8) }, "a"},
		{"of a server that is not listed", func(s *script) { s.repeat(10, saidPush, 77, 0) }, ""},
		{"cut short", func(s *script) { s.step(Input{Kind: PeerMessageReceived, Message: []byte{64}}) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := talk(t, 20, 0, 2)
			c.do(s)
			a, b := s.node.full(&s.node.servers[0]), s.node.full(&s.node.servers[1])
			s.op(1, 0)
			if c.to != "" && name(s.to["1"]) != c.to || c.to == "" && math.Abs(a-b) > 0.01 {
				t.Errorf("a is %v full, b %v, an op went to %s", a, b, name(s.to["1"]))
			}
		})
	}
}

func (s *script) repeat(n int, what saidWhat, server ServerID, pace float64) {
	for range n {
		s.say(what, server, pace)
	}
}

// Danger: hearsay never makes a server known, nor one usable that drains or has fallen silent here; an answer told only
// ends its trial once its wait is over, and then an at-most-once op may go there too.
func TestHearsayLiftsNothing(t *testing.T) {
	s := talk(t, 20, 0, 2)
	drained := servers(1)
	drained[0].State = Draining
	s.list(ListChanges, drained)
	s.op(1, 1)
	s.end(1, 0, ConnectFailed)
	s.repeat(20, saidAck, 1, 1)
	s.repeat(20, saidAck, 77, 1)
	s.op(2, 1)
	if _, found := s.to["2"]; found && s.to["2"] != 2 {
		t.Errorf("an op went to server %d", s.to["2"])
	}
	down := s.node.servers[1].down
	s.repeat(20, saidAck, 2, 1)
	if s.node.servers[1].down != down || s.node.servers[1].failures != 0 {
		t.Errorf("down until %d, before %d; %d failures", s.node.servers[1].down, down, s.node.servers[1].failures)
	}
}

// Words are bounded by the clients' first tries, however many pushes end and repeats come.
func TestWordsAreBounded(t *testing.T) {
	s := talk(t, 2000, 0, 2)
	words := 0
	for op := OpID(1); op <= 100; op++ {
		for _, in := range []Input{{Kind: OpArrived, Op: op, Deadline: s.now + 2*Second, ClientRetry: op > 50},
			{Kind: PushEnded, Op: op, Outcome: Acked, Latency: 50 * Millisecond, OpSettled: true}} {
			for _, e := range s.node.Step(s.now, &in) {
				words += int(number(e.Kind == SendToPeer))
			}
		}
	}
	if most := 50 * saidAnOp; words > most || words < most/2 {
		t.Errorf("%d words of 50 ops, at most %d", words, most)
	}
}

// Danger: nodes whose servers died go on together to the next ones, and none is told there what the others push; those
// jam, and the next after them. A node keeps to what is left of its run, and goes beyond only when all of it is down.
func TestRunWhereNodesTell(t *testing.T) {
	s := talk(t, 40, 0, 8) // a run of four
	run := func() (names string) {
		for _, i := range s.node.run {
			names += name(s.node.servers[i].Server)
		}
		return names
	}
	got := []string{run()}
	for _, down := range []int32{0, 1, 2, 3} {
		s.node.servers[down].down = s.now + Second
		s.node.choose()
		got = append(got, run())
	}
	if diff := cmp.Diff([]string{"abcd", "abcd", "abcd", "abcd", "abcde"}, got); diff != "" {
		t.Error(diff)
	}
}

// Danger: a connection that has rested may be dropped unseen on the way; what is sent on it is lost in silence, and each
// server looks as if it had fallen silent. Once a third of what goes out after such a rest is lost, and three times
// what is lost without, the connection closes first; where all is lost alike, none does.
func TestRestedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		rested, busy Outcome
		closes       bool
	}{
		"well":               {Acked, Acked, false},
		"lost after a rest":  {TimedOut, Acked, true},
		"lost at every time": {TimedOut, TimedOut, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, pushed, once)
			s.list(ListCached, servers(1))
			closed := false
			send := func(how Outcome) {
				s.last++
				in := Input{Kind: OpArrived, Op: s.last, Deadline: s.now + 2*Second}
				for _, e := range s.node.Step(s.now, &in) {
					closed = closed || e.Kind == CloseIdle
				}
				s.step(Input{Kind: PushEnded, Op: s.last, Outcome: how, Latency: 50 * Millisecond, OpSettled: how == Acked})
				s.node.servers[0].failures, s.node.servers[0].down = 0, 0 // its trials are another matter
			}
			for range 8 {
				s.wait(3 * Second)
				send(c.rested)
				for range 4 {
					s.wait(20 * Millisecond)
					send(c.busy)
				}
			}
			if closed != c.closes {
				t.Errorf("closed: %v", closed)
			}
		})
	}
}

// A node that sees an op every half second refuses none while answers are as usual, though one in twenty is slow.
func TestFewOps(t *testing.T) {
	s := talk(t, 1200, 7, 130)
	for i := range 200 {
		s.last++
		s.op(s.last, 1)
		if _, pushed := s.to[id(s.last)]; !pushed {
			t.Errorf("op %d is refused", i)
			continue
		}
		took := 150 * Millisecond
		if i%20 == 19 {
			took = 900 * Millisecond
		}
		s.wait(took)
		s.ack(s.last, took)
		s.wait(500*Millisecond - min(took, 500*Millisecond))
	}
}

// A client that comes again at once, 15 times, and waits no longer than a tenth of target latency: each try has one answer by
// its end, and no more is out than room at the servers allows.
func TestImpatient(t *testing.T) {
	s := talk(t, 20, 0, 2)
	answers := map[OpID]int{}
	step := func(in Input) {
		for _, e := range s.node.Step(s.now, &in) {
			switch e.Kind {
			case Push:
				s.to[id(e.Op)] = e.Server
			case Nack, DeadLetter:
				answers[e.Op]++
			case SetTimer:
				s.wakes = append(s.wakes, e)
			}
		}
	}
	for range 20 {
		first := s.last + 1
		for try := range 15 {
			s.last++
			step(Input{Kind: OpArrived, Op: s.last, Deadline: s.now + 100*Millisecond, ClientRetry: try > 0})
		}
		s.now += 110 * Millisecond
		for op := first; op <= s.last; op++ {
			if _, found := s.node.byOp[op]; found {
				step(Input{Kind: PushEnded, Op: op, Outcome: TimedOut, Latency: 100 * Millisecond})
			}
			if answers[op] != 1 {
				t.Errorf("op %d has %d answers", op, answers[op])
			}
		}
	}
	if s.node.out != 0 || s.node.words > 8*saidAnOp {
		t.Errorf("%v out, %v words saved", s.node.out, s.node.words)
	}
}

// A node with ten times the mean traffic is served by its run while the servers keep up: an op is pushed or nacked in the same
// step, and no server holds more than there is room for, with what others push there.
func TestHeavyNode(t *testing.T) {
	s := talk(t, 40, 0, 8)
	pushed, nacked := 0, 0
	var out []OpID
	for i := range 400 {
		s.last++
		in := Input{Kind: OpArrived, Op: s.last, Deadline: s.now + 2*Second}
		answered := 0
		for _, e := range s.node.Step(s.now, &in) {
			switch e.Kind {
			case Push:
				s.to[id(e.Op)] = e.Server
				out = append(out, e.Op)
				pushed, answered = pushed+1, answered+1
			case Nack:
				nacked, answered = nacked+1, answered+1
			}
		}
		if answered != 1 {
			t.Errorf("op %d: pushed or nacked %d times", i, answered)
		}
		if i%10 < 4 {
			s.say(saidPush, ServerID(1+i%10), 0)
		}
		for _, k := range s.node.run {
			if sv := &s.node.servers[k]; float64(sv.held) > sv.room+1 {
				t.Errorf("op %d: server %d holds %d, room %v", i, k, sv.held, sv.room)
			}
		}
		s.now += 10 * Millisecond
		if i%10 == 9 { // ten answers each 100 ms, of what a server can do
			for _, op := range out[:min(len(out), 10)] {
				s.ack(op, 200*Millisecond)
			}
			out = out[min(len(out), 10):]
			for k := range 4 {
				s.say(saidAck, ServerID(1+k), 0)
			}
		}
	}
	if pushed < 380 {
		t.Errorf("%d pushed, %d nacked", pushed, nacked)
	}
}
