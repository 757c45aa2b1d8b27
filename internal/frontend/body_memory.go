package frontend

import (
	"golang.org/x/sync/semaphore"

	"canvasrouter/internal/node"
)

// smallBodyBytes is the size up to which bodies are not counted. These take little memory on all sockets together, so a client
// that stops in the middle of large bodies keeps no small one out.
const smallBodyBytes = 4 << 10

// bodyMemory limits the memory of the bodies of all requests that are being read or served. The length that a client names
// counts from the start, since a buffer of that size is allocated.
type bodyMemory struct {
	free *semaphore.Weighted // bytes
}

// newBodyMemory returns a limit. At least one body of any size that is allowed fits in.
func newBodyMemory(bytes int64) *bodyMemory {
	return &bodyMemory{semaphore.NewWeighted(max(bytes, node.MaxBodyBytes))}
}

// tryReserve reserves memory for a body of a size, and reports whether there was enough.
func (m *bodyMemory) tryReserve(size int64) bool {
	return size <= smallBodyBytes || m.free.TryAcquire(size)
}

// release gives back what tryReserve has reserved for a body of a size.
func (m *bodyMemory) release(size int64) {
	if size > smallBodyBytes {
		m.free.Release(size)
	}
}
