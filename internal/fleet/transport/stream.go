package transport

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stream is a TCP connection that carries its data in chunks, each with a checksum. A corrupted chunk ends the stream.
//
// The connection is embedded as net.Conn, not as *net.TCPConn: the latter's ReadFrom would be promoted, and io.Copy would use
// it and bypass Write.
type stream struct {
	net.Conn
	transport *Transport
	closed    atomic.Bool

	readMu         sync.Mutex
	chunksReceived uint32
	unread         []byte // part of chunk
	chunk          []byte // the last one received

	writeMu     sync.Mutex
	chunksSent  uint32
	writeBuffer []byte
}

func (t *Transport) newStream(c *net.TCPConn) *stream {
	c.SetDeadline(time.Now().Add(t.realTime(defaultStreamTimeout))) // the user of the stream may set another deadline
	t.openStreams.Add(1)
	t.updateCounts(func(n *Counts) { n.Streams++ })
	return &stream{Conn: c, transport: t}
}

// Close closes the connection and frees the stream's slot. Further calls have no effect.
func (s *stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.transport.openStreams.Add(-1)
	return s.Conn.Close()
}

// failCorrupted counts the stream as corrupted, closes it and returns err.
func (s *stream) failCorrupted(err error) error {
	s.transport.updateCounts(func(n *Counts) { n.StreamsCorrupted++ })
	s.Close()
	return err
}

// Read returns data from chunks that have arrived whole and passed the checksum.
func (s *stream) Read(b []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	for len(s.unread) == 0 {
		var header [chunkHeaderSize]byte
		if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
			return 0, err
		}
		length, want, err := decodeChunkHeader(header[:])
		if err != nil {
			return 0, s.failCorrupted(err)
		}
		if cap(s.chunk) < length {
			s.chunk = make([]byte, length)
		}
		s.chunk = s.chunk[:length]
		if _, err := io.ReadFull(s.Conn, s.chunk); err != nil {
			return 0, err
		}
		if checksum(s.transport.checksumSeed+uint64(s.chunksReceived), header[:4], s.chunk) != want {
			return 0, s.failCorrupted(errChecksum)
		}
		s.chunksReceived++
		s.transport.updateCounts(func(n *Counts) { n.StreamBytesReceived += int64(chunkHeaderSize + length) })
		s.unread = s.chunk
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *stream) Write(b []byte) (n int, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for len(b) > 0 {
		part := b[:min(len(b), MaxChunk)]
		if cap(s.writeBuffer) < chunkHeaderSize+len(part) {
			s.writeBuffer = make([]byte, chunkHeaderSize+len(part))
		}
		out := s.writeBuffer[:chunkHeaderSize+len(part)]
		copy(out[chunkHeaderSize:], part)
		putChunkHeader(out, s.transport.checksumSeed, s.chunksSent, part)
		if _, err := s.Conn.Write(out); err != nil {
			return n, err
		}
		s.chunksSent++
		s.transport.updateCounts(func(n *Counts) { n.StreamBytesSent += int64(len(out)) })
		n += len(part)
		b = b[len(part):]
	}
	return n, nil
}
