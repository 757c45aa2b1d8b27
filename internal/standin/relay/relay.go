// Package relay is a proxy between the nodes of a fleet on loopback. It can cut, delay, drop, duplicate, reorder and
// corrupt their traffic, separately for each pair of nodes and each direction. The nodes are not aware of it.
//
// A node binds to an address in 127.1.0.0/16 and dials from it. It advertises the corresponding address in 127.2.0.0/16,
// on which the relay listens. The relay therefore knows the sender by its source address, and forwards from the sender's
// own address in 127.2.0.0/16. All addresses of a run share one port.
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
	// maxNodes follows from the two bytes of an address that hold the node number.
	maxNodes = 1 << 16
	// maxPendingDatagrams limits the delayed datagrams; further ones are dropped, as by a full queue.
	maxPendingDatagrams = 1 << 15
	// maxStreams limits the open streams; further ones are closed at once.
	maxStreams = 1 << 12
	// chunkSize is the number of bytes of a stream that are forwarded at once.
	chunkSize = 16 << 10
	// pollInterval is how often a stream that is held up checks whether it may continue.
	pollInterval = 5 * time.Millisecond
	// streamTimeout closes a stream that has been idle or held up for so long.
	streamTimeout = 30 * time.Second
	// reorderDelay sets the extra delay of a reordered datagram: from a quarter of it to five quarters.
	reorderDelay = 20 * time.Millisecond
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 64 << 10
)

// Impairment describes what the relay does to traffic from one node to another. The zero value forwards everything at
// once.
type Impairment struct {
	Cut               bool          // nothing is forwarded; streams stay open
	UnansweredStreams bool          // datagrams are forwarded; streams are accepted but never answered
	Loss              float64       // share of datagrams that are dropped
	Duplicate         float64       // share of datagrams that are forwarded twice
	Reorder           float64       // share of datagrams that are delayed past later ones
	Corrupt           float64       // share of datagrams, and of chunks of streams, in which one bit is flipped
	Truncate          float64       // share of datagrams that are truncated, and of chunks that are truncated and end the stream
	Delay             time.Duration // of every datagram and chunk
	Jitter            time.Duration // upper limit of a further, evenly distributed delay
}

// combine returns the effect of two impairments one after the other.
func (i Impairment) combine(other Impairment) Impairment {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	return Impairment{
		Cut:               i.Cut || other.Cut,
		UnansweredStreams: i.UnansweredStreams || other.UnansweredStreams,
		Loss:              either(i.Loss, other.Loss),
		Duplicate:         either(i.Duplicate, other.Duplicate),
		Reorder:           either(i.Reorder, other.Reorder),
		Corrupt:           either(i.Corrupt, other.Corrupt),
		Truncate:          either(i.Truncate, other.Truncate),
		Delay:             i.Delay + other.Delay,
		Jitter:            i.Jitter + other.Jitter,
	}
}

// Traffic counts what a node has sent, as it arrived at the relay, and what the relay has forwarded to it.
type Traffic struct {
	SentDatagrams, SentBytes, SentStreams, SentStreamBytes int64
	ReceivedDatagrams, ReceivedBytes, ReceivedStreamBytes  int64
}

// TotalBytes returns the bytes sent and received, in datagrams and streams.
func (c Traffic) TotalBytes() int64 {
	return c.SentBytes + c.SentStreamBytes + c.ReceivedBytes + c.ReceivedStreamBytes
}

// endpoint is the relay's side of one node: the sockets on its advertised address and its counters.
type endpoint struct {
	udp                                                    *net.UDPConn
	tcp                                                    net.Listener
	sentDatagrams, sentBytes, sentStreams, sentStreamBytes atomic.Int64
	receivedDatagrams, receivedBytes, receivedStreamBytes  atomic.Int64
}

// Relay forwards the traffic between the nodes of one run.
type Relay struct {
	port             int
	endpoints        []*endpoint
	impairments      []atomic.Pointer[Impairment] // index: sender * number of endpoints + receiver
	openStreams      atomic.Int64
	pendingDatagrams atomic.Int64
	maxLateness      atomic.Int64 // ns; see MaxLateness
	done             chan struct{}
	goroutines       sync.WaitGroup
	mu               sync.Mutex
	rng              *rand.Rand
	faults           map[int]func(from, to int) Impairment
	lastFault        int
}

// loopbackAddr returns the address 127.network.x.y, where x and y hold n.
func loopbackAddr(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(n >> 8), byte(n)})
}

// BindAddr returns the address that a node binds to and dials from, with the run's port.
func BindAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(loopbackAddr(1, node+1), uint16(port))
}

// AdvertisedAddr returns the address at which other nodes reach a node. The relay listens on it.
func AdvertisedAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(loopbackAddr(2, node+1), uint16(port))
}

// minPort and maxPort limit the ports of runs. They are below the ephemeral ports of the kernel.
const minPort, maxPort = 22000, 32000

var claimed atomic.Int64

// New opens a relay for the given number of nodes, on a port that no other run uses.
func New(nodes int, seed uint64) (*Relay, error) {
	if nodes < 1 || nodes >= maxNodes {
		return nil, fmt.Errorf("relay: %d nodes are not from 1 to %d", nodes, maxNodes-1)
	}
	var err error
	for range 64 {
		port := minPort + int(rand.Uint64()%uint64(maxPort-minPort)) // random, as other processes choose ports too
		var r *Relay
		if r, err = openAt(nodes, port, seed); err == nil {
			return r, nil
		}
	}
	return nil, err
}

