// Package scenario defines the file format of an experiment: the fleet, the load, the disturbances and the expected
// results. It reads and validates the TOML file, plans the disturbances, and derives from the file the configuration of
// each node in the format of the platform.
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

// Duration is a length of time in microseconds, written in the file in Go's notation ("250ms").
type Duration policy.Micros

// UnmarshalText parses a duration, which must not be negative.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	if d < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*s = Duration(d.Microseconds())
	return nil
}

// Micros returns the duration in the unit of the policy module.
func (s Duration) Micros() policy.Micros { return policy.Micros(s) }

// Milliseconds returns the duration in milliseconds, the unit of the platform's settings.
func (s Duration) Milliseconds() float64 { return float64(s) / 1000 }

// Scenario is an experiment, as read from its file.
type Scenario struct {
	Name          string        `toml:"name"`
	Description   string        `toml:"about"`
	Duration      Duration      `toml:"duration"` // of the load
	ShortDuration Duration      `toml:"short"`    // of the load with --short; disturbances keep their times
	Driver        string        `toml:"driver"`   // "live" (sockets) or "sim" (simulated time)
	Zones         []string      `toml:"zones"`
	Load          Load          `toml:"load"`
	Categories    []Category    `toml:"category"`
	Tenants       []Tenant      `toml:"tenant"`
	Tiers         []Tier        `toml:"tier"`
	Limits        Limits        `toml:"limits"`
	Registry      Registry      `toml:"registry"`
	Network       Network       `toml:"network"`
	Fleet         *Fleet        `toml:"fleet"` // nil if left out: nodes exchange no messages
	PeerFaults    []PeerFault   `toml:"between"`
	Disturbances  []Disturbance `toml:"trouble"`
	Expect        Expect        `toml:"expect"`
}

// Load is what clients send. It is an open loop: a late answer does not delay later ops.
type Load struct {
	Rate             float64  `toml:"rate"`     // ops a second, retries not counted
	Arrivals         string   `toml:"arrivals"` // "poisson", "bursty" or "even"
	MeanBurst        float64  `toml:"burst"`    // with bursty arrivals: mean number of ops in a burst
	Retries          int      `toml:"retries"`  // maximum that a client makes on its own
	RetryDelay       Duration `toml:"retry_wait"`
	MarksRetries     bool     `toml:"marks_retry"`
	HonorsRetryAfter bool     `toml:"heeds_retry_after"`
	ImpatientShare   float64  `toml:"impatient"` // share of clients that leave at a random time before the TTL of their op
	LeadTime         Duration `toml:"lead"`      // from the start of the nodes to the start of the load
	UnevenFactor     float64  `toml:"uneven"`    // times the load of the others that each fifth node of the first tier gets; 0: even load
	TraceFile        string   `toml:"trace"`     // file of arrivals to play in place of rate and arrivals; relative to the experiment's file
}

