// Package relay is what nodes say to each other on its way: it stands between them on loopback, and can cut, delay,
// lose, double, reorder or spoil what passes, by direction and pair. Nodes don't know that it is there.
//
// Node n binds 127.1.n and dials from that address; it advertises 127.2.n, where the relay listens for it. So the relay
// knows a sender by its source address, and sends on from the sender's own 127.2.n. The port is the run's.
package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// mostNodes is what two bytes of an address hold.
	mostNodes = 1 << 16
	// mostPending is how many datagrams may be on their way; past that the next are lost, as in a full queue.
	mostPending = 1 << 15
	// mostStreams is how many streams pass at a time; further ones are closed at once.
	mostStreams = 1 << 12
	// chunk is the most of a stream that passes at once.
	chunk = 16 << 10
	// look is how often a stream that is held up looks whether it may go on.
	look = 5 * time.Millisecond
	// mostHeld ends a stream on which nothing has passed for so long.
	mostHeld = 30 * time.Second
	// reorderBy is how much later a reordered datagram comes, at the most.
	reorderBy = 20 * time.Millisecond
	biggest   = 64 << 10 // datagram
)

// Way is what happens from one node to another. The zero value passes everything on at once.
type Impairment struct {
	Cut               bool    // nothing passes; streams are held open
	UnansweredStreams bool    // datagrams pass; streams are accepted and never answered
	Loss              float64 // share of datagrams
	Duplicate         float64 // share of datagrams that come twice
	Reorder           float64 // share of datagrams that come later than the next ones
	Corrupt           float64 // share of datagrams, and of a stream's chunks, with a byte changed
	Truncate          float64 // share of datagrams cut short, and of chunks after which the stream ends
	Delay             time.Duration
	Jitter            time.Duration // more, evenly spread
}

// and is both ways one after the other.
func (w Impairment) and(o Impairment) Impairment {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	return Impairment{Cut: w.Cut || o.Cut, UnansweredStreams: w.UnansweredStreams || o.UnansweredStreams, Loss: either(w.Loss, o.Loss), Duplicate: either(w.Duplicate, o.Duplicate),
		Reorder: either(w.Reorder, o.Reorder), Corrupt: either(w.Corrupt, o.Corrupt), Truncate: either(w.Truncate, o.Truncate),
		Delay: w.Delay + o.Delay, Jitter: w.Jitter + o.Jitter}
}

// Count is what a node has sent and been sent, as it came to the relay and left it.
type Traffic struct {
	SentDatagrams, SentBytes, SentStreams, SentStreamBytes int64
	ReceivedDatagrams, ReceivedBytes, ReceivedStreamBytes  int64
}

// Bytes is all that a node has sent and been sent.
func (c Traffic) TotalBytes() int64 {
	return c.SentBytes + c.SentStreamBytes + c.ReceivedBytes + c.ReceivedStreamBytes
}

type place struct {
	udp                                                *net.UDPConn
	tcp                                                net.Listener
	sentDatagrams, sentBytes, sentStreams, streamBytes atomic.Int64
	gotDatagrams, gotBytes, gotStreamBytes             atomic.Int64
}

// Relay is one run's.
type Relay struct {
	port    int
	places  []*place
	ways    []atomic.Pointer[Impairment] // from, to
	streams atomic.Int64
	pending atomic.Int64
	late    atomic.Int64 // the most that a datagram was passed on later than meant, in ns
	done    chan struct{}
	open    sync.WaitGroup
	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[int]func(from, to int) Impairment
	next    int
}

func address(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(net), byte(n >> 8), byte(n)})
}

// Bound is where a node binds and dials from, on the run's port.
func BindAddr(n, port int) netip.AddrPort { return netip.AddrPortFrom(address(1, n+1), uint16(port)) }

// Advertised is where others reach it: here.
func AdvertisedAddr(n, port int) netip.AddrPort {
	return netip.AddrPortFrom(address(2, n+1), uint16(port))
}

const firstPort, lastPort = 22000, 32000 // under those that the kernel gives out

var claimed atomic.Int64

// New opens a relay for so many nodes, at a port that no other run has.
func New(nodes int, seed uint64) (*Relay, error) {
	if nodes < 1 || nodes >= mostNodes {
		return nil, fmt.Errorf("relay: %d nodes are not from 1 to %d", nodes, mostNodes-1)
	}
	var err error
	for range 64 {
		port := firstPort + int(rand.Uint64()%uint64(lastPort-firstPort)) // other programs' runs draw too
		var r *Relay
		if r, err = open(nodes, port, seed); err == nil {
			return r, nil
		}
	}
	return nil, err
}

