// Package peermsg carries the peer messages that the decision modules of nodes send each other. A message is addressed to a node
// number, waits a moment to be sent in one datagram with others, and goes to the node that owns the number at that time.
package peermsg

import (
	"net/netip"
	"sync"
	"time"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
)

const (
	// batchDelay is how long a message may wait for others to the same node.
	batchDelay = 10 * time.Millisecond
	// maxDelay is the age beyond which messages are dropped. They describe what was counted over two seconds, and a process
	// that was suspended would otherwise resume with outdated ones, its own and those waiting in its socket.
	maxDelay = 500 * time.Millisecond
	// maxQueued is the number of messages that wait for one node; beyond that the oldest are dropped.
	maxQueued = 64
	// maxNodeNumbers bounds the node numbers that messages can be sent to.
	maxNodeNumbers = 1 << 13

	messageSize   = len(node.PeerMessage{})
	formatVersion = 1
)

// Counts counts messages by what has become of them.
type Counts struct {
	Submitted     int64 `json:"told"`    // by this node's module
	Sent          int64 `json:"sent"`    // to the owner of the number
	Delivered     int64 `json:"heard"`   // to this node's module
	Evicted       int64 `json:"pushed"`  // from a full queue, oldest first
	NoOwner       int64 `json:"nobody"`  // dropped: no node has the number
	RateLimited   int64 `json:"paced"`   // dropped by the transport
	Stale         int64 `json:"stale"`   // dropped: older than maxDelay, on sending or receipt
	UnknownFormat int64 `json:"foreign"` // received datagrams that could not be decoded
	MailboxFull   int64 `json:"busy"`    // dropped: the node's mailbox was full
}

// queue is a ring buffer of the messages to one node number.
type queue struct {
	messages [maxQueued]node.PeerMessage
	first    int
	length   int
}

// Messenger sends and receives peer messages. Its methods are safe for concurrent use.
type Messenger struct {
	transport *transport.Transport
	owner     func(number int) (netip.AddrPort, bool)
	deliver   func([]byte) bool
	wake      chan struct{} // has capacity for one signal
	done      chan struct{}
	running   sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	queues      []*queue   // by node number
	pending     []int      // node numbers with queued messages
	oldestSince time.Time  // when the first of the pending messages was queued
	counts      Counts
}

// Start starts a messenger on t. The function owner returns the address of the node that owns a number. The function deliver
// takes the messages of a received datagram, as one byte slice, and returns false if it has no capacity for them.
func Start(t *transport.Transport, owner func(int) (netip.AddrPort, bool), deliver func([]byte) bool) *Messenger {
	m := &Messenger{transport: t, owner: owner, deliver: deliver, wake: make(chan struct{}, 1), done: make(chan struct{})}
	t.Handle(transport.PeerMessages, m.receive)
	m.running.Go(m.run)
	return m
}

// Close stops sending, drops the messages still queued, and waits for the sending goroutine to end.
func (m *Messenger) Close() {
	close(m.done)
	m.running.Wait()
}

// Counts returns the present counts.
func (m *Messenger) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Send queues a message to the node that owns a number. It does not block.
func (m *Messenger) Send(number int, message node.PeerMessage) {
	if number < 0 || number >= maxNodeNumbers {
		return
	}
	m.mu.Lock()
	for len(m.queues) <= number {
		m.queues = append(m.queues, nil)
	}
	q := m.queues[number]
	if q == nil {
		q = &queue{}
		m.queues[number] = q
	}
	m.counts.Submitted++
	if q.length == maxQueued { // drop the oldest: a message that waits behind outdated ones is outdated when it arrives
		q.first = (q.first + 1) % maxQueued
		q.length--
		m.counts.Evicted++
	}
	q.messages[(q.first+q.length)%maxQueued] = message
	q.length++
	if q.length == 1 {
		m.pending = append(m.pending, number)
	}
	startsBatch := len(m.pending) == 1 && q.length == 1
	if startsBatch {
		m.oldestSince = time.Now()
	}
	m.mu.Unlock()
	if startsBatch {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the queued messages batchDelay after the first of them was queued.
func (m *Messenger) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var numbers []int
	payload := make([]byte, 0, 1+maxQueued*messageSize)
	for {
		select {
		case <-m.done:
			return
		case <-m.wake:
		}
		timer.Reset(batchDelay)
		select {
		case <-m.done:
			return
		case <-timer.C:
		}
		m.mu.Lock()
		numbers, m.pending = m.pending, numbers[:0]
		stale := time.Since(m.oldestSince) > maxDelay
		m.mu.Unlock()
		for _, number := range numbers {
			payload = m.flush(number, payload, stale)
		}
	}
}

// flush sends the messages queued for a number, or drops them if they are stale. It reuses payload as a buffer and returns it.
func (m *Messenger) flush(number int, payload []byte, stale bool) []byte {
	m.mu.Lock()
	q := m.queues[number]
	payload = append(payload[:0], formatVersion)
	n := q.length
	for ; q.length > 0; q.length-- {
		message := q.messages[q.first]
		payload = append(payload, message[:]...)
		q.first = (q.first + 1) % maxQueued
	}
	m.mu.Unlock()
	addr, owned := m.owner(number)
	count := &m.counts.Sent
	switch {
	case stale:
		count = &m.counts.Stale
	case !owned:
		count = &m.counts.NoOwner
	case !m.transport.Send(addr, transport.PeerMessages, payload):
		count = &m.counts.RateLimited
	}
	m.mu.Lock()
	*count += int64(n)
	m.mu.Unlock()
	return payload
}

// receive handles a datagram of peer messages.
func (m *Messenger) receive(_ netip.AddrPort, frame *transport.Frame, late time.Duration) {
	n := (len(frame.Payload) - 1) / messageSize
	var count *int64
	switch {
	case len(frame.Payload) < 1 || frame.Payload[0] != formatVersion || (len(frame.Payload)-1)%messageSize != 0:
		n = 1
		count = &m.counts.UnknownFormat
	case late > maxDelay:
		count = &m.counts.Stale
	case m.deliver(append([]byte(nil), frame.Payload[1:]...)):
		count = &m.counts.Delivered
	default:
		count = &m.counts.MailboxFull
	}
	m.mu.Lock()
	*count += int64(n)
	m.mu.Unlock()
}
