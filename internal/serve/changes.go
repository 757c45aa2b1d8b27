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
type changes struct{ *apply.Applier }

// followStore begins to follow, if the configuration says so.
func (r *running) followStore(c *config.Config) (stop func()) {
	if c.Store == nil {
		return func() {}
	}
	r.store.Applier = apply.New(apply.Options{Config: c, Getenv: r.Getenv, Validate: CheckConfig, InstallLock: &r.mu, Incarnation: fmt.Sprintf("%016x", rand.Uint64()),
		Seed: rand.Uint64(), Log: r.log.With().Str("part", "store").Logger(), Install: func(c *config.Config) error {
			err := r.install(c)
			if errors.Is(err, node.ErrTooManyGenerations) {
				err = errors.Join(apply.ErrBusy, err)
			}
			return err
		}})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		r.store.Run(ctx)
	}()
	return func() { cancel(); <-over }
}

// over lays what runs of the store over a file that was read anew.
func (s *changes) over(file *config.Config) (*config.Config, error) {
	if s.Applier == nil {
		return file, nil
	}
	return s.WithChanges(file)
}

func (s *changes) reread(file *config.Config) {
	if s.Applier != nil {
		s.SetFile(file.Raw)
	}
}

// look is what is known of the store.
func (s *changes) look() *store.View {
	if s.Applier == nil {
		return nil
	}
	return s.View()
}
