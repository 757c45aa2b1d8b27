package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"canvasrouter/policy"
)

// Action is what one step of a plan does. The comments name the fields of Step that an action reads.
type Action uint8

const (
	ServerSlow            Action = iota // Server runs slower by Factor
	ServerStall                         // Server processes nothing until Time
	ServerCrash                         // Server ends and its connections are reset
	ServerSilence                       // Server ends without closing its connections
	ServerStart                         // Server starts cold and with an empty queue
	ServerSetMode                       // Server answers according to Mode
	ServerSetListed                     // the registry lists Server with State
	RegistryDown                        // the registry resets watches and refuses calls
	RegistryUp                          // the registry serves again
	RegistryDelay                       // the registry answers later by Time; 0 ends the delay
	RegistrySaveSnapshot                // the registry saves its current list
	RegistryServeSnapshot               // the registry serves the saved list as if it were current
	RegistryServeCurrent                // the registry serves its current list again
	NodeCrash                           // Node is killed
	NodeStart                           // Node starts with the list of servers that it began with
	NodeTerminate                       // Node receives SIGTERM
	NodePause                           // Node receives SIGSTOP
	NodeResume                          // Node receives SIGCONT
	NodeStartEmpty                      // Node starts without a list of servers
	NodeStartMoved                      // Node starts under its name with another address for its peers
	DuplicateNodeStart                  // a second process with the name of Node starts
	DuplicateNodeEnd                    // the second process with the name of Node ends
	FalseReportsDown                    // an additional member starts that reports every server as down
	FalseReportsHealthy                 // an additional member starts that reports every server as healthy
	PeerFaultStart                      // PeerFault begins
	PeerFaultEnd                        // PeerFault ends
	ClockStep                           // the clients' clocks step by Time, which may be negative
	ZoneDelay                           // traffic between Zone and other zones takes Time longer each way; the share Factor is lost
	PartialLoss                         // half of the nodes get no answer to the share Factor of their pushes to Server
	NoAction                            // only Event is reported
)

// ServerMode is how a server answers.
type ServerMode uint8

const (
	ModeNormal  ServerMode = iota
	ModeErrors             // answers 500 without running the op
	ModeReject             // rejects every op as if its queue were full
	ModeReset              // runs the op and breaks the connection
	ModeCorrupt            // runs the op and answers with malformed HTTP
)

// Step is one change to the fleet at one time.
type Step struct {
	At        policy.Micros // from the start of the load
	Action    Action
	Server    int // index in Plan.Machines
	Node      int // index in Scenario.Nodes
	PeerFault int // index in Scenario.PeerFaults
	Zone      int
	Factor    float64
	Time      policy.Micros // end of a stall, a delay, or the offset of a clock step
	Mode      ServerMode
	State     policy.ServerState
	Event     string // line for the report; only the first step of a disturbance has one
}

// Plan lists all changes to a fleet during a run, for any driver. All random choices are made beforehand, from the seed.
type Plan struct {
	Machines     []Machine // the initial machines, followed by those that replace them later
	InitialCount int       // number of initial machines
	Steps        []Step
}

const (
	failureDetectionDelay    = policy.Second            // until the registry delists a process that ended
	exitDelay                = 500 * policy.Millisecond // from the end of the grace period to the end of a drained server
	staleListCorrectionDelay = 2 * policy.Second        // until the registry replaces a stale list
	forever                  = policy.Micros(1 << 40)
)