func open(nodes, port int, seed uint64) (*Relay, error) {
	r := &Relay{port: port, ways: make([]atomic.Pointer[Impairment], nodes*nodes), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 0x7e1a9)), faults: make(map[int]func(int, int) Impairment)}
	clear := &Impairment{}
	for i := range r.ways {
		r.ways[i].Store(clear)
	}
	for n := range nodes {
		at := AdvertisedAddr(n, port)
		p := &place{}
		var err error
		if p.tcp, err = net.Listen("tcp4", at.String()); err == nil {
			if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
				p.tcp.Close()
			}
		}
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		p.udp.SetReadBuffer(1 << 20)
		r.places = append(r.places, p)
	}
	for n := range r.places {
		r.open.Go(func() { r.datagrams(n) })
		r.open.Go(func() { r.accept(n) })
	}
	return r, nil
}

// Port is the run's.
func (r *Relay) Port() int { return r.port }

// Late is the most that a datagram was passed on later than it was meant to be: the relay's own fault.
func (r *Relay) MaxLateness() time.Duration { return time.Duration(r.late.Load()) }

// Count gives what a node has sent and been sent so far.
func (r *Relay) Traffic(n int) Traffic {
	p := r.places[n]
	return Traffic{p.sentDatagrams.Load(), p.sentBytes.Load(), p.sentStreams.Load(), p.streamBytes.Load(),
		p.gotDatagrams.Load(), p.gotBytes.Load(), p.gotStreamBytes.Load()}
}

// Begin lets a fault act beside those that act already; the number ends it. A fault gives the way of each pair.
func (r *Relay) AddFault(fault func(from, to int) Impairment) (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.faults[r.next] = fault
	r.set()
	return r.next
}

// End ends a fault.
func (r *Relay) RemoveFault(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faults, number)
	r.set()
}

func (r *Relay) set() {
	n := len(r.places)
	for from := range n {
		for to := range n {
			var way Impairment
			for _, fault := range r.faults { // their order changes nothing
				way = way.and(fault(from, to))
			}
			if *r.ways[from*n+to].Load() != way {
				r.ways[from*n+to].Store(&way)
			}
		}
	}
}

func (r *Relay) way(from, to int) *Impairment { return r.ways[from*len(r.places)+to].Load() }

// Close ends the relay: nothing passes any more and nothing is left running.
func (r *Relay) Close() {
	if r == nil {
		return
	}
	select {
	case <-r.done:
		return
	default:
	}
	close(r.done)
	for _, p := range r.places {
		p.tcp.Close()
		p.udp.Close()
	}
	r.open.Wait()
}

// sender is the node that an address belongs to.
func (r *Relay) sender(a netip.Addr) (n int, known bool) {
	b := a.Unmap().As4()
	n = int(b[2])<<8 | int(b[3])
	n--
	return n, b[0] == 127 && b[1] == 1 && n >= 0 && n < len(r.places)
}

