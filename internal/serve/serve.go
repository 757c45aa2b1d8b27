// Package serve is one node as a process: its parts wired together, its signals, its log and its end.
package serve

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"canvasrouter/internal/clients"
	"canvasrouter/internal/config"
	"canvasrouter/internal/node"
	"canvasrouter/internal/registry"
	"canvasrouter/internal/servers"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// logLines is how many lines may wait to be written; past that the oldest are lost, and no op waits for one.
const logLines = 4096

// lastLines is how long the exit waits for the log's last lines to be written.
const lastLines = 200 * time.Millisecond

// Options are what a program other than the node itself may set. The zero value is the node.
type Options struct {
	Getenv            func(string) string                          // in place of the environment
	NewDecider        func(*config.Config) (policy.Decider, error) // in the module's place
	AdjustAnswerSlack func(settings policy.Micros) policy.Micros   // in place of the settings' answer slack
}

// Main runs the node until it is told to end, and gives its exit code: 0 after a planned restart, 1 if it failed,
// 2 if its configuration is no use. A fault is one line on standard error.
func Main(o Options) int {
	// Danger: until it is caught, SIGHUP ends the process. One that comes early waits here.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// The same with SIGTERM: whoever watches would take a node that is told to end while it starts for one that crashed.
	terminate, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	if o.Getenv == nil {
		o.Getenv = os.Getenv
	}
	c, err := config.Load(o.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "canvasrouter:", err)
		return 2
	}
	lines := diode.NewWriter(os.Stderr, logLines, 0, func(lost int) {
		fmt.Fprintln(os.Stderr, "canvasrouter: log lines lost:", lost)
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(lines).With().Timestamp().Str("node", c.Name).Logger()
	zerolog.SetGlobalLevel(c.LogLevel)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("from", "library").Logger())
	err = o.run(c, reload, terminate, log)
	if err != nil {
		log.Error().Err(err).Msg("node ends")
	}
	written := make(chan struct{})
	go func() { lines.Close(); close(written) }()
	select {
	case <-written:
	case <-time.After(lastLines): // Danger: nobody may read the log any more, and the exit would wait for ever
	}
	if err != nil {
		return 1
	}
	return 0
}

func (o *Options) run(c *config.Config, reload <-chan os.Signal, terminate context.Context, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4) // the rest is stacks and what the kernel counts

	forClients, forServers, forRegistry, most := sockets.Split(c.Sockets)
	clock := node.NewClock()
	r := &running{Options: o, config: c, clock: clock, mostOpen: most, mostOut: forClients.Size(), log: log}
	first, err := r.generation(c)
	if err != nil {
		return err
	}
	actor := node.New(first.Options, first.Module, clock, log.With().Str("part", "node").Logger())
	list := registry.New(registry.Options{Addr: c.RegistryAddr, Zones: c.Names.Zones, MachineTypes: c.Names.MachineTypes,
		AutoWatch: !c.Rules.Registry.MustSubscribe, BaseRetryDelay: time.Second, DrainGrace: config.Duration(c.Rules.DrainGrace), Seed: c.Seed}, forRegistry,
		log.With().Str("part", "registry").Logger())
	known, err := list.LoadCached(c.CachedList)
	if err != nil {
		return err
	}
	pool := servers.New(r.toServers(c), forServers, log.With().Str("part", "servers").Logger(), actor.PushEnded)
	front, err := clients.Listen(c.Listen, toClients(c, 0), forClients, actor, clock,
		log.With().Str("part", "clients").Logger())
	if err != nil {
		return fmt.Errorf("config: key listen: %w", err)
	}
	r.actor, r.list, r.pool, r.front = actor, list, pool, front

	working, stop := context.WithCancel(context.Background())
	defer stop()
	actor.Start(pool, list, known)
	worked := make(chan error, 1)
	go func() { worked <- actor.Run(working) }()
	go list.Run(working, actor.ListReceived)
	if err := r.hearOthers(c); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	defer r.others.close(true)
	defer r.followStore(c)()
	go func() { // until the process ends, also while it drains
		for {
			<-reload
			r.reconfigure()
		}
	}()
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	log.Info().Str("listen", c.Listen).Int("tier", c.Rules.Topology.Tier).Int("servers", len(known.Entries)).
		Int("sockets", c.Sockets).Msg("node starts")

	select {
	case <-terminate.Done():
		log.Info().Msg("planned restart: draining")
		go r.others.leave()
		front.Drain(served, true)
		log.Info().Msg("drained")
		return nil
	case err := <-served:
		return fmt.Errorf("clients: %w", err)
	case err := <-worked:
		front.Drain(served, false) // the answers of what was in hand go out
		return err
	}
}

// running is a node's parts, and the configuration in force.
type running struct {
	*Options
	config            *config.Config
	mostOpen, mostOut int // ops in hand that sockets allow, and ops that can have pushes out
	log               zerolog.Logger
	actor             *node.Node
	list              *registry.Client
	pool              *servers.Pool
	front             *clients.Server
	clock             *node.Clock
	others            others

	mu    sync.Mutex // guards config, and that one change at a time is taken over
	store changes
}

