//go:build !platform

package serve

import (
	"sync"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet"
)

// others are the other nodes, as far as this one hears them. A reload may come while the node drains, and as it ends.
type peerNetwork struct {
	mu      sync.Mutex
	fleet   *fleet.Fleet // nil: none
	stopped bool
}

// canHear says whether modules have a way to tell each other.
func canReachPeers(c *config.Config) bool { return c.Fleet != nil && c.Fleet.PeerMessages }

// hearOthers begins to hear others, if the configuration says so.
func (p *process) startFleet(c *config.Config) (err error) {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if c.Fleet == nil || p.peers.stopped {
		return nil
	}
	p.peers.fleet, err = fleet.Start(c, p.actor, p.clock, p.log.With().Str("part", "fleet").Logger())
	if err == nil {
		p.peers.fleet.Show(p.store.status)
	}
	return err
}

// leave tells the others that the node leaves.
func (n *peerNetwork) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet != nil {
		n.fleet.Leave()
	}
}

// close ends hearing them; for good if the node ends.
func (n *peerNetwork) close(final bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = n.stopped || final
	if n.fleet != nil {
		n.fleet.Leave() // the others needn't find out; once is enough
		n.fleet.Close()
		n.fleet = nil
	}
}
