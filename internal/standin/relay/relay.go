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
	maxNodes = 1 << 16
	// mostPending is how many datagrams may be on their way; past that the next are lost, as in a full queue.
	maxPendingDatagrams = 1 << 15
	// mostStreams is how many streams pass at a time; further ones are closed at once.
	maxStreams = 1 << 12
	// chunk is the most of a stream that passes at once.
	chunkSize = 16 << 10
	// look is how often a stream that is held up looks whether it may go on.
	pollInterval = 5 * time.Millisecond
	// mostHeld ends a stream on which nothing has passed for so long.
	streamTimeout = 30 * time.Second
	// reorderBy is how much later a reordered datagram comes, at the most.
	reorderDelay = 20 * time.Millisecond
	maxDatagram  = 64 << 10 // datagram
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
func (w Impairment) combine(other Impairment) Impairment {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	return Impairment{Cut: w.Cut || other.Cut, UnansweredStreams: w.UnansweredStreams || other.UnansweredStreams, Loss: either(w.Loss, other.Loss), Duplicate: either(w.Duplicate, other.Duplicate),
		Reorder: either(w.Reorder, other.Reorder), Corrupt: either(w.Corrupt, other.Corrupt), Truncate: either(w.Truncate, other.Truncate),
		Delay: w.Delay + other.Delay, Jitter: w.Jitter + other.Jitter}
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

type endpoint struct {
	udp                                                    *net.UDPConn
	tcp                                                    net.Listener
	sentDatagrams, sentBytes, sentStreams, sentStreamBytes atomic.Int64
	receivedDatagrams, receivedBytes, receivedStreamBytes  atomic.Int64
}

// Relay is one run's.
type Relay struct {
	port             int
	endpoints        []*endpoint
	impairments      []atomic.Pointer[Impairment] // from, to
	openStreams      atomic.Int64
	pendingDatagrams atomic.Int64
	maxLateness      atomic.Int64 // the most that a datagram was passed on later than meant, in ns
	done             chan struct{}
	goroutines       sync.WaitGroup
	mu               sync.Mutex
	rng              *rand.Rand
	faults           map[int]func(from, to int) Impairment
	lastFault        int
}

func loopbackAddr(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(n >> 8), byte(n)})
}

// Bound is where a node binds and dials from, on the run's port.
func BindAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(loopbackAddr(1, node+1), uint16(port))
}

// Advertised is where others reach it: here.
func AdvertisedAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(loopbackAddr(2, node+1), uint16(port))
}

const minPort, maxPort = 22000, 32000 // under those that the kernel gives out

var claimed atomic.Int64

// New opens a relay for so many nodes, at a port that no other run has.
func New(nodes int, seed uint64) (*Relay, error) {
	if nodes < 1 || nodes >= maxNodes {
		return nil, fmt.Errorf("relay: %d nodes are not from 1 to %d", nodes, maxNodes-1)
	}
	var err error
	for range 64 {
		port := minPort + int(rand.Uint64()%uint64(maxPort-minPort)) // other programs' runs draw too
		var r *Relay
		if r, err = openAt(nodes, port, seed); err == nil {
			return r, nil
		}
	}
	return nil, err
}

func openAt(nodes, port int, seed uint64) (*Relay, error) {
	r := &Relay{port: port, impairments: make([]atomic.Pointer[Impairment], nodes*nodes), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 0x7e1a9)), faults: make(map[int]func(int, int) Impairment)}
	unimpaired := &Impairment{}
	for i := range r.impairments {
		r.impairments[i].Store(unimpaired)
	}
	for node := range nodes {
		addr := AdvertisedAddr(node, port)
		endpoint := &endpoint{}
		var err error
		if endpoint.tcp, err = net.Listen("tcp4", addr.String()); err == nil {
			if endpoint.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
				endpoint.tcp.Close()
			}
		}
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		endpoint.udp.SetReadBuffer(1 << 20)
		r.endpoints = append(r.endpoints, endpoint)
	}
	for node := range r.endpoints {
		r.goroutines.Go(func() { r.relayDatagrams(node) })
		r.goroutines.Go(func() { r.acceptStreams(node) })
	}
	return r, nil
}

// Port is the run's.
func (r *Relay) Port() int { return r.port }

// Late is the most that a datagram was passed on later than it was meant to be: the relay's own fault.
func (r *Relay) MaxLateness() time.Duration { return time.Duration(r.maxLateness.Load()) }

