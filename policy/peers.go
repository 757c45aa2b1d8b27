package policy

import "slices"

// notifyPeers sends a message about a server to the other nodes that have the server in their subset. The
// subset of node k begins at ring index k*ringSize/nodeCount, so these nodes have consecutive numbers, modulo
// nodeCount. Both bounds are shifted by one whole ring, so that they are not negative.
func (n *Node) notifyPeers(server *knownServer, message peerMessage) {
	// Only ready servers are in the ring. Its size, by which the bounds are divided, is 0 once the last one
	// drains.
	if !n.topology.PeerMessaging || server.State != Ready {
		return
	}
	message.foldedServerID = foldServerID(server.Server)
	ringSize := len(n.ring)
	nodeCount := n.topology.NodeCount
	encoded := message.encode()
	first := ((server.ringIndex+ringSize-n.peerSubsetSize()+1)*nodeCount + ringSize - 1) / ringSize
	end := ((server.ringIndex+ringSize+1)*nodeCount + ringSize - 1) / ringSize
	for position := first; position < end; position++ {
		nodeNumber := position % nodeCount
		if nodeNumber != n.topology.NodeNumber && n.peerMessageBudget >= 1 {
			n.peerMessageBudget--
			n.emit(Effect{Kind: SendToPeer, PeerNumber: nodeNumber, Message: encoded})
		}
	}
}

// receivePeerMessage takes in a message of another node. The message is advice on a server of this node's
// subset, and is ignored if there is no such server. It changes the server's peer push rate, relative
// latency, last answer and number of consecutive failures, and is forgotten as fast as this node's own
// observations of these.
func (n *Node) receivePeerMessage(input *Input) {
	message, understood := decodePeerMessage(input.Message)
	subsetIndex := slices.IndexFunc(n.subset, func(slot int32) bool {
		return foldServerID(n.servers[slot].Server) == message.foldedServerID
	})
	if !understood || subsetIndex < 0 {
		return
	}
	server := &n.servers[n.subset[subsetIndex]]
	if message.relativeLatency > 0 {
		updateMean(&server.relativeLatency, message.relativeLatency, latencySamples)
	}
	if message.event == peerPushSent {
		server.peerPushRate.add(n.now)
		return
	}
	server.peerPushRate.perSecond = max(0,
		server.peerPushRate.current(n.now)-float64(Second)/float64(rateMemory))
	if message.event == peerPushAcked {
		server.lastAnswerAt = n.now
		server.consecutiveFailures = 0
	}
}

// peerSubsetSize returns the size of the subset where nodes send each other peer messages. It is kept small
// because connections cost work and each further node that shares a server costs a message per event.
func (n *Node) peerSubsetSize() int {
	return min(len(n.ring), max(2, min(subsetSize, nodesPerServer*len(n.ring)/n.topology.NodeCount)))
}
