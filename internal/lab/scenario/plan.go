package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"canvasrouter/policy"
)

// Verb is what one step of a plan does.
type Verb uint8

const (
	Slow    Verb = iota // Server runs Factor times slower
	Stall               // Server stands still until Until
	Crash               // Server dies: connections are reset
	Silence             // Server says nothing any more
	Start               // Server starts cold and empty
	Behave              // Server behaves as Mode says
	List                // Server is listed as State from now on
	RegistryDown
	RegistryUp
	RegistrySlow   // by Until more; 0 ends it
	RegistryFreeze // the list of now is kept aside
	RegistryThaw   // and comes back as if it were new
	RegistryTrue   // and is put right
	NodeCrash
	NodeStart
	NodeTerm
	NodeStop  // SIGSTOP
	NodeGoOn  // SIGCONT
	NodeEmpty // starts with no list
	NodeMove  // starts under its name at another address for nodes
	TwinStart // a second process of Node's name
	TwinEnd
	LieDown // a member that says so of every server begins, beside Node
	LieWell
	BetweenOn // the fault Between begins
	BetweenOff
	ClockStep // by Until, which may be negative
	Way       // between Zone and the others: Until longer each way, Factor of what it carries lost
	OneSided  // Factor of the pushes of half of the nodes to Server get no answer
	Nothing   // but its text
)

// Mode is how a server answers.
type Mode uint8

const (
	Honest Mode = iota
	Errors
	TurnsAway
	Resets
	Spoils
)

// Step is one thing that happens to the fleet.
type Step struct {
	At     policy.Micros // from the start of the load
	Verb   Verb
	Server int // a place in Plan.Machines
	Node   int // a place in Balancers
	Fault  int // a place in Scenario.Between
	Zone   int
	Factor float64
	Until  policy.Micros
	Mode   Mode
	State  policy.ServerState
	Text   string // for the report; only the first step of a trouble has it
}

