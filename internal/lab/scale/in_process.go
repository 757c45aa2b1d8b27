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
type inProcessNode struct {
	mu      sync.Mutex
	node    *node.Node
	fleet   *fleet.Fleet
	stop    context.CancelFunc
	ended   chan error
	servers []policy.ServerID
}

// HollowCluster is many nodes in this process: the real code of members, judgements and the module's actor, with its real
// clocks and sizes, each at an address of its own.
type InProcessCluster struct {
	relay          *relay.Relay
	nodes          []*inProcessNode
	calledServices int           // services that a node calls
	retention      time.Duration // members that are gone; 0: as usual
	slowdown       int
	seed           uint64
}

// NewHollow opens the relay for so many, with all clocks slowed by a factor.
func NewInProcessCluster(nodes, calledServices int, retention time.Duration, slowdown int, seed uint64) (*InProcessCluster, error) {
	fleetRelay, err := relay.New(nodes, seed)
	if err != nil {
		return nil, err
	}
	cluster := &InProcessCluster{relay: fleetRelay, calledServices: calledServices, retention: retention, slowdown: max(1, slowdown), seed: seed}
	for range nodes {
		cluster.nodes = append(cluster.nodes, &inProcessNode{})
	}
	return cluster, nil
}

func (c *InProcessCluster) Size() int                    { return len(c.nodes) }
func (c *InProcessCluster) NetworkRelay() *relay.Relay   { return c.relay }
func (c *InProcessCluster) Usage(int) (float64, float64) { return 0, 0 }
func (c *InProcessCluster) SlowdownFactor() int          { return c.slowdown }

// services is how many there are.
func serviceCount(nodes int) int { return max(1, (nodes+perService-1)/perService) }

// servers are those of the services that a node calls: the next ones after its own, round.
func calledServers(slot, nodes, calledServices int) (servers []policy.ServerID) {
	total := serviceCount(nodes)
	for offset := 1; offset <= min(calledServices, total); offset++ {
		service := (slot/perService + offset) % total
		for i := range perService {
			if n := service*perService + i; n < nodes {
				servers = append(servers, policy.ServerID(n+1))
			}
		}
	}
	return servers
}

// configuration is a hollow node's, in the platform's form.
func (c *InProcessCluster) configuration(slot int) (*config.Config, error) {
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
		slot, c.seed+uint64(slot), relay.BindAddr(slot, c.relay.Port()), relay.AdvertisedAddr(slot, c.relay.Port()), join,
		len(c.nodes), slot, slot%zones)), func(string) string { return "" })
}

// none carries nothing and asks nobody: a hollow node has no servers and no registry.
type noServers struct{}

func (noServers) Follow(*node.List)         {}
func (noServers) Push(*node.Push)           {}
func (noServers) CloseIdle(policy.ServerID) {}
func (noServers) Watch()                    {}

// Start starts a hollow node.
func (c *InProcessCluster) Start(slot int) error {
	member := c.nodes[slot]
	member.mu.Lock()
	defer member.mu.Unlock()
	parsed, err := c.configuration(slot)
	if err != nil {
		return err
	}
	clock := node.NewSlowedClock(c.slowdown)
	newNode := node.New(node.Options{MostOpen: 1000}, parsed.Rules.NewNode(parsed.Seed), clock, zerolog.Nop())
	list := &node.List{Form: policy.ListWhole}
	member.servers = calledServers(slot, len(c.nodes), c.calledServices)
	for _, server := range member.servers {
		list.Entries = append(list.Entries, policy.Entry{Server: server, State: policy.Ready, Weight: 1, Zone: policy.ZoneID(uint64(server-1) % zones)})
		list.Addrs = append(list.Addrs, "127.0.0.1:1")
	}
	newNode.Start(noServers{}, noServers{}, list)
	var ctx context.Context
	ctx, member.stop = context.WithCancel(context.Background())
	member.ended = make(chan error, 1)
	go func() { member.ended <- newNode.Run(ctx) }()
	newFleet, err := fleet.StartKeeping(parsed, newNode, clock, zerolog.Nop(), c.retention)
	if err != nil {
		member.stop()
		<-member.ended
		return err
	}
	member.node, member.fleet = newNode, newFleet
	return nil
}

