package judged

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"canvasrouter/policy"
)

const now = 100 * policy.Second

var seeds = flag.Int("seeds", 150, "simulated fleets")

// drawn are reports as a few sources may have made them: of one source, server and number there is one, in copies of
// several ages.
func drawn(t *rapid.T) []Report {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
		source, number := rapid.IntRange(1, 4).Draw(t, "source"), rapid.IntRange(1, 3).Draw(t, "number")
		server := rapid.IntRange(1, 3).Draw(t, "server")
		return Report{Server: policy.ServerID(server), Reporter: ReporterID(source), NodeNumber: uint16(source), Zone: uint8(source % 2),
			Sequence: uint32(number), Condition: Condition((source + number + server) % int(kinds)),
			Age: policy.Micros(rapid.IntRange(0, 3).Draw(t, "age")) * policy.Second}
	}), 0, 40).Draw(t, "reports")
}

// Merging gives the same whatever comes first, in what parts, and how often.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawn(t)
		whole := NewReportTable(99, 0)
		whole.Merge(now, all)
		other := NewReportTable(99, 0)
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		order := rapid.Permutation(all).Draw(t, "order")
		other.Merge(now, order[cut:])
		other.Merge(now, order[:cut])
		other.Merge(now, order)
		if diff := cmp.Diff(whole.Snapshot(now), other.Snapshot(now)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Reports go over the wire as they are, to the step of their ages; what is of another form is not understood.
func TestWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawn(t)
		b := AppendReports(nil, all)
		got, understood := DecodeReports(b, nil)
		if diff := cmp.Diff(all, got); !understood || len(all) > 0 && diff != "" {
			t.Fatal(diff)
		}
		if len(all) > 0 {
			if _, understood := DecodeReports(b[:len(b)-1], nil); understood {
				t.Fatal("a part was understood")
			}
		}
	})
	if _, understood := DecodeReports([]byte{formVersion + 1}, nil); understood {
		t.Error("another form was understood")
	}
}

// Nothing is kept beyond its bounds, and everything is forgotten.
func TestBounds(t *testing.T) {
	b := NewReportTable(1, 0)
	for server := range 2 * mostServers {
		for source := range 3 * mostSources {
			b.Merge(now, []Report{{Server: policy.ServerID(server), Reporter: ReporterID(2 + source), NodeNumber: uint16(source), Condition: Down}})
		}
	}
	if len(b.servers) != mostServers || len(b.servers[0]) != mostSources {
		t.Errorf("%d servers, %d sources", len(b.servers), len(b.servers[0]))
	}
	// What is fresher takes the place of what is older, and of what is as fresh nothing does: one that tells of many servers keeps
	// out no news.
	const news = policy.ServerID(1 << 40)
	say := func(at policy.Micros) bool {
		b.Merge(at, []Report{{Server: news, Reporter: 2, NodeNumber: 2, Condition: Down}})
		return len(b.servers) == mostServers && len(b.servers[news]) > 0
	}
	if say(now) {
		t.Error("a report took the place of one as fresh")
	}
	if !say(now + 1) {
		t.Error("a fresher report was kept out")
	}
	if b.Expire(now + keep + 2); len(b.servers) != 0 {
		t.Errorf("%d servers are not forgotten", len(b.servers))
	}
}

// What was said of a server before it started anew is of another process, whenever it comes.
func TestAnew(t *testing.T) {
	const tenth = policy.Second / 10
	all, _ := servers(4)
	b, l := NewReportTable(1, 0), NewLocalDetector()
	old := []Report{{Server: 1, Reporter: 2, NodeNumber: 2, Sequence: 5, Condition: Down}, {Server: 1, Reporter: 3, NodeNumber: 3, Sequence: 5, Condition: Down}}
	b.Merge(now-tenth, old)
	b.ServerRestarted(now, 1)
	for i := range old {
		old[i].Sequence, old[i].Age = 6, 2*tenth
	}
	if b.Merge(now+tenth, old); len(WeightReductions(now+tenth, all, b, l.Condition)) != 0 {
		t.Error("what was said of the process before counts")
	}
	for i := range old {
		old[i].Sequence, old[i].Age = 7, 0
	}
	if b.Merge(now+tenth, old); len(WeightReductions(now+tenth, all, b, l.Condition)) != 1 {
		t.Error("what is said of the new one does not count")
	}
}

