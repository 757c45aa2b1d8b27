//go:build platform

package serve

import "canvasrouter/internal/config"

// others are the other nodes: the platform's build hears none, and links nothing of what it would take.
type others struct{}

func canHear(*config.Config) bool { return false }

func (r *running) hearOthers(c *config.Config) error {
	if c.Fleet != nil {
		r.log.Warn().Str("key", "fleet").Msg("the platform's build hears no other node; the key is not heeded")
	}
	return nil
}

func (o *others) leave()     {}
func (o *others) close(bool) {}
