// Package serve runs one node as a process: it connects the parts of the node, handles signals and configuration changes,
// writes the log and shuts the node down.
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

	"canvasrouter/internal/config"
	"canvasrouter/internal/frontend"
	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
	"canvasrouter/internal/registry"
	"canvasrouter/internal/servers"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// logBufferLines is the number of log lines that may wait to be written. Beyond it the oldest lines are dropped, so that no
// op ever waits for the log.
const logBufferLines = 1024

// logFlushTimeout bounds how long the exit waits until the last log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// Options replace parts of the node in other programs. The zero value runs the node unchanged.
type Options struct {
	// Getenv replaces the environment.
	Getenv func(string) string

	// NewDecider makes the decider of a configuration, in place of the policy.
	NewDecider func(*config.Config) (policy.Decider, error)

	// AdjustAnswerSlack returns the answer slack to use in place of the one from the settings.
	AdjustAnswerSlack func(settings policy.Micros) policy.Micros
}

// Main runs the node until SIGTERM or an interrupt and returns its exit code: 0 after a planned restart, 1 after a failure,
// 2 if the configuration is invalid. The error is one line on standard error.
func Main(o Options) int {
	signal.Ignore(syscall.SIGPIPE) // a write to a log that nobody reads any more would end the process
	// Until SIGHUP is caught it ends the process. One that arrives during the start waits in this channel.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// An uncaught SIGTERM would end the process, too, and a node that is stopped during its start would look like one that
	// crashed.
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
	go func() {
		logWriter.Close()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(logFlushTimeout): // without this, the exit would hang if nobody reads the log any more
	}
	if err != nil {
		return 1
	}
	return 0
}

// run starts the parts of the node and returns when the node has shut down.
func (o *Options) run(c *config.Config, reload <-chan os.Signal, terminate context.Context, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	plan := memory.NewPlan(c.MemoryBytes(), c.Sockets)
	debug.SetMemoryLimit(plan.HeapLimit)
	account := memory.NewAccount(plan, frontend.MaxHeadMemory, node.PayloadBytes(node.MaxBodyBytes))
	clock := node.NewClock()
	p := &process{
		Options:          o,
		config:           c,
		clock:            clock,
		account:          account,
		maxOpsWithPushes: plan.ClientSockets,
		log:              log,
	}
	firstGeneration, err := p.newGeneration(c)
	if err != nil {
		return err
	}
	actor := node.New(firstGeneration.Options, firstGeneration.Module, clock, log.With().Str("part", "node").Logger())
	registryClient := registry.New(registry.Options{
		Addr:           c.RegistryAddr,
		Zones:          c.Names.Zones,
		MachineTypes:   c.Names.MachineTypes,
		AutoWatch:      !c.Rules.Registry.MustSubscribe,
		BaseRetryDelay: time.Second,
		DrainGrace:     config.Duration(c.Rules.DrainGrace),
		Seed:           c.Seed,
	}, sockets.NewBudget(plan.RegistrySockets), log.With().Str("part", "registry").Logger())
	cachedList, err := registryClient.LoadCached(c.CachedList)
	if err != nil {
		return err
	}
	c.CachedList = nil // as long as thousands of servers need
	serverPool := servers.New(p.serverOptions(c), sockets.NewBudget(plan.ServerSockets), log.With().Str("part", "servers").Logger(), actor.PushEnded)
	clientLimits := frontend.Limits{
		Sockets:        sockets.NewBudget(plan.ClientSockets),
		Heads:          account.Heads,
		Bodies:         account.Bodies,
		Backlog:        plan.Backlog,
		BacklogBuffers: plan.BacklogBuffers,
		Buffers:        plan.ClientBuffers,
	}
	clientServer, err := frontend.Listen(c.Listen, clientOptions(c, 0), clientLimits, actor, clock,
		log.With().Str("part", "clients").Logger())
	if err != nil {
		return fmt.Errorf("config: key listen: %w", err)
	}
	p.actor = actor
	p.registry = registryClient
	p.serverPool = serverPool
	p.clientServer = clientServer
	account.Answers.OnShortage(clientServer.CloseUnread)

	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	actor.Start(serverPool, registryClient, cachedList)
	actorEnded := make(chan error, 1)
	go func() { actorEnded <- actor.Run(runCtx) }()
	go registryClient.Run(runCtx, actor.ListReceived)
	if err := p.startFleet(c); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	defer p.peers.close(true)
	defer p.followStore(c)()
	go func() { // runs until the process ends, so a reload also works while the node drains
		for {
			<-reload
			p.reconfigure()
		}
	}()
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- clientServer.Serve() }()
	log.Info().Str("listen", c.Listen).Int("tier", c.Rules.Topology.Tier).Int("servers", len(cachedList.Entries)).
		Int("sockets", c.Sockets).Int("memory_mb", c.MemoryMB).Int("client_sockets", plan.ClientSockets).
		Int("server_sockets", plan.ServerSockets).Int("pending_ops", plan.PendingOps).Int("backlog", plan.Backlog).Msg("node starts")
	go p.logStatus(runCtx)
	defer p.logStatusOnce()

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
		clientServer.Drain(serveEnded, false) // the answers of pending ops are still sent
		return err
	}
}