// Count gives what a node has sent and been sent so far.
func (r *Relay) Traffic(node int) Traffic {
	endpoint := r.endpoints[node]
	return Traffic{endpoint.sentDatagrams.Load(), endpoint.sentBytes.Load(), endpoint.sentStreams.Load(), endpoint.sentStreamBytes.Load(),
		endpoint.receivedDatagrams.Load(), endpoint.receivedBytes.Load(), endpoint.receivedStreamBytes.Load()}
}

// Begin lets a fault act beside those that act already; the number ends it. A fault gives the way of each pair.
func (r *Relay) AddFault(fault func(from, to int) Impairment) (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault++
	r.faults[r.lastFault] = fault
	r.updateImpairments()
	return r.lastFault
}

// End ends a fault.
func (r *Relay) RemoveFault(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faults, number)
	r.updateImpairments()
}

func (r *Relay) updateImpairments() {
	n := len(r.endpoints)
	for from := range n {
		for to := range n {
			var combined Impairment
			for _, fault := range r.faults { // their order changes nothing
				combined = combined.combine(fault(from, to))
			}
			if *r.impairments[from*n+to].Load() != combined {
				r.impairments[from*n+to].Store(&combined)
			}
		}
	}
}

func (r *Relay) impairment(from, to int) *Impairment {
	return r.impairments[from*len(r.endpoints)+to].Load()
}

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
	for _, p := range r.endpoints {
		p.tcp.Close()
		p.udp.Close()
	}
	r.goroutines.Wait()
}

// sender is the node that an address belongs to.
func (r *Relay) senderOf(addr netip.Addr) (node int, known bool) {
	octets := addr.Unmap().As4()
	node = int(octets[2])<<8 | int(octets[3])
	node--
	return node, octets[0] == 127 && octets[1] == 1 && node >= 0 && node < len(r.endpoints)
}

