package outlier

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"canvasrouter/policy"
)

const now = 100 * policy.Second

var seeds = flag.Int("seeds", 150, "number of simulated fleets")

// drawReports draws reports as a few reporters may have made them: for one reporter, server and sequence number there is a
// single report, in copies of several ages.
func drawReports(t *rapid.T) []Report {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
		reporter := rapid.IntRange(1, 4).Draw(t, "reporter")
		sequence := rapid.IntRange(1, 3).Draw(t, "sequence")
		server := rapid.IntRange(1, 3).Draw(t, "server")
		return Report{
			Server:     policy.ServerID(server),
			Reporter:   ReporterID(reporter),
			NodeNumber: uint16(reporter),
			Zone:       uint8(reporter % 2),
			Sequence:   uint32(sequence),
			Condition:  Condition((reporter + sequence + server) % int(conditionCount)),
			Age:        policy.Micros(rapid.IntRange(0, 3).Draw(t, "age")) * policy.Second,
		}
	}), 0, 40).Draw(t, "reports")
}

// The result of merging reports does not depend on their order, on how they are split into batches, or on duplicates.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := drawReports(t)
		inOrder := NewReportTable(99, 0)
		inOrder.Merge(now, reports)
		shuffled := NewReportTable(99, 0)
		split := rapid.IntRange(0, len(reports)).Draw(t, "split")
		order := rapid.Permutation(reports).Draw(t, "order")
		shuffled.Merge(now, order[split:])
		shuffled.Merge(now, order[:split])
		shuffled.Merge(now, order)
		if diff := cmp.Diff(inOrder.Snapshot(now), shuffled.Snapshot(now)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Reports survive encoding and decoding with ages in whole units; truncated ones and those of another version are not
// understood.
func TestReportEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := drawReports(t)
		encoded := AppendReports(nil, reports)
		decoded, understood := DecodeReports(encoded, nil)
		if diff := cmp.Diff(reports, decoded); !understood || len(reports) > 0 && diff != "" {
			t.Fatal(diff)
		}
		if len(reports) > 0 {
			if _, understood := DecodeReports(encoded[:len(encoded)-1], nil); understood {
				t.Fatal("truncated reports were understood")
			}
		}
	})
	if _, understood := DecodeReports([]byte{formatVersion + 1}, nil); understood {
		t.Error("another version was understood")
	}
}

// The table keeps to its bounds, and everything in it expires.
func TestBounds(t *testing.T) {
	table := NewReportTable(1, 0)
	for server := range 2 * maxServers {
		for reporter := range 3 * maxReportersPerServer {
			table.Merge(now, []Report{{Server: policy.ServerID(server), Reporter: ReporterID(2 + reporter), NodeNumber: uint16(reporter), Condition: Down}})
		}
	}
	if len(table.servers) != maxServers || len(table.servers[0]) != maxReportersPerServer {
		t.Errorf("%d servers, %d reporters", len(table.servers), len(table.servers[0]))
	}
	// A report replaces an older one but not one of the same age, so a node that reports on many servers cannot keep newer
	// reports out.
	const newServer = policy.ServerID(1 << 40)
	accepts := func(at policy.Micros) bool {
		table.Merge(at, []Report{{Server: newServer, Reporter: 2, NodeNumber: 2, Condition: Down}})
		return len(table.servers) == maxServers && len(table.servers[newServer]) > 0
	}
	if accepts(now) {
		t.Error("a report replaced one of the same age")
	}
	if !accepts(now + 1) {
		t.Error("a newer report was kept out")
	}
	if table.Expire(now + reportRetention + 2); len(table.servers) != 0 {
		t.Errorf("%d servers have not expired", len(table.servers))
	}
}

