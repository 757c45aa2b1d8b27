//go:build !platform

package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"canvasrouter/internal/config"
	"canvasrouter/internal/node"
	"canvasrouter/internal/store"
	"canvasrouter/internal/store/apply"
)

// changes are those of the store; nil: the file alone says what holds.
type storeFollower struct{ *apply.Applier }

// followStore begins to follow, if the configuration says so.
func (p *process) followStore(c *config.Config) (stop func()) {
	if c.Store == nil {
		return func() {}
	}
	p.store.Applier = apply.New(apply.Options{Config: c, Getenv: p.Getenv, Check: CheckConfig, Lock: &p.mu, Life: fmt.Sprintf("%016x", rand.Uint64()),
		Seed: rand.Uint64(), Log: p.log.With().Str("part", "store").Logger(), Install: func(c *config.Config) error {
			err := p.install(c)
			if errors.Is(err, node.ErrTooManySwitches) {
				err = errors.Join(apply.ErrBusy, err)
			}
			return err
		}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.store.Run(ctx)
	}()
	return func() { cancel(); <-ended }
}

// over lays what runs of the store over a file that was read anew.
func (f *storeFollower) overlay(file *config.Config) (*config.Config, error) {
	if f.Applier == nil {
		return file, nil
	}
	return f.Over(file)
}

func (f *storeFollower) fileReread(file *config.Config) {
	if f.Applier != nil {
		f.Reread(file.Raw)
	}
}

// look is what is known of the store.
func (f *storeFollower) status() *store.Look {
	if f.Applier == nil {
		return nil
	}
	return f.Look()
}
