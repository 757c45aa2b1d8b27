package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a process as the relay sees it.
type testNode struct {
	*net.UDPConn
	number, port int
}

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

func (n *testNode) send(to int, text string) {
	n.WriteToUDPAddrPort([]byte(text), AdvertisedAddr(to, n.port))
}

// hears gives what comes within a while, and from whom the last came.
func (n *testNode) receive(timeout time.Duration) (texts []string, from string) {
	buffer := make([]byte, 2048)
	n.SetReadDeadline(time.Now().Add(timeout))
	for {
		size, source, err := n.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return texts, from
		}
		texts, from = append(texts, string(buffer[:size])), source.Addr().String()
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

const receiveTime = 80 * time.Millisecond

// What passes comes from the sender's own address; each fault does what it says, by direction and pair, and ends.
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
		want       int // of ten
		intact     bool
	}{
		"nothing": {Impairment{}, 10, true}, "cut": {Impairment{Cut: true}, 0, true}, "loss": {Impairment{Loss: 1}, 0, true},
		"double": {Impairment{Duplicate: 1}, 20, true}, "spoilt": {Impairment{Corrupt: 1}, 10, false}, "short": {Impairment{Truncate: 1}, 10, false},
		"late": {Impairment{Delay: receiveTime / 4}, 10, true}, "reordered": {Impairment{Reorder: 1}, 10, true}, "silent": {Impairment{UnansweredStreams: true}, 10, true},
	} {
		fault := r.AddFault(onlyFirstToSecond(c.impairment))
		for range 10 {
			nodes[0].send(1, "a word")
			nodes[0].send(2, "a word")
			nodes[1].send(0, "back")
		}
		got, from := nodes[1].receive(receiveTime)
		if len(got) != c.want || len(got) > 0 && from != "127.2.0.1" {
			t.Errorf("%s: %d came from %s, not %d", name, len(got), from, c.want)
		}
		for _, text := range got {
			if (text == "a word") != c.intact {
				t.Errorf("%s: %q came", name, text)
			}
		}
		other, _ := nodes[2].receive(receiveTime / 4)
		back, _ := nodes[0].receive(receiveTime / 4)
		if len(other) != 10 || len(back) != 10 {
			t.Errorf("%s: other ways carried %d and %d of 10", name, len(other), len(back))
		}
		r.RemoveFault(fault)
	}
	if c := r.Traffic(0); c.SentDatagrams != 180 || c.SentBytes != 180*6 {
		t.Errorf("counted %+v", c)
	}
}

// A stream passes both ways; one over a cut is held open in silence and goes on after it, but for one that was given up; one
// to a node that is not there is refused.
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
		heldStream := net.Dialer{LocalAddr: &net.TCPAddr{IP: BindAddr(0, 0).Addr().AsSlice()}}
		c, err := heldStream.Dial("tcp4", AdvertisedAddr(to, r.Port()).String())
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
		t.Error("a stream passes a cut")
	}
	r.RemoveFault(cut)
	if !echoes(c, time.Second) || !echoes(heldStream, time.Second) {
		t.Error("a stream does not go on after a cut")
	}
	listenerClosed, accepted := make(chan struct{}), make(chan struct{}, 1)
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
	abandoned.Write([]byte("all that a node knows"))
	time.Sleep(receiveTime)
	abandoned.Close()
	time.Sleep(receiveTime)
	r.RemoveFault(cut)
	<-listenerClosed
	if len(accepted) > 0 {
		t.Error("a stream that was given up in a cut comes after it")
	}
	refused := dial(0) // nobody listens there
	refused.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := refused.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("a node that is not there: %v", err)
	}
}
