package frontend

import (
	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
)

// smallBodyBytes is the size up to which bodies are not counted. These take little memory on all sockets together, so a client
// that stops in the middle of large bodies keeps no small one out.
const smallBodyBytes = node.SmallPayloadBytes

// bodyMemory limits the memory of the bodies of all requests that are being read or served. The length that a client names
// counts from the start, since a buffer of that size is allocated.
type bodyMemory struct{ pool *memory.Pool }

// tryReserve reserves memory for a body of a size, and reports whether there was enough.
func (m *bodyMemory) tryReserve(size int64) bool {
	return size <= smallBodyBytes || m.pool.TryReserve(node.PayloadBytes(size))
}

// release gives back what tryReserve has reserved for a body of a size.
func (m *bodyMemory) release(size int64) {
	if size > smallBodyBytes {
		m.pool.Release(node.PayloadBytes(size))
	}
}
