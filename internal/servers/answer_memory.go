package servers

import (
	"context"
	"net/http"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
)

// Each op has memory of its own for a small answer. What a larger one takes comes from a pool.
const (
	smallHeadBytes   = 2 << 10
	smallAnswerBytes = node.SmallPayloadBytes
	// bytesPerHeadByte is the memory for a byte of a long head while it is being read.
	bytesPerHeadByte = 3
	// bytesPerField is the memory for a field beside its text.
	bytesPerField = 160
)

// answerReservation is the memory of an answer, from its head until the answer has been written to the client.
type answerReservation struct {
	pool  *memory.Pool // nil: answers are not counted
	bytes int64
}

// reserve reserves more memory, and waits for it until ctx is done.
func (r *answerReservation) reserve(ctx context.Context, bytes int64) error {
	if r.pool == nil || bytes <= 0 {
		return nil
	}
	if err := r.pool.Reserve(ctx, bytes); err != nil {
		return err
	}
	r.bytes += bytes
	return nil
}

// release gives back what was reserved.
func (r *answerReservation) release() {
	if r.bytes > 0 {
		r.pool.Release(r.bytes)
	}
}

// read reads the body of an answer. The memory of the answer is given back with the body, or with an error.
func (r *answerReservation) read(ctx context.Context, response *http.Response) (*node.Payload, error) {
	needed := headerMemory(response.Header)
	if response.ContentLength > smallAnswerBytes {
		needed += node.PayloadBytes(response.ContentLength)
	}
	if err := r.reserve(ctx, needed); err != nil {
		return nil, err
	}
	var body *node.Payload
	var err error
	if response.ContentLength >= 0 {
		body, err = node.ReadPayload(response.Body, response.ContentLength)
	} else {
		body, err = node.ReadUnsized(response.Body, func(bytes int64) error { return r.reserve(ctx, bytes) })
	}
	if err != nil {
		r.release()
		return nil, err
	}
	body.OnRelease(r.release)
	return body, nil
}

// headerMemory returns the memory that the header of an answer takes from the pool.
func headerMemory(header http.Header) (bytes int64) {
	for name, values := range header {
		for _, value := range values {
			bytes += int64(len(name) + len(value) + bytesPerField)
		}
	}
	return max(0, bytes-smallHeadBytes)
}

// growHead reserves memory for a head that is being read, by its length so far, and reports whether there was enough. The caller
// holds mu.
func (c *conn) growHead(length int) bool {
	more := int64(bytesPerHeadByte*max(0, length-smallHeadBytes)) - c.headMemory
	if c.answers == nil || more <= 0 {
		return true
	}
	if !c.answers.TryReserve(more) {
		return false
	}
	c.headMemory += more
	return true
}

// releaseHead gives back the memory of a head, and the buffer if it is large. The caller holds mu.
func (c *conn) releaseHead() {
	if cap(c.headBuffer) > smallHeadBytes {
		c.headBuffer = nil
	}
	if c.headMemory > 0 {
		c.answers.Release(c.headMemory)
		c.headMemory = 0
	}
}
