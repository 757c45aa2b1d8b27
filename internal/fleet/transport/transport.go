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
	// mostSenders are remembered at a time; past that the one silent for longest is forgotten.
	mostSenders = 4096
	// mostStreams are taken at a time; further ones are closed.
	mostStreams = 64
	// streamWait ends a stream that nobody has set an end for.
	streamWait = 10 * time.Second
	readBuffer = 1 << 20
	burst      = time.Second / 4 // of the pace, which may go out at once
)

// Options say where a node's ways end.
type Options struct {
	Fleet             string // nodes of one fleet have one name
	Listen, Advertise netip.AddrPort
	Incarnation       IncarnationID
	MaxBytesPerSecond int // bytes a second of datagrams that it sends; past that they are dropped
	SlowdownFactor    int // by this factor all times here are longer; 0: none. A laboratory's, where many nodes share few cores
}

// Counts are what has become of frames so far.
type Counts struct {
	Sent             int64 `json:"sent"`
	SentBytes        int64 `json:"sent_bytes"`
	Received         int64 `json:"got"`
	ReceivedBytes    int64 `json:"got_bytes"`
	RateLimited      int64 `json:"dropped_for_pace"`  // not sent
	SendFailed       int64 `json:"failed_to_send"`    // the kernel refused
	Malformed        int64 `json:"not_understood"`    // by version, length or sum; another fleet's too
	Duplicates       int64 `json:"doubled"`           // had come before
	UnknownKind      int64 `json:"of_unknown_kind"`   // a newer version's
	DroppedUnread    int64 `json:"dropped_unread"`    // came faster than they were worked
	Streams          int64 `json:"streams"`           // taken and opened
	StreamsRefused   int64 `json:"streams_refused"`   // beyond those that may be open
	StreamsCorrupted int64 `json:"streams_with_harm"` // spoilt on their way
	HandlerPanics    int64 `json:"handlers_panicked"` // over what came

	SentBytesByKind     BytesByKind `json:"sent_kinds"`
	ReceivedBytesByKind BytesByKind `json:"got_kinds"`
	StreamBytesSent     int64       `json:"stream_bytes_sent"` // heads of pieces among them
	StreamBytesReceived int64       `json:"stream_bytes_got"`
}

// Kinds are the bytes of datagrams of each kind, heads among them.
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

// Handler takes one frame. It must not wait. late is how much longer the frame took than the sender's quickest lately.
type Handler func(from netip.AddrPort, f *Frame, late time.Duration)

// Transport is a node's one port for nodes. Only its own goroutine reads; any may send.
type Transport struct {
	options  Options
	seal     uint64
	log      zerolog.Logger
	udp      *net.UDPConn
	tcp      *net.TCPListener
	began    time.Time
	handlers [256]Handler
	streams  chan net.Conn
	open     atomic.Int32
	done     chan struct{}
	over     sync.WaitGroup
	number   atomic.Uint32

	mu      sync.Mutex // guards what follows
	bucket  float64    // bytes that may go out now
	filled  time.Duration
	buffer  []byte
	senders map[IncarnationID]*sender
	counts  Counts
}

// Open takes the port, UDP and TCP. Handle comes next, then Run.
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
	udp.SetReadBuffer(readBuffer) // best effort: the kernel may give less
	o.SlowdownFactor = max(1, o.SlowdownFactor)
	return &Transport{options: o, seal: seal(o.Fleet), log: log, udp: udp, tcp: tcp, began: time.Now(), streams: make(chan net.Conn),
		done: make(chan struct{}), senders: make(map[IncarnationID]*sender), bucket: float64(o.MaxBytesPerSecond) * burst.Seconds()}, nil
}

// Handle says who takes frames of a kind.
func (w *Transport) Handle(kind Kind, take Handler) { w.handlers[kind] = take }

// Run takes what comes until Close.
func (w *Transport) Run() {
	w.over.Go(w.read)
	w.over.Go(w.accept)
}

// Close gives the port back and ends what runs.
func (w *Transport) Close() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	w.udp.Close()
	w.tcp.Close()
	w.over.Wait()
}

// Counts gives what has become of frames so far.
func (w *Transport) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Life is this process's.
func (w *Transport) Incarnation() IncarnationID { return w.options.Incarnation }

// now is this process's own clock, from the transport's start.
func (w *Transport) now() time.Duration {
	return time.Since(w.began) / time.Duration(w.options.SlowdownFactor)
}

// real is how long a span takes in real time.
func (w *Transport) real(span time.Duration) time.Duration {
	return span * time.Duration(w.options.SlowdownFactor)
}

