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

// storeFollower applies the changes of configuration from the store. Without an Applier the file is the only source of
// configuration.
type storeFollower struct{ *apply.Applier }

// followStore starts to follow the store if the configuration has the key store. stop ends that.
func (p *process) followStore(c *config.Config) (stop func()) {
	if c.Store == nil {
		return func() {}
	}
	p.store.Applier = apply.New(apply.Options{
		Config:      c,
		Getenv:      p.Getenv,
		Validate:    CheckConfig,
		InstallLock: &p.mu,
		Incarnation: fmt.Sprintf("%016x", rand.Uint64()),
		Seed:        rand.Uint64(),
		Log:         p.log.With().Str("part", "store").Logger(),
		Install: func(c *config.Config) error {
			err := p.install(c)
			if errors.Is(err, node.ErrTooManyGenerations) {
				err = errors.Join(apply.ErrBusy, err)
			}
			return err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.store.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// overlay applies the store's changes that are in force to a file that was read again.
func (f *storeFollower) overlay(file *config.Config) (*config.Config, error) {
	if f.Applier == nil {
		return file, nil
	}
	return f.WithChanges(file)
}

// fileReread passes on a file that was read again and is in force.
func (f *storeFollower) fileReread(file *config.Config) {
	if f.Applier != nil {
		f.SetFile(file.Raw)
	}
}

// status returns what this node knows of the store, or nil if it follows none.
func (f *storeFollower) status() *store.View {
	if f.Applier == nil {
		return nil
	}
	return f.View()
}
