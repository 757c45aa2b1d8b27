package node

import "canvasrouter/policy"

// PeerMessage is an encoded message from one node's module to another's.
type PeerMessage = [3]byte

// Peers are the other nodes of the fleet. The actor calls the methods, which must not block.
type Peers interface {
	// Send sends a message to the node with a number.
	Send(number int, message PeerMessage)
	// PushSent records that a push is handed over to be sent.
	PushSent(server policy.ServerID, category policy.CategoryID)
	// PushEnded records the outcome of a push and how long it took.
	PushEnded(server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros)
	// ListChanged passes the current full server list, which is only read during the call.
	ListChanged(list []policy.ListEntry)
}

// Messages to the actor.
type (
	peersSet         struct{ peers Peers }
	peerMessages     []byte
	weightFactorsSet struct{ factors map[policy.ServerID]float64 }
)

// SetPeers sets the other nodes. With nil there is no peer messaging, and the weight factors are dropped.
func (n *Node) SetPeers(peers Peers) { n.post(peersSet{peers}) }

// PeerMessagesReceived hands over received messages, encoded one after another. It does not block: if the mailbox is full the
// messages are dropped and the result is false.
func (n *Node) PeerMessagesReceived(messages []byte) bool {
	select {
	case n.mailbox <- peerMessages(messages):
		select {
		case <-n.stopped:
			n.rejectRemaining()
		default:
		}
		return true
	default:
		return false
	}
}

// SetWeightFactors sets the fraction of each server's weight that remains after the peers' reports on it; a server that is
// absent keeps its whole weight. The node takes over the map.
func (n *Node) SetWeightFactors(factors map[policy.ServerID]float64) {
	n.post(weightFactorsSet{factors})
}

// setPeers replaces the peers and gives the new ones the server list.
func (n *Node) setPeers(peers Peers) {
	n.peers = peers
	if peers == nil {
		n.applyWeightFactors(nil)
		return
	}
	peers.ListChanged(n.list)
}

// deliverPeerMessages passes each message to the newest generation; the older ones only finish their ops.
func (n *Node) deliverPeerMessages(messages peerMessages) {
	for length := len(PeerMessage{}); len(messages) >= length; messages = messages[length:] {
		n.step(n.newestGeneration(), &policy.Input{Kind: policy.PeerMessageReceived, Message: messages[:length]})
	}
}

// applyWeightFactors passes the servers whose factor has changed to the modules. It is limited to servers that are listed as
// ready, since a report must not bring back a draining server, and it has a list form of its own, since the modules must
// not take it for a list from the registry.
func (n *Node) applyWeightFactors(factors map[policy.ServerID]float64) {
	var changed []policy.ListEntry
	for _, e := range n.list {
		before := weightFactor(n.weightFactors, e.Server)
		after := weightFactor(factors, e.Server)
		if e.State == policy.Ready && before != after {
			e.Weight *= after
			changed = append(changed, e)
		}
	}
	n.weightFactors = factors
	if len(changed) == 0 {
		return
	}
	for _, g := range n.generations {
		n.step(g, &policy.Input{Kind: policy.ListReceived, Form: policy.ListReweighted, List: changed})
	}
}

// weightFactor returns the factor of a server, which is 1 if it has none.
func weightFactor(factors map[policy.ServerID]float64, server policy.ServerID) float64 {
	if factor, found := factors[server]; found {
		return factor
	}
	return 1
}

// reweighted returns a list with the weight factors applied.
func (n *Node) reweighted(list []policy.ListEntry) []policy.ListEntry {
	if len(n.weightFactors) == 0 {
		return list
	}
	weighted := make([]policy.ListEntry, len(list))
	for i, e := range list {
		e.Weight *= weightFactor(n.weightFactors, e.Server)
		weighted[i] = e
	}
	return weighted
}
