package frontend

import (
	"container/list"
	"time"
)

// reclaimEntry is the place of a connection in a queue.
type reclaimEntry struct {
	conn  *conn
	since time.Time // the grace of the connection counts from then
}

// reclaimPlace is where the queue holds a connection. It is zero if the connection is not in it.
type reclaimPlace struct {
	queue   *list.List
	element *list.Element
}

// reclaimQueue holds the connections of one rank. Entering, moving and leaving take the same time for any number of
// connections.
//
// Kept connections, which have served a request, have a list of their own. The times of new ones include the time in the
// backlog, so they are earlier than those of kept ones that enter at the same moment; in one list they would be out of order.
type reclaimQueue struct {
	new, kept list.List // in the order in which the connections entered, which is nearly that of their times
}

// length returns the number of connections in the queue.
func (q *reclaimQueue) length() int { return q.new.Len() + q.kept.Len() }

// put puts a connection at the end, unless it is in the queue with the same time already.
func (q *reclaimQueue) put(place *reclaimPlace, entry reclaimEntry, kept bool) {
	target := &q.new
	if kept {
		target = &q.kept
	}
	if place.queue == target && place.element.Value.(reclaimEntry).since.Equal(entry.since) {
		return
	}
	place.remove()
	*place = reclaimPlace{target, target.PushBack(entry)}
}

// remove takes the connection out of its queue. It does nothing if it is in none.
func (p *reclaimPlace) remove() {
	if p.queue != nil {
		p.queue.Remove(p.element)
		*p = reclaimPlace{}
	}
}

// first returns the connection whose time began first, or nil if none has exceeded the grace.
func (q *reclaimQueue) first(now time.Time, grace time.Duration) *conn {
	var first reclaimEntry
	for _, candidates := range []*list.List{&q.new, &q.kept} {
		front := candidates.Front()
		if front == nil {
			continue
		}
		entry := front.Value.(reclaimEntry)
		if now.Sub(entry.since) >= grace && (first.conn == nil || entry.since.Before(first.since)) {
			first = entry
		}
	}
	return first.conn
}

// postpone moves a connection to the end of its queue, so that others are looked at first.
func (p *reclaimPlace) postpone() {
	if p.queue != nil {
		p.queue.MoveToBack(p.element)
	}
}