// Reports with evidence from before a server's restart describe the previous process and do not count, even when they arrive
// after the restart.
func TestServerRestart(t *testing.T) {
	const tenth = policy.Second / 10
	all, _ := servers(4)
	table := NewReportTable(1, 0)
	detector := NewLocalDetector()
	reports := []Report{
		{Server: 1, Reporter: 2, NodeNumber: 2, Sequence: 5, Condition: Down},
		{Server: 1, Reporter: 3, NodeNumber: 3, Sequence: 5, Condition: Down},
	}
	table.Merge(now-tenth, reports)
	table.ServerRestarted(now, 1)
	for i := range reports {
		reports[i].Sequence = 6
		reports[i].Age = 2 * tenth
	}
	if table.Merge(now+tenth, reports); len(WeightReductions(now+tenth, all, table, detector.Condition)) != 0 {
		t.Error("reports on the previous process count")
	}
	for i := range reports {
		reports[i].Sequence = 7
		reports[i].Age = 0
	}
	if table.Merge(now+tenth, reports); len(WeightReductions(now+tenth, all, table, detector.Condition)) != 1 {
		t.Error("reports on the new process do not count")
	}
}

// BenchmarkWeightReductions measures the worst case of one assessment: as many servers as the table holds, each reported down
// by as many reporters as are kept for one server.
func BenchmarkWeightReductions(b *testing.B) {
	all, list := servers(maxServers)
	table := NewReportTable(1, 0)
	detector := NewLocalDetector()
	detector.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	for i, server := range all {
		for reporter := range maxReportersPerServer {
			node := (i + reporter*7) % 100
			table.Merge(now, []Report{{Server: server, Reporter: ReporterID(node + 2), NodeNumber: uint16(node), Zone: uint8(node % 2), Sequence: 1, Condition: Down}})
		}
	}
	for b.Loop() {
		WeightReductions(now, all, table, detector.Condition)
	}
}

// servers returns the IDs 1 to n and a list with these servers.
func servers(n int) (all []policy.ServerID, list []policy.ListEntry) {
	for i := range n {
		all = append(all, policy.ServerID(i+1))
		list = append(list, policy.ListEntry{Server: policy.ServerID(i + 1), Weight: 1})
	}
	return all, list
}

