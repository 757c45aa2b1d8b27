package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/policy"
)

const (
	perService = 8   // servers of a service, each with its node: 900 in 110 services
	zones      = 5   // in two regions: three and two
	callRate   = 322 // calls a second at a node
)

// Cluster is nodes that hear each other by a relay, real or hollow.
type Cluster interface {
	Size() int
	Start(place int) error
	Kill(place int) error
	// Agree waits until the nodes at some places know of exactly these.
	WaitForAgreement(ctx context.Context, places []int, most time.Duration) (time.Duration, error)
	NetworkRelay() *relay.Relay
	// Usage is the processor time used so far in seconds and the resident memory in MB; 0 where nodes share a process.
	Usage(place int) (seconds, mb float64)
	// View is what a node knows, as operators look at it.
	View(ctx context.Context, place int) (*fleet.View, error)
	// Slow is by how much all clocks of the run are slowed; 1: real time.
	SlowdownFactor() int
	Close() error
}

// hollow is one node without clients' and servers' sockets.
type hollow struct {
	mu    sync.Mutex
	node  *node.Node
	fleet *fleet.Fleet
	stop  context.CancelFunc
	ended chan error
	list  []policy.ServerID
}

// HollowCluster is many nodes in this process: the real code of members, judgements and the module's actor, with its real
// clocks and sizes, each at an address of its own.
type InProcessCluster struct {
	relay  *relay.Relay
	nodes  []*hollow
	called int           // services that a node calls
	keep   time.Duration // members that are gone; 0: as usual
	slow   int
	seed   uint64
}

// NewHollow opens the relay for so many, with all clocks slowed by a factor.
func NewInProcessCluster(nodes, called int, keep time.Duration, slow int, seed uint64) (*InProcessCluster, error) {
	r, err := relay.New(nodes, seed)
	if err != nil {
		return nil, err
	}
	c := &InProcessCluster{relay: r, called: called, keep: keep, slow: max(1, slow), seed: seed}
	for range nodes {
		c.nodes = append(c.nodes, &hollow{})
	}
	return c, nil
}

func (c *InProcessCluster) Size() int                    { return len(c.nodes) }
func (c *InProcessCluster) NetworkRelay() *relay.Relay   { return c.relay }
func (c *InProcessCluster) Usage(int) (float64, float64) { return 0, 0 }
func (c *InProcessCluster) SlowdownFactor() int          { return c.slow }

// services is how many there are.
func services(nodes int) int { return max(1, (nodes+perService-1)/perService) }

// servers are those of the services that a node calls: the next ones after its own, round.
func servers(place, nodes, called int) (all []policy.ServerID) {
	of := services(nodes)
	for k := 1; k <= min(called, of); k++ {
		service := (place/perService + k) % of
		for i := range perService {
			if n := service*perService + i; n < nodes {
				all = append(all, policy.ServerID(n+1))
			}
		}
	}
	return all
}