// process holds the parts of a running node and the configuration in force.
type process struct {
	*Options
	config           *config.Config
	account          *memory.Account
	maxOpsWithPushes int // ops that can have pushes in flight
	log              zerolog.Logger
	actor            *node.Node
	registry         *registry.Client
	serverPool       *servers.Pool
	clientServer     *frontend.Server
	clock            *node.Clock
	peers            peerNetwork

	mu    sync.Mutex // guards config and serializes configuration changes
	store storeFollower
}

// newGeneration makes the decider for the settings of c, and its options. The decider is the policy unless
// Options.NewDecider replaces it.
func (p *process) newGeneration(c *config.Config) (*node.Generation, error) {
	for _, key := range c.IgnoredSettings {
		p.log.Warn().Str("key", key).Msg("setting is no longer heeded")
	}
	if c.Rules.Topology.PeerMessaging && !canReachPeers(c) {
		p.log.Warn().Str("key", "limits.peers").Msg("nodes have no way to tell each other; the module decides without")
		c.Rules.Topology.PeerMessaging = false
	}
	generation := &node.Generation{Options: node.Options{
		MaxPendingOps: min(p.account.Plan.PendingOps, c.MaxPendingOps),
		AnswerSlack:   c.AnswerSlack,
	}}
	if p.AdjustAnswerSlack != nil {
		generation.Options.AnswerSlack = p.AdjustAnswerSlack(generation.Options.AnswerSlack)
	}
	if p.NewDecider == nil {
		generation.Module = c.Rules.NewNode(c.Seed)
		return generation, nil
	}
	var err error
	generation.Module, err = p.NewDecider(c)
	return generation, err
}

// serverOptions returns the options of the server pool under a configuration.
func (p *process) serverOptions(c *config.Config) servers.Options {
	return servers.Options{
		DialTimeout:       config.Duration(c.Rules.PushLimits.DialTimeout),
		ServerIdleTimeout: c.ServerIdleTimeout,
		MaxInFlight:       p.maxOpsWithPushes * c.Rules.PushLimits.MaxPushes,
		Answers:           p.account.Answers,
		Buffers:           p.account.Plan.ServerBuffers,
	}
}

// clientOptions returns the options for clients under a configuration and its generation.
func clientOptions(c *config.Config, generation int) frontend.Options {
	options := frontend.Options{Categories: c.Names.Categories, Tenants: c.Names.Tenants, GenerationNumber: generation}
	for _, category := range c.Rules.Categories {
		options.DeliverySemantics = append(options.DeliverySemantics, category.Delivery)
		ttl := config.Duration(category.TTL)
		options.MaxTTL = max(options.MaxTTL, ttl)
		if options.MinTTL == 0 || ttl < options.MinTTL {
			options.MinTTL = ttl
		}
	}
	return options
}

// reconfigure reads the configuration again and applies what can change while the node runs: the settings, the registry's
// address, the log level and the key fleet. Pending ops and client connections are not interrupted.
func (p *process) reconfigure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := p.loadAndInstall()
	if err != nil {
		// The file may be half written; the running configuration stays in force.
		p.log.Error().Err(err).Msg("configuration not taken over, the running one stays")
		return
	}
	p.store.fileReread(file)
}

// loadAndInstall reads the configuration and puts it into force. A panic is an error: a configuration must not end the process.
func (p *process) loadAndInstall() (file *config.Config, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	if file, err = config.Load(p.Getenv); err != nil {
		return nil, err
	}
	if file, err = p.store.overlay(file); err != nil {
		return nil, err
	}
	return file, p.install(file)
}

// install puts a configuration into force as a whole, or returns an error and leaves the current one in force. p.mu is
// held.
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

// applyChanges applies what differs between current and next.
func (p *process) applyChanges(current, next *config.Config) error {
	if !current.SameFleet(next) {
		p.peers.close(false)
		if err := p.startFleet(next); err != nil {
			return errors.Join(err, p.startFleet(current)) // go back to the previous fleet
		}
		if current.SameSettings(next) && !next.Rules.Topology.PeerMessaging {
			return nil
		}
	} else if current.SameSettings(next) {
		return nil
	}
	return p.switchGeneration(next)
}

// switchGeneration makes ops that arrive from now on follow the settings of next. The client server is switched last:
// otherwise it would assign requests to categories that no generation knows yet.
func (p *process) switchGeneration(next *config.Config) error {
	if zone := int(next.Rules.Topology.Zone); zone < len(next.Names.Zones) {
		// The registry client keeps the zone numbers that it already uses.
		next.Rules.Topology.Zone = p.registry.ZoneID(next.Names.Zones[zone])
	}
	generation, err := p.newGeneration(next)
	if err != nil {
		return err
	}
	generation.Apply = func() { p.serverPool.SetOptions(p.serverOptions(next)) }
	number, err := p.actor.Switch(generation)
	if err != nil {
		return err
	}
	p.registry.SetAutoWatch(!next.Rules.Registry.MustSubscribe, config.Duration(next.Rules.DrainGrace))
	p.clientServer.SetOptions(clientOptions(next, number))
	return nil
}

// CheckConfig checks what config.Load does not: the cached server list.
func CheckConfig(c *config.Config) error {
	client := registry.New(registry.Options{Zones: c.Names.Zones, MachineTypes: c.Names.MachineTypes}, sockets.NewBudget(1), zerolog.Nop())
	_, err := client.LoadCached(c.CachedList)
	return err
}
