package policy

// NeverRan reports whether the outcome of a push proves that the server did not run the op.
func NeverRan(outcome Outcome) bool { return int(outcome) < len(provesNotRun) && provesNotRun[outcome] }

// VisitThrottles calls visit for each throttle that is active: first, as server 0, the throttle of all
// servers together, then those of single servers. rate is the number of ops per second that pass at the
// cutoff level, which is the index of a benefit among all distinct benefits, ascending. VisitThrottles
// changes nothing.
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
