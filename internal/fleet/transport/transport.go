package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxSenders is the number of senders whose state is kept; beyond that the one without frames for longest is dropped.
	maxSenders = 4096
	// maxStreams is the number of open streams from which on incoming ones are refused.
	maxStreams = 64
	// defaultStreamTimeout ends a stream unless its user sets another deadline.
	defaultStreamTimeout = 10 * time.Second
	readBufferBytes      = 1 << 20
	burstDuration        = time.Second / 4 // the rate limiter's burst, as time at the full rate
)

// Options describe the node's end of the transport.
type Options struct {
	Fleet             string         // name that all nodes of a fleet share
	Listen, Advertise netip.AddrPort // where the node listens, and where other nodes reach it
	Incarnation       IncarnationID
	MaxBytesPerSecond int // of datagrams sent; those beyond are dropped
	SlowdownFactor    int // stretches all times here, for tests in which many nodes share few cores; 0: none
}

// Counts counts frames and streams by what has become of them.
type Counts struct {
	Sent             int64 `json:"sent"`
	SentBytes        int64 `json:"sent_bytes"`
	Received         int64 `json:"got"`
	ReceivedBytes    int64 `json:"got_bytes"`
	RateLimited      int64 `json:"dropped_for_pace"`  // not sent
	SendFailed       int64 `json:"failed_to_send"`    // the kernel returned an error
	Malformed        int64 `json:"not_understood"`    // wrong version, length or checksum; includes frames of other fleets
	Duplicates       int64 `json:"doubled"`           // had arrived before
	UnknownKind      int64 `json:"of_unknown_kind"`   // of newer versions, or without a handler
	DroppedUnread    int64 `json:"dropped_unread"`    // arrived faster than they were handled
	Streams          int64 `json:"streams"`           // accepted and dialled
	StreamsRefused   int64 `json:"streams_refused"`   // over maxStreams
	StreamsCorrupted int64 `json:"streams_with_harm"` // ended by a malformed chunk
	HandlerPanics    int64 `json:"handlers_panicked"` // on a frame

	SentBytesByKind     BytesByKind `json:"sent_kinds"`
	ReceivedBytesByKind BytesByKind `json:"got_kinds"`
	StreamBytesSent     int64       `json:"stream_bytes_sent"` // with chunk headers
	StreamBytesReceived int64       `json:"stream_bytes_got"`  // with chunk headers
}

// BytesByKind holds the bytes of datagrams of each kind, with headers.
type BytesByKind struct {
	Membership    int64 `json:"membership"`
	PeerMessages  int64 `json:"words"`
	ServerReports int64 `json:"judgements"`
}

func (k *BytesByKind) add(kind Kind, bytes int) {
	switch kind {
	case Membership:
		k.Membership += int64(bytes)
	case PeerMessages:
		k.PeerMessages += int64(bytes)
	case ServerReports:
		k.ServerReports += int64(bytes)
	}
}

// Handler handles a frame. It must not block. late is how much longer the frame took than the sender's fastest one of late.
type Handler func(from netip.AddrPort, frame *Frame, late time.Duration)

// Transport is a node's port for traffic with other nodes. A single goroutine receives frames and calls the handlers; any
// goroutine may send.
type Transport struct {
	options      Options
	checksumSeed uint64
	log          zerolog.Logger
	udp          *net.UDPConn
	tcp          *net.TCPListener
	startedAt    time.Time
	handlers     [256]Handler // by kind
	streams      chan net.Conn
	openStreams  atomic.Int32
	done         chan struct{}
	running      sync.WaitGroup
	lastSequence atomic.Uint32

	mu         sync.Mutex    // guards the fields below
	tokens     float64       // bytes that the rate limit allows to send now
	refilledAt time.Duration // when tokens were last added
	sendBuffer []byte
	senders    map[IncarnationID]*senderState
	counts     Counts
}

// Open opens the node's UDP and TCP port. The caller then registers handlers with Handle and calls Run.
func Open(o Options, log zerolog.Logger) (*Transport, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		tcp.Close()
		return nil, err
	}
	udp.SetReadBuffer(readBufferBytes) // best effort: the kernel may set a smaller one
	o.SlowdownFactor = max(1, o.SlowdownFactor)
	return &Transport{
		options:      o,
		checksumSeed: checksumSeed(o.Fleet),
		log:          log,
		udp:          udp,
		tcp:          tcp,
		startedAt:    time.Now(),
		streams:      make(chan net.Conn),
		done:         make(chan struct{}),
		senders:      make(map[IncarnationID]*senderState),
		tokens:       float64(o.MaxBytesPerSecond) * burstDuration.Seconds(),
	}, nil
}

// Handle registers the handler for frames of a kind. It must not be called after Run.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// Run starts to receive frames and accept streams, until Close.
func (t *Transport) Run() {
	t.running.Go(t.receiveLoop)
	t.running.Go(t.acceptLoop)
}

// Close closes the port and waits until receiving has ended. Further calls have no effect.
func (t *Transport) Close() {
	select {
	case <-t.done:
		return
	default:
	}
	close(t.done)
	t.udp.Close()
	t.tcp.Close()
	t.running.Wait()
}

// Counts returns the present counts.
func (t *Transport) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Incarnation returns the ID of this process.
func (t *Transport) Incarnation() IncarnationID { return t.options.Incarnation }

