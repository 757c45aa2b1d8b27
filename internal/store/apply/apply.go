// Package apply lays the store's changes over a node's file and lets the node go by them, whole or not at all.
package apply

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/store"
)

const (
	// gather is how long a change waits for others: a release brings many, and each switch of settings leaves the old ones standing for
	// seconds.
	gather = 300 * time.Millisecond
	// spread is how long more, at random, before a node takes over. Danger: other settings make a module that has learned nothing yet, and
	// a fleet in which all begin anew in one moment knows nothing of its load.
	spread = 2 * time.Second
	// retry is the wait where what stands of older settings leaves no room for a switch.
	retry = time.Second
)

// ErrBusy is wrapped by what Install gives where the same may work a little later.
var ErrBusy = errors.New("no room for other settings now")

// Options say who takes changes over, and how.
type Options struct {
	Config *config.Config // with the key store
	Getenv func(string) string
	// Install lets the node go by a configuration, or leaves it as it is.
	Install func(*config.Config) error
	// Check says what is wrong with a configuration beyond what reading it shows; nil: nothing is looked at.
	Validate func(*config.Config) error
	// Lock is held while something is installed: a file may be read anew at the same time.
	InstallLock sync.Locker
	Incarnation string // of this process
	Seed        uint64
	Log         zerolog.Logger
}

// Applier is the actor.
type Applier struct {
	Options
	follower *store.Follower
	anew     chan struct{} // holds one

	mu      sync.Mutex // guards what follows
	file    []byte     // as last taken over, without changes
	runs    map[store.Key]*store.Value
	refused map[store.Key]store.Refusal
}

// New makes the actor. Run follows.
func New(o Options) *Applier {
	c := o.Config
	var bind net.IP
	if c.Store.LocalIP.IsValid() {
		bind = c.Store.LocalIP.AsSlice()
	}
	return &Applier{Options: o, file: c.Raw, anew: make(chan struct{}, 1), runs: map[store.Key]*store.Value{}, refused: map[store.Key]store.Refusal{},
		follower: store.NewFollower(store.FollowerOptions{Replicas: c.Store.Replicas, Keys: store.NodeKeys(c.Store.Service, c.Name), Node: c.Name,
			Incarnation: o.Incarnation, Zone: int(c.Rules.Topology.Zone), Seed: o.Seed, LocalIP: bind}, o.Log)}
}

// Run follows the store until ctx is done.
func (a *Applier) Run(ctx context.Context) {
	var over sync.WaitGroup
	over.Go(func() { a.follower.Run(ctx, func([]*store.Value) { a.wake() }) })
	for wait := pause(); ; {
		select {
		case <-ctx.Done():
			over.Wait()
			return
		case <-a.anew:
		}
		select {
		case <-ctx.Done():
			over.Wait()
			return
		case <-time.After(wait):
		}
		if wait = pause(); !a.take() {
			wait = retry
			a.wake()
		}
	}
}

func pause() time.Duration { return gather + rand.N(spread) }

func (a *Applier) wake() {
	select {
	case a.anew <- struct{}{}:
	default:
	}
}

