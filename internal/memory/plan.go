// Package memory owns the account of a process's memory. A Plan divides the memory limit and the file descriptors among all that the
// process holds, so that the sum of the bounds stays within the limit. A Pool bounds what varies in size, and refuses what finds no
// room or lets it wait.
package memory

import "canvasrouter/internal/sockets"

// Memory that does not depend on the traffic, in bytes.
const (
	// programBytes is the resident part of the program itself, less what the runtime counts as its own and never touches.
	programBytes = 4 << 20
	// baseHeapBytes is the heap and the stacks of a node without servers and clients, with log lines that wait to be written.
	baseHeapBytes = 3 << 19
	// reservedIDBytes is the set of ids that must not come again yet, when it is full.
	reservedIDBytes = 1 << 20
	// listBytes is a list of 3,200 servers with what is kept for each, and the lines of the next list while they are decoded.
	listBytes = 4 << 20
)

// fixedHeapBytes is the part of the heap that does not depend on the traffic.
const fixedHeapBytes = baseHeapBytes + reservedIDBytes + listBytes

// Memory of one connection or op while it holds only what is small, in bytes. What is larger takes room in a Pool.
const (
	clientConnBytes = 10 << 10
	pendingOpBytes  = 24 << 10
	serverConnBytes = 14 << 10
)

// Shares of the memory that is left after the parts above.
const (
	kernelShare  = 0.36 // for buffers of sockets; the rest is heap
	garbageShare = 0.45 // of the heap: garbage that has not been collected yet
	headShare    = 1.0 / 10
	bodyShare    = 1.0 / 6
	answerShare  = 1.0 / 6
	connShare    = 1 - headShare - bodyShare - answerShare
)

// Where memory is shorter than descriptors, clients get more sockets than there may be pending ops: an idle connection takes little.
const (
	pendingPerClient  = 2.0 / 5
	serversPerPending = 15.0 / 13
)

const (
	// reservedFiles are the file descriptors kept for the process itself: standard streams, the poller, the listener and
	// files being read.
	reservedFiles = 24
	// registrySockets are the sockets for the registry: a watch, a request for the full list, and one of each that is being
	// closed.
	registrySockets = 4
	// maxBacklog and minBacklog limit the connections that wait to be accepted.
	maxBacklog = 4096
	minBacklog = 768
)

// Limits of the kernel's memory for one socket. Below the minimum a body takes many round trips.
const (
	minBuffer      = 6 << 10
	maxBuffer      = 32 << 10
	backlogReceive = 4608 // the least that the kernel allows; a connection is given more once it is accepted
)

// Plan is how the resources of a process are divided.
type Plan struct {
	Limit int64 // bytes

	// HeapLimit is the memory that the Go runtime may use, with garbage, in bytes.
	HeapLimit int64
	// HeadBytes, BodyBytes and AnswerBytes bound the pools for large heads of requests, for bodies of requests and for answers.
	HeadBytes, BodyBytes, AnswerBytes int64
	// KernelBytes is the sum of the bounds of all buffers of sockets.
	KernelBytes int64

	ClientSockets, ServerSockets, RegistrySockets int
	PendingOps                                    int // ops that may be pending at a time
	Backlog                                       int // connections that may wait to be accepted
	// BacklogBuffers, ClientBuffers and ServerBuffers are the kernel's bounds for a socket.
	BacklogBuffers, ClientBuffers, ServerBuffers sockets.Buffers
}

// NewPlan divides a limit of memory, in bytes, and a number of file descriptors. Each op needs a client's socket and one to a server.
//
// An op whose connection waits in the listener's backlog counts as taken, and would be lost at its deadline. So clients get
// more sockets than there may be pending ops, and excess ops are read and nacked at once. A shortage in this process would
// look like servers that can't be reached. So servers get more sockets than there may be pending ops, for second pushes and
// for connections that are being closed.
func NewPlan(limit int64, descriptors int) Plan {
	p := Plan{Limit: limit, RegistrySockets: registrySockets}
	variable := max(0, limit-programBytes-fixedHeapBytes)
	kernel := int64(float64(variable) * kernelShare)
	heap := float64(variable-kernel) * (1 - garbageShare)
	p.HeapLimit = max(limit-programBytes-kernel, fixedHeapBytes)
	p.HeadBytes = int64(heap * headShare)
	p.BodyBytes = int64(heap * bodyShare)
	p.AnswerBytes = int64(heap * answerShare)
	p.divideSockets(descriptors-reservedFiles-registrySockets, heap*connShare)
	p.divideKernel(kernel)
	return p
}

// divideSockets divides file descriptors, as far as a part of the heap is enough for what each needs.
func (p *Plan) divideSockets(available int, heap float64) {
	const (
		bytesPerPending = pendingOpBytes + serversPerPending*serverConnBytes
		bytesPerClient  = clientConnBytes + pendingPerClient*bytesPerPending
	)
	servers := available * 15 / 32
	clients := available - servers
	pending := available * 13 / 32
	p.ClientSockets = max(2, min(clients, int(heap/bytesPerClient)))
	p.PendingOps = max(1, min(pending, int((heap-float64(p.ClientSockets*clientConnBytes))/bytesPerPending)))
	p.ServerSockets = max(2, min(servers, int(float64(p.PendingOps)*serversPerPending)))
}

// divideKernel divides the kernel's part among the sockets and the backlog. A connection of the backlog has no more than the least
// that the kernel allows. A client may send some requests ahead.
func (p *Plan) divideKernel(kernel int64) {
	const (
		receiveUnitsOfClient = 2
		unitsOfClient        = receiveUnitsOfClient + 1
		unitsOfServer        = 2
	)
	p.Backlog = min(maxBacklog, max(minBacklog, int(kernel/4/backlogReceive)))
	p.BacklogBuffers = sockets.Buffers{Receive: backlogReceive}
	backlog := int64(p.Backlog * backlogReceive)
	units := int64(unitsOfClient*p.ClientSockets + unitsOfServer*p.ServerSockets)
	unit := min(maxBuffer, max(minBuffer, (kernel-backlog)/units))
	p.ClientBuffers = sockets.Buffers{Receive: int(receiveUnitsOfClient * unit), Send: int(unit)}
	p.ServerBuffers = sockets.Buffers{Receive: int(unit), Send: int(unit)}
	p.KernelBytes = backlog + units*unit
}