// The worst that a beat may find: as many servers as are held, each bad by as many as are kept.
func BenchmarkWeights(b *testing.B) {
	all, list := servers(mostServers)
	book, log := NewReportTable(1, 0), NewLocalDetector()
	log.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	for i, server := range all {
		for source := range mostSources {
			node := (i + source*7) % 100
			book.Merge(now, []Report{{Server: server, Reporter: ReporterID(node + 2), NodeNumber: uint16(node), Zone: uint8(node % 2), Sequence: 1, Condition: Down}})
		}
	}
	for b.Loop() {
		WeightReductions(now, all, book, log.Condition)
	}
}

func servers(n int) (all []policy.ServerID, list []policy.ListEntry) {
	for i := range n {
		all = append(all, policy.ServerID(i+1))
		list = append(list, policy.ListEntry{Server: policy.ServerID(i + 1), Weight: 1})
	}
	return all, list
}

// What closes a server and what doesn't, one case a line: who says what, what the node saw itself, and which are closed.
func TestWeights(t *testing.T) {
	all, list := servers(8)
	says := func(node int, ill Condition, age policy.Micros, of ...policy.ServerID) (reports []Report) {
		for _, server := range of {
			reports = append(reports, Report{Server: server, Reporter: ReporterID(100 + node), NodeNumber: uint16(node), Zone: uint8(node % 2), Sequence: 1, Condition: ill,
				Age: age, Duration: 200 * policy.Millisecond})
		}
		return reports
	}
	join := func(parts ...[]Report) (out []Report) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	const tenth = policy.Second / 10
	for name, c := range map[string]struct {
		reports []Report
		saw     func(*LocalDetector)
		closed  int
	}{
		"nobody says anything":         {nil, nil, 0},
		"one alone":                    {says(2, Down, 0, 1, 2), nil, 0},
		"one alone, in two lives":      {join(says(2, Down, 0, 1), []Report{{Server: 1, Reporter: 999, NodeNumber: 2, Sequence: 1, Condition: Down}}), nil, 0},
		"two":                          {join(says(2, Down, 0, 1), says(4, Down, 0, 1)), nil, 1},
		"two, long ago":                {join(says(2, Down, fresh+1, 1), says(4, Down, fresh+1, 1)), nil, 0},
		"two find all bad":             {join(says(2, Down, 0, all...), says(4, Down, 0, all...)), nil, 0},
		"everybody finds all bad":      {join(says(2, Down, 0, all...), says(4, Down, 0, all...), says(6, Down, 0, all...), says(3, Full, 0, all...)), nil, 0},
		"two find five of eight":       {join(says(2, Down, 0, all[:5]...), says(4, Down, 0, all[:5]...)), nil, 4}, // a half at the most
		"as many find it well":         {join(says(2, Failing, 0, 1), says(4, Failing, 0, 1), says(6, Healthy, 0, 1), says(8, Healthy, 0, 1)), nil, 0},
		"well before it began":         {join(says(2, Down, 0, 1), says(4, Down, 0, 1), says(6, Healthy, 5*tenth, 1), says(8, Healthy, 5*tenth, 1)), nil, 1},
		"answers again":                {join(says(2, Down, 5*tenth, 1), says(4, Down, 5*tenth, 1), says(3, Down, 5*tenth, 1), says(6, Healthy, 0, 1), says(8, Healthy, 0, 1)), nil, 0},
		"bad in the other zone":        {join(says(3, LosingAnswers, 0, 1), says(5, LosingAnswers, 0, 1), says(7, LosingAnswers, 0, 1), says(2, Healthy, 0, 1), says(4, Healthy, 0, 1)), nil, 0},
		"two wait":                     {join(says(2, Silent, 0, 1), says(4, Silent, 0, 1)), nil, 0},
		"three wait":                   {join(says(2, Silent, 0, 1), says(4, Silent, 0, 1), says(6, Silent, 0, 1)), nil, 1},
		"three wait, one is answered":  {join(says(2, Silent, 0, 1), says(4, Silent, 0, 1), says(6, Silent, 0, 1), says(8, Healthy, 0, 1)), nil, 0},
		"two found it down, one waits": {join(says(2, Down, 0, 1), says(4, Down, 0, 1), says(6, Silent, 0, 1)), nil, 1},
		"slow closes nothing":          {join(says(2, Slow, 0, 1), says(4, Slow, 0, 1)), nil, 0},
		"it answers here":              {join(says(2, Down, 0, 1), says(4, Down, 0, 1)), func(l *LocalDetector) { l.PushEnded(now-tenth, 1, 0, policy.Acked, tenth) }, 0},
		"it answered here before":      {join(says(2, Down, 0, 1), says(4, Down, 0, 1)), func(l *LocalDetector) { l.PushEnded(now-3*tenth, 1, 0, policy.Acked, tenth) }, 1},
		"a server that is no more":     {join(says(2, Down, 0, 77), says(4, Down, 0, 77)), nil, 0},
	} {
		b, l := NewReportTable(1, 0), NewLocalDetector()
		l.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
		if c.saw != nil {
			c.saw(l)
		}
		b.Merge(now, c.reports)
		closed := 0
		for _, w := range WeightReductions(now, all, b, l.Condition) {
			if w.RemainingFraction < slowWeight {
				closed++
			}
		}
		if closed != c.closed {
			t.Errorf("%s: %d closed, not %d", name, closed, c.closed)
		}
	}
}