// now returns the time since the transport was opened, by the slowed clock.
func (t *Transport) now() time.Duration {
	return time.Since(t.startedAt) / time.Duration(t.options.SlowdownFactor)
}

// realTime converts a duration of the slowed clock to real time.
func (t *Transport) realTime(d time.Duration) time.Duration {
	return d * time.Duration(t.options.SlowdownFactor)
}

// Send sends a datagram unless the rate limit forbids it, and reports whether it was sent. It does not block. Membership
// traffic has priority: other kinds leave an eighth of the burst unused.
func (t *Transport) Send(to netip.AddrPort, kind Kind, payload []byte) bool {
	now := t.now()
	frame := Frame{Kind: kind, Incarnation: t.options.Incarnation, Sequence: t.lastSequence.Add(1), SentMs: uint32(now.Milliseconds()), Payload: payload}
	t.mu.Lock()
	defer t.mu.Unlock()
	maxTokens := float64(t.options.MaxBytesPerSecond) * burstDuration.Seconds()
	t.tokens = min(maxTokens, t.tokens+float64(t.options.MaxBytesPerSecond)*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	size := float64(headerSize + len(payload))
	reserve := 0.0
	if kind != Membership {
		reserve = maxTokens / 8
	}
	if t.tokens-size < reserve {
		t.counts.RateLimited++
		return false
	}
	var err error
	if t.sendBuffer, err = frame.appendTo(t.sendBuffer[:0], t.checksumSeed); err == nil {
		_, err = t.udp.WriteToUDPAddrPort(t.sendBuffer, to)
	}
	if err != nil {
		t.counts.SendFailed++
		return false
	}
	t.tokens -= size
	t.counts.Sent++
	t.counts.SentBytes += int64(len(t.sendBuffer))
	t.counts.SentBytesByKind.add(kind, len(t.sendBuffer))
	return true
}

func (t *Transport) receiveLoop() {
	buffer := make([]byte, headerSize+MaxPayload+1) // the extra byte shows that a datagram was longer than allowed
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-t.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error of a host where no process listens on the port
		}
		t.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// receive handles one datagram. It recovers from panics, so that no datagram from outside can end the process.
func (t *Transport) receive(from netip.AddrPort, b []byte) {
	defer func() {
		if r := recover(); r != nil {
			t.mu.Lock()
			t.counts.HandlerPanics++
			t.mu.Unlock()
			t.log.Error().Str("from", from.String()).Str("panic", fmt.Sprint(r)).Msg("a frame was passed over")
		}
	}()
	frame, err := decodeFrame(b, t.checksumSeed)
	t.mu.Lock()
	t.counts.Received++
	t.counts.ReceivedBytes += int64(len(b))
	t.counts.ReceivedBytesByKind.add(frame.Kind, len(b))
	var late time.Duration
	accepted := false
	switch {
	case err != nil:
		t.counts.Malformed++
	case frame.Incarnation == t.options.Incarnation: // sent by this process itself
	default:
		now := t.now()
		sender := t.sender(frame.Incarnation)
		if accepted = sender.isFirstArrival(frame.Sequence); accepted {
			late = sender.lateness(now, frame.SentMs)
		} else {
			t.counts.Duplicates++
		}
	}
	handler := t.handlers[frame.Kind]
	if accepted && handler == nil {
		t.counts.UnknownKind++
	}
	t.mu.Unlock()
	if accepted && handler != nil {
		handler(from, &frame, late)
	}
}

// sender returns the state of a sender. The caller holds the lock.
func (t *Transport) sender(incarnation IncarnationID) *senderState {
	state := t.senders[incarnation]
	if state != nil {
		return state
	}
	if len(t.senders) >= maxSenders {
		var oldest IncarnationID
		for id, candidate := range t.senders {
			if known := t.senders[oldest]; known == nil || candidate.lastFrameAt < known.lastFrameAt {
				oldest = id
			}
		}
		delete(t.senders, oldest)
	}
	state = &senderState{}
	t.senders[incarnation] = state
	return state
}

// CountDroppedUnread counts a frame that a handler dropped because its queue was full.
func (t *Transport) CountDroppedUnread() {
	t.mu.Lock()
	t.counts.DroppedUnread++
	t.mu.Unlock()
}

// acceptLoop accepts streams, and refuses them while maxStreams are open.
func (t *Transport) acceptLoop() {
	for {
		c, err := t.tcp.AcceptTCP()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(10 * time.Millisecond):
				// Without the delay, the loop would spin while the process has no free file descriptor.
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if t.openStreams.Load() >= maxStreams {
			c.Close()
			t.updateCounts(func(n *Counts) { n.StreamsRefused++ })
			continue
		}
		s := t.newStream(c)
		select {
		case t.streams <- s:
		case <-time.After(t.realTime(time.Second)): // nothing receives from Streams
			s.Close()
		case <-t.done:
			s.Close()
			return
		}
	}
}

func (t *Transport) updateCounts(update func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.counts)
}

// Dial opens a stream to a node, from the address that this node listens on.
func (t *Transport) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if ip := t.options.Listen.Addr(); !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.newStream(c.(*net.TCPConn)), nil
}

// Streams returns the channel of streams that other nodes open. The receiver of a stream closes it.
func (t *Transport) Streams() <-chan net.Conn { return t.streams }
