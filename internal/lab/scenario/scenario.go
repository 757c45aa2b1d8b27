// Package scenario is an experiment's file: the fleet, the load, the troubles and what is expected of them. It reads
// and checks TOML, and turns it into the configuration of each node, in the platform's form.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"canvasrouter/policy"
)

// Span is a length of time, written as Go does ("250ms").
type Duration policy.Micros

// UnmarshalText reads a span. It must not be negative.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\"", text)
	}
	if d < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*s = Duration(d.Microseconds())
	return nil
}

// Micros is the span in the module's unit.
func (s Duration) Micros() policy.Micros { return policy.Micros(s) }

// Ms is the span in milliseconds, as the platform's settings have it.
func (s Duration) Milliseconds() float64 { return float64(s) / 1000 }

// Scenario is an experiment.
type Scenario struct {
	Name          string        `toml:"name"`
	Description   string        `toml:"about"`
	Duration      Duration      `toml:"duration"` // of the load
	ShortDuration Duration      `toml:"short"`    // of the load with --short; troubles keep their times
	Driver        string        `toml:"driver"`   // "live" (sockets) or "sim" (simulated time)
	Zones         []string      `toml:"zones"`
	Load          Load          `toml:"load"`
	Categories    []Category    `toml:"category"`
	Tenants       []Tenant      `toml:"tenant"`
	Tiers         []Tier        `toml:"tier"`
	Limits        Limits        `toml:"limits"`
	Registry      Registry      `toml:"registry"`
	Network       Network       `toml:"network"`
	Fleet         *Fleet        `toml:"fleet"` // left out: nodes don't hear each other
	PeerFaults    []PeerFault   `toml:"between"`
	Disturbances  []Disturbance `toml:"trouble"`
	Expect        Expect        `toml:"expect"`
}

// Load is what clients offer. It is open: an answer that is late holds no later op back.
type Load struct {
	Rate             float64  `toml:"rate"`     // first tries a second
	Arrivals         string   `toml:"arrivals"` // "poisson", "bursty" or "even"
	MeanBurst        float64  `toml:"burst"`    // of bursty ones: mean ops in a burst
	Retries          int      `toml:"retries"`  // that a client makes by itself
	RetryDelay       Duration `toml:"retry_wait"`
	MarksRetries     bool     `toml:"marks_retry"`
	HonorsRetryAfter bool     `toml:"heeds_retry_after"`
	ImpatientShare   float64  `toml:"impatient"` // share of clients that leave in the middle of their wait
	LeadTime         Duration `toml:"lead"`      // in which the nodes stand idle before the load
	UnevenFactor     float64  `toml:"uneven"`    // each fifth node of the first tier gets so many times what the others get; 0: all the same
	TraceFile        string   `toml:"trace"`     // a file of arrivals, in place of rate and arrivals; beside the experiment
}

