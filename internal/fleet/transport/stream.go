package transport

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stream is a connection whose bytes go in pieces, each with its sum. One spoilt byte ends it.
//
// Danger: the connection is held as net.Conn, since copying to one of TCP's own type would go past Write.
type stream struct {
	net.Conn
	of     *Transport
	closed atomic.Bool

	reading  sync.Mutex
	got      uint32
	rest     []byte // of the piece that is being read
	piece    []byte
	writing  sync.Mutex
	sent     uint32
	outgoing []byte
}

func (w *Transport) stream(c *net.TCPConn) *stream {
	c.SetDeadline(time.Now().Add(w.real(streamWait))) // whoever uses it may set another
	w.open.Add(1)
	w.count(func(n *Counts) { n.Streams++ })
	return &stream{Conn: c, of: w}
}

// Close gives the stream's room back, once.
func (s *stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.of.open.Add(-1)
	return s.Conn.Close()
}

// harm counts a stream that was spoilt, and ends it.
func (s *stream) harm(err error) error {
	s.of.count(func(n *Counts) { n.StreamsCorrupted++ })
	s.Close()
	return err
}

// Read gives bytes of whole pieces alone.
func (s *stream) Read(b []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	for len(s.rest) == 0 {
		var head [pieceHeadLen]byte
		if _, err := io.ReadFull(s.Conn, head[:]); err != nil {
			return 0, err
		}
		length, want, err := readPieceHead(head[:])
		if err != nil {
			return 0, s.harm(err)
		}
		if cap(s.piece) < length {
			s.piece = make([]byte, length)
		}
		s.piece = s.piece[:length]
		if _, err := io.ReadFull(s.Conn, s.piece); err != nil {
			return 0, err
		}
		if sum(s.of.seal+uint64(s.got), head[:4], s.piece) != want {
			return 0, s.harm(errSum)
		}
		s.got++
		s.of.count(func(n *Counts) { n.StreamBytesReceived += int64(pieceHeadLen + length) })
		s.rest = s.piece
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *stream) Write(b []byte) (n int, err error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	for len(b) > 0 {
		part := b[:min(len(b), MaxChunk)]
		if cap(s.outgoing) < pieceHeadLen+len(part) {
			s.outgoing = make([]byte, pieceHeadLen+len(part))
		}
		out := s.outgoing[:pieceHeadLen+len(part)]
		copy(out[pieceHeadLen:], part)
		pieceHead(out, s.of.seal, s.sent, part)
		if _, err := s.Conn.Write(out); err != nil {
			return n, err
		}
		s.sent++
		s.of.count(func(n *Counts) { n.StreamBytesSent += int64(len(out)) })
		n += len(part)
		b = b[len(part):]
	}
	return n, nil
}
