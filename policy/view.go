package policy

// NeverRan says that a push that ended so has surely not run.
func NeverRan(o Outcome) bool { return int(o) < len(neverRan) && neverRan[o] }

// Throttles tells of each server's overload control that acts at the moment, and of the one of all servers together
// (server 0): ops a second that pass at the cut, and the cut, a level of benefit. It changes nothing.
func (n *Node) VisitThrottles(tell func(server ServerID, rate float64, cut int)) {
	show := func(id ServerID, t *throttle) {
		if t.on {
			tell(id, t.leak*float64(Second)/float64(t.interval), t.cut)
		}
	}
	show(0, &n.all)
	for i := range n.servers {
		show(n.servers[i].Server, &n.servers[i].throttle)
	}
}