// Plan is what will happen to a fleet, whatever the driver: every choice is made beforehand, from the seed.
type Plan struct {
	Machines []Machine // those of the start, then those that take a place later
	Standing int       // how many there are at the start
	Steps    []Step
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
	p.Standing = len(p.Machines)
	for _, t := range s.Troubles {
		first := len(p.Steps)
		p.add(s, t, rng)
		if len(p.Steps) > first {
			p.Steps[first].Text = fmt.Sprintf("%s: %s", t.Kind, TroubleKinds[t.Kind])
		}
	}
	for i, b := range s.Between {
		p.between(i, &b)
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// between plans a fault between nodes, which begins and ends, or does so by turns.
func (p *Plan) between(i int, b *Between) {
	at, end := b.At.Micros(), (b.At + b.For).Micros()
	if b.For == 0 {
		end = forEver
	}
	p.Steps = append(p.Steps, Step{At: at, Verb: BetweenOn, Fault: i, Text: fmt.Sprintf("%s: %s", b.Kind, BetweenKinds[b.Kind])})
	if every := b.Every.Micros(); b.Kind == "flap" && b.For > 0 {
		for t := at + every; t+every < end; t += 2 * every {
			p.Steps = append(p.Steps, Step{At: t, Verb: BetweenOff, Fault: i}, Step{At: t + every, Verb: BetweenOn, Fault: i})
		}
	}
	p.Steps = append(p.Steps, Step{At: end, Verb: BetweenOff, Fault: i, Text: b.Kind + " ends"})
}

// hit draws the servers or nodes that a trouble is for.
func (t *Trouble) hit(all []int, rng *rand.Rand) []int { return Draw(all, t.Count, t.Share, rng) }

// Draw draws count of all, or a share of them if count is 0; all if both are.
func Draw(all []int, count int, share float64, rng *rand.Rand) []int {
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

func (p *Plan) add(s *Scenario, t Trouble, rng *rand.Rand) {
	at, end := t.At.Micros(), (t.At + t.For).Micros()
	if t.For == 0 {
		end = forEver
	}
	tier := s.Tier(t.Tier)
	zone := -1
	for i, name := range s.Zones {
		if name == t.Zone {
			zone = i
		}
	}
	var servers, nodes []int
	for i, m := range p.Machines[:p.Standing] {
		if m.Tier == tier && (zone < 0 || m.Zone == zone) {
			servers = append(servers, i)
		}
	}
	for i, b := range s.Balancers() {
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
	gone := func(i int, how Verb) {
		step(Step{At: at, Verb: how, Server: i})
		step(Step{At: at + noticed, Verb: List, Server: i, State: policy.Gone})
		step(Step{At: max(end, at+noticed+1), Verb: Start, Server: i})
		step(Step{At: max(end, at+noticed+1), Verb: List, Server: i, State: policy.Ready})
	}
	// replace drains a server and puts a new cold one in its place.
	replace := func(i int, when, left policy.Micros) {
		p.Machines = append(p.Machines, p.Machines[i])
		next := len(p.Machines) - 1
		step(Step{At: when, Verb: List, Server: i, State: policy.Draining})
		step(Step{At: left, Verb: Start, Server: next})
		step(Step{At: left, Verb: List, Server: next, State: policy.Ready})
		step(Step{At: left, Verb: List, Server: i, State: policy.Gone})
		step(Step{At: left + s.Limits.DrainGrace.Micros() + exitAfter, Verb: Crash, Server: i})
	}
	switch t.Kind {
	case "slow":
		for _, i := range t.hit(servers, rng) {
			both(Step{Verb: Slow, Server: i, Factor: t.Factor}, Step{Verb: Slow, Server: i, Factor: 1})
		}
	case "stall":
		for _, i := range t.hit(servers, rng) {
			step(Step{At: at, Verb: Stall, Server: i, Until: end})
		}
	case "crash":
		for _, i := range t.hit(servers, rng) {
			gone(i, Crash)
		}
	case "lost":
		for _, i := range t.hit(servers, rng) {
			gone(i, Silence)
		}
	case "errors", "turned-away", "reset", "spoilt":
		mode := map[string]Mode{"errors": Errors, "turned-away": TurnsAway, "reset": Resets, "spoilt": Spoils}[t.Kind]
		for _, i := range t.hit(servers, rng) {
			both(Step{Verb: Behave, Server: i, Mode: mode}, Step{Verb: Behave, Server: i})
		}
	case "drain":
		for _, i := range t.hit(servers, rng) {
			replace(i, at, max(end, at+1))
		}
	case "deploy":
		hit := t.hit(servers, rng)
		for n, i := range hit {
			when := at + t.For.Micros()*policy.Micros(n)/policy.Micros(len(hit))
			replace(i, when, when+s.Limits.DrainGrace.Micros())
		}
	case "list-lie":
		for _, i := range t.hit(servers, rng) {
			both(Step{Verb: List, Server: i, State: policy.Gone}, Step{Verb: List, Server: i, State: policy.Ready})
		}
	case "registry-down":
		both(Step{Verb: RegistryDown}, Step{Verb: RegistryUp})
	case "registry-slow":
		both(Step{Verb: RegistrySlow, Until: policy.Micros(t.Factor * float64(policy.Second))}, Step{Verb: RegistrySlow})
	case "registry-stale":
		step(Step{At: at, Verb: RegistryFreeze})
		both(Step{Verb: RegistryDown}, Step{Verb: RegistryThaw})
		step(Step{At: end, Verb: RegistryUp})
		step(Step{At: end + corrected, Verb: RegistryTrue})
	case "node-crash":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Verb: NodeCrash, Node: i}, Step{Verb: NodeStart, Node: i})
		}
	case "node-restart":
		for _, i := range t.hit(nodes, rng) {
			step(Step{At: at, Verb: NodeTerm, Node: i})
		}
	case "node-pause":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Verb: NodeStop, Node: i}, Step{Verb: NodeGoOn, Node: i})
		}
	case "node-empty", "node-move":
		again := map[string]Verb{"node-empty": NodeEmpty, "node-move": NodeMove}[t.Kind]
		for _, i := range t.hit(nodes, rng) {
			both(Step{Verb: NodeCrash, Node: i}, Step{Verb: again, Node: i})
		}
	case "node-twin":
		for _, i := range t.hit(nodes, rng) {
			both(Step{Verb: TwinStart, Node: i}, Step{Verb: TwinEnd, Node: i})
		}
	case "liar-down":
		step(Step{At: at, Verb: LieDown})
	case "liar-well":
		step(Step{At: at, Verb: LieWell})
	case "clock-step":
		both(Step{Verb: ClockStep, Until: policy.Micros(t.Factor * float64(policy.Second))}, Step{Verb: ClockStep})
	case "slow-way":
		both(Step{Verb: Way, Zone: zone, Until: policy.Micros(t.Factor * float64(policy.Second)), Factor: t.Share}, Step{Verb: Way, Zone: zone})
	case "one-sided":
		hit := t
		hit.Share = 0 // which servers: count; the share is of pushes
		for _, i := range hit.hit(servers, rng) {
			both(Step{Verb: OneSided, Server: i, Factor: t.Share}, Step{Verb: OneSided, Server: i})
		}
	case "burst", "failing", "poison":
		// Its arrivals are made with the load.
		step(Step{At: at, Verb: Nothing})
	}
}

// heavyEach is which nodes get more than others under an uneven load.
const heavyEach = 5

// Deal is the node of the first tier that the front deals a request to, by its turn.
func (s *Scenario) Deal(turn int) int {
	nodes := s.Tiers[0].Nodes
	if s.Load.Uneven == 0 {
		return turn % nodes
	}
	heavy := (nodes + heavyEach - 1) / heavyEach
	// Turns run over all shares evenly, by the golden section, so that no two requests in a row go by the same pattern.
	const section = 0.6180339887498949
	_, x := math.Modf(float64(turn) * section)
	x *= float64(heavy)*s.Load.Uneven + float64(nodes-heavy)
	if own := float64(heavy) * s.Load.Uneven; x < own {
		return int(x/s.Load.Uneven) * heavyEach
	} else {
		light := int(x - own)
		return light/(heavyEach-1)*heavyEach + light%(heavyEach-1) + 1
	}
}
