package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"canvasrouter/policy"
)

// Verb is what one step of a plan does.
type Action uint8

const (
	ServerSlow      Action = iota // Server runs Factor times slower
	ServerStall                   // Server stands still until Until
	ServerCrash                   // Server dies: connections are reset
	ServerSilence                 // Server says nothing any more
	ServerStart                   // Server starts cold and empty
	ServerSetMode                 // Server behaves as Mode says
	ServerSetListed               // Server is listed as State from now on
	RegistryDown
	RegistryUp
	RegistryDelay         // by Until more; 0 ends it
	RegistrySaveSnapshot  // the list of now is kept aside
	RegistryServeSnapshot // and comes back as if it were new
	RegistryServeCurrent  // and is put right
	NodeCrash
	NodeStart
	NodeTerminate
	NodePause          // SIGSTOP
	NodeResume         // SIGCONT
	NodeStartEmpty     // starts with no list
	NodeStartMoved     // starts under its name at another address for nodes
	DuplicateNodeStart // a second process of Node's name
	DuplicateNodeEnd
	FalseReportsDown // a member that says so of every server begins, beside Node
	FalseReportsHealthy
	PeerFaultStart // the fault Between begins
	PeerFaultEnd
	ClockStep   // by Until, which may be negative
	ZoneDelay   // between Zone and the others: Until longer each way, Factor of what it carries lost
	PartialLoss // Factor of the pushes of half of the nodes to Server get no answer
	NoAction    // but its text
)

// Mode is how a server answers.
type ServerMode uint8

const (
	ModeNormal ServerMode = iota
	ModeErrors
	ModeReject
	ModeReset
	ModeCorrupt
)

// Step is one thing that happens to the fleet.
type Step struct {
	At        policy.Micros // from the start of the load
	Action    Action
	Server    int // a place in Plan.Machines
	Node      int // a place in Balancers
	PeerFault int // a place in Scenario.Between
	Zone      int
	Factor    float64
	Time      policy.Micros
	Mode      ServerMode
	State     policy.ServerState
	Event     string // for the report; only the first step of a trouble has it
}

// Plan is what will happen to a fleet, whatever the driver: every choice is made beforehand, from the seed.
type Plan struct {
	Machines     []Machine // those of the start, then those that take a place later
	InitialCount int       // how many there are at the start
	Steps        []Step
}

const (
	noticed   = policy.Second            // after which the registry knows that a process has ended
	exitAfter = 500 * policy.Millisecond // past the grace, a server that was drained ends
	corrected = 2 * policy.Second        // after which a stale list is put right
	forEver   = policy.Micros(1 << 40)
)