// chances draws whether each of these shares is met.
func (r *Relay) chances(w *Impairment, size int) (lost, doubled, reordered, spoilt, short bool, at int, later time.Duration) {
	if *w == (Impairment{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	draw := func(share float64) bool { return share > 0 && r.rng.Float64() < share }
	lost, doubled, reordered, spoilt, short = draw(w.Loss), draw(w.Duplicate), draw(w.Reorder), draw(w.Corrupt), draw(w.Truncate)
	if size > 0 {
		at = r.rng.IntN(size)
	}
	later = w.Delay
	if w.Jitter > 0 {
		later += time.Duration(r.rng.Int64N(int64(w.Jitter)))
	}
	if reordered {
		later += reorderBy/4 + time.Duration(r.rng.Int64N(int64(reorderBy)))
	}
	return
}

// datagrams passes on what is sent to one node.
func (r *Relay) datagrams(to int) {
	p := r.places[to]
	buffer := make([]byte, biggest)
	for {
		n, source, err := p.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-r.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // what a datagram to a node that is not there comes back as
		}
		from, known := r.sender(source.Addr())
		if !known {
			continue
		}
		r.places[from].sentDatagrams.Add(1)
		r.places[from].sentBytes.Add(int64(n))
		w := r.way(from, to)
		lost, doubled, _, spoilt, short, at, later := r.chances(w, n)
		if w.Cut || lost {
			continue
		}
		if !spoilt && !short && later == 0 {
			r.pass(from, to, buffer[:n])
			if doubled {
				r.pass(from, to, buffer[:n])
			}
			continue
		}
		bytes := append([]byte(nil), buffer[:n]...)
		if spoilt && n > 0 {
			bytes[at] ^= 1 << (at % 8)
		}
		if short {
			bytes = bytes[:at]
		}
		for range 1 + int(b2n(doubled)) {
			r.passLater(from, to, bytes, later)
		}
	}
}

func b2n(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (r *Relay) pass(from, to int, bytes []byte) {
	if _, err := r.places[from].udp.WriteToUDPAddrPort(bytes, BindAddr(to, r.port)); err == nil {
		r.places[to].gotDatagrams.Add(1)
		r.places[to].gotBytes.Add(int64(len(bytes)))
	}
}

func (r *Relay) passLater(from, to int, bytes []byte, later time.Duration) {
	if r.pending.Add(1) > mostPending {
		r.pending.Add(-1)
		return
	}
	due := time.Now().Add(later)
	time.AfterFunc(later, func() {
		defer r.pending.Add(-1)
		for over := int64(time.Since(due)); ; {
			most := r.late.Load()
			if over <= most || r.late.CompareAndSwap(most, over) {
				break
			}
		}
		if !r.way(from, to).Cut { // what was on its way when it was cut is lost
			r.pass(from, to, bytes)
		}
	})
}

// accept takes streams to one node.
func (r *Relay) accept(to int) {
	for {
		c, err := r.places[to].tcp.Accept()
		if err != nil {
			select {
			case <-r.done:
				return
			case <-time.After(look):
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		source, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		from, known := r.sender(source.Addr())
		if !known || r.streams.Add(1) > mostStreams {
			if known {
				r.streams.Add(-1)
			}
			c.Close()
			continue
		}
		r.places[from].sentStreams.Add(1)
		r.open.Go(func() {
			defer r.streams.Add(-1)
			r.stream(from, to, c)
		})
	}
}

// stream carries one. Where the way is cut when it comes, it is held until the way is there again: what a SYN that is sent
// again would do. Danger: a node that is not there must refuse, or its absence looks like a cut.
func (r *Relay) stream(from, to int, near net.Conn) {
	defer near.Close()
	ended := make(chan struct{})
	defer close(ended)
	early, open := r.held(from, to, near)
	if !open {
		return
	}
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: AdvertisedAddr(from, r.port).Addr().AsSlice()}}
	far, err := dialer.Dial("tcp4", BindAddr(to, r.port).String())
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return
	}
	defer far.Close()
	go func() {
		select {
		case <-r.done:
		case <-ended:
		}
		near.Close()
		far.Close()
	}()
	var both sync.WaitGroup
	both.Go(func() { r.pump(from, to, &after{near, early}, far, ended) })
	both.Go(func() { r.pump(to, from, far, near, ended) })
	both.Wait()
}

// mostEarly is kept of what comes on a stream that is held.
const mostEarly = 1 << 20

// held waits until a stream may open, gives what has come on it by then, and says whether it came to that.
//
// Danger: who sent it has given it up long before a cut ends; a SYN that is not answered ends with its sender. Held streams of seconds were
// passed on at the end of a cut, all that a node knows on each, and looked like a storm of the nodes' own.
func (r *Relay) held(from, to int, near net.Conn) (early []byte, open bool) {
	buffer := make([]byte, chunk)
	for begun := time.Now(); time.Since(begun) <= mostHeld; {
		if there, back := r.way(from, to), r.way(to, from); !there.Cut && !there.UnansweredStreams && !back.Cut {
			return early, true
		}
		select {
		case <-r.done:
			return nil, false
		default:
		}
		if len(early) >= mostEarly {
			time.Sleep(look)
			continue
		}
		near.SetReadDeadline(time.Now().Add(look))
		n, err := near.Read(buffer)
		early = append(early, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false // it was given up
		}
	}
	return nil, false
}

// after reads what came early first.
type after struct {
	net.Conn
	early []byte
}

func (a *after) Read(b []byte) (int, error) {
	if len(a.early) == 0 {
		return a.Conn.Read(b)
	}
	n := copy(b, a.early)
	a.early = a.early[n:]
	return n, nil
}

// passable waits until the way is open, and says whether it came to that.
func (r *Relay) passable(from, to int, ended chan struct{}) bool {
	for begun := time.Now(); ; {
		if !r.way(from, to).Cut {
			return true
		}
		if time.Since(begun) > mostHeld {
			return false
		}
		select {
		case <-r.done:
			return false
		case <-ended:
			return false
		case <-time.After(look):
		}
	}
}

func (r *Relay) pump(from, to int, in, out net.Conn, ended chan struct{}) {
	buffer := make([]byte, chunk)
	for {
		in.SetReadDeadline(time.Now().Add(mostHeld))
		n, err := in.Read(buffer)
		if n > 0 {
			if !r.passable(from, to, ended) {
				break
			}
			r.places[from].streamBytes.Add(int64(n))
			_, _, _, spoilt, short, at, later := r.chances(r.way(from, to), n)
			if later > 0 {
				time.Sleep(later)
			}
			if spoilt {
				buffer[at] ^= 1 << (at % 8)
			}
			if short {
				n = at
			}
			out.SetWriteDeadline(time.Now().Add(mostHeld))
			r.places[to].gotStreamBytes.Add(int64(n))
			if _, wrong := out.Write(buffer[:n]); wrong != nil || short {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				break
			}
			if tcp, ok := out.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return // the other direction may go on
		}
	}
	in.Close()
	out.Close()
}