// Send sends a datagram, if the pace allows. It does not wait for anybody. Membership goes before everything else: it may
// use the pace to its end, the others leave an eighth of it.
func (w *Transport) Send(to netip.AddrPort, kind Kind, payload []byte) bool {
	now := w.now()
	f := Frame{Kind: kind, Incarnation: w.options.Incarnation, Sequence: w.number.Add(1), SentMs: uint32(now.Milliseconds()), Payload: payload}
	w.mu.Lock()
	defer w.mu.Unlock()
	most := float64(w.options.MaxBytesPerSecond) * burst.Seconds()
	w.bucket = min(most, w.bucket+float64(w.options.MaxBytesPerSecond)*(now-w.filled).Seconds())
	w.filled = now
	size, least := float64(headLen+len(payload)), 0.0
	if kind != Membership {
		least = most / 8
	}
	if w.bucket-size < least {
		w.counts.RateLimited++
		return false
	}
	var err error
	if w.buffer, err = f.append(w.buffer[:0], w.seal); err == nil {
		_, err = w.udp.WriteToUDPAddrPort(w.buffer, to)
	}
	if err != nil {
		w.counts.SendFailed++
		return false
	}
	w.bucket -= size
	w.counts.Sent++
	w.counts.SentBytes += int64(len(w.buffer))
	w.counts.SentBytesByKind.add(kind, len(w.buffer))
	return true
}

func (w *Transport) read() {
	buffer := make([]byte, headLen+MaxPayload+1) // one more shows that there was more
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-w.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the answer of a host where nobody listens
		}
		w.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// take works one datagram. Danger: what comes from outside must not end the node, whatever it holds.
func (w *Transport) take(from netip.AddrPort, b []byte) {
	defer func() {
		if r := recover(); r != nil {
			w.mu.Lock()
			w.counts.HandlerPanics++
			w.mu.Unlock()
			w.log.Error().Str("from", from.String()).Str("panic", fmt.Sprint(r)).Msg("a frame was passed over")
		}
	}()
	f, err := read(b, w.seal)
	w.mu.Lock()
	w.counts.Received++
	w.counts.ReceivedBytes += int64(len(b))
	w.counts.ReceivedBytesByKind.add(f.Kind, len(b))
	var late time.Duration
	known := false
	switch {
	case err != nil:
		w.counts.Malformed++
	case f.Incarnation == w.options.Incarnation: // its own, come back
	default:
		now := w.now()
		s := w.sender(f.Incarnation)
		if known = s.first(f.Sequence); known {
			late = s.late(now, f.SentMs)
		} else {
			w.counts.Duplicates++
		}
	}
	handler := w.handlers[f.Kind]
	if known && handler == nil {
		w.counts.UnknownKind++
	}
	w.mu.Unlock()
	if known && handler != nil {
		handler(from, &f, late)
	}
}

// sender finds what is known of one. The lock is held.
func (w *Transport) sender(life IncarnationID) *sender {
	s := w.senders[life]
	if s != nil {
		return s
	}
	if len(w.senders) >= mostSenders {
		var oldest IncarnationID
		for id, s := range w.senders {
			if o := w.senders[oldest]; o == nil || s.used < o.used {
				oldest = id
			}
		}
		delete(w.senders, oldest)
	}
	s = &sender{}
	w.senders[life] = s
	return s
}

// Overrun counts a frame that nobody had room for.
func (w *Transport) CountDroppedUnread() {
	w.mu.Lock()
	w.counts.DroppedUnread++
	w.mu.Unlock()
}

// accept takes streams, no more at a time than may be open.
func (w *Transport) accept() {
	for {
		c, err := w.tcp.AcceptTCP()
		if err != nil {
			select {
			case <-w.done:
				return
			case <-time.After(10 * time.Millisecond): // Danger: a full table of descriptors would make it spin
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if w.open.Load() >= mostStreams {
			c.Close()
			w.count(func(n *Counts) { n.StreamsRefused++ })
			continue
		}
		s := w.stream(c)
		select {
		case w.streams <- s:
		case <-time.After(w.real(time.Second)): // nobody takes streams
			s.Close()
		case <-w.done:
			s.Close()
			return
		}
	}
}

func (w *Transport) count(do func(*Counts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(&w.counts)
}

// Dial opens a stream to a node, from the node's own address.
func (w *Transport) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if ip := w.options.Listen.Addr(); !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.stream(c.(*net.TCPConn)), nil
}

// Streams are those that others open. Whoever takes one closes it.
func (w *Transport) Streams() <-chan net.Conn { return w.streams }