// take lays what is held over the file, key by key: what is faulty is refused whole and its key goes on as it was. It is false where
// there was no room for it, and it has to be tried again.
func (a *Applier) take() (done bool) {
	a.InstallLock.Lock()
	defer a.InstallLock.Unlock()
	a.mu.Lock()
	file, before, refused := a.file, a.runs, maps.Clone(a.refused)
	a.mu.Unlock()
	runs := maps.Clone(before)
	var good *config.Config
	for _, v := range a.follower.Values() {
		if now := runs[v.Key]; now != nil && now.Version >= v.Version || refused[v.Key].Version >= v.Version {
			continue
		}
		trial := maps.Clone(runs)
		trial[v.Key] = v
		c, err := ParseWithChanges(file, trial, a.Getenv, a.Validate)
		if v.RequiredFormat > config.FormatVersion {
			err = fmt.Errorf("it needs form %d of configuration; this program knows form %d", v.RequiredFormat, config.FormatVersion)
		}
		if err != nil {
			refused[v.Key] = store.Refusal{Version: v.Version, Reason: err.Error()}
			a.Log.Error().Err(err).Str("key", string(v.Key)).Uint64("version", uint64(v.Version)).Msg("change refused, what runs stays")
			continue
		}
		delete(refused, v.Key)
		runs, good = trial, c
	}
	if good != nil {
		switch err := a.Install(good); {
		case errors.Is(err, ErrBusy):
			return false
		case err != nil:
			// Nothing of it runs. Whichever of them is at fault, all that are new are told as refused.
			for key, v := range runs {
				if now := before[key]; now == nil || now.Version < v.Version {
					refused[key] = store.Refusal{Version: v.Version, Reason: err.Error()}
				}
			}
			runs = before
			a.Log.Error().Err(err).Msg("changes not taken over, what runs stays")
		}
	}
	versions := map[store.Key]store.Version{}
	for key, v := range runs {
		if versions[key] = v.Version; before[key] != v {
			a.Log.Info().Str("key", string(key)).Uint64("version", uint64(v.Version)).Str("id", v.ID).Msg("change in force")
		}
	}
	a.mu.Lock()
	a.runs, a.refused = runs, refused
	a.mu.Unlock()
	a.follower.ReportApplied(versions, refused)
	return true
}

// Over lays what runs over a file that was read anew.
func (a *Applier) WithChanges(file *config.Config) (*config.Config, error) {
	a.mu.Lock()
	runs := a.runs
	a.mu.Unlock()
	c, err := ParseWithChanges(file.Raw, runs, a.Getenv, a.Validate)
	if err == nil {
		c.Raw = file.Raw
	}
	return c, err
}

// Reread keeps the file that is in force, and lets what was refused with the one before be tried again.
func (a *Applier) SetFile(file []byte) {
	a.mu.Lock()
	a.file, a.refused = file, map[store.Key]store.Refusal{}
	a.mu.Unlock()
	a.wake()
}

// Look is what is known of the store.
func (a *Applier) View() *store.View { return a.follower.View() }

// Lay reads a file with changes laid over it (RFC 7396): those for all, a service's, a node's own last.
func ParseWithChanges(file []byte, runs map[store.Key]*store.Value, getenv func(string) string, check func(*config.Config) error) (*config.Config, error) {
	reach := func(k store.Key) int { return strings.Index("asn", string(k[:1])) }
	raw := file
	for _, key := range slices.SortedFunc(maps.Keys(runs), func(a, b store.Key) int { return reach(a) - reach(b) }) {
		v := runs[key]
		if err := config.CheckPatch(v.Patch, strings.HasPrefix(string(key), "node/")); err != nil {
			return nil, err
		}
		var err error
		if raw, err = jsonpatch.MergePatch(raw, v.Patch); err != nil {
			return nil, err
		}
	}
	c, err := config.Parse(raw, getenv)
	if err == nil && check != nil {
		err = check(c)
	}
	return c, err
}

// CheckChange says what is wrong with a change, by its key, as far as that can be told without the file that it will be laid over: it is
// laid over one in which nothing is wrong.
func ValidateChange(c *store.Change) error {
	if c.RequiredFormat > config.FormatVersion {
		return nil // of a later form: nodes that know it look at it
	}
	_, err := ParseWithChanges([]byte(plain), map[store.Key]*store.Value{c.Key: {Key: c.Key, Patch: c.Patch}}, func(string) string { return "" }, nil)
	return err
}

// plain is a configuration in which nothing is wrong.
const plain = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"tier":0,"tiers":["front"],"fleet_size":1,"slot_no":0,"az":0,
 "failure_domains":["a"],"kinds":["m"],"tick":5,"registry_mode":"ask",
 "categories":[{"name":"c","benefit":1,"effect":"idempotent","target_latency":300,"ttl":1000}],
 "limits":{"max_pushes":3,"may_duplicate":true,"may_cancel":true,"dial_timeout":100,"retry_after":true,"max_retry_after":1000},
 "safety":{"answer_slack":20,"cold_from":0.3,"cold":4000,"overload_factor":3,"tip_after":1000,"must_ask_in":10000,"drain_grace":1500}}}`