// Each case gives the reports of peers and what the node itself has observed, and how many servers are ejected because of them.
func TestWeightReductions(t *testing.T) {
	all, list := servers(8)
	reportsBy := func(node int, condition Condition, age policy.Micros, on ...policy.ServerID) (reports []Report) {
		for _, server := range on {
			reports = append(reports, Report{
				Server:     server,
				Reporter:   ReporterID(100 + node),
				NodeNumber: uint16(node),
				Zone:       uint8(node % 2),
				Sequence:   1,
				Condition:  condition,
				Age:        age,
				Duration:   200 * policy.Millisecond,
			})
		}
		return reports
	}
	join := func(parts ...[]Report) (joined []Report) {
		for _, part := range parts {
			joined = append(joined, part...)
		}
		return joined
	}
	const tenth = policy.Second / 10
	for name, c := range map[string]struct {
		reports []Report
		observe func(*LocalDetector)
		ejected int
	}{
		"no reports":                 {nil, nil, 0},
		"one reporter":               {reportsBy(2, Down, 0, 1, 2), nil, 0},
		"one node, two incarnations": {join(reportsBy(2, Down, 0, 1), []Report{{Server: 1, Reporter: 999, NodeNumber: 2, Sequence: 1, Condition: Down}}), nil, 0},
		"two reporters":              {join(reportsBy(2, Down, 0, 1), reportsBy(4, Down, 0, 1)), nil, 1},
		"two reporters, expired":     {join(reportsBy(2, Down, maxEvidenceAge+1, 1), reportsBy(4, Down, maxEvidenceAge+1, 1)), nil, 0},
		"two report all servers":     {join(reportsBy(2, Down, 0, all...), reportsBy(4, Down, 0, all...)), nil, 0},
		"every node reports all":     {join(reportsBy(2, Down, 0, all...), reportsBy(4, Down, 0, all...), reportsBy(6, Down, 0, all...), reportsBy(3, Full, 0, all...)), nil, 0},
		"two report five of eight":   {join(reportsBy(2, Down, 0, all[:5]...), reportsBy(4, Down, 0, all[:5]...)), nil, 4}, // MaxEjectedFraction
		"as many report it healthy":  {join(reportsBy(2, Failing, 0, 1), reportsBy(4, Failing, 0, 1), reportsBy(6, Healthy, 0, 1), reportsBy(8, Healthy, 0, 1)), nil, 0},
		"healthy before it began":    {join(reportsBy(2, Down, 0, 1), reportsBy(4, Down, 0, 1), reportsBy(6, Healthy, 5*tenth, 1), reportsBy(8, Healthy, 5*tenth, 1)), nil, 1},
		"answers again":              {join(reportsBy(2, Down, 5*tenth, 1), reportsBy(4, Down, 5*tenth, 1), reportsBy(3, Down, 5*tenth, 1), reportsBy(6, Healthy, 0, 1), reportsBy(8, Healthy, 0, 1)), nil, 0},
		"unhealthy in another zone":  {join(reportsBy(3, LosingAnswers, 0, 1), reportsBy(5, LosingAnswers, 0, 1), reportsBy(7, LosingAnswers, 0, 1), reportsBy(2, Healthy, 0, 1), reportsBy(4, Healthy, 0, 1)), nil, 0},
		"two silent":                 {join(reportsBy(2, Silent, 0, 1), reportsBy(4, Silent, 0, 1)), nil, 0},
		"three silent":               {join(reportsBy(2, Silent, 0, 1), reportsBy(4, Silent, 0, 1), reportsBy(6, Silent, 0, 1)), nil, 1},
		"three silent, one answered": {join(reportsBy(2, Silent, 0, 1), reportsBy(4, Silent, 0, 1), reportsBy(6, Silent, 0, 1), reportsBy(8, Healthy, 0, 1)), nil, 0},
		"two down, one silent":       {join(reportsBy(2, Down, 0, 1), reportsBy(4, Down, 0, 1), reportsBy(6, Silent, 0, 1)), nil, 1},
		"slow ejects nothing":        {join(reportsBy(2, Slow, 0, 1), reportsBy(4, Slow, 0, 1)), nil, 0},
		"own answer since":           {join(reportsBy(2, Down, 0, 1), reportsBy(4, Down, 0, 1)), func(d *LocalDetector) { d.PushEnded(now-tenth, 1, 0, policy.Acked, tenth) }, 0},
		"own answer before":          {join(reportsBy(2, Down, 0, 1), reportsBy(4, Down, 0, 1)), func(d *LocalDetector) { d.PushEnded(now-3*tenth, 1, 0, policy.Acked, tenth) }, 1},
		"a server no longer listed":  {join(reportsBy(2, Down, 0, 77), reportsBy(4, Down, 0, 77)), nil, 0},
	} {
		table := NewReportTable(1, 0)
		detector := NewLocalDetector()
		detector.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
		if c.observe != nil {
			c.observe(detector)
		}
		table.Merge(now, c.reports)
		ejected := 0
		for _, reduction := range WeightReductions(now, all, table, detector.Condition) {
			if reduction.RemainingFraction < slowFraction {
				ejected++
			}
		}
		if ejected != c.ejected {
			t.Errorf("%s: %d servers ejected, want %d", name, ejected, c.ejected)
		}
	}
}