// What a node's own pushes are evidence of.
func TestEvidence(t *testing.T) {
	const tenth = policy.Second / 10
	ended := func(at policy.Micros, outcome policy.Outcome, took policy.Micros) func(*LocalDetector) {
		return func(l *LocalDetector) { l.PushSent(at-took, 1, 0); l.PushEnded(at, 1, 0, outcome, took) }
	}
	quick := func(l *LocalDetector) {
		for range 20 {
			l.PushEnded(now-20*tenth, 2, 0, policy.Acked, 20*policy.Millisecond)
		}
	}
	for name, c := range map[string]struct {
		do   []func(*LocalDetector)
		want Condition
	}{
		"answers":                     {[]func(*LocalDetector){ended(now, policy.Acked, tenth)}, Healthy},
		"silent":                      {[]func(*LocalDetector){ended(now, policy.TimedOut, tenth)}, Down},
		"not to be reached":           {[]func(*LocalDetector){ended(now, policy.ConnectFailed, 0)}, Down},
		"answers after silence":       {[]func(*LocalDetector){ended(now-2, policy.TimedOut, tenth), ended(now, policy.Acked, tenth)}, Healthy},
		"one lost, answers meanwhile": {[]func(*LocalDetector){ended(now-1, policy.Acked, tenth), ended(now, policy.TimedOut, 3*tenth)}, Healthy},
		"errors":                      {[]func(*LocalDetector){ended(now-2, policy.Errored, 1), ended(now-1, policy.Errored, 1), ended(now, policy.Errored, 1)}, Failing},
		"turns away":                  {[]func(*LocalDetector){ended(now-2, policy.Full, 1), ended(now-1, policy.Full, 1), ended(now, policy.Full, 1)}, Full},
		"given up is no evidence":     {[]func(*LocalDetector){ended(now-1, policy.Acked, tenth), ended(now, policy.Cancelled, 9*tenth)}, Healthy},
		"overdue":                     {[]func(*LocalDetector){quick, func(l *LocalDetector) { l.PushSent(now-2*tenth, 1, 0) }}, Silent},
		"overdue, answers meanwhile":  {[]func(*LocalDetector){quick, func(l *LocalDetector) { l.PushSent(now-2*tenth, 1, 0) }, ended(now, policy.Acked, tenth)}, Healthy},
		"not yet overdue":             {[]func(*LocalDetector){quick, func(l *LocalDetector) { l.PushSent(now-tenth/2, 1, 0) }}, Healthy},
	} {
		_, list := servers(2)
		l := NewLocalDetector()
		l.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
		for _, do := range c.do {
			do(l)
		}
		if ill, _ := l.Condition(now, 1); ill != c.want {
			t.Errorf("%s: %v, not %v", name, ill, c.want)
		}
	}
	l := NewLocalDetector()
	_, list := servers(2)
	l.SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	quick(l)
	if n := testing.AllocsPerRun(100, func() { l.PushSent(now, 2, 0); l.PushEnded(now, 2, 0, policy.Acked, tenth) }); n != 0 {
		t.Errorf("%v allocations a push", n)
	}
}

