//go:build platform

package serve

import "canvasrouter/internal/config"

// others are the other nodes: the platform's build hears none, and links nothing of what it would take.
type peerNetwork struct{}

func canReachPeers(*config.Config) bool { return false }

func (p *process) startFleet(c *config.Config) error {
	if c.Fleet != nil {
		p.log.Warn().Str("key", "fleet").Msg("the platform's build hears no other node; the key is not heeded")
	}
	return nil
}

func (n *peerNetwork) leave()     {}
func (n *peerNetwork) close(bool) {}

// changes of configuration come by the file alone.
type storeFollower struct{}

func (p *process) followStore(c *config.Config) (stop func()) {
	if c.Store != nil {
		p.log.Warn().Str("key", "store").Msg("the platform's build follows no store; the key is not heeded")
	}
	return func() {}
}

func (*storeFollower) overlay(file *config.Config) (*config.Config, error) {
	return file, nil
}

func (*storeFollower) fileReread(*config.Config) {}
