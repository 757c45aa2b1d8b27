//go:build platform

package serve

import "canvasrouter/internal/config"

// peerNetwork has no function in the platform's build, which exchanges nothing with other nodes and links no code for it.
type peerNetwork struct{}

// canReachPeers reports whether nodes can exchange peer messages: never in this build.
func canReachPeers(*config.Config) bool { return false }

// startFleet warns if the configuration has the key fleet.
func (p *process) startFleet(c *config.Config) error {
	if c.Fleet != nil {
		p.log.Warn().Str("key", "fleet").Msg("the platform's build hears no other node; the key is not heeded")
	}
	return nil
}

func (n *peerNetwork) leave()     {}
func (n *peerNetwork) close(bool) {}

// storeFollower has no function in the platform's build, whose configuration comes from the file alone.
type storeFollower struct{}

// followStore warns if the configuration has the key store.
func (p *process) followStore(c *config.Config) (stop func()) {
	if c.Store != nil {
		p.log.Warn().Str("key", "store").Msg("the platform's build follows no store; the key is not heeded")
	}
	return func() {}
}

// overlay returns the file unchanged.
func (*storeFollower) overlay(file *config.Config) (*config.Config, error) {
	return file, nil
}

func (*storeFollower) fileReread(*config.Config) {}