// Kill ends a hollow node without a word to anybody.
func (c *InProcessCluster) Kill(slot int) error {
	member := c.nodes[slot]
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.fleet == nil {
		return nil
	}
	member.fleet.Kill()
	member.stop()
	err := <-member.ended
	member.fleet, member.node = nil, nil
	return err
}

// Close ends all.
func (c *InProcessCluster) Close() error {
	var kills sync.WaitGroup
	semaphore := make(chan struct{}, 32)
	for i := range c.nodes {
		kills.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			c.Kill(i)
		})
	}
	kills.Wait()
	c.relay.Close()
	return nil
}

// View is Cluster's. Hollow nodes have no socket to ask.
func (c *InProcessCluster) View(_ context.Context, slot int) (*fleet.View, error) {
	if nodeFleet := c.fleetOf(slot); nodeFleet != nil {
		return nodeFleet.View(), nil
	}
	return nil, fmt.Errorf("node %d is not there", slot)
}

func (c *InProcessCluster) fleetOf(slot int) *fleet.Fleet {
	member := c.nodes[slot]
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.fleet
}

// Agree is Cluster's.
func (c *InProcessCluster) WaitForAgreement(ctx context.Context, slots []int, timeout time.Duration) (time.Duration, error) {
	started, slowdown := time.Now(), time.Duration(c.slowdown)
	want := make(map[transport.LifeID]bool, len(slots))
	for _, slot := range slots {
		if nodeFleet := c.fleetOf(slot); nodeFleet != nil {
			want[nodeFleet.Life()] = true
		}
	}
	for {
		lastWrong, wrong := 0, 0
		for _, slot := range slots {
			if nodeFleet := c.fleetOf(slot); nodeFleet == nil || !knowsExactly(nodeFleet, want) {
				lastWrong = slot
				wrong++
			}
		}
		elapsed := time.Since(started) / slowdown
		if wrong == 0 {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, fmt.Errorf("no agreement after %v: %d of %d nodes, node %d among them", timeout, wrong, len(slots), lastWrong)
		}
		select {
		case <-ctx.Done():
			return elapsed, ctx.Err()
		case <-time.After(50 * time.Millisecond * slowdown):
		}
	}
}

func knowsExactly(nodeFleet *fleet.Fleet, want map[transport.LifeID]bool) bool {
	peers := nodeFleet.Others()
	if len(peers) != len(want)-1 {
		return false
	}
	for i := range peers {
		if !want[peers[i].Life] {
			return false
		}
	}
	return true
}

// Calls draws the ends of pushes at callRate a second a node, until ctx is done. Pushes to a silent server time out after a
// second. Both are of the cluster's clock.
func (c *InProcessCluster) SimulateCalls(ctx context.Context, silent func(policy.ServerID) bool) {
	const tick, callTimeout = 50 * time.Millisecond, time.Second
	slowdown := time.Duration(c.slowdown)
	var callers sync.WaitGroup
	for i, member := range c.nodes {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			time.Sleep(slowdown * time.Duration(rng.Int64N(int64(tick))))
			ticker := time.NewTicker(slowdown * tick)
			defer ticker.Stop()
			type push struct {
				server policy.ServerID
				due    time.Time
			}
			var pending []push
			for owed := 0.0; ; {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				nodeFleet := c.fleetOf(i)
				if nodeFleet == nil || len(member.servers) == 0 {
					continue
				}
				now := time.Now()
				for len(pending) > 0 && now.After(pending[0].due) {
					nodeFleet.Ended(pending[0].server, 0, policy.TimedOut, policy.Micros(callTimeout.Microseconds()))
					pending = pending[1:]
				}
				for owed += callRate * tick.Seconds(); owed >= 1; owed-- {
					server := member.servers[rng.IntN(len(member.servers))]
					nodeFleet.Sent(server, 0)
					if silent(server) {
						pending = append(pending, push{server, now.Add(slowdown * callTimeout)})
						continue
					}
					nodeFleet.Ended(server, 0, policy.Acked, policy.Micros(3000+rng.IntN(4000)))
				}
			}
		})
	}
	callers.Wait()
}