// The condition of a server follows from the outcomes of the node's own pushes, and recording a push allocates no memory.
func TestLocalDetector(t *testing.T) {
	const tenth = policy.Second / 10
	ended := func(at policy.Micros, outcome policy.Outcome, took policy.Micros) func(*LocalDetector) {
		return func(d *LocalDetector) {
			d.PushSent(at-took, 1, 0)
			d.PushEnded(at, 1, 0, outcome, took)
		}
	}
	quickAnswers := func(d *LocalDetector) {
		for range 20 {
			d.PushEnded(now-20*tenth, 2, 0, policy.Acked, 20*policy.Millisecond)
		}
	}
	for name, c := range map[string]struct {
		steps []func(*LocalDetector)
		want  Condition
	}{
		"answers":                    {[]func(*LocalDetector){ended(now, policy.Acked, tenth)}, Healthy},
		"timeout":                    {[]func(*LocalDetector){ended(now, policy.TimedOut, tenth)}, Down},
		"unreachable":                {[]func(*LocalDetector){ended(now, policy.ConnectFailed, 0)}, Down},
		"answer after timeout":       {[]func(*LocalDetector){ended(now-2, policy.TimedOut, tenth), ended(now, policy.Acked, tenth)}, Healthy},
		"one lost, answer meanwhile": {[]func(*LocalDetector){ended(now-1, policy.Acked, tenth), ended(now, policy.TimedOut, 3*tenth)}, Healthy},
		"errors":                     {[]func(*LocalDetector){ended(now-2, policy.Errored, 1), ended(now-1, policy.Errored, 1), ended(now, policy.Errored, 1)}, Failing},
		"full":                       {[]func(*LocalDetector){ended(now-2, policy.Full, 1), ended(now-1, policy.Full, 1), ended(now, policy.Full, 1)}, Full},
		"cancelled is no evidence":   {[]func(*LocalDetector){ended(now-1, policy.Acked, tenth), ended(now, policy.Cancelled, 9*tenth)}, Healthy},
		"overdue":                    {[]func(*LocalDetector){quickAnswers, func(d *LocalDetector) { d.PushSent(now-2*tenth, 1, 0) }}, Silent},
		"overdue, answer meanwhile":  {[]func(*LocalDetector){quickAnswers, func(d *LocalDetector) { d.PushSent(now-2*tenth, 1, 0) }, ended(now, policy.Acked, tenth)}, Healthy},
		"not yet overdue":            {[]func(*LocalDetector){quickAnswers, func(d *LocalDetector) { d.PushSent(now-tenth/2, 1, 0) }}, Healthy},
	} {
		_, list := servers(2)
		detector := NewLocalDetector()
		detector.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
		for _, step := range c.steps {
			step(detector)
		}
		if condition, _ := detector.Condition(now, 1); condition != c.want {
			t.Errorf("%s: %v, want %v", name, condition, c.want)
		}
	}
	detector := NewLocalDetector()
	_, list := servers(2)
	detector.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	quickAnswers(detector)
	if n := testing.AllocsPerRun(100, func() {
		detector.PushSent(now, 2, 0)
		detector.PushEnded(now, 2, 0, policy.Acked, tenth)
	}); n != 0 {
		t.Errorf("%v allocations a push", n)
	}
}