// Category is one kind of op.
type Category struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`  // of the load, as a weight
	MeanWork      Duration `toml:"work"`   // mean, at a core of speed 1, in each tier
	WorkVariation float64  `toml:"spread"` // coefficient of variation of the work (log-normal); 0: always the mean
	Benefit       float64  `toml:"benefit"`
	LateBenefit   float64  `toml:"late_benefit"`
	TargetLatency Duration `toml:"target_latency"`
	TTL           Duration `toml:"ttl"`
	Delivery      string   `toml:"repeat"` // "redeliverable", "deduplicated", "at_most_once"
	DedupScope    string   `toml:"scope"`  // of deduplicated: "all", "zone" or "cell"
	DedupWindow   Duration `toml:"window"` // of deduplicated: how long its group remembers an op
}

// Tenant is one customer of the service.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the load, as a weight
	Quota float64 `toml:"quota"` // ops a second, over all nodes
}

// Tier is one row of servers and the nodes before it. The first has Nodes nodes; of a later one each server of the
// tier before has its own node.
type Tier struct {
	Name         string        `toml:"name"`
	NodeCount    int           `toml:"nodes"`
	CallsPerOp   float64       `toml:"calls"` // to the next tier that each op makes, one after another; the mean
	MachineTypes []MachineType `toml:"kind"`
}

// Kind is a kind of server and how many there are.
type MachineType struct {
	Name             string   `toml:"name"`
	Count            int      `toml:"count"`
	Cores            int      `toml:"cores"`
	Speed            float64  `toml:"speed"`
	QueueLimit       int      `toml:"queue"`       // ops that may wait; further ones are turned away
	MaxConnections   int      `toml:"connections"` // open at most; 0: no bound
	ConnectionCost   Duration `toml:"connection_price"`
	CellSize         int      `toml:"cell"`       // servers in a cell; 0: one cell
	JamQueuePerCore  float64  `toml:"jam_over"`   // ops waiting per core that jam it; 0: never
	JamDelay         Duration `toml:"jam_after"`  // when they have waited so long
	JamSlowdown      float64  `toml:"jam_factor"` // times slower
	JamRecoveryTime  Duration `toml:"jam_idle"`   // mostly idle for so long ends it
	CrowdingPerCore  float64  `toml:"crowd_over"` // ops held per core over which it does less; 0: never
	CrowdingSlowdown float64  `toml:"crowd_loss"` // times longer that an op takes, for each such number more
	IdleTimeout      Duration `toml:"idle_close"` // a connection idle for so long is closed
	ReportsLoad      bool     `toml:"load_report"`
}

// Limits are what nodes are allowed, and the figures of the rules.
type Limits struct {
	MaxPushes          int      `toml:"max_pushes"`
	MayDuplicate       bool     `toml:"may_duplicate"`
	MayCancel          bool     `toml:"may_cancel"`
	DialTimeout        Duration `toml:"dial_timeout"`
	MaxRetryAfter      Duration `toml:"max_retry_after"` // 0: clients take no advice
	Sockets            int      `toml:"sockets"`
	MemoryMB           int      `toml:"memory_mb"`
	AnswerSlack        Duration `toml:"answer_slack"`
	DrainGrace         Duration `toml:"drain_grace"`
	ColdInitialShare   float64  `toml:"cold_from"`
	ColdWarmUpTime     Duration `toml:"cold_warm"`
	ColdOverloadFactor float64  `toml:"cold_factor"`
	ColdOverloadWindow Duration `toml:"cold_window"`
	BeyondShareBenefit float64  `toml:"beyond_share_benefit"`
	PassesDeadline     bool     `toml:"passes_deadline"` // a server's calls carry what is left of its op
	CrossZoneCost      float64  `toml:"cross_zone_price"`
}

// Registry is how the list comes.
type Registry struct {
	Mode  string   `toml:"mode"`  // "watch" or "whole": the first line of a watch and each later one hold all
	Delay Duration `toml:"delay"` // of each change
}

// Network is between machines. On sockets it is what loopback takes.
type Network struct {
	Delay  Duration `toml:"delay"`  // one way
	Jitter Duration `toml:"jitter"` // more, evenly spread
}

// Fleet says that nodes of the first tier hear each other.
type Fleet struct {
	Share         float64 `toml:"share"` // of the nodes that do; left out: all
	PeerMessaging bool    `toml:"peers"` // the module may use words of others (limits.peers)
}

// Between is a fault on the ways between the first tier's nodes, on sockets.
type PeerFault struct {
	Kind         string   `toml:"kind"`
	At           Duration `toml:"at"`
	Duration     Duration `toml:"for"`   // left out: to the end
	Count        int      `toml:"count"` // nodes hit; 0 with no share: all
	Share        float64  `toml:"share"`
	PartSizes    []int    `toml:"parts"`  // of groups and of a chain: their sizes, as weights
	Factor       float64  `toml:"factor"` // a share of what passes, or seconds
	FlapInterval Duration `toml:"every"`  // of flap
}

// BetweenKinds are the kinds of fault between nodes and what each does.
var PeerFaultKinds = map[string]string{
	"groups":  "the nodes fall into groups, parts of all, that each hear only themselves",
	"chain":   "the nodes fall into groups, parts of all, that each hear themselves and the next one on either side",
	"cut":     "the nodes hear nobody and nobody hears them",
	"deaf":    "the nodes hear nobody; the others hear them",
	"dumb":    "nobody hears the nodes; they hear the others",
	"loss":    "the share in factor of all datagrams to and from the nodes is lost",
	"slow":    "all to and from the nodes comes factor seconds later, and up to as much again",
	"double":  "the share in factor of all datagrams to and from the nodes comes twice",
	"reorder": "the share in factor of all datagrams to and from the nodes comes after the next ones",
	"spoil":   "the share in factor of all datagrams and pieces of streams to and from the nodes has a byte changed",
	"short":   "the share in factor of all datagrams to and from the nodes is cut short; so are streams",
	"silent":  "streams to the nodes are accepted and never answered; datagrams pass",
	"flap":    "the ways to and from the nodes are up and down by turns, each for the time in every",
}

// Trouble is one thing that goes wrong, or is done on purpose.
type Disturbance struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Tier     string   `toml:"tier"` // left out: the first
	Zone     string   `toml:"zone"`
	Count    int      `toml:"count"` // servers, or nodes; 0 with no share: all that fit
	Share    float64  `toml:"share"`
	Factor   float64  `toml:"factor"`
	Tenant   string   `toml:"tenant"` // of a burst
}

// TroubleKinds are the kinds of trouble and what each does.
var DisturbanceKinds = map[string]string{
	"slow":           "the servers run factor times slower",
	"stall":          "the servers stand still",
	"crash":          "the servers die: connections are reset, new ones refused; they come back cold after the time",
	"lost":           "the servers say nothing any more, connections stay open; they come back cold after the time",
	"errors":         "the servers answer 500 at once, running nothing",
	"turned-away":    "the servers turn away everything",
	"reset":          "the servers break the connection at a byte of the answer, each time one byte further, having run the op",
	"spoilt":         "the servers answer bytes that are no HTTP, having run the op",
	"drain":          "the servers are listed as leaving, and left after the time; ones cold take their place",
	"deploy":         "the servers are drained and replaced by cold ones, in turn, over the time",
	"burst":          "clients offer factor times as much, or the one tenant does",
	"registry-down":  "the registry resets watches and refuses calls",
	"registry-slow":  "the registry answers each call and change later, by the time in factor, in seconds",
	"registry-stale": "the registry comes back with the list as it was when this trouble began",
	"list-lie":       "the servers are listed as gone although they serve; then they are listed again",
	"node-crash":     "the nodes die, and start anew after the time with the list that they began with",
	"node-restart":   "the nodes get SIGTERM, and start anew when they have ended",
	"failing":        "further ops come, factor times the load (0.3 is three tenths), which every server answers 500 at once; of one tenant, if named",
	"poison":         "further ops come, share of the load, which kill the server that begins them; it is back cold after factor seconds",
	"slow-way":       "the way between the zone and the others takes factor seconds longer each way and loses the share of what it carries",
	"one-sided":      "half of the first tier's nodes get no answer to a share of their pushes to the servers, which serve the others",
	"node-pause":     "the nodes are stopped (SIGSTOP), and go on after the time",
	"node-empty":     "the nodes die, and start anew after the time with no list at all",
	"node-move":      "the nodes die, and start anew after the time under their names at other addresses for nodes",
	"node-twin":      "a second process starts under each node's name and number, at other addresses; it ends after the time",
	"liar-down":      "one more member says to everybody that every server is down",
	"liar-well":      "one more member says to everybody that every server is well",
	"clock-step":     "clients' clocks step: the time left that they send is factor seconds too long, or too short",
}

// SimulatedOnly are the kinds that are made in simulated time alone.
var SimulatedOnly = []string{"failing", "poison", "slow-way"}

// LiveOnly are the kinds that need processes.
var LiveOnly = []string{"node-pause", "node-empty", "node-move", "node-twin", "liar-down", "liar-well"}

// Expect is what must hold. A bound that is left out is not judged; the four rules always are.
type Expect struct {
	MinServedBenefit      *float64             `toml:"served_benefit"`       // at least, as a share of what was offered
	MinWorstTenantBenefit *float64             `toml:"worst_tenant"`         // at least, of what it offered
	Category              *CategoryExpectation `toml:"category"`             // one category's own served benefit
	MaxP99                *Duration            `toml:"p99"`                  // at most, of answers served, from the intended send
	MaxPushesPerOp        *float64             `toml:"pushes_per_op"`        // at most
	MaxWastedWork         *float64             `toml:"wasted_work"`          // at most, as a share of the work done
	MinLastQuarterBenefit *float64             `toml:"last_quarter_benefit"` // at least, of what was offered in the last quarter
	BrokenRules           []string             `toml:"broken"`               // rules that are broken on purpose, by name
}

// Single is a bound on one category.
type CategoryExpectation struct {
	Name             string  `toml:"name"`
	MinServedBenefit float64 `toml:"served_benefit"`
}

// Read reads an experiment. An error names the file, and the key, line and column at fault.
func Read(fsys fs.FS, path string) (*Scenario, error) {
	raw, err := fs.ReadFile(fsys, path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Load.TraceFile != "" {
		s.Load.TraceFile = filepath.Join(filepath.Dir(path), s.Load.TraceFile)
	}
	return s, nil
}

// Parse reads an experiment from TOML. Unknown keys are errors.
func Parse(raw []byte) (*Scenario, error) {
	s := &Scenario{}
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, withPosition(err)
	}
	s.setDefaults()
	if key, problem := s.validate(); problem != "" {
		line, column := keyPosition(raw, key)
		return nil, fmt.Errorf("line %d, column %d: key %s: %s", line, column, key, problem)
	}
	return s, nil
}

// located turns the library's errors into one line with key, line and column.
func withPosition(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		err = &unknown.Errors[0]
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, column := decodeError.Position()
		return fmt.Errorf("line %d, column %d: key %s: %s", line, column, strings.Join(decodeError.Key(), "."),
			strings.TrimPrefix(strings.ReplaceAll(decodeError.Error(), "\n", " "), "toml: "))
	}
	return err
}

// most is how many servers, and how many nodes, an experiment may have.
const maxFleetSize = 20_000

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

const millisecond = Duration(policy.Millisecond)

func (s *Scenario) setDefaults() {
	setDefault(&s.Duration, 10000*millisecond)
	setDefault(&s.ShortDuration, min(s.Duration, 4000*millisecond))
	setDefault(&s.Driver, "live")
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	setDefault(&s.Load.Arrivals, "poisson")
	setDefault(&s.Load.MeanBurst, 8)
	setDefault(&s.Load.LeadTime, 300*millisecond)
	setDefault(&s.Load.RetryDelay, 50*millisecond)
	for i := range s.Categories {
		c := &s.Categories[i]
		setDefault(&c.Share, 1)
		setDefault(&c.Benefit, 1)
		setDefault(&c.Delivery, "redeliverable")
		if c.Delivery == "deduplicated" {
			setDefault(&c.DedupScope, "all")
			setDefault(&c.DedupWindow, c.TTL)
		}
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Share, 1)
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		if i == 0 {
			setDefault(&t.NodeCount, 1)
		}
		for j := range t.MachineTypes {
			k := &t.MachineTypes[j]
			setDefault(&k.Name, "std")
			setDefault(&k.Cores, 1)
			setDefault(&k.Speed, 1)
			setDefault(&k.QueueLimit, 64)
			setDefault(&k.IdleTimeout, 5000*millisecond)
			setDefault(&k.JamDelay, 1000*millisecond)
			setDefault(&k.JamSlowdown, 2)
			setDefault(&k.JamRecoveryTime, 2000*millisecond)
		}
	}
	l := &s.Limits
	setDefault(&l.MaxPushes, 3)
	setDefault(&l.DialTimeout, 100*millisecond)
	setDefault(&l.Sockets, 1024)
	setDefault(&l.MemoryMB, 192)
	setDefault(&l.AnswerSlack, 20*millisecond)
	setDefault(&l.DrainGrace, 1500*millisecond)
	setDefault(&l.ColdInitialShare, 0.3)
	setDefault(&l.ColdWarmUpTime, 4000*millisecond)
	setDefault(&l.ColdOverloadFactor, 3)
	setDefault(&l.ColdOverloadWindow, 1000*millisecond)
	setDefault(&l.BeyondShareBenefit, 0.2)
	setDefault(&s.Registry.Mode, "watch")
	setDefault(&s.Registry.Delay, 100*millisecond)
	setDefault(&s.Network.Delay, millisecond/5)
	setDefault(&s.Network.Jitter, millisecond/10)
	if s.Fleet != nil {
		setDefault(&s.Fleet.Share, 1)
	}
	for i := range s.PeerFaults {
		b := &s.PeerFaults[i]
		setDefault(&b.FlapInterval, 300*millisecond)
		setDefault(&b.Factor, 0.2)
	}
	for i := range s.Disturbances {
		t := &s.Disturbances[i]
		setDefault(&t.Factor, 3)
		if len(s.Tiers) > 0 {
			setDefault(&t.Tier, s.Tiers[0].Name)
		}
	}
}

// check gives the first key that no run can be made with, and what is wrong with it.
func (s *Scenario) validate() (key, problem string) {
	addProblem := func(k, format string, args ...any) {
		if key == "" {
			key, problem = k, fmt.Sprintf(format, args...)
		}
	}
	requireOneOf := func(k, value string, allowed ...string) {
		if !slices.Contains(allowed, value) {
			addProblem(k, "%q is not one of %s", value, strings.Join(allowed, ", "))
		}
	}
	if s.Name == "" {
		addProblem("name", "is missing")
	}
	requireOneOf("driver", s.Driver, "live", "sim")
	requireOneOf("load.arrivals", s.Load.Arrivals, "poisson", "bursty", "even")
	requireOneOf("registry.mode", s.Registry.Mode, "watch", "whole")
	if !(s.Load.Rate > 0) && s.Load.TraceFile == "" {
		addProblem("load.rate", "is not above 0")
	}
	if s.Load.UnevenFactor < 0 {
		addProblem("load.uneven", "%v is negative", s.Load.UnevenFactor)
	}
	if len(s.Categories) == 0 {
		addProblem("category", "is missing: there must be one")
	}
	for i, c := range s.Categories {
		prefix := fmt.Sprintf("category.%d.", i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/ ?#%") {
			addProblem(prefix+"name", "%q is no part of a path", c.Name)
		}
		if c.MeanWork <= 0 {
			addProblem(prefix+"work", "is not above 0")
		}
		if c.TargetLatency <= 0 || c.TTL < c.TargetLatency {
			addProblem(prefix+"target_latency", "%v ms is not above 0, or past the ttl of %v ms", c.TargetLatency.Milliseconds(), c.TTL.Milliseconds())
		}
		if c.Share < 0 || c.WorkVariation < 0 || c.Benefit < 0 {
			addProblem(prefix+"share", "share, spread and benefit must not be negative")
		}
		requireOneOf(prefix+"repeat", c.Delivery, "redeliverable", "deduplicated", "at_most_once")
		if c.Delivery == "deduplicated" {
			requireOneOf(prefix+"scope", c.DedupScope, "all", "zone", "cell")
		}
	}
	if len(s.Tiers) == 0 {
		addProblem("tier", "is missing: there must be one")
	}
	for i, t := range s.Tiers {
		prefix := fmt.Sprintf("tier.%d.", i)
		if t.Name == "" || strings.ContainsAny(t.Name, ", ") {
			addProblem(prefix+"name", "%q is no name", t.Name)
		}
		if i > 0 && t.NodeCount != 0 {
			addProblem(prefix+"nodes", "a later tier has a node for each server of the tier before")
		}
		if i == len(s.Tiers)-1 && t.CallsPerOp != 0 {
			addProblem(prefix+"calls", "there is no next tier")
		}
		if t.NodeCount < 0 || t.CallsPerOp < 0 {
			addProblem(prefix+"nodes", "nodes and calls must not be negative")
		}
		if len(t.MachineTypes) == 0 {
			addProblem(prefix+"kind", "is missing: there must be one")
		}
		for j, k := range t.MachineTypes {
			if k.Count < 1 || k.Cores < 1 || !(k.Speed > 0) || k.QueueLimit < 0 || k.CellSize < 0 {
				addProblem(fmt.Sprintf("%skind.%d.count", prefix, j), "count, cores and speed must be above 0, queue and cell not under 0")
			}
		}
	}
	machines, nodes := 0, 0
	for i, t := range s.Tiers {
		previousTiers := machines
		for _, k := range t.MachineTypes {
			if machines += min(k.Count, maxFleetSize+1); machines > maxFleetSize {
				addProblem(fmt.Sprintf("tier.%d.kind", i), "more than %d servers in all", maxFleetSize)
			}
		}
		if nodes += min(t.NodeCount, maxFleetSize+1); i < len(s.Tiers)-1 {
			nodes += machines - previousTiers
		}
		if nodes > maxFleetSize {
			addProblem(fmt.Sprintf("tier.%d.nodes", i), "more than %d nodes in all", maxFleetSize)
		}
	}
	if s.Limits.MaxPushes < 1 || s.Limits.MaxPushes > 8 {
		addProblem("limits.max_pushes", "%d is not from 1 to 8", s.Limits.MaxPushes)
	}
	if !(s.Limits.ColdInitialShare > 0) || s.Limits.ColdInitialShare > 1 {
		addProblem("limits.cold_from", "%v is not above 0 and at most 1", s.Limits.ColdInitialShare)
	}
	for i, t := range s.Disturbances {
		prefix := fmt.Sprintf("trouble.%d.", i)
		if slices.Contains([]string{"node-move", "node-twin", "liar-down", "liar-well"}, t.Kind) && s.Fleet == nil {
			addProblem(prefix+"kind", "there is no [fleet]: a node has no address for nodes")
		}
		if DisturbanceKinds[t.Kind] == "" {
			kinds := make([]string, 0, len(DisturbanceKinds))
			for k := range DisturbanceKinds {
				kinds = append(kinds, k)
			}
			sort.Strings(kinds)
			requireOneOf(prefix+"kind", t.Kind, kinds...)
		}
		if slices.Contains(SimulatedOnly, t.Kind) && s.Driver != "sim" {
			addProblem(prefix+"kind", "%q is made in simulated time alone: driver = \"sim\"", t.Kind)
		}
		if slices.Contains(LiveOnly, t.Kind) && s.Driver != "live" {
			addProblem(prefix+"kind", "%q needs processes: driver = \"live\"", t.Kind)
		}
		if t.Kind == "slow-way" && t.Zone == "" {
			addProblem(prefix+"zone", "is missing: the way between it and the others")
		}
		if t.Zone != "" {
			requireOneOf(prefix+"zone", t.Zone, s.Zones...)
		}
		if s.TierIndex(t.Tier) < 0 {
			addProblem(prefix+"tier", "%q is no tier", t.Tier)
		}
		if !(t.Factor > 0) && t.Kind != "clock-step" {
			addProblem(prefix+"factor", "is not above 0")
		}
		if t.Share < 0 || t.Share > 1 || t.Count < 0 {
			addProblem(prefix+"share", "%v is not from 0 to 1, or count is negative", t.Share)
		}
		if t.Tenant != "" && !slices.ContainsFunc(s.Tenants, func(x Tenant) bool { return x.Name == t.Tenant }) {
			addProblem(prefix+"tenant", "%q is no tenant", t.Tenant)
		}
	}
	s.validatePeerFaults(addProblem)
	if c := s.Expect.Category; c != nil && !slices.ContainsFunc(s.Categories, func(x Category) bool { return x.Name == c.Name }) {
		addProblem("expect.category.name", "%q is no category", c.Name)
	}
	return key, problem
}

func (s *Scenario) validatePeerFaults(addProblem func(key, format string, args ...any)) {
	if s.Fleet != nil && (s.Fleet.Share < 0 || s.Fleet.Share > 1) {
		addProblem("fleet.share", "%v is not from 0 to 1", s.Fleet.Share)
	}
	for i, b := range s.PeerFaults {
		prefix := fmt.Sprintf("between.%d.", i)
		total := 0
		for _, size := range b.PartSizes {
			if total += size; size < 1 {
				addProblem(prefix+"parts", "%d is not above 0", size)
			}
		}
		switch {
		case PeerFaultKinds[b.Kind] == "":
			addProblem(prefix+"kind", "%q is no fault between nodes", b.Kind)
		case s.Fleet == nil:
			addProblem(prefix+"kind", "there is no [fleet]: nodes say nothing to each other")
		case s.Driver != "live":
			addProblem(prefix+"kind", "faults between nodes need processes: driver = \"live\"")
		case (b.Kind == "groups" || b.Kind == "chain") && len(b.PartSizes) < 2:
			addProblem(prefix+"parts", "there must be two or more")
		case b.Share < 0 || b.Share > 1 || b.Count < 0:
			addProblem(prefix+"share", "%v is not from 0 to 1, or count is negative", b.Share)
		case b.Kind != "slow" && b.Factor > 1 || b.Factor < 0:
			addProblem(prefix+"factor", "%v is not from 0 to 1", b.Factor)
		case b.Kind == "flap" && b.FlapInterval < 10*millisecond:
			addProblem(prefix+"every", "%v ms is under 10 ms", b.FlapInterval.Milliseconds())
		}
	}
}

// Tier gives the place of a tier, or -1.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name })
}

// position finds where a key stands, as "category.1.work" or, if it was left out, the table that it belongs to.
func keyPosition(raw []byte, key string) (line, column int) {
	line, column = 1, 1
	parser := unstable.Parser{}
	parser.Reset(raw)
	arrayLengths := map[string]int{} // of arrays of tables
	table, bestLength := "", 0
	for parser.NextExpression() {
		e := parser.Expression()
		var names []string
		var offset uint32
		for it, first := e.Key(), true; it.Next(); first = false {
			if first {
				offset = it.Node().Raw.Offset
			}
			names = append(names, string(it.Node().Data))
		}
		path := ""
		switch e.Kind {
		case unstable.Table:
			table, path = indexedPath(names, arrayLengths), indexedPath(names, arrayLengths)
		case unstable.ArrayTable:
			outer := indexedPath(names[:len(names)-1], arrayLengths)
			array := strings.TrimPrefix(outer+"."+names[len(names)-1], ".")
			arrayLengths[array]++
			table = fmt.Sprintf("%s.%d", array, arrayLengths[array]-1)
			path = table
		case unstable.KeyValue:
			path = strings.TrimPrefix(table+"."+strings.Join(names, "."), ".")
		}
		if (path == key || strings.HasPrefix(key, path+".")) && len(path) > bestLength {
			bestLength = len(path)
			before := raw[:min(int(offset), len(raw))]
			line = 1 + bytes.Count(before, []byte("\n"))
			column = len(before) - bytes.LastIndexByte(before, '\n')
		}
	}
	return line, column
}

// resolve puts the number of the last table into each name that is an array of tables.
func indexedPath(names []string, arrayLengths map[string]int) string {
	path := ""
	for _, name := range names {
		path = strings.TrimPrefix(path+"."+name, ".")
		if n := arrayLengths[path]; n > 0 {
			path = fmt.Sprintf("%s.%d", path, n-1)
		}
	}
	return path
}
