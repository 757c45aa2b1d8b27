package node

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// MaxBodyBytes is the maximum length of a body, of a request or of an answer.
const MaxBodyBytes = 64 << 10

const (
	// pageBytes is the unit in which the runtime allocates large buffers.
	pageBytes = 8 << 10
	// maxPooledBytes is the largest buffer that is used again. An op with a small body must not hold a large buffer.
	maxPooledBytes = 5 << 10
	// SmallPayloadBytes is the size up to which payloads are small.
	SmallPayloadBytes = 4 << 10
)

// PayloadBytes returns the memory that a payload of an expected size takes, in bytes.
func PayloadBytes(size int64) int64 {
	return (size + bytes.MinRead + pageBytes - 1) / pageBytes * pageBytes
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Payload is a body in a pooled buffer with a reference count. The last Release returns the buffer to the pool.
//
// http.Transport may still read a request's body after RoundTrip has returned; a buffer that was back in the pool by then
// would send the bytes of another op. So each Reader holds a reference until it is closed.
type Payload struct {
	buffer     *bytes.Buffer // nil once it is back in the pool
	references atomic.Int32
	onRelease  func() // called by the last Release; nil: nothing is called
}

// ReadPayload reads r to its end and returns a payload with one reference, the caller's. The size is the expected length, or
// negative if it is not known. A body longer than MaxBodyBytes fails with ErrBodyTooLong.
func ReadPayload(r io.Reader, size int64) (*Payload, error) {
	p := &Payload{buffer: bufferPool.Get().(*bytes.Buffer)}
	p.references.Store(1)
	p.buffer.Reset()
	if size > 0 && size <= MaxBodyBytes {
		p.buffer.Grow(int(size) + bytes.MinRead) // one allocation instead of repeated doubling
	}
	n, err := p.buffer.ReadFrom(io.LimitReader(r, MaxBodyBytes+1))
	if err == nil && n > MaxBodyBytes {
		err = ErrBodyTooLong
	}
	if err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

// ReadUnsized reads r, whose length is not known, to its end. It asks reserve for memory before it reads more than
// SmallPayloadBytes, and fails if reserve does.
func ReadUnsized(r io.Reader, reserve func(bytes int64) error) (*Payload, error) {
	p, err := ReadPayload(io.LimitReader(r, SmallPayloadBytes), SmallPayloadBytes)
	if err != nil || len(p.Bytes()) < SmallPayloadBytes {
		return p, err
	}
	if err = reserve(PayloadBytes(MaxBodyBytes)); err == nil {
		p.buffer.Grow(MaxBodyBytes - SmallPayloadBytes + bytes.MinRead)
		_, err = p.buffer.ReadFrom(io.LimitReader(r, MaxBodyBytes-SmallPayloadBytes+1))
	}
	if err == nil && p.buffer.Len() > MaxBodyBytes {
		err = ErrBodyTooLong
	}
	if err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

// Bytes returns the content. It is valid while the caller holds a reference.
func (p *Payload) Bytes() []byte { return p.buffer.Bytes() }

// Release gives up one reference. It does nothing on a nil payload.
func (p *Payload) Release() {
	if p != nil && p.references.Add(-1) == 0 {
		if p.buffer.Cap() <= maxPooledBytes {
			bufferPool.Put(p.buffer)
		}
		p.buffer = nil
		if p.onRelease != nil {
			p.onRelease()
		}
	}
}

// OnRelease sets a function that is called once, when the last reference has been given up. It must be set before the payload is
// shared.
func (p *Payload) OnRelease(onRelease func()) { p.onRelease = onRelease }

// NewReader returns a reader of the content, which holds a reference until it is closed.
func (p *Payload) NewReader() *Reader {
	p.references.Add(1)
	r := &Reader{payload: p}
	r.remaining.Store(int64(len(p.Bytes())))
	return r
}

// Reader reads the content of a payload once.
type Reader struct {
	payload   *Payload
	remaining atomic.Int64
	closeOnce sync.Once
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	remaining := r.remaining.Load()
	if remaining == 0 {
		return 0, io.EOF
	}
	content := r.payload.Bytes()
	n := copy(b, content[len(content)-int(remaining):])
	r.remaining.Add(-int64(n))
	return n, nil
}

// NewReader returns another reader of the same payload, from its start. The receiver must not be closed yet.
func (r *Reader) NewReader() *Reader { return r.payload.NewReader() }

// Remaining returns the number of unread bytes.
func (r *Reader) Remaining() int { return int(r.remaining.Load()) }

// Close releases the reader's reference. It may be called more than once.
func (r *Reader) Close() error {
	r.closeOnce.Do(r.payload.Release)
	return nil
}
