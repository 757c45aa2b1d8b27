package node

import (
	"container/heap"

	"canvasrouter/policy"
)

// timer is an entry of a timerQueue.
type timer struct {
	at       policy.Micros
	sequence uint64 // timers due at the same time fire in the order in which they were set
	index    int    // position in the heap, or -1
	fire     func()
}

// timerQueue holds the actor's timers, ordered by due time. It implements heap.Interface for its own use.
type timerQueue struct {
	heap         []*timer
	nextSequence uint64
}

// Len implements heap.Interface.
func (t *timerQueue) Len() int { return len(t.heap) }

// Less implements heap.Interface.
func (t *timerQueue) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (t *timerQueue) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].index = i
	t.heap[j].index = j
}

// Push implements heap.Interface.
func (t *timerQueue) Push(x any) {
	x.(*timer).index = len(t.heap)
	t.heap = append(t.heap, x.(*timer))
}

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap[len(t.heap)-1] = nil
	t.heap = t.heap[:len(t.heap)-1]
	last.index = -1
	return last
}

// set adds a timer that calls fire when it is due.
func (t *timerQueue) set(at policy.Micros, fire func()) *timer {
	t.nextSequence++
	entry := &timer{at: at, sequence: t.nextSequence, fire: fire}
	heap.Push(t, entry)
	return entry
}

// stop removes a timer. It does nothing if the timer is nil, has fired or was stopped before.
func (t *timerQueue) stop(entry *timer) {
	if entry != nil && entry.index >= 0 {
		heap.Remove(t, entry.index)
	}
}

// popDue removes and returns the first timer if it is due, or returns nil.
func (t *timerQueue) popDue(now policy.Micros) *timer {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}
