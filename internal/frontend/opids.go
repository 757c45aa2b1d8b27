package frontend

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

// maxReservedIDs limits the ids of a set. An entry takes some 60 bytes.
const maxReservedIDs = 12_000

// idReservation is the result of opIDSet.reserve.
type idReservation int

const (
	idReserved idReservation = iota
	idTaken                  // the id is that of another op
	idSetFull
)

// opIDSet holds the ids of the pending ops, and those of answered ones that must not run again yet. It keeps a hash of each id, since
// an id can be as long as a head. The zero value is ready to use.
type opIDSet struct {
	mu       sync.Mutex // guards the fields below
	seed     maphash.Seed
	reserved map[uint64]bool
	mayRun   expiryQueue // ids whose op may still run
	answered expiryQueue // ids of answered ops, the first of which makes room in a full set
}

// reserve reserves an id until it is released.
func (s *opIDSet) reserve(id string) idReservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved == nil {
		s.reserved = make(map[uint64]bool)
		s.seed = maphash.MakeSeed()
	}
	now := time.Now()
	s.removeExpired(&s.mayRun, now)
	s.removeExpired(&s.answered, now)
	key := maphash.String(s.seed, id)
	if s.reserved[key] {
		return idTaken
	}
	if len(s.reserved) >= maxReservedIDs {
		if len(s.answered) == 0 {
			return idSetFull
		}
		delete(s.reserved, heap.Pop(&s.answered).(expiry).key)
	}
	s.reserved[key] = true
	return idReserved
}

// release releases a reserved id at once.
func (s *opIDSet) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, maphash.String(s.seed, id))
}

// releaseAt releases a reserved id at a time. That of an answered op may be released before.
func (s *opIDSet) releaseAt(id string, at time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := maphash.String(s.seed, id)
	queue := &s.mayRun
	if answered {
		queue = &s.answered
	}
	heap.Push(queue, expiry{key, at})
}

// size returns the number of reserved ids.
func (s *opIDSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reserved)
}

// removeExpired removes the ids that are free by now. The caller holds mu.
func (s *opIDSet) removeExpired(queue *expiryQueue, now time.Time) {
	for len(*queue) > 0 && !(*queue)[0].at.After(now) {
		delete(s.reserved, heap.Pop(queue).(expiry).key)
	}
}

// expiry is an id and when it is free.
type expiry struct {
	key uint64
	at  time.Time
}

// expiryQueue is a heap of ids, the one that is free first on top. It implements heap.Interface.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(added any) { *q = append(*q, added.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
