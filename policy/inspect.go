package policy

// NeverRan says that a push that ended so has surely not run.
func NeverRan(outcome Outcome) bool { return int(outcome) < len(provesNotRun) && provesNotRun[outcome] }

// Throttles tells of each server's overload control that acts at the moment, and of the one of all servers together
// (server 0): ops a second that pass at the cut, and the cut, a level of benefit. It changes nothing.
func (n *Node) VisitThrottles(visit func(server ServerID, rate float64, cutoffLevel int)) {
	visitActive := func(id ServerID, throttle *throttle) {
		if throttle.active {
			visit(id, throttle.leakAmount*float64(Second)/float64(throttle.leakInterval), throttle.cutoffLevel)
		}
	}
	visitActive(0, &n.allServers)
	for i := range n.servers {
		visitActive(n.servers[i].Server, &n.servers[i].throttle)
	}
}