// Plan makes the plan of the troubles.
func (s *Scenario) Plan(rng *rand.Rand) *Plan {
	p := &Plan{Machines: s.Machines()}
	p.InitialCount = len(p.Machines)
	for _, t := range s.Disturbances {
		first := len(p.Steps)
		p.add(s, t, rng)
		if len(p.Steps) > first {
			p.Steps[first].Event = fmt.Sprintf("%s: %s", t.Kind, DisturbanceKinds[t.Kind])
		}
	}
	for i, b := range s.PeerFaults {
		p.between(i, &b)
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// between plans a fault between nodes, which begins and ends, or does so by turns.
func (p *Plan) between(i int, b *PeerFault) {
	at, end := b.At.Micros(), (b.At + b.Duration).Micros()
	if b.Duration == 0 {
		end = forEver
	}
	p.Steps = append(p.Steps, Step{At: at, Action: PeerFaultStart, PeerFault: i, Event: fmt.Sprintf("%s: %s", b.Kind, PeerFaultKinds[b.Kind])})
	if every := b.FlapInterval.Micros(); b.Kind == "flap" && b.Duration > 0 {
		for t := at + every; t+every < end; t += 2 * every {
			p.Steps = append(p.Steps, Step{At: t, Action: PeerFaultEnd, PeerFault: i}, Step{At: t + every, Action: PeerFaultStart, PeerFault: i})
		}
	}
	p.Steps = append(p.Steps, Step{At: end, Action: PeerFaultEnd, PeerFault: i, Event: b.Kind + " ends"})
}

// hit draws the servers or nodes that a trouble is for.
func (t *Disturbance) hit(all []int, rng *rand.Rand) []int {
	return DrawSubset(all, t.Count, t.Share, rng)
}

// Draw draws count of all, or a share of them if count is 0; all if both are.
func DrawSubset(all []int, count int, share float64, rng *rand.Rand) []int {
	n := len(all)
	if count > 0 {
		n = min(n, count)
	} else if share > 0 {
		n = max(1, int(share*float64(len(all))+0.5))
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	hit := all[:min(n, len(all))]
	sort.Ints(hit)
	return hit
}

func (p *Plan) add(s *Scenario, t Disturbance, rng *rand.Rand) {
	at, end := t.At.Micros(), (t.At + t.Duration).Micros()
	if t.Duration == 0 {
		end = forEver
	}
	tier := s.TierIndex(t.Tier)
	zone := -1
	for i, name := range s.Zones {
		if name == t.Zone {
			zone = i
		}
	}
	var servers, nodes []int
	for i, m := range p.Machines[:p.InitialCount] {
		if m.Tier == tier && (zone < 0 || m.Zone == zone) {
			servers = append(servers, i)
		}
	}
	for i, b := range s.Nodes() {
		if b.Tier == 0 && (zone < 0 || b.Zone == zone) {
			nodes = append(nodes, i)
		}
	}
	step := func(x Step) { p.Steps = append(p.Steps, x) }
	both := func(on, off Step) {
		on.At, off.At = at, end
		step(on)
		step(off)
	}
	// gone takes a server away and brings it back cold, and the registry notices both.
	gone := func(i int, how Action) {
		step(Step{At: at, Action: how, Server: i})
		step(Step{At: at + noticed, Action: ServerSetListed, Server: i, State: policy.Gone})
		step(Step{At: max(end, at+noticed+1), Action: ServerStart, Server: i})
		step(Step{At: max(end, at+noticed+1), Action: ServerSetListed, Server: i, State: policy.Ready})
	}
	// replace drains a server and puts a new cold one in its place.
	replace := func(i int, when, left policy.Micros) {
		p.Machines = append(p.Machines, p.Machines[i])
		next := len(p.Machines) - 1
		step(Step{At: when, Action: ServerSetListed, Server: i, State: policy.Draining})
		step(Step{At: left, Action: ServerStart, Server: next})
		step(Step{At: left, Action: ServerSetListed, Server: next, State: policy.Ready})
		step(Step{At: left, Action: ServerSetListed, Server: i, State: policy.Gone})
		step(Step{At: left + s.Limits.DrainGrace.Micros() + exitAfter, Action: ServerCrash, Server: i})
	}
	switch t.Kind {
	case "slow":
		for _, i := range t.hit(servers, rng) {
			both(Step{Action: ServerSlow, Server: i, Factor: t.Factor}, Step{Action: ServerSlow, Server: i, Factor: 1})
		}
	case "stall":
		for _, i := range t.hit(servers, rng) {
			step(Step{At: at, Action: ServerStall, Server: i, Time: end})
		}
	case "crash":
		for _, i := range t.hit(servers, rng) {
			gone(i, ServerCrash)
		}
	case "lost":
		for _, i := range t.hit(servers, rng) {
			gone(i, ServerSilence)
		}
	case "errors", "turned-away", "reset", "spoilt":
		mode := map[string]ServerMode{"errors": ModeErrors, "turned-away": ModeReject, "reset": ModeReset, "spoilt": ModeCorrupt}[t.Kind]
		for _, i := range t.hit(servers, rng) {
			both(Step{Action: ServerSetMode, Server: i, Mode: mode}, Step{Action: ServerSetMode, Server: i})
		}
	case "drain":
		for _, i := range t.hit(servers, rng) {
			replace(i, at, max(end, at+1))
		}
	case "deploy":
		hit := t.hit(servers, rng)
		for n, i := range hit {
			when := at + t.Duration.Micros()*policy.Micros(n)/policy.Micros(len(hit))
			replace(i, when, when+s.Limits.DrainGrace.Micros())
		}
	case "list-lie":
		for _, i := range t.hit(servers, rng) {
			both(Step{Action: ServerSetListed, Server: i, State: policy.Gone}, Step{Action: ServerSetListed, Server: i, State: policy.Ready})
		}
	case "registry-down":
		both(Step{Action: RegistryDown}, Step{Action: RegistryUp})
	case "registry-slow":
		both(Step{Action: RegistryDelay, Time: policy.Micros(t.Factor * float64(policy.Second))}, Step{Action: RegistryDelay})
	case "registry-stale":
		step(Step{At: at, Action: RegistrySaveSnapshot})
		both(Step{Action: RegistryDown}, Step{Action: RegistryServeSnapshot})
		step(Step{At: end, Action: RegistryUp})
		step(Step{At: end + corrected, Action: RegistryServeCurrent})
	case "node-crash":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Action: NodeCrash, Node: i}, Step{Action: NodeStart, Node: i})
		}
	case "node-restart":
		for _, i := range t.hit(nodes, rng) {
			step(Step{At: at, Action: NodeTerminate, Node: i})
		}
	case "node-pause":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Action: NodePause, Node: i}, Step{Action: NodeResume, Node: i})
		}
	case "node-empty", "node-move":
		again := map[string]Action{"node-empty": NodeStartEmpty, "node-move": NodeStartMoved}[t.Kind]
		for _, i := range t.hit(nodes, rng) {
			both(Step{Action: NodeCrash, Node: i}, Step{Action: again, Node: i})
		}
	case "node-twin":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Action: DuplicateNodeStart, Node: i}, Step{Action: DuplicateNodeEnd, Node: i})
		}
	case "liar-down":
		step(Step{At: at, Action: FalseReportsDown})
	case "liar-well":
		step(Step{At: at, Action: FalseReportsHealthy})
	case "clock-step":
		both(Step{Action: ClockStep, Time: policy.Micros(t.Factor * float64(policy.Second))}, Step{Action: ClockStep})
	case "slow-way":
		both(Step{Action: ZoneDelay, Zone: zone, Time: policy.Micros(t.Factor * float64(policy.Second)), Factor: t.Share}, Step{Action: ZoneDelay, Zone: zone})
	case "one-sided":
		hit := t
		hit.Share = 0 // which servers: count; the share is of pushes
		for _, i := range hit.hit(servers, rng) {
			both(Step{Action: PartialLoss, Server: i, Factor: t.Share}, Step{Action: PartialLoss, Server: i})
		}
	case "burst", "failing", "poison":
		// Its arrivals are made with the load.
		step(Step{At: at, Action: NoAction})
	}
}

// heavyEach is which nodes get more than others under an uneven load.
const heavyEach = 5

// Deal is the node of the first tier that the front deals a request to, by its turn.
func (s *Scenario) AssignNode(turn int) int {
	nodes := s.Tiers[0].NodeCount
	if s.Load.UnevenFactor == 0 {
		return turn % nodes
	}
	heavy := (nodes + heavyEach - 1) / heavyEach
	// Turns run over all shares evenly, by the golden section, so that no two requests in a row go by the same pattern.
	const section = 0.6180339887498949
	_, x := math.Modf(float64(turn) * section)
	x *= float64(heavy)*s.Load.UnevenFactor + float64(nodes-heavy)
	if own := float64(heavy) * s.Load.UnevenFactor; x < own {
		return int(x/s.Load.UnevenFactor) * heavyEach
	} else {
		light := int(x - own)
		return light/(heavyEach-1)*heavyEach + light%(heavyEach-1) + 1
	}
}
