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
	gatherDelay = 300 * time.Millisecond
	// spread is how long more, at random, before a node takes over. Danger: other settings make a module that has learned nothing yet, and
	// a fleet in which all begin anew in one moment knows nothing of its load.
	maxJitter = 2 * time.Second
	// retry is the wait where what stands of older settings leaves no room for a switch.
	retryDelay = time.Second
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
	changed  chan struct{} // holds one

	mu       sync.Mutex // guards what follows
	baseFile []byte     // as last taken over, without changes
	applied  map[store.Key]*store.Value
	refused  map[store.Key]store.Refusal
}

// New makes the actor. Run follows.
func New(options Options) *Applier {
	conf := options.Config
	var localIP net.IP
	if conf.Store.Bind.IsValid() {
		localIP = conf.Store.Bind.AsSlice()
	}
	return &Applier{Options: options, baseFile: conf.Raw, changed: make(chan struct{}, 1), applied: map[store.Key]*store.Value{}, refused: map[store.Key]store.Refusal{},
		follower: store.NewFollower(store.FollowerOptions{Replicas: conf.Store.Replicas, Keys: store.NodeKeys(conf.Store.Service, conf.Name), Node: conf.Name,
			Incarnation: options.Incarnation, Zone: int(conf.Rules.Place.Zone), Seed: options.Seed, LocalIP: localIP}, options.Log)}
}

// Run follows the store until ctx is done.
func (a *Applier) Run(ctx context.Context) {
	var follower sync.WaitGroup
	follower.Go(func() { a.follower.Run(ctx, func([]*store.Value) { a.wake() }) })
	for delay := switchDelay(); ; {
		select {
		case <-ctx.Done():
			follower.Wait()
			return
		case <-a.changed:
		}
		select {
		case <-ctx.Done():
			follower.Wait()
			return
		case <-time.After(delay):
		}
		if delay = switchDelay(); !a.applyPending() {
			delay = retryDelay
			a.wake()
		}
	}
}

func switchDelay() time.Duration { return gatherDelay + rand.N(maxJitter) }

func (a *Applier) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// take lays what is held over the file, key by key: what is faulty is refused whole and its key goes on as it was. It is false where
// there was no room for it, and it has to be tried again.
func (a *Applier) applyPending() (done bool) {
	a.InstallLock.Lock()
	defer a.InstallLock.Unlock()
	a.mu.Lock()
	baseFile, previous, refused := a.baseFile, a.applied, maps.Clone(a.refused)
	a.mu.Unlock()
	applied := maps.Clone(previous)
	var candidate *config.Config
	for _, value := range a.follower.Values() {
		if current := applied[value.Key]; current != nil && current.Version >= value.Version || refused[value.Key].Version >= value.Version {
			continue
		}
		withValue := maps.Clone(applied)
		withValue[value.Key] = value
		parsed, err := ParseWithChanges(baseFile, withValue, a.Getenv, a.Validate)
		if value.RequiredFormat > config.Form {
			err = fmt.Errorf("it needs form %d of configuration; this program knows form %d", value.RequiredFormat, config.Form)
		}
		if err != nil {
			refused[value.Key] = store.Refusal{Version: value.Version, Reason: err.Error()}
			a.Log.Error().Err(err).Str("key", string(value.Key)).Uint64("version", uint64(value.Version)).Msg("change refused, what runs stays")
			continue
		}
		delete(refused, value.Key)
		applied, candidate = withValue, parsed
	}
	if candidate != nil {
		switch err := a.Install(candidate); {
		case errors.Is(err, ErrBusy):
			return false
		case err != nil:
			// Nothing of it runs. Whichever of them is at fault, all that are new are told as refused.
			for key, value := range applied {
				if current := previous[key]; current == nil || current.Version < value.Version {
					refused[key] = store.Refusal{Version: value.Version, Reason: err.Error()}
				}
			}
			applied = previous
			a.Log.Error().Err(err).Msg("changes not taken over, what runs stays")
		}
	}
	versions := map[store.Key]store.Version{}
	for key, value := range applied {
		if versions[key] = value.Version; previous[key] != value {
			a.Log.Info().Str("key", string(key)).Uint64("version", uint64(value.Version)).Str("id", value.ID).Msg("change in force")
		}
	}
	a.mu.Lock()
	a.applied, a.refused = applied, refused
	a.mu.Unlock()
	a.follower.ReportApplied(versions, refused)
	return true
}

// Over lays what runs over a file that was read anew.
func (a *Applier) WithChanges(file *config.Config) (*config.Config, error) {
	a.mu.Lock()
	applied := a.applied
	a.mu.Unlock()
	conf, err := ParseWithChanges(file.Raw, applied, a.Getenv, a.Validate)
	if err == nil {
		conf.Raw = file.Raw
	}
	return conf, err
}

// Reread keeps the file that is in force, and lets what was refused with the one before be tried again.
func (a *Applier) SetFile(file []byte) {
	a.mu.Lock()
	a.baseFile, a.refused = file, map[store.Key]store.Refusal{}
	a.mu.Unlock()
	a.wake()
}

// Look is what is known of the store.
func (a *Applier) View() *store.View { return a.follower.View() }

// Lay reads a file with changes laid over it (RFC 7396): those for all, a service's, a node's own last.
func ParseWithChanges(file []byte, values map[store.Key]*store.Value, getenv func(string) string, validate func(*config.Config) error) (*config.Config, error) {
	precedence := func(key store.Key) int { return strings.Index("asn", string(key[:1])) }
	merged := file
	for _, key := range slices.SortedFunc(maps.Keys(values), func(a, b store.Key) int { return precedence(a) - precedence(b) }) {
		value := values[key]
		if err := config.CheckPatch(value.Patch, strings.HasPrefix(string(key), "node/")); err != nil {
			return nil, err
		}
		var err error
		if merged, err = jsonpatch.MergePatch(merged, value.Patch); err != nil {
			return nil, err
		}
	}
	conf, err := config.Parse(merged, getenv)
	if err == nil && validate != nil {
		err = validate(conf)
	}
	return conf, err
}

// CheckChange says what is wrong with a change, by its key, as far as that can be told without the file that it will be laid over: it is
// laid over one in which nothing is wrong.
func ValidateChange(change *store.Change) error {
	if change.RequiredFormat > config.Form {
		return nil // of a later form: nodes that know it look at it
	}
	_, err := ParseWithChanges([]byte(validConfig), map[store.Key]*store.Value{change.Key: {Key: change.Key, Patch: change.Patch}}, func(string) string { return "" }, nil)
	return err
}

// plain is a configuration in which nothing is wrong.
const validConfig = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"tier":0,"tiers":["front"],"fleet_size":1,"slot_no":0,"az":0,
 "failure_domains":["a"],"kinds":["m"],"tick":5,"registry_mode":"ask",
 "categories":[{"name":"c","benefit":1,"effect":"idempotent","target_latency":300,"ttl":1000}],
 "limits":{"max_pushes":3,"may_duplicate":true,"may_cancel":true,"dial_timeout":100,"retry_after":true,"max_retry_after":1000},
 "safety":{"answer_slack":20,"cold_from":0.3,"cold":4000,"overload_factor":3,"tip_after":1000,"must_ask_in":10000,"drain_grace":1500}}}`
