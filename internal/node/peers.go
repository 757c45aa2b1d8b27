package node

import (
	"canvasrouter/policy"
)

// Word is what one module tells another, in its form.
type PeerMessage = [3]byte

// Peers are the other nodes. The calls come from the module's actor and must not wait.
type Peers interface {
	Send(number int, word PeerMessage)
	// Sent tells that a push goes out.
	PushSent(server policy.ServerID, category policy.CategoryID)
	// Ended tells how a push ended and how long it took.
	PushEnded(server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros)
	// Follow tells the list as it now is. It is read during the call only.
	ListChanged(list []policy.ListEntry)
}

type (
	peering struct{ peers Peers }
	words   []byte
	weighed struct{ parts map[policy.ServerID]float64 }
)

// Peer says who the other nodes are from now on: nil, and the node hears nobody; what they judged is forgotten.
func (n *Node) SetPeers(peers Peers) { n.send(peering{peers}) }

// Said hands over words that have come, one behind the other. It does not wait: where ops fill the mailbox, words are lost,
// which it tells.
func (n *Node) PeerMessagesReceived(said []byte) bool {
	select {
	case n.mail <- words(said):
		select {
		case <-n.stopped:
			n.refuseAll()
		default:
		}
		return true
	default:
		return false
	}
}

// Weigh says what part of servers' weights others' judgement leaves; who is absent has all. The map is the node's from now on.
func (n *Node) SetWeightFactors(parts map[policy.ServerID]float64) { n.send(weighed{parts}) }

func (n *Node) peer(peers Peers) {
	n.peers = peers
	if peers == nil {
		n.weigh(nil)
		return
	}
	peers.ListChanged(n.list)
}

// hear gives words to the newest generation: those before end what they have.
func (n *Node) hear(said words) {
	for length := len(PeerMessage{}); len(said) >= length; said = said[length:] {
		n.step(n.newest(), &policy.Input{Kind: policy.PeerMessageReceived, Message: said[:length]})
	}
}

// weigh tells the modules of the servers whose part differs. Danger: only servers that are listed as ready; a judgement must
// not bring back one that drains, and nothing here may look like a list that came.
func (n *Node) weigh(parts map[policy.ServerID]float64) {
	var changed []policy.ListEntry
	for _, e := range n.list {
		was, is := part(n.parts, e.Server), part(parts, e.Server)
		if e.State == policy.Ready && was != is {
			e.Weight *= is
			changed = append(changed, e)
		}
	}
	n.parts = parts
	if len(changed) == 0 {
		return
	}
	for _, g := range n.generations {
		n.step(g, &policy.Input{Kind: policy.ListReceived, Form: policy.ListReweighted, List: changed})
	}
}

func part(of map[policy.ServerID]float64, server policy.ServerID) float64 {
	if p, found := of[server]; found {
		return p
	}
	return 1
}

// partly is a list with the weights that judgement leaves.
func (n *Node) partly(list []policy.ListEntry) []policy.ListEntry {
	if len(n.parts) == 0 {
		return list
	}
	out := make([]policy.ListEntry, len(list))
	for i, e := range list {
		e.Weight *= part(n.parts, e.Server)
		out[i] = e
	}
	return out
}