// openAt opens a relay on a given port.
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

// Port returns the port of the run.
func (r *Relay) Port() int { return r.port }

// MaxLateness returns the longest time by which the relay itself forwarded a datagram later than intended.
func (r *Relay) MaxLateness() time.Duration { return time.Duration(r.maxLateness.Load()) }

// Traffic returns the traffic of a node so far.
func (r *Relay) Traffic(node int) Traffic {
	endpoint := r.endpoints[node]
	return Traffic{endpoint.sentDatagrams.Load(), endpoint.sentBytes.Load(), endpoint.sentStreams.Load(), endpoint.sentStreamBytes.Load(),
		endpoint.receivedDatagrams.Load(), endpoint.receivedBytes.Load(), endpoint.receivedStreamBytes.Load()}
}

// AddFault activates a fault in addition to those already active and returns the number for RemoveFault. The fault
// returns the impairment of each pair of nodes.
func (r *Relay) AddFault(fault func(from, to int) Impairment) (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault++
	r.faults[r.lastFault] = fault
	r.updateImpairments()
	return r.lastFault
}

// RemoveFault ends a fault.
func (r *Relay) RemoveFault(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faults, number)
	r.updateImpairments()
}

// updateImpairments recomputes the impairment of each pair from the active faults. The caller holds the lock.
func (r *Relay) updateImpairments() {
	n := len(r.endpoints)
	for from := range n {
		for to := range n {
			var combined Impairment
			for _, fault := range r.faults { // the order does not matter
				combined = combined.combine(fault(from, to))
			}
			if *r.impairments[from*n+to].Load() != combined {
				r.impairments[from*n+to].Store(&combined)
			}
		}
	}
}

// impairment returns the present impairment from one node to another.
func (r *Relay) impairment(from, to int) *Impairment {
	return r.impairments[from*len(r.endpoints)+to].Load()
}

// Close closes the relay and waits until its goroutines have ended.
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

// senderOf returns the node that a source address belongs to.
func (r *Relay) senderOf(addr netip.Addr) (node int, known bool) {
	octets := addr.Unmap().As4()
	node = int(octets[2])<<8 | int(octets[3])
	node--
	return node, octets[0] == 127 && octets[1] == 1 && node >= 0 && node < len(r.endpoints)
}

// drawFaults decides at random what happens to one datagram or chunk of the given size.
func (r *Relay) drawFaults(impairment *Impairment, size int) (lost, duplicated, reordered, corrupted, truncated bool, offset int, delay time.Duration) {
	if *impairment == (Impairment{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	draw := func(share float64) bool { return share > 0 && r.rng.Float64() < share }
	lost = draw(impairment.Loss)
	duplicated = draw(impairment.Duplicate)
	reordered = draw(impairment.Reorder)
	corrupted = draw(impairment.Corrupt)
	truncated = draw(impairment.Truncate)
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

// relayDatagrams forwards the datagrams sent to one node.
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
			continue // an ICMP error: an earlier datagram went to a node that is not running
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

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// forward sends a datagram to its receiver and counts it.
func (r *Relay) forward(from, to int, datagram []byte) {
	if _, err := r.endpoints[from].udp.WriteToUDPAddrPort(datagram, BindAddr(to, r.port)); err == nil {
		r.endpoints[to].receivedDatagrams.Add(1)
		r.endpoints[to].receivedBytes.Add(int64(len(datagram)))
	}
}

// forwardLater forwards a datagram after a delay and records by how much the timer was late.
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
		if !r.impairment(from, to).Cut { // a cut also drops datagrams under way
			r.forward(from, to, datagram)
		}
	})
}

// acceptStreams accepts the streams to one node.
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

// relayStream relays one stream. A stream that arrives during a cut is held until the cut ends, as a retransmitted SYN
// would get through then. If the target node is not running, the stream is reset: otherwise its absence would look like a
// cut.
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

// maxEarlyBytes limits the bytes buffered from a stream that is held.
const maxEarlyBytes = 1 << 20

// waitUntilOpen waits until a stream may open. It returns the bytes received until then, and whether the stream may open.
//
// A stream that its sender has closed meanwhile is dropped, as an unanswered SYN ends with its sender. Otherwise all
// streams of the last seconds, each with a node's whole state, would go through at the end of a cut and look like a burst
// of traffic by the nodes themselves.
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
			return nil, false // the sender has closed the stream
		}
	}
	return nil, false
}

// earlyDataConn is a connection whose first bytes have already been read.
type earlyDataConn struct {
	net.Conn
	early []byte
}

// Read returns the early data first.
func (a *earlyDataConn) Read(b []byte) (int, error) {
	if len(a.early) == 0 {
		return a.Conn.Read(b)
	}
	n := copy(b, a.early)
	a.early = a.early[n:]
	return n, nil
}

// waitUntilPassable waits until there is no cut between two nodes and reports whether the stream may go on.
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

// copyStream copies one direction of a stream and applies its impairment.
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
