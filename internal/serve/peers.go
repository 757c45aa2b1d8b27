//go:build !platform

package serve

import (
	"sync"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet"
)

// peerNetwork is the connection to the other nodes of the fleet. A reload may arrive while the node drains or ends.
type peerNetwork struct {
	mu      sync.Mutex
	fleet   *fleet.Fleet // nil: not connected
	stopped bool         // the node ends: no fleet is started any more
}

// canReachPeers reports whether a configuration lets nodes exchange peer messages.
func canReachPeers(c *config.Config) bool { return c.Fleet != nil && c.Fleet.PeerMessages }

// startFleet connects to the other nodes if the configuration has the key fleet.
func (p *process) startFleet(c *config.Config) (err error) {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if c.Fleet == nil || p.peers.stopped {
		return nil
	}
	p.peers.fleet, err = fleet.Start(c, p.actor, p.clock, p.log.With().Str("part", "fleet").Logger())
	if err == nil {
		p.peers.fleet.SetStoreView(p.store.status)
	}
	return err
}

// leave announces to the other nodes that this one leaves.
func (n *peerNetwork) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet != nil {
		n.fleet.Leave()
	}
}

// close disconnects from the other nodes. If final is set, the fleet is not started again.
func (n *peerNetwork) close(final bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = n.stopped || final
	if n.fleet != nil {
		n.fleet.Leave() // announced, so that the others need not detect it; a repeated announcement has no effect
		n.fleet.Close()
		n.fleet = nil
	}
}
