package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode stands for a node's process: a socket bound to the node's address.
type testNode struct {
	*net.UDPConn
	number, port int
}

// openNodes opens the sockets of the first nodes of a relay.
func openNodes(t *testing.T, r *Relay, count int) (opened []*testNode) {
	t.Helper()
	for i := range count {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(BindAddr(i, r.Port())))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		opened = append(opened, &testNode{c, i, r.Port()})
	}
	return opened
}

// send sends a datagram to another node through the relay.
func (n *testNode) send(to int, text string) {
	n.WriteToUDPAddrPort([]byte(text), AdvertisedAddr(to, n.port))
}

// receive returns the datagrams that arrive within the timeout and the source address of the last one.
func (n *testNode) receive(timeout time.Duration) (texts []string, from string) {
	buffer := make([]byte, 2048)
	n.SetReadDeadline(time.Now().Add(timeout))
	for {
		size, source, err := n.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return texts, from
		}
		texts = append(texts, string(buffer[:size]))
		from = source.Addr().String()
	}
}

func newRelay(t *testing.T, nodes int) *Relay {
	t.Helper()
	r, err := New(nodes, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// receiveTime is how long a test waits for traffic.
const receiveTime = 80 * time.Millisecond

// Datagrams arrive from the sender's advertised address. Each impairment affects one direction of one pair only, and ends
// when its fault is removed.
func TestDatagrams(t *testing.T) {
	r := newRelay(t, 3)
	nodes := openNodes(t, r, 3)
	onlyFirstToSecond := func(impairment Impairment) func(int, int) Impairment {
		return func(from, to int) Impairment {
			if from == 0 && to == 1 {
				return impairment
			}
			return Impairment{}
		}
	}
	for name, c := range map[string]struct {
		impairment Impairment
		want       int // datagrams received for ten sent
		intact     bool
	}{
		"none":               {Impairment{}, 10, true},
		"cut":                {Impairment{Cut: true}, 0, true},
		"loss":               {Impairment{Loss: 1}, 0, true},
		"duplicate":          {Impairment{Duplicate: 1}, 20, true},
		"corrupt":            {Impairment{Corrupt: 1}, 10, false},
		"truncate":           {Impairment{Truncate: 1}, 10, false},
		"delay":              {Impairment{Delay: receiveTime / 4}, 10, true},
		"reorder":            {Impairment{Reorder: 1}, 10, true},
		"unanswered streams": {Impairment{UnansweredStreams: true}, 10, true},
	} {
		fault := r.AddFault(onlyFirstToSecond(c.impairment))
		for range 10 {
			nodes[0].send(1, "hello!")
			nodes[0].send(2, "hello!")
			nodes[1].send(0, "back")
		}
		got, from := nodes[1].receive(receiveTime)
		if len(got) != c.want || len(got) > 0 && from != "127.2.0.1" {
			t.Errorf("%s: %d datagrams from %s, want %d", name, len(got), from, c.want)
		}
		for _, text := range got {
			if (text == "hello!") != c.intact {
				t.Errorf("%s: received %q", name, text)
			}
		}
		other, _ := nodes[2].receive(receiveTime / 4)
		back, _ := nodes[0].receive(receiveTime / 4)
		if len(other) != 10 || len(back) != 10 {
			t.Errorf("%s: another pair and the reverse direction carried %d and %d of 10", name, len(other), len(back))
		}
		r.RemoveFault(fault)
	}
	if c := r.Traffic(0); c.SentDatagrams != 180 || c.SentBytes != 180*6 {
		t.Errorf("traffic of the first node: %+v", c)
	}
}

// Streams carry both directions. During a cut they stay open without traffic and continue afterwards, except for a stream
// that its sender has closed meanwhile. A stream to a node that is not running is refused.
func TestStreams(t *testing.T) {
	r := newRelay(t, 3)
	listener, err := net.Listen("tcp4", BindAddr(1, r.Port()).String())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	dial := func(to int) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: BindAddr(0, 0).Addr().AsSlice()}}
		c, err := dialer.Dial("tcp4", AdvertisedAddr(to, r.Port()).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	echoes := func(c net.Conn, timeout time.Duration) bool {
		c.Write([]byte("echo"))
		c.SetReadDeadline(time.Now().Add(timeout))
		_, err := io.ReadFull(c, make([]byte, 4))
		return err == nil
	}
	c := dial(1)
	if !echoes(c, time.Second) {
		t.Error("a stream does not pass")
	}
	cut := r.AddFault(func(from, to int) Impairment { return Impairment{Cut: true} })
	heldStream := dial(1)
	if echoes(c, receiveTime) || echoes(heldStream, receiveTime) {
		t.Error("a stream carries data during a cut")
	}
	r.RemoveFault(cut)
	if !echoes(c, time.Second) || !echoes(heldStream, time.Second) {
		t.Error("a stream does not continue after a cut")
	}
	listenerClosed := make(chan struct{})
	accepted := make(chan struct{}, 1)
	go func() {
		defer close(listenerClosed)
		third, err := net.Listen("tcp4", BindAddr(2, r.Port()).String())
		if err != nil {
			t.Error(err)
			return
		}
		defer third.Close()
		third.(*net.TCPListener).SetDeadline(time.Now().Add(4 * receiveTime))
		if c, err := third.Accept(); err == nil {
			c.Close()
			accepted <- struct{}{}
		}
	}()
	cut = r.AddFault(func(from, to int) Impairment { return Impairment{Cut: true} })
	abandoned := dial(2)
	abandoned.Write([]byte("a node's full state"))
	time.Sleep(receiveTime)
	abandoned.Close()
	time.Sleep(receiveTime)
	r.RemoveFault(cut)
	<-listenerClosed
	if len(accepted) > 0 {
		t.Error("a stream that was closed during the cut arrives after it")
	}
	refused := dial(0) // no listener there
	refused.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := refused.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("stream to a node that is not running: %v", err)
	}
}
