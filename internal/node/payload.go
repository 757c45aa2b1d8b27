package node

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// MostBody is the most bytes that a body may have, of an op or of an answer.
const MaxBodyBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Payload is a body as it came, in a pooled buffer. It is shared by those who hold it, and the last to let go
// gives the buffer back.
//
// Danger: http.Transport may still read a request's body after RoundTrip has returned; a buffer given back by
// then would send another op's bytes. So each reader holds the payload until it is closed.
type Payload struct {
	buffer  *bytes.Buffer
	holders atomic.Int32
}

// ReadPayload reads r to its end, of which size is known or negative; the caller holds the payload. Over MostBody
// it fails with ErrTooLong.
func ReadPayload(r io.Reader, size int64) (*Payload, error) {
	p := &Payload{buffer: buffers.Get().(*bytes.Buffer)}
	p.holders.Store(1)
	p.buffer.Reset()
	if size > 0 && size <= MaxBodyBytes {
		p.buffer.Grow(int(size) + bytes.MinRead) // once, rather than doubling past what is needed
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

// Bytes are valid while the payload is held.
func (p *Payload) Bytes() []byte { return p.buffer.Bytes() }

// Release lets go of the payload. A nil one has nothing to let go of.
func (p *Payload) Release() {
	if p != nil && p.holders.Add(-1) == 0 {
		buffers.Put(p.buffer)
		p.buffer = nil
	}
}

// Reader reads the payload and holds it until closed.
func (p *Payload) NewReader() *Reader {
	p.holders.Add(1)
	r := &Reader{payload: p}
	r.left.Store(int64(len(p.Bytes())))
	return r
}

// Reader is one reading of a payload.
type Reader struct {
	payload *Payload
	left    atomic.Int64
	once    sync.Once
}

func (r *Reader) Read(b []byte) (int, error) {
	left := r.left.Load()
	if left == 0 {
		return 0, io.EOF
	}
	all := r.payload.Bytes()
	n := copy(b, all[len(all)-int(left):])
	r.left.Add(-int64(n))
	return n, nil
}

// Again is another reading of the same payload, from its start. The reader must not be closed yet.
func (r *Reader) NewReader() *Reader { return r.payload.NewReader() }

// Left is how many bytes nobody has read yet.
func (r *Reader) Remaining() int { return int(r.left.Load()) }

func (r *Reader) Close() error {
	r.once.Do(r.payload.Release)
	return nil
}
