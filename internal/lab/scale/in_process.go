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
	perService = 8   // servers of a service, each with a node of its own: 900 servers are in some 110 services
	zones      = 5   // three in one region, two in the other
	callRate   = 322 // calls per second at each node
)

// Cluster is a fleet of nodes connected by a relay. Each node has a slot of the relay. The nodes are processes of the
// program, or in-process nodes.
type Cluster interface {
	// Size returns the number of nodes.
	Size() int
	// Start starts the node in a slot.
	Start(slot int) error
	// Kill stops the node in a slot without notice to its peers.
	Kill(slot int) error
	// WaitForAgreement waits until each node in the given slots sees exactly the nodes in these slots as alive, and
	// returns how long that took on the cluster's clock.
	WaitForAgreement(ctx context.Context, slots []int, timeout time.Duration) (time.Duration, error)
	// NetworkRelay returns the relay between the nodes.
	NetworkRelay() *relay.Relay
	// Usage returns the processor time used so far in seconds and the resident memory in MB; 0 if nodes share a process.
	Usage(slot int) (seconds, mb float64)
	// View returns what a node knows of the fleet, as operators see it.
	View(ctx context.Context, slot int) (*fleet.View, error)
	// SlowdownFactor returns the factor by which all clocks of the cluster are slowed; 1 is real time.
	SlowdownFactor() int
	// Close stops all nodes and the relay.
	Close() error
}

// inProcessNode is one node of an InProcessCluster: a node without sockets for clients and servers.
type inProcessNode struct {
	mu      sync.Mutex
	node    *node.Node
	fleet   *fleet.Fleet
	stop    context.CancelFunc
	ended   chan error
	servers []policy.ServerID
}

// InProcessCluster is a Cluster of many nodes in this process. They run the real code of membership, of server reports and
// of the node's actor, with its real intervals and sizes, each at an address of its own.
type InProcessCluster struct {
	relay          *relay.Relay
	nodes          []*inProcessNode
	calledServices int           // number of services that each node calls
	retention      time.Duration // of departed members; 0: the default
	slowdown       int
	seed           uint64
}

// NewInProcessCluster opens the relay for the given number of nodes. All clocks are slowed by the factor slowdown.
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

// Size implements Cluster.
func (c *InProcessCluster) Size() int { return len(c.nodes) }

// NetworkRelay implements Cluster.
func (c *InProcessCluster) NetworkRelay() *relay.Relay { return c.relay }

// Usage implements Cluster: it is unknown, as the nodes share this process.
func (c *InProcessCluster) Usage(int) (float64, float64) { return 0, 0 }

// SlowdownFactor implements Cluster.
func (c *InProcessCluster) SlowdownFactor() int { return c.slowdown }

// serviceCount returns the number of services of a fleet.
func serviceCount(nodes int) int { return max(1, (nodes+perService-1)/perService) }

// calledServers returns the servers of the services that a node calls: those that follow its own service, cyclically.
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

// configuration returns the configuration of a node, parsed from the platform's JSON format.
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

// noServers replaces the server pool and the registry client, which in-process nodes don't have. All methods do nothing.
type noServers struct{}

// UpdateList implements node.Servers.
func (noServers) UpdateList(*node.List) {}

// Push implements node.Servers.
func (noServers) Push(*node.Push) {}

// CloseIdle implements node.Servers.
func (noServers) CloseIdle(policy.ServerID) {}

// Watch implements node.Registry.
func (noServers) Watch() {}

// Start implements Cluster.
func (c *InProcessCluster) Start(slot int) error {
	member := c.nodes[slot]
	member.mu.Lock()
	defer member.mu.Unlock()
	parsed, err := c.configuration(slot)
	if err != nil {
		return err
	}
	clock := node.NewSlowedClock(c.slowdown)
	newNode := node.New(node.Options{MaxPendingOps: 1000}, parsed.Rules.NewNode(parsed.Seed), clock, zerolog.Nop())
	list := &node.List{Form: policy.ListFull}
	member.servers = calledServers(slot, len(c.nodes), c.calledServices)
	for _, server := range member.servers {
		list.Entries = append(list.Entries, policy.ListEntry{Server: server, State: policy.Ready, Weight: 1, Zone: policy.ZoneID(uint64(server-1) % zones)})
		list.Addrs = append(list.Addrs, "127.0.0.1:1")
	}
	newNode.Start(noServers{}, noServers{}, list)
	var ctx context.Context
	ctx, member.stop = context.WithCancel(context.Background())
	member.ended = make(chan error, 1)
	go func() { member.ended <- newNode.Run(ctx) }()
	newFleet, err := fleet.StartWithRetention(parsed, newNode, clock, zerolog.Nop(), c.retention)
	if err != nil {
		member.stop()
		<-member.ended
		return err
	}
	member.node = newNode
	member.fleet = newFleet
	return nil
}

// Kill implements Cluster.
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
	member.fleet = nil
	member.node = nil
	return err
}

// Close implements Cluster.
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

// View implements Cluster. It asks the node directly, as in-process nodes have no control socket.
func (c *InProcessCluster) View(_ context.Context, slot int) (*fleet.View, error) {
	if nodeFleet := c.fleetOf(slot); nodeFleet != nil {
		return nodeFleet.View(), nil
	}
	return nil, fmt.Errorf("node %d is not running", slot)
}

// fleetOf returns the fleet part of the node in a slot, or nil if none runs.
func (c *InProcessCluster) fleetOf(slot int) *fleet.Fleet {
	member := c.nodes[slot]
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.fleet
}

// WaitForAgreement implements Cluster.
func (c *InProcessCluster) WaitForAgreement(ctx context.Context, slots []int, timeout time.Duration) (time.Duration, error) {
	started := time.Now()
	slowdown := time.Duration(c.slowdown)
	want := make(map[transport.IncarnationID]bool, len(slots))
	for _, slot := range slots {
		if nodeFleet := c.fleetOf(slot); nodeFleet != nil {
			want[nodeFleet.Incarnation()] = true
		}
	}
	for {
		lastWrong := 0
		wrong := 0
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

// knowsExactly reports whether a node and its alive peers are exactly the wanted incarnations.
func knowsExactly(nodeFleet *fleet.Fleet, want map[transport.IncarnationID]bool) bool {
	peers := nodeFleet.AlivePeers()
	if len(peers) != len(want)-1 {
		return false
	}
	for i := range peers {
		if !want[peers[i].Incarnation] {
			return false
		}
	}
	return true
}

// SimulateCalls records pushes and their random outcomes at each node, callRate per second, until ctx is done. Pushes to a
// silent server time out after one second. Both times are on the cluster's clock.
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
					nodeFleet.PushEnded(pending[0].server, 0, policy.TimedOut, policy.Micros(callTimeout.Microseconds()))
					pending = pending[1:]
				}
				for owed += callRate * tick.Seconds(); owed >= 1; owed-- {
					server := member.servers[rng.IntN(len(member.servers))]
					nodeFleet.PushSent(server, 0)
					if silent(server) {
						pending = append(pending, push{server, now.Add(slowdown * callTimeout)})
						continue
					}
					nodeFleet.PushEnded(server, 0, policy.Acked, policy.Micros(3000+rng.IntN(4000)))
				}
			}
		})
	}
	callers.Wait()
}
