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
const logBufferLines = 4096

// lastLines is how long the exit waits for the log's last lines to be written.
const logFlushTimeout = 200 * time.Millisecond

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
	logWriter := diode.NewWriter(os.Stderr, logBufferLines, 0, func(lost int) {
		fmt.Fprintln(os.Stderr, "canvasrouter: log lines lost:", lost)
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).With().Timestamp().Str("node", c.Name).Logger()
	zerolog.SetGlobalLevel(c.LogLevel)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("from", "library").Logger())
	err = o.run(c, reload, terminate, log)
	if err != nil {
		log.Error().Err(err).Msg("node ends")
	}
	flushed := make(chan struct{})
	go func() { logWriter.Close(); close(flushed) }()
	select {
	case <-flushed:
	case <-time.After(logFlushTimeout): // Danger: nobody may read the log any more, and the exit would wait for ever
	}
	if err != nil {
		return 1
	}
	return 0
}

func (o *Options) run(c *config.Config, reload <-chan os.Signal, terminate context.Context, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4) // the rest is stacks and what the kernel counts

	clientSockets, serverSockets, registrySockets, maxPendingOps := sockets.Split(c.Sockets)
	clock := node.NewClock()
	p := &process{Options: o, config: c, clock: clock, maxPendingOps: maxPendingOps, maxOpsWithPushes: clientSockets.Size(), log: log}
	firstGeneration, err := p.newGeneration(c)
	if err != nil {
		return err
	}
	actor := node.New(firstGeneration.Options, firstGeneration.Module, clock, log.With().Str("part", "node").Logger())
	registryClient := registry.New(registry.Options{Addr: c.RegistryAddr, Zones: c.Names.Zones, MachineTypes: c.Names.MachineTypes,
		AutoWatch: !c.Rules.Registry.Ask, BaseRetryDelay: time.Second, DrainGrace: config.Duration(c.Rules.DrainGrace), Seed: c.Seed}, registrySockets,
		log.With().Str("part", "registry").Logger())
	cachedList, err := registryClient.LoadCached(c.CachedList)
	if err != nil {
		return err
	}
	serverPool := servers.New(p.serverOptions(c), serverSockets, log.With().Str("part", "servers").Logger(), actor.Ended)
	clientServer, err := clients.Listen(c.Listen, clientOptions(c, 0), clientSockets, actor, clock,
		log.With().Str("part", "clients").Logger())
	if err != nil {
		return fmt.Errorf("config: key listen: %w", err)
	}
	p.actor, p.registry, p.serverPool, p.clientServer = actor, registryClient, serverPool, clientServer

	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	actor.Start(serverPool, registryClient, cachedList)
	actorEnded := make(chan error, 1)
	go func() { actorEnded <- actor.Run(runCtx) }()
	go registryClient.Run(runCtx, actor.Listed)
	if err := p.startFleet(c); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	defer p.peers.close(true)
	defer p.followStore(c)()
	go func() { // until the process ends, also while it drains
		for {
			<-reload
			p.reconfigure()
		}
	}()
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- clientServer.Serve() }()
	log.Info().Str("listen", c.Listen).Int("tier", c.Rules.Topology.Tier).Int("servers", len(cachedList.Entries)).
		Int("sockets", c.Sockets).Msg("node starts")

	select {
	case <-terminate.Done():
		log.Info().Msg("planned restart: draining")
		go p.peers.leave()
		clientServer.Drain(serveEnded, true)
		log.Info().Msg("drained")
		return nil
	case err := <-serveEnded:
		return fmt.Errorf("clients: %w", err)
	case err := <-actorEnded:
		clientServer.Drain(serveEnded, false) // the answers of what was in hand go out
		return err
	}
}

// running is a node's parts, and the configuration in force.
type process struct {
	*Options
	config                          *config.Config
	maxPendingOps, maxOpsWithPushes int // ops in hand that sockets allow, and ops that can have pushes out
	log                             zerolog.Logger
	actor                           *node.Node
	registry                        *registry.Client
	serverPool                      *servers.Pool
	clientServer                    *clients.Server
	clock                           *node.Clock
	peers                           peerNetwork

	mu    sync.Mutex // guards config, and that one change at a time is taken over
	store storeFollower
}

