package frontend

// A connection has memory of its own for a small head. What a larger head takes beyond that comes from a pool.
const (
	smallHeadBytes  = 2 << 10
	smallHeadFields = 16
	// bytesPerHeadByte is the memory for a byte of a long head: what was read, the line while it grows, and its text.
	bytesPerHeadByte = 3
	// bytesPerField is the memory for a field beside its text.
	bytesPerField = 160
)

// MaxHeadMemory is the memory that the largest head takes from the pool, in bytes.
const MaxHeadMemory = bytesPerHeadByte*maxHeaderBytes + bytesPerField*(maxHeaderFields+1)

// headMemory returns the memory that a head takes from the pool, by its length so far.
func headMemory(bytes, fields int) int64 {
	return int64(bytesPerHeadByte*max(0, bytes-smallHeadBytes) + bytesPerField*max(0, fields-smallHeadFields))
}

// growHead reserves memory for the head that is being read, and reports whether there was enough. Memory of the request before is
// kept until its answer has been written. The caller holds mu.
func (c *conn) growHead() bool {
	more := headMemory(c.scanner.headBytes, c.scanner.lines) - c.headMemory
	if more <= 0 || c.heads == nil {
		return true
	}
	if !c.heads.TryReserve(more) {
		return false
	}
	c.headMemory += more
	return true
}

// releaseHead gives back the memory of the head. The caller holds mu.
func (c *conn) releaseHead() {
	if c.headMemory > 0 {
		c.heads.Release(c.headMemory)
		c.headMemory = 0
	}
}
