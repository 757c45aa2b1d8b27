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

// changes of configuration come by the file alone.
type changes struct{}

func (r *running) followStore(c *config.Config) (stop func()) {
	if c.Store != nil {
		r.log.Warn().Str("key", "store").Msg("the platform's build follows no store; the key is not heeded")
	}
	return func() {}
}

func (*changes) over(file *config.Config) (*config.Config, error) {
	return file, nil
}

func (*changes) reread(*config.Config) {}