// A fleet in simulated time over a network that loses, doubles and reorders, from many seeds: nodes of two zones find some
// servers silent, one node lies, and a part is cut off. After each beat: no more than Part is closed, nothing is closed
// that answers this node; at the end, once the servers are well, nothing is held.
func TestFleet(t *testing.T) {
	found, seeds := 0, *seeds
	for seed := range seeds {
		f := newSimulated(uint64(seed))
		f.run(t)
		if f.closed > 0 {
			found++
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if found < seeds*9/10 {
		t.Errorf("hearsay closed a dead server in %d of %d fleets", found, seeds)
	}
}

type simulated struct {
	rng     *rand.Rand
	now     policy.Micros
	books   []*ReportTable
	logs    []*LocalDetector
	ids     []policy.ServerID
	dead    map[policy.ServerID]bool
	mail    []letter
	closed  int
	cut     int // nodes below are cut off from the others
	liar    int
	onlyOne uint8 // zone for which the dead are dead; 2: for all
}

type letter struct {
	to      int
	at      policy.Micros
	reports []Report
}

func newSimulated(seed uint64) *simulated {
	f := &simulated{rng: rand.New(rand.NewPCG(seed, 1)), now: now, dead: make(map[policy.ServerID]bool)}
	nodes, n := 4+f.rng.IntN(12), 4+f.rng.IntN(8)
	ids, list := servers(n)
	f.ids = ids
	for i := range nodes {
		f.books, f.logs = append(f.books, NewReportTable(ReporterID(i+1), uint8(i%2))), append(f.logs, NewLocalDetector())
		f.logs[i].SetServers(list, func(policy.ServerID) policy.Micros { return 0 })
	}
	for range 1 + f.rng.IntN(n/2) {
		f.dead[ids[f.rng.IntN(n)]] = true
	}
	f.cut, f.liar, f.onlyOne = f.rng.IntN(nodes/2), f.rng.IntN(nodes), uint8(2*f.rng.IntN(2))
	return f
}

func (f *simulated) deadFor(node int, server policy.ServerID) bool {
	return f.dead[server] && (f.onlyOne == 2 || uint8(node%2) == f.onlyOne)
}

func (f *simulated) run(t *testing.T) {
	const beat = 50 * policy.Millisecond
	end := f.now + 8*policy.Second
	for step := 0; f.now < end; step++ {
		if step == 80 {
			f.dead = map[policy.ServerID]bool{}
		}
		f.now += beat
		for i := range f.books {
			f.work(i)
			f.beat(t, i, step > 30 && step < 70, step < 80)
		}
		mail := f.mail
		f.mail = nil
		for _, l := range mail {
			if l.at > f.now {
				f.mail = append(f.mail, l)
			} else {
				f.books[l.to].Merge(f.now, l.reports)
			}
		}
	}
	f.now += keep + policy.Second // all that was said has been forgotten
	for i, b := range f.books {
		if b.Expire(f.now); len(WeightReductions(f.now, f.ids, b, f.logs[i].Condition)) > 0 || len(b.servers) > 0 {
			t.Errorf("node %d still holds reports", i)
		}
	}
}

// work is a node's pushes in a beat: a few, at random servers.
func (f *simulated) work(i int) {
	for range f.rng.IntN(3) {
		server := f.ids[f.rng.IntN(len(f.ids))]
		f.logs[i].PushSent(f.now, server, 0)
		if f.deadFor(i, server) {
			f.logs[i].PushEnded(f.now, server, 0, policy.TimedOut, 10*policy.Millisecond)
		} else {
			f.logs[i].PushEnded(f.now, server, 0, policy.Acked, 20*policy.Millisecond)
		}
	}
}

func (f *simulated) beat(t *testing.T, i int, cut, ill bool) {
	b, l := f.books[i], f.logs[i]
	for _, r := range l.DueReports(f.now, uint16(i), b) {
		b.AddOwn(f.now, r)
	}
	if i == f.liar && ill {
		for _, server := range f.ids {
			b.AddOwn(f.now, Report{Server: server, Sequence: uint32(f.now / 1000), Condition: Down, NodeNumber: uint16(i)})
		}
	}
	b.Expire(f.now)
	closed := 0
	for _, w := range WeightReductions(f.now, f.ids, b, l.Condition) {
		if !w.Condition.closes() {
			continue
		}
		closed++
		if f.deadFor(i, w.Server) {
			f.closed++
		}
		if e := l.servers[w.Server]; e.good == f.now {
			t.Errorf("node %d: server %d is closed and answers it", i, w.Server)
		}
	}
	if float64(closed) > MaxEjectedFraction*float64(len(f.ids)) {
		t.Errorf("node %d: %d of %d servers closed", i, closed, len(f.ids))
	}
	reports := b.ReportsToSend(f.now, 3, 50)
	for range 3 {
		to := f.rng.IntN(len(f.books))
		if to == i || cut && (to < f.cut) != (i < f.cut) || f.rng.IntN(5) == 0 {
			continue
		}
		for range 1 + f.rng.IntN(2) {
			f.mail = append(f.mail, letter{to, f.now + policy.Micros(f.rng.IntN(100_000)), reports})
		}
	}
}
