// Package words carries what modules tell each other: batched for a moment, to the node that now has the number.
package words

import (
	"net/netip"
	"sync"
	"time"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
)

const (
	// delay is how long a word may wait for others to the same node.
	delay = 10 * time.Millisecond
	// stale is past what words are thrown away: what they tell of is counted over two seconds. Danger: a process that was
	// stopped goes on with old ones, its own and those that wait in its socket.
	stale = 500 * time.Millisecond
	// mostQueued words wait for one node; the oldest go first.
	mostQueued = 64
	// mostNumbers is the highest number that words go to.
	mostNumbers = 1 << 13

	wordLen     = len(node.PeerMessage{})
	formVersion = 1
)

// Counts are what has become of words so far.
type Counts struct {
	Submitted     int64 `json:"told"`    // by this node's module
	Sent          int64 `json:"sent"`    // of them
	Delivered     int64 `json:"heard"`   // handed to the module
	Evicted       int64 `json:"pushed"`  // out of a full queue: the oldest
	NoOwner       int64 `json:"nobody"`  // has the number
	RateLimited   int64 `json:"paced"`   // dropped by the transport
	Stale         int64 `json:"stale"`   // came, or were to go, too late
	UnknownFormat int64 `json:"foreign"` // of a form that is not understood
	MailboxFull   int64 `json:"busy"`    // came while the node's mailbox was full
}

// queue holds the words for one number.
type queue struct {
	words [mostQueued]node.PeerMessage
	first int
	n     int
}

// Words is the actor.
type Messenger struct {
	transport *transport.Transport
	holder    func(number int) (netip.AddrPort, bool)
	said      func([]byte) bool
	wake      chan struct{} // holds one
	done      chan struct{}
	over      sync.WaitGroup

	mu     sync.Mutex
	queues []*queue
	dirty  []int // numbers for which words wait
	since  time.Time
	counts Counts
}

// Start carries words: holder gives the address of the node that now has a number, said takes what comes.
func Start(w *transport.Transport, holder func(int) (netip.AddrPort, bool), said func([]byte) bool) *Messenger {
	s := &Messenger{transport: w, holder: holder, said: said, wake: make(chan struct{}, 1), done: make(chan struct{})}
	w.Handle(transport.PeerMessages, s.take)
	s.over.Go(s.run)
	return s
}

// Close ends the actor.
func (s *Messenger) Close() {
	close(s.done)
	s.over.Wait()
}

// Counts gives what has become of words so far.
func (s *Messenger) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Tell queues a word. It does not wait.
func (s *Messenger) Send(number int, word node.PeerMessage) {
	if number < 0 || number >= mostNumbers {
		return
	}
	s.mu.Lock()
	for len(s.queues) <= number {
		s.queues = append(s.queues, nil)
	}
	q := s.queues[number]
	if q == nil {
		q = &queue{}
		s.queues[number] = q
	}
	s.counts.Submitted++
	if q.n == mostQueued { // Danger: news that waits behind old news is old when it comes
		q.first = (q.first + 1) % mostQueued
		q.n--
		s.counts.Evicted++
	}
	q.words[(q.first+q.n)%mostQueued] = word
	q.n++
	if q.n == 1 {
		s.dirty = append(s.dirty, number)
	}
	first := len(s.dirty) == 1 && q.n == 1
	if first {
		s.since = time.Now()
	}
	s.mu.Unlock()
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Messenger) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var numbers []int
	payload := make([]byte, 0, 1+mostQueued*wordLen)
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		timer.Reset(delay)
		select {
		case <-s.done:
			return
		case <-timer.C:
		}
		s.mu.Lock()
		numbers, s.dirty = s.dirty, numbers[:0]
		old := time.Since(s.since) > stale
		s.mu.Unlock()
		for _, number := range numbers {
			payload = s.flush(number, payload, old)
		}
	}
}

// flush sends what waits for a number.
func (s *Messenger) flush(number int, payload []byte, old bool) []byte {
	s.mu.Lock()
	q := s.queues[number]
	payload = append(payload[:0], formVersion)
	n := q.n
	for ; q.n > 0; q.n-- {
		w := q.words[q.first]
		payload = append(payload, w[:]...)
		q.first = (q.first + 1) % mostQueued
	}
	s.mu.Unlock()
	to, known := s.holder(number)
	count := &s.counts.Sent
	switch {
	case old:
		count = &s.counts.Stale
	case !known:
		count = &s.counts.NoOwner
	case !s.transport.Send(to, transport.PeerMessages, payload):
		count = &s.counts.RateLimited
	}
	s.mu.Lock()
	*count += int64(n)
	s.mu.Unlock()
	return payload
}

// take hands on what comes.
func (s *Messenger) take(_ netip.AddrPort, f *transport.Frame, late time.Duration) {
	n := (len(f.Payload) - 1) / wordLen
	var count *int64
	switch {
	case len(f.Payload) < 1 || f.Payload[0] != formVersion || (len(f.Payload)-1)%wordLen != 0:
		n, count = 1, &s.counts.UnknownFormat
	case late > stale:
		count = &s.counts.Stale
	case s.said(append([]byte(nil), f.Payload[1:]...)):
		count = &s.counts.Delivered
	default:
		count = &s.counts.MailboxFull
	}
	s.mu.Lock()
	*count += int64(n)
	s.mu.Unlock()
}