// generation is the module, unless something else stands in its place, as these settings make it.
func (p *process) newGeneration(c *config.Config) (*node.Generation, error) {
	for _, key := range c.IgnoredSettings {
		p.log.Warn().Str("key", key).Msg("setting is no longer heeded")
	}
	if c.Rules.Topology.Peers && !canReachPeers(c) {
		p.log.Warn().Str("key", "limits.peers").Msg("nodes have no way to tell each other; the module decides without")
		c.Rules.Topology.Peers = false
	}
	g := &node.Generation{Options: node.Options{MostOpen: min(p.maxPendingOps, c.MaxPendingOps), Slack: c.AnswerSlack}}
	if p.AdjustAnswerSlack != nil {
		g.Options.Slack = p.AdjustAnswerSlack(g.Options.Slack)
	}
	if p.NewDecider == nil {
		g.Module = c.Rules.NewNode(c.Seed)
		return g, nil
	}
	var err error
	g.Module, err = p.NewDecider(c)
	return g, err
}

func (p *process) serverOptions(c *config.Config) servers.Options {
	return servers.Options{Dial: config.Duration(c.Rules.PushLimits.Dial), IdleClose: c.ServerIdleTimeout, MostOut: p.maxOpsWithPushes * c.Rules.PushLimits.Max}
}

func clientOptions(c *config.Config, generation int) clients.Options {
	o := clients.Options{Categories: c.Names.Categories, Tenants: c.Names.Tenants, Generation: generation}
	for _, category := range c.Rules.Categories {
		o.Repeats = append(o.Repeats, category.Repeat)
		o.Longest = max(o.Longest, config.Duration(category.TTL))
	}
	return o
}

// reconfigure reads the configuration anew, as at the start, and takes over what can change while the node runs: the
// settings, where the registry is, and the log level. Ops in hand and connections to clients live through it.
func (p *process) reconfigure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := config.Load(p.Getenv)
	if err == nil {
		file, err = p.store.overlay(file)
	}
	if err == nil {
		err = p.install(file)
	}
	if err != nil {
		// Danger: the file may be half written; what runs is better than nothing.
		p.log.Error().Err(err).Msg("configuration not taken over, the running one stays")
		return
	}
	p.store.fileReread(file)
}

// install lets the node go by what was read, whole, or leaves it as it is. The lock is held.
func (p *process) install(file *config.Config) error {
	current := p.config
	next := file.WithFixedKeysOf(current)
	if err := p.applyChanges(current, next); err != nil {
		return err
	}
	if keys := current.RestartRequiredKeys(file); len(keys) > 0 {
		p.log.Warn().Strs("keys", keys).Msg("configuration: these keys change with a restart only")
	}
	zerolog.SetGlobalLevel(next.LogLevel)
	if next.RegistryAddr != current.RegistryAddr {
		p.registry.SetAddr(next.RegistryAddr)
	}
	p.log.Info().Str("discovery", next.RegistryAddr).Msg("configuration taken over")
	p.config = next
	return nil
}

// takeOver lets the node go by what differs in next.
func (p *process) applyChanges(current, next *config.Config) error {
	if !current.SameFleet(next) {
		p.peers.close(false)
		if err := p.startFleet(next); err != nil {
			return errors.Join(err, p.startFleet(current)) // what ran before runs again
		}
		if current.SameSettings(next) && !next.Rules.Topology.Peers {
			return nil
		}
	} else if current.SameSettings(next) {
		return nil
	}
	return p.switchGeneration(next)
}

// change lets ops that come from now on go by the next settings. Danger: requests must not be read by categories that
// no module has yet, so the front comes last.
func (p *process) switchGeneration(next *config.Config) error {
	if zone := int(next.Rules.Topology.Zone); zone < len(next.Names.Zones) {
		next.Rules.Topology.Zone = p.registry.ZoneID(next.Names.Zones[zone]) // lists keep the numbers they have
	}
	g, err := p.newGeneration(next)
	if err != nil {
		return err
	}
	g.Apply = func() { p.serverPool.Use(p.serverOptions(next)) }
	number, err := p.actor.Switch(g)
	if err != nil {
		return err
	}
	p.registry.SetAutoWatch(!next.Rules.Registry.Ask, config.Duration(next.Rules.DrainGrace))
	p.clientServer.Use(clientOptions(next, number))
	return nil
}

// Check says what is wrong with a configuration beyond what reading it shows: the list that it starts with.
func CheckConfig(c *config.Config) error {
	client := registry.New(registry.Options{Zones: c.Names.Zones, MachineTypes: c.Names.MachineTypes}, sockets.NewPart(1), zerolog.Nop())
	_, err := client.LoadCached(c.CachedList)
	return err
}