// chances draws whether each of these shares is met.
func (r *Relay) drawFaults(impairment *Impairment, size int) (lost, duplicated, reordered, corrupted, truncated bool, offset int, delay time.Duration) {
	if *impairment == (Impairment{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	draw := func(share float64) bool { return share > 0 && r.rng.Float64() < share }
	lost, duplicated, reordered, corrupted, truncated = draw(impairment.Loss), draw(impairment.Duplicate), draw(impairment.Reorder), draw(impairment.Corrupt), draw(impairment.Truncate)
	if size > 0 {
		offset = r.rng.IntN(size)
	}
	delay = impairment.Delay
	if impairment.Jitter > 0 {
		delay += time.Duration(r.rng.Int64N(int64(impairment.Jitter)))
	}
	if reordered {
		delay += reorderDelay/4 + time.Duration(r.rng.Int64N(int64(reorderDelay)))
	}
	return
}

// datagrams passes on what is sent to one node.
func (r *Relay) relayDatagrams(to int) {
	receiver := r.endpoints[to]
	buffer := make([]byte, maxDatagram)
	for {
		size, source, err := receiver.udp.ReadFromUDPAddrPort(buffer)
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
		from, known := r.senderOf(source.Addr())
		if !known {
			continue
		}
		r.endpoints[from].sentDatagrams.Add(1)
		r.endpoints[from].sentBytes.Add(int64(size))
		impairment := r.impairment(from, to)
		lost, duplicated, _, corrupted, truncated, offset, delay := r.drawFaults(impairment, size)
		if impairment.Cut || lost {
			continue
		}
		if !corrupted && !truncated && delay == 0 {
			r.forward(from, to, buffer[:size])
			if duplicated {
				r.forward(from, to, buffer[:size])
			}
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		if corrupted && size > 0 {
			datagram[offset] ^= 1 << (offset % 8)
		}
		if truncated {
			datagram = datagram[:offset]
		}
		for range 1 + int(boolToInt(duplicated)) {
			r.forwardLater(from, to, datagram, delay)
		}
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (r *Relay) forward(from, to int, datagram []byte) {
	if _, err := r.endpoints[from].udp.WriteToUDPAddrPort(datagram, BindAddr(to, r.port)); err == nil {
		r.endpoints[to].receivedDatagrams.Add(1)
		r.endpoints[to].receivedBytes.Add(int64(len(datagram)))
	}
}

func (r *Relay) forwardLater(from, to int, datagram []byte, delay time.Duration) {
	if r.pendingDatagrams.Add(1) > maxPendingDatagrams {
		r.pendingDatagrams.Add(-1)
		return
	}
	due := time.Now().Add(delay)
	time.AfterFunc(delay, func() {
		defer r.pendingDatagrams.Add(-1)
		for lateness := int64(time.Since(due)); ; {
			worst := r.maxLateness.Load()
			if lateness <= worst || r.maxLateness.CompareAndSwap(worst, lateness) {
				break
			}
		}
		if !r.impairment(from, to).Cut { // what was on its way when it was cut is lost
			r.forward(from, to, datagram)
		}
	})
}

// accept takes streams to one node.
func (r *Relay) acceptStreams(to int) {
	for {
		c, err := r.endpoints[to].tcp.Accept()
		if err != nil {
			select {
			case <-r.done:
				return
			case <-time.After(pollInterval):
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		source, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		from, known := r.senderOf(source.Addr())
		if !known || r.openStreams.Add(1) > maxStreams {
			if known {
				r.openStreams.Add(-1)
			}
			c.Close()
			continue
		}
		r.endpoints[from].sentStreams.Add(1)
		r.goroutines.Go(func() {
			defer r.openStreams.Add(-1)
			r.relayStream(from, to, c)
		})
	}
}

// stream carries one. Where the way is cut when it comes, it is held until the way is there again: what a SYN that is sent
// again would do. Danger: a node that is not there must refuse, or its absence looks like a cut.
func (r *Relay) relayStream(from, to int, client net.Conn) {
	defer client.Close()
	ended := make(chan struct{})
	defer close(ended)
	early, mayOpen := r.waitUntilOpen(from, to, client)
	if !mayOpen {
		return
	}
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: AdvertisedAddr(from, r.port).Addr().AsSlice()}}
	target, err := dialer.Dial("tcp4", BindAddr(to, r.port).String())
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return
	}
	defer target.Close()
	go func() {
		select {
		case <-r.done:
		case <-ended:
		}
		client.Close()
		target.Close()
	}()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyStream(from, to, &earlyDataConn{client, early}, target, ended) })
	directions.Go(func() { r.copyStream(to, from, target, client, ended) })
	directions.Wait()
}

// mostEarly is kept of what comes on a stream that is held.
const maxEarlyBytes = 1 << 20

// held waits until a stream may open, gives what has come on it by then, and says whether it came to that.
//
// Danger: who sent it has given it up long before a cut ends; a SYN that is not answered ends with its sender. Held streams of seconds were
// passed on at the end of a cut, all that a node knows on each, and looked like a storm of the nodes' own.
func (r *Relay) waitUntilOpen(from, to int, client net.Conn) (early []byte, mayOpen bool) {
	buffer := make([]byte, chunkSize)
	for started := time.Now(); time.Since(started) <= streamTimeout; {
		if forth, back := r.impairment(from, to), r.impairment(to, from); !forth.Cut && !forth.UnansweredStreams && !back.Cut {
			return early, true
		}
		select {
		case <-r.done:
			return nil, false
		default:
		}
		if len(early) >= maxEarlyBytes {
			time.Sleep(pollInterval)
			continue
		}
		client.SetReadDeadline(time.Now().Add(pollInterval))
		n, err := client.Read(buffer)
		early = append(early, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false // it was given up
		}
	}
	return nil, false
}

// after reads what came early first.
type earlyDataConn struct {
	net.Conn
	early []byte
}

func (a *earlyDataConn) Read(b []byte) (int, error) {
	if len(a.early) == 0 {
		return a.Conn.Read(b)
	}
	n := copy(b, a.early)
	a.early = a.early[n:]
	return n, nil
}

// passable waits until the way is open, and says whether it came to that.
func (r *Relay) waitUntilPassable(from, to int, ended chan struct{}) bool {
	for started := time.Now(); ; {
		if !r.impairment(from, to).Cut {
			return true
		}
		if time.Since(started) > streamTimeout {
			return false
		}
		select {
		case <-r.done:
			return false
		case <-ended:
			return false
		case <-time.After(pollInterval):
		}
	}
}

func (r *Relay) copyStream(from, to int, source, target net.Conn, ended chan struct{}) {
	buffer := make([]byte, chunkSize)
	for {
		source.SetReadDeadline(time.Now().Add(streamTimeout))
		n, err := source.Read(buffer)
		if n > 0 {
			if !r.waitUntilPassable(from, to, ended) {
				break
			}
			r.endpoints[from].sentStreamBytes.Add(int64(n))
			_, _, _, corrupted, truncated, offset, delay := r.drawFaults(r.impairment(from, to), n)
			if delay > 0 {
				time.Sleep(delay)
			}
			if corrupted {
				buffer[offset] ^= 1 << (offset % 8)
			}
			if truncated {
				n = offset
			}
			target.SetWriteDeadline(time.Now().Add(streamTimeout))
			r.endpoints[to].receivedStreamBytes.Add(int64(n))
			if _, writeErr := target.Write(buffer[:n]); writeErr != nil || truncated {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				break
			}
			if tcp, ok := target.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return // the other direction may go on
		}
	}
	source.Close()
	target.Close()
}
