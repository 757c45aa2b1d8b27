package node

import (
	"container/heap"

	"canvasrouter/policy"
)

// timer is one entry of the actor's only heap.
type timer struct {
	at    policy.Micros
	order uint64 // of equal times, the first set is due first
	place int    // in the heap, -1 outside
	fire  func()
}

type timers struct {
	heap []*timer
	next uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].place, t.heap[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).place = len(t.heap)
	t.heap = append(t.heap, x.(*timer))
}
func (t *timers) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap[len(t.heap)-1] = nil
	t.heap = t.heap[:len(t.heap)-1]
	last.place = -1
	return last
}

func (t *timers) set(at policy.Micros, fire func()) *timer {
	t.next++
	entry := &timer{at: at, order: t.next, fire: fire}
	heap.Push(t, entry)
	return entry
}

func (t *timers) stop(entry *timer) {
	if entry != nil && entry.place >= 0 {
		heap.Remove(t, entry.place)
	}
}

// due takes out the first timer if it is due.
func (t *timers) due(now policy.Micros) *timer {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}