// configuration is a hollow node's, in the platform's form.
func (c *InProcessCluster) configuration(place int) (*config.Config, error) {
	join := ""
	for i := range min(3, len(c.nodes)) {
		if i > 0 {
			join += ","
		}
		join += fmt.Sprintf("%q", relay.AdvertisedAddr(i, c.relay.Port()))
	}
	return config.Parse([]byte(fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"%x",
 "fleet":{"listen":%q,"advertise":%q,"join":[%s],"words":false},
 "settings":{"tier":0,"tiers":["front"],"fleet_size":%d,"slot_no":%d,"az":%d,"failure_domains":["a","b","c","d","e"],"kinds":["m"],"tick":5,
  "registry_mode":"ask","categories":[{"name":"call","benefit":1,"effect":"idempotent","target_latency":300,"ttl":1000}],
  "limits":{"max_pushes":3,"may_duplicate":true,"may_cancel":true,"dial_timeout":100,"retry_after":true,"max_retry_after":1000},
  "safety":{"answer_slack":20,"cold_from":0.3,"cold":4000,"overload_factor":3,"tip_after":1000,"must_ask_in":10000,"drain_grace":1500}}}`,
		place, c.seed+uint64(place), relay.BindAddr(place, c.relay.Port()), relay.AdvertisedAddr(place, c.relay.Port()), join,
		len(c.nodes), place, place%zones)), func(string) string { return "" })
}

// none carries nothing and asks nobody: a hollow node has no servers and no registry.
type none struct{}

func (none) UpdateList(*node.List)     {}
func (none) Push(*node.Push)           {}
func (none) CloseIdle(policy.ServerID) {}
func (none) Watch()                    {}

// Start starts a hollow node.
func (c *InProcessCluster) Start(place int) error {
	h := c.nodes[place]
	h.mu.Lock()
	defer h.mu.Unlock()
	conf, err := c.configuration(place)
	if err != nil {
		return err
	}
	clock := node.NewSlowedClock(c.slow)
	n := node.New(node.Options{MaxPendingOps: 1000}, conf.Rules.NewNode(conf.Seed), clock, zerolog.Nop())
	list := &node.List{Form: policy.ListFull}
	h.list = servers(place, len(c.nodes), c.called)
	for _, s := range h.list {
		list.Entries = append(list.Entries, policy.ListEntry{Server: s, State: policy.Ready, Weight: 1, Zone: policy.ZoneID(uint64(s-1) % zones)})
		list.Addrs = append(list.Addrs, "127.0.0.1:1")
	}
	n.Start(none{}, none{}, list)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.ended = make(chan error, 1)
	go func() { h.ended <- n.Run(ctx) }()
	f, err := fleet.StartWithRetention(conf, n, clock, zerolog.Nop(), c.keep)
	if err != nil {
		h.stop()
		<-h.ended
		return err
	}
	h.node, h.fleet = n, f
	return nil
}

// Kill ends a hollow node without a word to anybody.
func (c *InProcessCluster) Kill(place int) error {
	h := c.nodes[place]
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleet == nil {
		return nil
	}
	h.fleet.Kill()
	h.stop()
	err := <-h.ended
	h.fleet, h.node = nil, nil
	return err
}

// Close ends all.
func (c *InProcessCluster) Close() error {
	var all sync.WaitGroup
	room := make(chan struct{}, 32)
	for i := range c.nodes {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			c.Kill(i)
		})
	}
	all.Wait()
	c.relay.Close()
	return nil
}

// View is Cluster's. Hollow nodes have no socket to ask.
func (c *InProcessCluster) View(_ context.Context, place int) (*fleet.View, error) {
	if f := c.fleetOf(place); f != nil {
		return f.View(), nil
	}
	return nil, fmt.Errorf("node %d is not there", place)
}

func (c *InProcessCluster) fleetOf(place int) *fleet.Fleet {
	h := c.nodes[place]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet
}

// Agree is Cluster's.
func (c *InProcessCluster) WaitForAgreement(ctx context.Context, places []int, most time.Duration) (time.Duration, error) {
	begun, slow := time.Now(), time.Duration(c.slow)
	want := make(map[transport.IncarnationID]bool, len(places))
	for _, place := range places {
		if f := c.fleetOf(place); f != nil {
			want[f.Incarnation()] = true
		}
	}
	for {
		last, wrong := 0, 0
		for _, place := range places {
			if f := c.fleetOf(place); f == nil || !knows(f, want) {
				last = place
				wrong++
			}
		}
		took := time.Since(begun) / slow
		if wrong == 0 {
			return took, nil
		}
		if took > most {
			return took, fmt.Errorf("no agreement after %v: %d of %d nodes, node %d among them", most, wrong, len(places), last)
		}
		select {
		case <-ctx.Done():
			return took, ctx.Err()
		case <-time.After(50 * time.Millisecond * slow):
		}
	}
}

func knows(f *fleet.Fleet, want map[transport.IncarnationID]bool) bool {
	others := f.AlivePeers()
	if len(others) != len(want)-1 {
		return false
	}
	for i := range others {
		if !want[others[i].Incarnation] {
			return false
		}
	}
	return true
}

// Calls draws the ends of pushes at callRate a second a node, until ctx is done. Pushes to a silent server time out after a
// second. Both are of the cluster's clock.
func (c *InProcessCluster) SimulateCalls(ctx context.Context, silent func(policy.ServerID) bool) {
	const beat, wait = 50 * time.Millisecond, time.Second
	slow := time.Duration(c.slow)
	var all sync.WaitGroup
	for i, h := range c.nodes {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			time.Sleep(slow * time.Duration(rng.Int64N(int64(beat))))
			ticker := time.NewTicker(slow * beat)
			defer ticker.Stop()
			type push struct {
				server policy.ServerID
				due    time.Time
			}
			var out []push
			for due := 0.0; ; {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				f := c.fleetOf(i)
				if f == nil || len(h.list) == 0 {
					continue
				}
				now := time.Now()
				for len(out) > 0 && now.After(out[0].due) {
					f.PushEnded(out[0].server, 0, policy.TimedOut, policy.Micros(wait.Microseconds()))
					out = out[1:]
				}
				for due += callRate * beat.Seconds(); due >= 1; due-- {
					s := h.list[rng.IntN(len(h.list))]
					f.PushSent(s, 0)
					if silent(s) {
						out = append(out, push{s, now.Add(slow * wait)})
						continue
					}
					f.PushEnded(s, 0, policy.Acked, policy.Micros(3000+rng.IntN(4000)))
				}
			}
		})
	}
	all.Wait()
}
