//go:build !platform

package serve

import (
	"sync"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet"
)

// others are the other nodes, as far as this one hears them. A reload may come while the node drains, and as it ends.
type others struct {
	mu    sync.Mutex
	fleet *fleet.Fleet // nil: none
	over  bool
}

// canHear says whether modules have a way to tell each other.
func canHear(c *config.Config) bool { return c.Fleet != nil && c.Fleet.PeerMessages }

// hearOthers begins to hear others, if the configuration says so.
func (r *running) hearOthers(c *config.Config) (err error) {
	r.others.mu.Lock()
	defer r.others.mu.Unlock()
	if c.Fleet == nil || r.others.over {
		return nil
	}
	r.others.fleet, err = fleet.Start(c, r.actor, r.clock, r.log.With().Str("part", "fleet").Logger())
	if err == nil {
		r.others.fleet.SetStoreView(r.store.look)
	}
	return err
}

// leave tells the others that the node leaves.
func (o *others) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fleet != nil {
		o.fleet.Leave()
	}
}

// close ends hearing them; for good if the node ends.
func (o *others) close(over bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.over = o.over || over
	if o.fleet != nil {
		o.fleet.Leave() // the others needn't find out; once is enough
		o.fleet.Close()
		o.fleet = nil
	}
}
