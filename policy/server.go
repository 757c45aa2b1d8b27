package policy

// knownServer is what the node knows about one server.
type knownServer struct {
	ListEntry
	throttle
	inFlight            int          // pushes of this node not yet ended
	maxInFlightAtMark   float64      // most pushes in flight at an overload mark, while control is active
	currentWeight       float64      // in the smooth weighted round robin
	relativeLatency     float64      // recent latency, as a multiple of the categories' means
	errorShare          float64      // share of recent answers that are errors
	consecutiveFailures int          // times in a row that the server has left the rotation
	lastAnswerAt        Micros       // last ack or error that this node knows of
	lastPushEndAt       Micros       // last end of a push
	downUntil           Micros       // the server gets no push before this time
	concurrencyLimit    float64      // pushes that the server may hold
	congestion          float64      // recent latency, as a multiple of the categories' baselines
	wasCongested        bool         // the server was congested once
	lastAtLimitAt       Micros       // last time that the concurrency limit kept an op away
	skippedInRound      uint64       // last selection round that passed over the server
	peerPushRate        decayingRate // pushes of other nodes, by their messages, less those that ended
	ringIndex           int          // position in Node.ring
	coldTokens          tokenBucket  // while the server is cold: this node's share of its capacity, in pushes
}

// adjustConcurrencyLimit adapts the number of pushes that the server may hold after one of them was acked or
// timed out. The limit rises while answers are quick and pushes have reached it: it doubles per latency until
// the first congestion and grows slowly after that. It falls while the server is congested. Without a limit,
// a server that does less work the more pushes it holds would be unavailable for a long time.
func (s *knownServer) adjustConcurrencyLimit(pushSentAt Micros, latencyRatio float64) {
	updateMean(&s.congestion, latencyRatio, latencySamples)
	switch {
	case s.congestion > congestionThreshold:
		s.concurrencyLimit = max(maximumFill, s.concurrencyLimit-1.0/2)
		s.wasCongested = true
	case s.lastAtLimitAt < pushSentAt: // the limit was not reached while the push was in flight
	case s.wasCongested:
		s.concurrencyLimit += max(1/s.concurrencyLimit, 1.0/shareSamples)
	default:
		s.concurrencyLimit++
	}
}

// capacityShare returns the share of its full capacity that the server has for certain. It is 1 for a warm
// server and grows linearly during warm-up.
func (s *knownServer) capacityShare(now Micros, rule *ColdStartRule) float64 {
	if age := max(0, now-s.StartedAt); s.StartedAt > 0 && age < rule.WarmUpTime {
		return rule.InitialShare + (1-rule.InitialShare)*float64(age)/float64(rule.WarmUpTime)
	}
	return 1
}