// TestSimulatedFleet runs fleets in simulated time, one for each seed, over a network that loses, duplicates and reorders
// messages. Nodes of two zones find some servers down, one node reports every server as down, and some nodes are cut off for a
// while. At each tick no node has more than MaxEjectedFraction of the servers ejected, nor a server that has just answered it.
// At the end, when the servers have recovered, no report is left.
func TestSimulatedFleet(t *testing.T) {
	fleetsThatEjected := 0
	seeds := *seeds
	for seed := range seeds {
		fleet := newSimulatedFleet(uint64(seed))
		fleet.run(t)
		if fleet.deadEjected > 0 {
			fleetsThatEjected++
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if fleetsThatEjected < seeds*9/10 {
		t.Errorf("a dead server was ejected in %d of %d fleets", fleetsThatEjected, seeds)
	}
}

type simulatedFleet struct {
	rng            *rand.Rand
	now            policy.Micros
	tables         []*ReportTable   // by node
	detectors      []*LocalDetector // by node
	ids            []policy.ServerID
	dead           map[policy.ServerID]bool
	inTransit      []message
	deadEjected    int   // how often a dead server was found ejected
	partitionBelow int   // nodes below this index are cut off from the others
	falseReporter  int   // node that reports every server as down
	deadZone       uint8 // zone for which the dead servers are dead; 2: all zones
}

type message struct {
	to        int
	arrivesAt policy.Micros
	reports   []Report
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: now, dead: make(map[policy.ServerID]bool)}
	nodes := 4 + f.rng.IntN(12)
	serverCount := 4 + f.rng.IntN(8)
	ids, list := servers(serverCount)
	f.ids = ids
	for i := range nodes {
		f.tables = append(f.tables, NewReportTable(ReporterID(i+1), uint8(i%2)))
		f.detectors = append(f.detectors, NewLocalDetector())
		f.detectors[i].SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	}
	for range 1 + f.rng.IntN(serverCount/2) {
		f.dead[ids[f.rng.IntN(serverCount)]] = true
	}
	f.partitionBelow = f.rng.IntN(nodes / 2)
	f.falseReporter = f.rng.IntN(nodes)
	f.deadZone = uint8(2 * f.rng.IntN(2))
	return f
}

func (f *simulatedFleet) deadFor(node int, server policy.ServerID) bool {
	return f.dead[server] && (f.deadZone == 2 || uint8(node%2) == f.deadZone)
}

func (f *simulatedFleet) run(t *testing.T) {
	const tick = 50 * policy.Millisecond
	end := f.now + 8*policy.Second
	for step := 0; f.now < end; step++ {
		if step == 80 {
			f.dead = map[policy.ServerID]bool{}
		}
		f.now += tick
		for i := range f.tables {
			f.push(i)
			f.exchangeReports(t, i, step > 30 && step < 70, step < 80)
		}
		pending := f.inTransit
		f.inTransit = nil
		for _, m := range pending {
			if m.arrivesAt > f.now {
				f.inTransit = append(f.inTransit, m)
			} else {
				f.tables[m.to].Merge(f.now, m.reports)
			}
		}
	}
	f.now += reportRetention + policy.Second // all reports have expired
	for i, table := range f.tables {
		if table.Expire(f.now); len(WeightReductions(f.now, f.ids, table, f.detectors[i].Condition)) > 0 || len(table.servers) > 0 {
			t.Errorf("node %d still has reports", i)
		}
	}
}

// push records a node's pushes in one tick: a few, to random servers.
func (f *simulatedFleet) push(node int) {
	for range f.rng.IntN(3) {
		server := f.ids[f.rng.IntN(len(f.ids))]
		f.detectors[node].PushSent(f.now, server, 0)
		if f.deadFor(node, server) {
			f.detectors[node].PushEnded(f.now, server, 0, policy.TimedOut, 10*policy.Millisecond)
		} else {
			f.detectors[node].PushEnded(f.now, server, 0, policy.Acked, 20*policy.Millisecond)
		}
	}
}

// exchangeReports makes a node's reports, checks which servers it has ejected, and sends its reports to random nodes.
func (f *simulatedFleet) exchangeReports(t *testing.T, node int, partitioned, falseReporterActive bool) {
	table := f.tables[node]
	detector := f.detectors[node]
	for _, report := range detector.DueReports(f.now, uint16(node), table) {
		table.AddOwn(f.now, report)
	}
	if node == f.falseReporter && falseReporterActive {
		for _, server := range f.ids {
			table.AddOwn(f.now, Report{Server: server, Sequence: uint32(f.now / 1000), Condition: Down, NodeNumber: uint16(node)})
		}
	}
	table.Expire(f.now)
	ejected := 0
	for _, reduction := range WeightReductions(f.now, f.ids, table, detector.Condition) {
		if !reduction.Condition.ejects() {
			continue
		}
		ejected++
		if f.deadFor(node, reduction.Server) {
			f.deadEjected++
		}
		if evidence := detector.servers[reduction.Server]; evidence.lastGood == f.now {
			t.Errorf("node %d: server %d is ejected although it has just answered this node", node, reduction.Server)
		}
	}
	if float64(ejected) > MaxEjectedFraction*float64(len(f.ids)) {
		t.Errorf("node %d: %d of %d servers ejected", node, ejected, len(f.ids))
	}
	reports := table.ReportsToSend(f.now, 3, 50)
	for range 3 {
		to := f.rng.IntN(len(f.tables))
		if to == node || partitioned && (to < f.partitionBelow) != (node < f.partitionBelow) || f.rng.IntN(5) == 0 {
			continue
		}
		for range 1 + f.rng.IntN(2) {
			f.inTransit = append(f.inTransit, message{to, f.now + policy.Micros(f.rng.IntN(100_000)), reports})
		}
	}
}
