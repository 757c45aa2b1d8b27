// Package apply merges the configuration changes of the store into a node's configuration file and installs the result.
//
// Each change is checked on its own together with those already applied. A faulty change is refused as a whole and its
// key keeps the version that is applied, so that the node always runs a valid configuration. The node reports to the
// store which versions it has applied and which it has refused.
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
	// gatherDelay is how long a change waits for others. A release brings many changes, and with each switch the older
	// settings stay in use for seconds.
	gatherDelay = 300 * time.Millisecond
	// maxJitter bounds the random delay that is added. New settings start a module that has learned nothing yet; if all
	// nodes switched at the same moment, the whole fleet would know nothing of its load.
	maxJitter = 2 * time.Second
	// retryDelay is the delay before another attempt if the node still has too many older settings in use to switch.
	retryDelay = time.Second
)

// ErrBusy is wrapped by the errors of Install that are temporary: the same configuration may be installed a little later.
var ErrBusy = errors.New("the configuration can't be switched now")

// Options configure an Applier.
type Options struct {
	Config *config.Config // from the file alone; its Store must be set
	Getenv func(string) string
	// Install switches the node to a configuration. After an error the node must run the previous one.
	Install func(*config.Config) error
	// Validate, if not nil, returns an error for a configuration that parses but must not be installed.
	Validate func(*config.Config) error
	// InstallLock is held while changes are applied, because the file may be reloaded at the same time.
	InstallLock sync.Locker
	Incarnation string // identifies this process
	Seed        uint64
	Log         zerolog.Logger
}

// Applier follows the store and applies its changes to the node.
type Applier struct {
	Options
	follower *store.Follower
	changed  chan struct{} // capacity 1; signals that values may have to be applied

	mu       sync.Mutex // guards the fields below
	baseFile []byte     // configuration file as last loaded, without changes
	applied  map[store.Key]*store.Value
	refused  map[store.Key]store.Refusal
}

// New returns an Applier. It does nothing until Run is called.
func New(options Options) *Applier {
	conf := options.Config
	var localIP net.IP
	if conf.Store.LocalIP.IsValid() {
		localIP = conf.Store.LocalIP.AsSlice()
	}
	return &Applier{
		Options:  options,
		baseFile: conf.Raw,
		changed:  make(chan struct{}, 1),
		applied:  map[store.Key]*store.Value{},
		refused:  map[store.Key]store.Refusal{},
		follower: store.NewFollower(store.FollowerOptions{
			Replicas:    conf.Store.Replicas,
			Keys:        store.NodeKeys(conf.Store.Service, conf.Name),
			Node:        conf.Name,
			Incarnation: options.Incarnation,
			Zone:        int(conf.Rules.Topology.Zone),
			Seed:        options.Seed,
			LocalIP:     localIP,
		}, options.Log),
	}
}

// Run follows the store and applies its changes until ctx is done.
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
		delay = switchDelay()
		if !a.applyPending() {
			delay = retryDelay
			a.wake()
		}
	}
}

// switchDelay returns the delay between the arrival of a change and its application.
func switchDelay() time.Duration { return gatherDelay + rand.N(maxJitter) }

// wake makes Run apply pending values after its delay.
func (a *Applier) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// applyPending merges the received values into the file, key by key, and installs the result. A faulty value is refused
// and its key keeps the applied version. It returns false if the node was too busy and the attempt has to be repeated.
func (a *Applier) applyPending() (done bool) {
	a.InstallLock.Lock()
	defer a.InstallLock.Unlock()
	a.mu.Lock()
	baseFile := a.baseFile
	previous := a.applied
	refused := maps.Clone(a.refused)
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
		if value.RequiredFormat > config.FormatVersion {
			err = fmt.Errorf("it needs form %d of configuration; this program knows form %d", value.RequiredFormat, config.FormatVersion)
		}
		if err != nil {
			refused[value.Key] = store.Refusal{Version: value.Version, Reason: err.Error()}
			a.Log.Error().Err(err).Str("key", string(value.Key)).Uint64("version", uint64(value.Version)).Msg("change refused, what runs stays")
			continue
		}
		delete(refused, value.Key)
		applied = withValue
		candidate = parsed
	}
	if candidate != nil {
		switch err := a.Install(candidate); {
		case errors.Is(err, ErrBusy):
			return false
		case err != nil:
			// None of the new values is applied. It is unknown which one is at fault, so all of them are refused.
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
		versions[key] = value.Version
		if previous[key] != value {
			a.Log.Info().Str("key", string(key)).Uint64("version", uint64(value.Version)).Str("id", value.ID).Msg("change in force")
		}
	}
	a.mu.Lock()
	a.applied = applied
	a.refused = refused
	a.mu.Unlock()
	a.follower.ReportApplied(versions, refused)
	return true
}

// WithChanges merges the applied values into a reloaded file and returns the resulting configuration, whose Raw is that
// of the file.
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

// SetFile sets the file that is now in force. Values refused with the previous file are tried again.
func (a *Applier) SetFile(file []byte) {
	a.mu.Lock()
	a.baseFile = file
	a.refused = map[store.Key]store.Refusal{}
	a.mu.Unlock()
	a.wake()
}

// View returns the node's state with respect to the store, for operators.
func (a *Applier) View() *store.View { return a.follower.View() }

// ParseWithChanges merges values into a configuration file (JSON Merge Patch, RFC 7396) and parses the result. The value
// for all nodes is merged first, then that of the service, then that of the node.
func ParseWithChanges(file []byte, values map[store.Key]*store.Value, getenv func(string) string,
	validate func(*config.Config) error) (*config.Config, error) {
	// The keys are "all", "service/NAME" and "node/NAME".
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

// ValidateChange checks a change before it is proposed. The files that it will be merged into are not known, so a valid
// minimal one stands in for them.
func ValidateChange(change *store.Change) error {
	if change.RequiredFormat > config.FormatVersion {
		return nil // a later format; the nodes that support it check the change
	}
	values := map[store.Key]*store.Value{change.Key: {Key: change.Key, Patch: change.Patch}}
	_, err := ParseWithChanges([]byte(validConfig), values, func(string) string { return "" }, nil)
	return err
}

// validConfig is a valid minimal configuration.
const validConfig = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"tier":0,"tiers":["front"],"fleet_size":1,"slot_no":0,"az":0,
 "failure_domains":["a"],"kinds":["m"],"tick":5,"registry_mode":"ask",
 "categories":[{"name":"c","benefit":1,"effect":"idempotent","target_latency":300,"ttl":1000}],
 "limits":{"max_pushes":3,"may_duplicate":true,"may_cancel":true,"dial_timeout":100,"retry_after":true,"max_retry_after":1000},
 "safety":{"answer_slack":20,"cold_from":0.3,"cold":4000,"overload_factor":3,"tip_after":1000,"must_ask_in":10000,"drain_grace":1500}}}`