// Category is a category of ops.
type Category struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`  // of the load, as a weight
	MeanWork      Duration `toml:"work"`   // core time of an op in each tier, on a core of speed 1
	WorkVariation float64  `toml:"spread"` // coefficient of variation of the work (log-normal); 0: always the mean
	Benefit       float64  `toml:"benefit"`
	LateBenefit   float64  `toml:"late_benefit"`
	TargetLatency Duration `toml:"target_latency"`
	TTL           Duration `toml:"ttl"`
	Delivery      string   `toml:"repeat"` // "redeliverable", "deduplicated", "at_most_once"
	DedupScope    string   `toml:"scope"`  // with deduplicated: "all", "zone" or "cell"
	DedupWindow   Duration `toml:"window"` // with deduplicated: how long the group of servers remembers an op
}

// Tenant is one customer of the service.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the load, as a weight
	Quota float64 `toml:"quota"` // ops a second, over all nodes
}

// Tier is a group of servers and the nodes in front of it. The first tier has NodeCount nodes; in a later tier, each
// server of the previous tier has its own node.
type Tier struct {
	Name         string        `toml:"name"`
	NodeCount    int           `toml:"nodes"`
	CallsPerOp   float64       `toml:"calls"` // mean number of sequential calls that an op makes to the next tier
	MachineTypes []MachineType `toml:"kind"`
}

// MachineType is a type of server, with the number of servers of this type.
type MachineType struct {
	Name             string   `toml:"name"`
	Count            int      `toml:"count"`
	Cores            int      `toml:"cores"`
	Speed            float64  `toml:"speed"`
	QueueLimit       int      `toml:"queue"`            // maximum number of waiting ops; further ops are rejected
	MaxConnections   int      `toml:"connections"`      // 0: unlimited
	ConnectionCost   Duration `toml:"connection_price"` // core time per new connection
	CellSize         int      `toml:"cell"`             // number of servers in a cell; 0: all in one cell
	JamQueuePerCore  float64  `toml:"jam_over"`         // waiting ops per core above which the server jams; 0: never
	JamDelay         Duration `toml:"jam_after"`        // how long the queue must exceed the limit
	JamSlowdown      float64  `toml:"jam_factor"`       // how many times slower a jammed server is
	JamRecoveryTime  Duration `toml:"jam_idle"`         // how long the server must be mostly idle to recover
	CrowdingPerCore  float64  `toml:"crowd_over"`       // ops in progress per core above which throughput falls; 0: never
	CrowdingSlowdown float64  `toml:"crowd_loss"`       // additional op time, as a factor, for each further CrowdingPerCore ops per core
	IdleTimeout      Duration `toml:"idle_close"`       // the server closes connections that are idle for so long
	ReportsLoad      bool     `toml:"load_report"`
}

// Limits are the limits of the nodes and the parameters of the rules.
type Limits struct {
	MaxPushes          int      `toml:"max_pushes"`
	MayDuplicate       bool     `toml:"may_duplicate"`
	MayCancel          bool     `toml:"may_cancel"`
	DialTimeout        Duration `toml:"dial_timeout"`
	MaxRetryAfter      Duration `toml:"max_retry_after"` // 0: no Retry-After is sent
	Sockets            int      `toml:"sockets"`
	MemoryMB           int      `toml:"memory_mb"`
	AnswerSlack        Duration `toml:"answer_slack"`
	DrainGrace         Duration `toml:"drain_grace"`
	ColdInitialShare   float64  `toml:"cold_from"`
	ColdWarmUpTime     Duration `toml:"cold_warm"`
	ColdOverloadFactor float64  `toml:"cold_factor"`
	ColdOverloadWindow Duration `toml:"cold_window"`
	BeyondShareBenefit float64  `toml:"beyond_share_benefit"`
	PassesDeadline     bool     `toml:"passes_deadline"` // calls of a server carry the remaining time of their op
	CrossZoneCost      float64  `toml:"cross_zone_price"`
}

// Registry is how the registry sends the list of servers.
type Registry struct {
	Mode  string   `toml:"mode"`  // "watch", or "whole": each line of a watch holds the full list
	Delay Duration `toml:"delay"` // until a change is sent
}

// Network is the simulated network between machines. On sockets, delays are those of the loopback interface.
type Network struct {
	Delay  Duration `toml:"delay"`  // one way
	Jitter Duration `toml:"jitter"` // additional delay, uniformly distributed from 0
}

// Fleet enables messages between the nodes of the first tier.
type Fleet struct {
	Share         float64 `toml:"share"` // of the nodes that take part; all if left out
	PeerMessaging bool    `toml:"peers"` // the policy module may use peer messages (limits.peers)
}

// PeerFault is a network fault between nodes of the first tier. It needs the driver "live".
type PeerFault struct {
	Kind         string   `toml:"kind"`
	At           Duration `toml:"at"`
	Duration     Duration `toml:"for"`   // to the end of the run if left out
	Count        int      `toml:"count"` // of affected nodes; all if count and share are 0
	Share        float64  `toml:"share"`
	PartSizes    []int    `toml:"parts"`  // of kinds groups and chain: sizes of the groups, as weights
	Factor       float64  `toml:"factor"` // share of the traffic, or a delay in seconds
	FlapInterval Duration `toml:"every"`  // of kind flap
}

// PeerFaultKinds describes the kinds of faults between nodes.
var PeerFaultKinds = map[string]string{
	"groups":  "the nodes are partitioned into groups of the relative sizes in parts; only nodes of one group reach each other",
	"chain":   "the nodes are partitioned into groups of the relative sizes in parts; a group reaches only itself and its two neighbors",
	"cut":     "the nodes neither receive from nor send to other nodes",
	"deaf":    "the nodes receive nothing from other nodes; the other nodes receive from them",
	"dumb":    "the other nodes receive nothing from the nodes; the nodes receive from them",
	"loss":    "the share in factor of all datagrams to and from the nodes is lost",
	"slow":    "all traffic to and from the nodes is delayed by factor to 2 * factor seconds",
	"double":  "the share in factor of all datagrams to and from the nodes is duplicated",
	"reorder": "the share in factor of all datagrams to and from the nodes arrives after later ones",
	"spoil":   "the share in factor of all datagrams and stream chunks to and from the nodes has one byte changed",
	"short":   "the share in factor of all datagrams and streams to and from the nodes is truncated",
	"silent":  "streams to the nodes are accepted and never answered; datagrams pass",
	"flap":    "the paths to and from the nodes are down and up in turn, each for the time in every",
}

// Disturbance is a failure, a planned operation such as a deployment, or a change of the load during a run.
type Disturbance struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Tier     string   `toml:"tier"` // the first tier if left out
	Zone     string   `toml:"zone"`
	Count    int      `toml:"count"` // of affected servers or nodes; all in Tier and Zone if count and share are 0
	Share    float64  `toml:"share"`
	Factor   float64  `toml:"factor"`
	Tenant   string   `toml:"tenant"` // that a burst or failing ops come from; all tenants if left out
}

// DisturbanceKinds describes the kinds of disturbances.
var DisturbanceKinds = map[string]string{
	"slow":           "the servers run factor times slower",
	"stall":          "the servers process nothing",
	"crash":          "the servers crash: connections are reset, new ones refused; they restart cold after the duration",
	"lost":           "the servers stop answering, connections stay open; they restart cold after the duration",
	"errors":         "the servers answer 500 at once without running the op",
	"turned-away":    "the servers reject all ops",
	"reset":          "the servers run the op and break the connection within the answer, each time one byte later",
	"spoilt":         "the servers run the op and answer with bytes that are not HTTP",
	"drain":          "the servers are listed as draining, and as gone after the duration; cold servers replace them",
	"deploy":         "the servers are drained and replaced by cold ones, one after another, over the duration",
	"burst":          "clients, or those of the tenant if named, send factor times the load",
	"registry-down":  "the registry resets watches and refuses calls",
	"registry-slow":  "the registry delays each answer and each change by factor seconds",
	"registry-stale": "the registry is down for the duration and then serves the list from before the outage",
	"list-lie":       "the servers are listed as gone although they serve; after the duration they are listed again",
	"node-crash":     "the nodes crash and restart after the duration with the list that they began with",
	"node-restart":   "the nodes receive SIGTERM and restart when they have ended",
	"failing":        "additional ops, factor times the load (0.3 is three tenths), that every server answers with 500 at once; from one tenant, if named",
	"poison":         "additional ops, share of the load, that crash the server that starts them; it restarts cold after factor seconds",
	"slow-way":       "traffic between the zone and the others takes factor seconds longer each way and the share of it is lost",
	"one-sided":      "half of the nodes of the first tier get no answer to the share of their pushes to the servers; the servers work for the other nodes",
	"node-pause":     "the nodes are paused (SIGSTOP) and resumed after the duration",
	"node-empty":     "the nodes crash and restart after the duration without a list of servers",
	"node-move":      "the nodes crash and restart after the duration under their names, with other addresses for their peers",
	"node-twin":      "a second process with the node's name and number starts at other addresses and ends after the duration",
	"liar-down":      "an additional member reports every server as down to all nodes",
	"liar-well":      "an additional member reports every server as healthy to all nodes",
	"clock-step":     "the clocks of the clients step: the remaining time that they send is factor seconds too long, or too short if negative",
}

// SimulatedOnly are the kinds of disturbances that only the driver "sim" supports.
var SimulatedOnly = []string{"failing", "poison", "slow-way"}

// LiveOnly are the kinds of disturbances that only the driver "live" supports, because they need processes.
var LiveOnly = []string{"node-pause", "node-empty", "node-move", "node-twin", "liar-down", "liar-well"}

// Expect holds the expected results. A bound that is left out is not checked; the four rules always are.
type Expect struct {
	MinServedBenefit      *float64             `toml:"served_benefit"` // as a share of the offered benefit
	MinWorstTenantBenefit *float64             `toml:"worst_tenant"`   // as a share of the benefit that the tenant offered
	Category              *CategoryExpectation `toml:"category"`       // bound on one category
	MaxP99                *Duration            `toml:"p99"`            // of the latency of served ops, from the scheduled send time
	MaxPushesPerOp        *float64             `toml:"pushes_per_op"`
	MaxWastedWork         *float64             `toml:"wasted_work"`          // as a share of the work done
	MinLastQuarterBenefit *float64             `toml:"last_quarter_benefit"` // as a share of the benefit offered in the last quarter of the run
	BrokenRules           []string             `toml:"broken"`               // names of the rules that the experiment breaks on purpose
}

// CategoryExpectation is a bound on the served benefit of one category.
type CategoryExpectation struct {
	Name             string  `toml:"name"`
	MinServedBenefit float64 `toml:"served_benefit"`
}

// Read reads an experiment from a file. An error names the file and, where known, the key, line and column.
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

// Parse reads an experiment from TOML, sets the defaults and validates it. Unknown keys are errors.
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

// withPosition turns an error of the TOML library into an error of one line with line, column and key.
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

// maxFleetSize is the maximum number of servers, and of nodes, in an experiment.
const maxFleetSize = 20_000

// setDefault sets a value that is zero, that is, left out in the file.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

const millisecond = Duration(policy.Millisecond)

// setDefaults fills in the keys that are left out.
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
			machineType := &t.MachineTypes[j]
			setDefault(&machineType.Name, "std")
			setDefault(&machineType.Cores, 1)
			setDefault(&machineType.Speed, 1)
			setDefault(&machineType.QueueLimit, 64)
			setDefault(&machineType.IdleTimeout, 5000*millisecond)
			setDefault(&machineType.JamDelay, 1000*millisecond)
			setDefault(&machineType.JamSlowdown, 2)
			setDefault(&machineType.JamRecoveryTime, 2000*millisecond)
		}
	}
	limits := &s.Limits
	setDefault(&limits.MaxPushes, 3)
	setDefault(&limits.DialTimeout, 100*millisecond)
	setDefault(&limits.Sockets, 1024)
	setDefault(&limits.MemoryMB, 192)
	setDefault(&limits.AnswerSlack, 20*millisecond)
	setDefault(&limits.DrainGrace, 1500*millisecond)
	setDefault(&limits.ColdInitialShare, 0.3)
	setDefault(&limits.ColdWarmUpTime, 4000*millisecond)
	setDefault(&limits.ColdOverloadFactor, 3)
	setDefault(&limits.ColdOverloadWindow, 1000*millisecond)
	setDefault(&limits.BeyondShareBenefit, 0.2)
	setDefault(&s.Registry.Mode, "watch")
	setDefault(&s.Registry.Delay, 100*millisecond)
	setDefault(&s.Network.Delay, millisecond/5)
	setDefault(&s.Network.Jitter, millisecond/10)
	if s.Fleet != nil {
		setDefault(&s.Fleet.Share, 1)
	}
	for i := range s.PeerFaults {
		fault := &s.PeerFaults[i]
		setDefault(&fault.FlapInterval, 300*millisecond)
		setDefault(&fault.Factor, 0.2)
	}
	for i := range s.Disturbances {
		t := &s.Disturbances[i]
		setDefault(&t.Factor, 3)
		if len(s.Tiers) > 0 {
			setDefault(&t.Tier, s.Tiers[0].Name)
		}
	}
}

// validate returns the first invalid key and what is wrong with it, or empty strings.
func (s *Scenario) validate() (key, problem string) {
	addProblem := func(k, format string, args ...any) {
		if key == "" {
			key = k
			problem = fmt.Sprintf(format, args...)
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
			addProblem(prefix+"name", "%q cannot be part of a URL path", c.Name)
		}
		if c.MeanWork <= 0 {
			addProblem(prefix+"work", "is not above 0")
		}
		if c.TargetLatency <= 0 || c.TTL < c.TargetLatency {
			addProblem(prefix+"target_latency", "%v ms is not above 0, or exceeds the ttl of %v ms", c.TargetLatency.Milliseconds(), c.TTL.Milliseconds())
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
			addProblem(prefix+"name", "%q is not a valid name: it is empty or has a comma or a space", t.Name)
		}
		if i > 0 && t.NodeCount != 0 {
			addProblem(prefix+"nodes", "not allowed here: a later tier has one node for each server of the previous tier")
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
				addProblem(fmt.Sprintf("%skind.%d.count", prefix, j), "count, cores and speed must be above 0, queue and cell must not be negative")
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
			addProblem(prefix+"kind", "needs a table [fleet]: without one, nodes have no address for their peers")
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
			addProblem(prefix+"kind", "%q is only supported in simulated time: driver = \"sim\"", t.Kind)
		}
		if slices.Contains(LiveOnly, t.Kind) && s.Driver != "live" {
			addProblem(prefix+"kind", "%q needs processes: driver = \"live\"", t.Kind)
		}
		if t.Kind == "slow-way" && t.Zone == "" {
			addProblem(prefix+"zone", "is missing: name the zone whose traffic is delayed")
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

// validatePeerFaults checks the table fleet and the faults between nodes.
func (s *Scenario) validatePeerFaults(addProblem func(key, format string, args ...any)) {
	if s.Fleet != nil && (s.Fleet.Share < 0 || s.Fleet.Share > 1) {
		addProblem("fleet.share", "%v is not from 0 to 1", s.Fleet.Share)
	}
	for i, fault := range s.PeerFaults {
		prefix := fmt.Sprintf("between.%d.", i)
		total := 0
		for _, size := range fault.PartSizes {
			if total += size; size < 1 {
				addProblem(prefix+"parts", "%d is not above 0", size)
			}
		}
		switch {
		case PeerFaultKinds[fault.Kind] == "":
			addProblem(prefix+"kind", "%q is not a fault between nodes", fault.Kind)
		case s.Fleet == nil:
			addProblem(prefix+"kind", "needs a table [fleet]: without one, nodes exchange no messages")
		case s.Driver != "live":
			addProblem(prefix+"kind", "faults between nodes need processes: driver = \"live\"")
		case (fault.Kind == "groups" || fault.Kind == "chain") && len(fault.PartSizes) < 2:
			addProblem(prefix+"parts", "needs at least two sizes")
		case fault.Share < 0 || fault.Share > 1 || fault.Count < 0:
			addProblem(prefix+"share", "%v is not from 0 to 1, or count is negative", fault.Share)
		case fault.Kind != "slow" && fault.Factor > 1 || fault.Factor < 0:
			addProblem(prefix+"factor", "%v is not from 0 to 1", fault.Factor)
		case fault.Kind == "flap" && fault.FlapInterval < 10*millisecond:
			addProblem(prefix+"every", "%v ms is under 10 ms", fault.FlapInterval.Milliseconds())
		}
	}
}

// TierIndex returns the index of a tier, or -1 if there is no such tier.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name })
}

// keyPosition returns the line and column of a key such as "category.1.work" or, if the key was left out, of the table
// that it belongs to.
func keyPosition(raw []byte, key string) (line, column int) {
	line, column = 1, 1
	parser := unstable.Parser{}
	parser.Reset(raw)
	arrayLengths := map[string]int{} // number of tables seen so far in each array of tables
	table, bestLength := "", 0
	for parser.NextExpression() {
		expression := parser.Expression()
		var names []string
		var offset uint32
		for it, first := expression.Key(), true; it.Next(); first = false {
			if first {
				offset = it.Node().Raw.Offset
			}
			names = append(names, string(it.Node().Data))
		}
		path := ""
		switch expression.Kind {
		case unstable.Table:
			table = indexedPath(names, arrayLengths)
			path = indexedPath(names, arrayLengths)
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

// indexedPath joins the names of a key. Each name of an array of tables is followed by the index of its last table.
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