// generation is the module, unless something else stands in its place, as these settings make it.
func (r *running) generation(c *config.Config) (*node.Generation, error) {
	for _, key := range c.IgnoredSettings {
		r.log.Warn().Str("key", key).Msg("setting is no longer heeded")
	}
	if c.Rules.Topology.PeerMessaging && !canHear(c) {
		r.log.Warn().Str("key", "limits.peers").Msg("nodes have no way to tell each other; the module decides without")
		c.Rules.Topology.PeerMessaging = false
	}
	g := &node.Generation{Options: node.Options{MaxPendingOps: min(r.mostOpen, c.MaxPendingOps), AnswerSlack: c.AnswerSlack}}
	if r.AdjustAnswerSlack != nil {
		g.Options.AnswerSlack = r.AdjustAnswerSlack(g.Options.AnswerSlack)
	}
	if r.NewDecider == nil {
		g.Module = c.Rules.NewNode(c.Seed)
		return g, nil
	}
	var err error
	g.Module, err = r.NewDecider(c)
	return g, err
}

func (r *running) toServers(c *config.Config) servers.Options {
	return servers.Options{DialTimeout: config.Duration(c.Rules.PushLimits.DialTimeout), ServerIdleTimeout: c.ServerIdleTimeout, MaxInFlight: r.mostOut * c.Rules.PushLimits.MaxPushes}
}

func toClients(c *config.Config, generation int) clients.Options {
	o := clients.Options{Categories: c.Names.Categories, Tenants: c.Names.Tenants, GenerationNumber: generation}
	for _, category := range c.Rules.Categories {
		o.DeliverySemantics = append(o.DeliverySemantics, category.Delivery)
		o.MaxTTL = max(o.MaxTTL, config.Duration(category.TTL))
	}
	return o
}

// reconfigure reads the configuration anew, as at the start, and takes over what can change while the node runs: the
// settings, where the registry is, and the log level. Ops in hand and connections to clients live through it.
func (r *running) reconfigure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := config.Load(r.Getenv)
	if err == nil {
		file, err = r.store.over(file)
	}
	if err == nil {
		err = r.install(file)
	}
	if err != nil {
		// Danger: the file may be half written; what runs is better than nothing.
		r.log.Error().Err(err).Msg("configuration not taken over, the running one stays")
		return
	}
	r.store.reread(file)
}

// install lets the node go by what was read, whole, or leaves it as it is. The lock is held.
func (r *running) install(file *config.Config) error {
	c := r.config
	next := file.WithFixedKeysOf(c)
	if err := r.takeOver(c, next); err != nil {
		return err
	}
	if keys := c.RestartRequiredKeys(file); len(keys) > 0 {
		r.log.Warn().Strs("keys", keys).Msg("configuration: these keys change with a restart only")
	}
	zerolog.SetGlobalLevel(next.LogLevel)
	if next.RegistryAddr != c.RegistryAddr {
		r.list.SetAddr(next.RegistryAddr)
	}
	r.log.Info().Str("discovery", next.RegistryAddr).Msg("configuration taken over")
	r.config = next
	return nil
}

// takeOver lets the node go by what differs in next.
func (r *running) takeOver(c, next *config.Config) error {
	if !c.SameFleet(next) {
		r.others.close(false)
		if err := r.hearOthers(next); err != nil {
			return errors.Join(err, r.hearOthers(c)) // what ran before runs again
		}
		if c.SameSettings(next) && !next.Rules.Topology.PeerMessaging {
			return nil
		}
	} else if c.SameSettings(next) {
		return nil
	}
	return r.change(next)
}

// change lets ops that come from now on go by the next settings. Danger: requests must not be read by categories that
// no module has yet, so the front comes last.
func (r *running) change(next *config.Config) error {
	if az := int(next.Rules.Topology.Zone); az < len(next.Names.Zones) {
		next.Rules.Topology.Zone = r.list.ZoneID(next.Names.Zones[az]) // lists keep the numbers they have
	}
	g, err := r.generation(next)
	if err != nil {
		return err
	}
	g.Apply = func() { r.pool.SetOptions(r.toServers(next)) }
	number, err := r.actor.Switch(g)
	if err != nil {
		return err
	}
	r.list.SetAutoWatch(!next.Rules.Registry.MustSubscribe, config.Duration(next.Rules.DrainGrace))
	r.front.SetOptions(toClients(next, number))
	return nil
}

// Check says what is wrong with a configuration beyond what reading it shows: the list that it starts with.
func CheckConfig(c *config.Config) error {
	list := registry.New(registry.Options{Zones: c.Names.Zones, MachineTypes: c.Names.MachineTypes}, sockets.NewBudget(1), zerolog.Nop())
	_, err := list.LoadCached(c.CachedList)
	return err
}
