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
type node struct {
	*net.UDPConn
	number, port int
}

func nodes(t *testing.T, r *Relay, n int) (all []*node) {
	t.Helper()
	for i := range n {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(BindAddr(i, r.Port())))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		all = append(all, &node{c, i, r.Port()})
	}
	return all
}

func (n *node) say(to int, text string) {
	n.WriteToUDPAddrPort([]byte(text), AdvertisedAddr(to, n.port))
}

// hears gives what comes within a while, and from whom the last came.
func (n *node) hears(wait time.Duration) (all []string, from string) {
	buffer := make([]byte, 2048)
	n.SetReadDeadline(time.Now().Add(wait))
	for {
		size, source, err := n.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return all, from
		}
		all, from = append(all, string(buffer[:size])), source.Addr().String()
	}
}

func newRelay(t *testing.T, n int) *Relay {
	t.Helper()
	r, err := New(n, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

const while = 80 * time.Millisecond

// What passes comes from the sender's own address; each fault does what it says, by direction and pair, and ends.
func TestDatagrams(t *testing.T) {
	r := newRelay(t, 3)
	n := nodes(t, r, 3)
	only := func(w Impairment) func(int, int) Impairment {
		return func(from, to int) Impairment {
			if from == 0 && to == 1 {
				return w
			}
			return Impairment{}
		}
	}
	for name, c := range map[string]struct {
		way  Impairment
		want int // of ten
		same bool
	}{
		"nothing": {Impairment{}, 10, true}, "cut": {Impairment{Cut: true}, 0, true}, "loss": {Impairment{Loss: 1}, 0, true},
		"double": {Impairment{Duplicate: 1}, 20, true}, "spoilt": {Impairment{Corrupt: 1}, 10, false}, "short": {Impairment{Truncate: 1}, 10, false},
		"late": {Impairment{Delay: while / 4}, 10, true}, "reordered": {Impairment{Reorder: 1}, 10, true}, "silent": {Impairment{UnansweredStreams: true}, 10, true},
	} {
		number := r.AddFault(only(c.way))
		for range 10 {
			n[0].say(1, "a word")
			n[0].say(2, "a word")
			n[1].say(0, "back")
		}
		got, from := n[1].hears(while)
		if len(got) != c.want || len(got) > 0 && from != "127.2.0.1" {
			t.Errorf("%s: %d came from %s, not %d", name, len(got), from, c.want)
		}
		for _, text := range got {
			if (text == "a word") != c.same {
				t.Errorf("%s: %q came", name, text)
			}
		}
		other, _ := n[2].hears(while / 4)
		back, _ := n[0].hears(while / 4)
		if len(other) != 10 || len(back) != 10 {
			t.Errorf("%s: other ways carried %d and %d of 10", name, len(other), len(back))
		}
		r.RemoveFault(number)
	}
	if c := r.Traffic(0); c.SentDatagrams != 180 || c.SentBytes != 180*6 {
		t.Errorf("counted %+v", c)
	}
}

// A stream passes both ways; one over a cut is held open in silence and goes on after it, but for one that was given up; one
// to a node that is not there is refused.
func TestStreams(t *testing.T) {
	r := newRelay(t, 3)
	l, err := net.Listen("tcp4", BindAddr(1, r.Port()).String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	dial := func(to int) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: BindAddr(0, 0).Addr().AsSlice()}}
		c, err := d.Dial("tcp4", AdvertisedAddr(to, r.Port()).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	answers := func(c net.Conn, wait time.Duration) bool {
		c.Write([]byte("echo"))
		c.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(c, make([]byte, 4))
		return err == nil
	}
	c := dial(1)
	if !answers(c, time.Second) {
		t.Error("a stream does not pass")
	}
	cut := r.AddFault(func(from, to int) Impairment { return Impairment{Cut: true} })
	d := dial(1)
	if answers(c, while) || answers(d, while) {
		t.Error("a stream passes a cut")
	}
	r.RemoveFault(cut)
	if !answers(c, time.Second) || !answers(d, time.Second) {
		t.Error("a stream does not go on after a cut")
	}
	given, came := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(given)
		third, err := net.Listen("tcp4", BindAddr(2, r.Port()).String())
		if err != nil {
			t.Error(err)
			return
		}
		defer third.Close()
		third.(*net.TCPListener).SetDeadline(time.Now().Add(4 * while))
		if c, err := third.Accept(); err == nil {
			c.Close()
			came <- struct{}{}
		}
	}()
	cut = r.AddFault(func(from, to int) Impairment { return Impairment{Cut: true} })
	f := dial(2)
	f.Write([]byte("all that a node knows"))
	time.Sleep(while)
	f.Close()
	time.Sleep(while)
	r.RemoveFault(cut)
	<-given
	if len(came) > 0 {
		t.Error("a stream that was given up in a cut comes after it")
	}
	e := dial(0) // nobody listens there
	e.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := e.Read(make([]byte, 1)); err == nil || err.(net.Error).Timeout() {
		t.Errorf("a node that is not there: %v", err)
	}
}
