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
	failureDetectionDelay    = policy.Second            // after which the registry knows that a process has ended
	exitDelay                = 500 * policy.Millisecond // past the grace, a server that was drained ends
	staleListCorrectionDelay = 2 * policy.Second        // after which a stale list is put right
	forever                  = policy.Micros(1 << 40)
)

// Plan makes the plan of the troubles.
func (s *Scenario) Plan(rng *rand.Rand) *Plan {
	p := &Plan{Machines: s.Machines()}
	p.InitialCount = len(p.Machines)
	for _, t := range s.Disturbances {
		first := len(p.Steps)
		p.addDisturbance(s, t, rng)
		if len(p.Steps) > first {
			p.Steps[first].Event = fmt.Sprintf("%s: %s", t.Kind, DisturbanceKinds[t.Kind])
		}
	}
	for i, b := range s.PeerFaults {
		p.addPeerFault(i, &b)
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// between plans a fault between nodes, which begins and ends, or does so by turns.
func (p *Plan) addPeerFault(index int, fault *PeerFault) {
	at, end := fault.At.Micros(), (fault.At + fault.Duration).Micros()
	if fault.Duration == 0 {
		end = forever
	}
	p.Steps = append(p.Steps, Step{At: at, Action: PeerFaultStart, PeerFault: index, Event: fmt.Sprintf("%s: %s", fault.Kind, PeerFaultKinds[fault.Kind])})
	if interval := fault.FlapInterval.Micros(); fault.Kind == "flap" && fault.Duration > 0 {
		for t := at + interval; t+interval < end; t += 2 * interval {
			p.Steps = append(p.Steps, Step{At: t, Action: PeerFaultEnd, PeerFault: index}, Step{At: t + interval, Action: PeerFaultStart, PeerFault: index})
		}
	}
	p.Steps = append(p.Steps, Step{At: end, Action: PeerFaultEnd, PeerFault: index, Event: fault.Kind + " ends"})
}

// hit draws the servers or nodes that a trouble is for.
func (t *Disturbance) drawTargets(all []int, rng *rand.Rand) []int {
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
	subset := all[:min(n, len(all))]
	sort.Ints(subset)
	return subset
}

func (p *Plan) addDisturbance(s *Scenario, t Disturbance, rng *rand.Rand) {
	at, end := t.At.Micros(), (t.At + t.Duration).Micros()
	if t.Duration == 0 {
		end = forever
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
	addStep := func(step Step) { p.Steps = append(p.Steps, step) }
	addStartAndEnd := func(first, last Step) {
		first.At, last.At = at, end
		addStep(first)
		addStep(last)
	}
	// gone takes a server away and brings it back cold, and the registry notices both.
	failAndRestart := func(i int, action Action) {
		addStep(Step{At: at, Action: action, Server: i})
		addStep(Step{At: at + failureDetectionDelay, Action: ServerSetListed, Server: i, State: policy.Gone})
		addStep(Step{At: max(end, at+failureDetectionDelay+1), Action: ServerStart, Server: i})
		addStep(Step{At: max(end, at+failureDetectionDelay+1), Action: ServerSetListed, Server: i, State: policy.Ready})
	}
	// replace drains a server and puts a new cold one in its place.
	replace := func(i int, drainAt, replacedAt policy.Micros) {
		p.Machines = append(p.Machines, p.Machines[i])
		replacement := len(p.Machines) - 1
		addStep(Step{At: drainAt, Action: ServerSetListed, Server: i, State: policy.Draining})
		addStep(Step{At: replacedAt, Action: ServerStart, Server: replacement})
		addStep(Step{At: replacedAt, Action: ServerSetListed, Server: replacement, State: policy.Ready})
		addStep(Step{At: replacedAt, Action: ServerSetListed, Server: i, State: policy.Gone})
		addStep(Step{At: replacedAt + s.Limits.DrainGrace.Micros() + exitDelay, Action: ServerCrash, Server: i})
	}
	switch t.Kind {
	case "slow":
		for _, i := range t.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSlow, Server: i, Factor: t.Factor}, Step{Action: ServerSlow, Server: i, Factor: 1})
		}
	case "stall":
		for _, i := range t.drawTargets(servers, rng) {
			addStep(Step{At: at, Action: ServerStall, Server: i, Time: end})
		}
	case "crash":
		for _, i := range t.drawTargets(servers, rng) {
			failAndRestart(i, ServerCrash)
		}
	case "lost":
		for _, i := range t.drawTargets(servers, rng) {
			failAndRestart(i, ServerSilence)
		}
	case "errors", "turned-away", "reset", "spoilt":
		mode := map[string]ServerMode{"errors": ModeErrors, "turned-away": ModeReject, "reset": ModeReset, "spoilt": ModeCorrupt}[t.Kind]
		for _, i := range t.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSetMode, Server: i, Mode: mode}, Step{Action: ServerSetMode, Server: i})
		}
	case "drain":
		for _, i := range t.drawTargets(servers, rng) {
			replace(i, at, max(end, at+1))
		}
	case "deploy":
		targets := t.drawTargets(servers, rng)
		for n, i := range targets {
			drainAt := at + t.Duration.Micros()*policy.Micros(n)/policy.Micros(len(targets))
			replace(i, drainAt, drainAt+s.Limits.DrainGrace.Micros())
		}
	case "list-lie":
		for _, i := range t.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSetListed, Server: i, State: policy.Gone}, Step{Action: ServerSetListed, Server: i, State: policy.Ready})
		}
	case "registry-down":
		addStartAndEnd(Step{Action: RegistryDown}, Step{Action: RegistryUp})
	case "registry-slow":
		addStartAndEnd(Step{Action: RegistryDelay, Time: policy.Micros(t.Factor * float64(policy.Second))}, Step{Action: RegistryDelay})
	case "registry-stale":
		addStep(Step{At: at, Action: RegistrySaveSnapshot})
		addStartAndEnd(Step{Action: RegistryDown}, Step{Action: RegistryServeSnapshot})
		addStep(Step{At: end, Action: RegistryUp})
		addStep(Step{At: end + staleListCorrectionDelay, Action: RegistryServeCurrent})
	case "node-crash":
		for _, i := range t.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodeCrash, Node: i}, Step{Action: NodeStart, Node: i})
		}
	case "node-restart":
		for _, i := range t.drawTargets(nodes, rng) {
			addStep(Step{At: at, Action: NodeTerminate, Node: i})
		}
	case "node-pause":
		for _, i := range t.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodePause, Node: i}, Step{Action: NodeResume, Node: i})
		}
	case "node-empty", "node-move":
		restart := map[string]Action{"node-empty": NodeStartEmpty, "node-move": NodeStartMoved}[t.Kind]
		for _, i := range t.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodeCrash, Node: i}, Step{Action: restart, Node: i})
		}
	case "node-twin":
		for _, i := range t.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: DuplicateNodeStart, Node: i}, Step{Action: DuplicateNodeEnd, Node: i})
		}
	case "liar-down":
		addStep(Step{At: at, Action: FalseReportsDown})
	case "liar-well":
		addStep(Step{At: at, Action: FalseReportsHealthy})
	case "clock-step":
		addStartAndEnd(Step{Action: ClockStep, Time: policy.Micros(t.Factor * float64(policy.Second))}, Step{Action: ClockStep})
	case "slow-way":
		addStartAndEnd(Step{Action: ZoneDelay, Zone: zone, Time: policy.Micros(t.Factor * float64(policy.Second)), Factor: t.Share}, Step{Action: ZoneDelay, Zone: zone})
	case "one-sided":
		targets := t
		targets.Share = 0 // which servers: count; the share is of pushes
		for _, i := range targets.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: PartialLoss, Server: i, Factor: t.Share}, Step{Action: PartialLoss, Server: i})
		}
	case "burst", "failing", "poison":
		// Its arrivals are made with the load.
		addStep(Step{At: at, Action: NoAction})
	}
}

// heavyEach is which nodes get more than others under an uneven load.
const heavyNodeInterval = 5

// Deal is the node of the first tier that the front deals a request to, by its turn.
func (s *Scenario) AssignNode(turn int) int {
	nodes := s.Tiers[0].NodeCount
	if s.Load.UnevenFactor == 0 {
		return turn % nodes
	}
	heavyNodes := (nodes + heavyNodeInterval - 1) / heavyNodeInterval
	// Turns run over all shares evenly, by the golden section, so that no two requests in a row go by the same pattern.
	const goldenSection = 0.6180339887498949
	_, position := math.Modf(float64(turn) * goldenSection)
	position *= float64(heavyNodes)*s.Load.UnevenFactor + float64(nodes-heavyNodes)
	if heavyTotal := float64(heavyNodes) * s.Load.UnevenFactor; position < heavyTotal {
		return int(position/s.Load.UnevenFactor) * heavyNodeInterval
	} else {
		lightIndex := int(position - heavyTotal)
		return lightIndex/(heavyNodeInterval-1)*heavyNodeInterval + lightIndex%(heavyNodeInterval-1) + 1
	}
}