// Plan returns the plan of the disturbances and of the faults between nodes.
func (s *Scenario) Plan(rng *rand.Rand) *Plan {
	p := &Plan{Machines: s.Machines()}
	p.InitialCount = len(p.Machines)
	for _, disturbance := range s.Disturbances {
		first := len(p.Steps)
		p.addDisturbance(s, disturbance, rng)
		if len(p.Steps) > first {
			p.Steps[first].Event = fmt.Sprintf("%s: %s", disturbance.Kind, DisturbanceKinds[disturbance.Kind])
		}
	}
	for i, fault := range s.PeerFaults {
		p.addPeerFault(i, &fault)
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// addPeerFault adds the steps of a fault between nodes: its start and end, or both in turn for a flapping fault.
func (p *Plan) addPeerFault(index int, fault *PeerFault) {
	at := fault.At.Micros()
	end := (fault.At + fault.Duration).Micros()
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

// drawTargets draws the servers or nodes that a disturbance applies to.
func (d *Disturbance) drawTargets(candidates []int, rng *rand.Rand) []int {
	return DrawSubset(candidates, d.Count, d.Share, rng)
}

// DrawSubset draws count of the candidates, or a share of them if count is 0, or all if both are 0. It reorders
// candidates and returns the drawn ones in ascending order.
func DrawSubset(candidates []int, count int, share float64, rng *rand.Rand) []int {
	n := len(candidates)
	if count > 0 {
		n = min(n, count)
	} else if share > 0 {
		n = max(1, int(share*float64(len(candidates))+0.5))
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	subset := candidates[:min(n, len(candidates))]
	sort.Ints(subset)
	return subset
}

// addDisturbance adds the steps of one disturbance.
func (p *Plan) addDisturbance(s *Scenario, disturbance Disturbance, rng *rand.Rand) {
	at := disturbance.At.Micros()
	end := (disturbance.At + disturbance.Duration).Micros()
	if disturbance.Duration == 0 {
		end = forever
	}
	tier := s.TierIndex(disturbance.Tier)
	zone := -1
	for i, name := range s.Zones {
		if name == disturbance.Zone {
			zone = i
		}
	}
	var servers, nodes []int
	for i, m := range p.Machines[:p.InitialCount] {
		if m.Tier == tier && (zone < 0 || m.Zone == zone) {
			servers = append(servers, i)
		}
	}
	for i, node := range s.Nodes() {
		if node.Tier == 0 && (zone < 0 || node.Zone == zone) {
			nodes = append(nodes, i)
		}
	}
	addStep := func(step Step) { p.Steps = append(p.Steps, step) }
	addStartAndEnd := func(first, last Step) {
		first.At = at
		last.At = end
		addStep(first)
		addStep(last)
	}
	// failAndRestart ends a server and restarts it cold; the registry lists both changes.
	failAndRestart := func(i int, action Action) {
		addStep(Step{At: at, Action: action, Server: i})
		addStep(Step{At: at + failureDetectionDelay, Action: ServerSetListed, Server: i, State: policy.Gone})
		addStep(Step{At: max(end, at+failureDetectionDelay+1), Action: ServerStart, Server: i})
		addStep(Step{At: max(end, at+failureDetectionDelay+1), Action: ServerSetListed, Server: i, State: policy.Ready})
	}
	// replace drains a server and starts a new cold one in its place.
	replace := func(i int, drainAt, replacedAt policy.Micros) {
		p.Machines = append(p.Machines, p.Machines[i])
		replacement := len(p.Machines) - 1
		addStep(Step{At: drainAt, Action: ServerSetListed, Server: i, State: policy.Draining})
		addStep(Step{At: replacedAt, Action: ServerStart, Server: replacement})
		addStep(Step{At: replacedAt, Action: ServerSetListed, Server: replacement, State: policy.Ready})
		addStep(Step{At: replacedAt, Action: ServerSetListed, Server: i, State: policy.Gone})
		addStep(Step{At: replacedAt + s.Limits.DrainGrace.Micros() + exitDelay, Action: ServerCrash, Server: i})
	}
	switch disturbance.Kind {
	case "slow":
		for _, i := range disturbance.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSlow, Server: i, Factor: disturbance.Factor}, Step{Action: ServerSlow, Server: i, Factor: 1})
		}
	case "stall":
		for _, i := range disturbance.drawTargets(servers, rng) {
			addStep(Step{At: at, Action: ServerStall, Server: i, Time: end})
		}
	case "crash":
		for _, i := range disturbance.drawTargets(servers, rng) {
			failAndRestart(i, ServerCrash)
		}
	case "lost":
		for _, i := range disturbance.drawTargets(servers, rng) {
			failAndRestart(i, ServerSilence)
		}
	case "errors", "turned-away", "reset", "spoilt":
		mode := map[string]ServerMode{"errors": ModeErrors, "turned-away": ModeReject, "reset": ModeReset, "spoilt": ModeCorrupt}[disturbance.Kind]
		for _, i := range disturbance.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSetMode, Server: i, Mode: mode}, Step{Action: ServerSetMode, Server: i})
		}
	case "drain":
		for _, i := range disturbance.drawTargets(servers, rng) {
			replace(i, at, max(end, at+1))
		}
	case "deploy":
		selection := disturbance.drawTargets(servers, rng)
		for n, i := range selection {
			drainAt := at + disturbance.Duration.Micros()*policy.Micros(n)/policy.Micros(len(selection))
			replace(i, drainAt, drainAt+s.Limits.DrainGrace.Micros())
		}
	case "list-lie":
		for _, i := range disturbance.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: ServerSetListed, Server: i, State: policy.Gone}, Step{Action: ServerSetListed, Server: i, State: policy.Ready})
		}
	case "registry-down":
		addStartAndEnd(Step{Action: RegistryDown}, Step{Action: RegistryUp})
	case "registry-slow":
		addStartAndEnd(Step{Action: RegistryDelay, Time: policy.Micros(disturbance.Factor * float64(policy.Second))}, Step{Action: RegistryDelay})
	case "registry-stale":
		addStep(Step{At: at, Action: RegistrySaveSnapshot})
		addStartAndEnd(Step{Action: RegistryDown}, Step{Action: RegistryServeSnapshot})
		addStep(Step{At: end, Action: RegistryUp})
		addStep(Step{At: end + staleListCorrectionDelay, Action: RegistryServeCurrent})
	case "node-crash":
		for _, i := range disturbance.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodeCrash, Node: i}, Step{Action: NodeStart, Node: i})
		}
	case "node-restart":
		for _, i := range disturbance.drawTargets(nodes, rng) {
			addStep(Step{At: at, Action: NodeTerminate, Node: i})
		}
	case "node-pause":
		for _, i := range disturbance.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodePause, Node: i}, Step{Action: NodeResume, Node: i})
		}
	case "node-empty", "node-move":
		restart := map[string]Action{"node-empty": NodeStartEmpty, "node-move": NodeStartMoved}[disturbance.Kind]
		for _, i := range disturbance.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: NodeCrash, Node: i}, Step{Action: restart, Node: i})
		}
	case "node-twin":
		for _, i := range disturbance.drawTargets(nodes, rng) {
			addStartAndEnd(Step{Action: DuplicateNodeStart, Node: i}, Step{Action: DuplicateNodeEnd, Node: i})
		}
	case "liar-down":
		addStep(Step{At: at, Action: FalseReportsDown})
	case "liar-well":
		addStep(Step{At: at, Action: FalseReportsHealthy})
	case "clock-step":
		addStartAndEnd(Step{Action: ClockStep, Time: policy.Micros(disturbance.Factor * float64(policy.Second))}, Step{Action: ClockStep})
	case "slow-way":
		addStartAndEnd(Step{Action: ZoneDelay, Zone: zone, Time: policy.Micros(disturbance.Factor * float64(policy.Second)), Factor: disturbance.Share}, Step{Action: ZoneDelay, Zone: zone})
	case "one-sided":
		selection := disturbance
		selection.Share = 0 // Count selects the servers; Share is the share of their pushes
		for _, i := range selection.drawTargets(servers, rng) {
			addStartAndEnd(Step{Action: PartialLoss, Server: i, Factor: disturbance.Share}, Step{Action: PartialLoss, Server: i})
		}
	case "burst", "failing", "poison":
		// The additional arrivals are generated with the load.
		addStep(Step{At: at, Action: NoAction})
	}
}

// heavyNodeInterval is the distance between the nodes that get more requests under an uneven load: each fifth node.
const heavyNodeInterval = 5

// AssignNode returns the node of the first tier that the front end sends its request number turn to.
func (s *Scenario) AssignNode(turn int) int {
	nodes := s.Tiers[0].NodeCount
	if s.Load.UnevenFactor == 0 {
		return turn % nodes
	}
	heavyNodes := (nodes + heavyNodeInterval - 1) / heavyNodeInterval
	// Steps by the golden section cover all shares evenly without a short repeating pattern of nodes.
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
