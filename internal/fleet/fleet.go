// Package fleet is what a node hears of the others: ways, members, words between modules and judgements on servers, wired
// together. Nothing here is waited for while an op is in hand; what is heard is advice.
package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/fleet/judged"
	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/fleet/words"
	"canvasrouter/internal/node"
	"canvasrouter/internal/store"
	"canvasrouter/policy"
)

const (
	// judgeEvery is the beat of judgements: what is new is told, what was heard is weighed.
	judgeEvery = 50 * time.Millisecond
	// tellTo is how many others are told in a beat, drawn anew each time.
	tellTo = 3
	// passOn is how often a node passes a report on: with tellTo, nine sends by each who has it leave about one in eight
	// thousand without.
	passOn = 3
	// newcomers is how many that have just come are told all in a beat: the hand-over of many at once is spread.
	newcomers = 2
)

// Fleet is one node's side. It is made by Start and ends with Close.
type Fleet struct {
	config    *config.Fleet
	clock     *node.Clock
	log       zerolog.Logger
	node      *node.Node
	transport *transport.Transport
	members   *members.Members
	words     *words.Messenger // nil: modules tell nothing
	control   *control         // nil: no socket
	number    uint16
	done      chan struct{}
	over      sync.WaitGroup

	// Danger: the node's actor waits for own's lock with ops in hand, and weighing many reports takes milliseconds. So the book
	// has a lock of its own, which the actor never takes; whoever takes both takes the book's first.
	mu      sync.Mutex // guards own, list, started, anew, ids
	own     *judged.LocalDetector
	list    []policy.ListEntry
	started map[policy.ServerID]policy.Micros
	anew    []policy.ServerID // that have started anew since the last beat
	ids     []policy.ServerID

	store atomic.Pointer[func() *store.View] // what is known of the store of configuration; nil: nothing

	books   sync.Mutex // guards book, weights, foreign
	book    *judged.ReportTable
	weights []judged.WeightReduction
	foreign int64 // frames of judgements of another form
}

// Start opens the node's transport and begins to hear. The node is told what others judge, and tells what it sees, from Join on.
func Start(c *config.Config, n *node.Node, clock *node.Clock, log zerolog.Logger) (*Fleet, error) {
	return StartWithRetention(c, n, clock, log, 0)
}

// StartKeeping is Start, where members that are gone are kept for another time than usual: a test of long cuts has no hours. All
// waits here are by the clock, which may be slowed.
func StartWithRetention(c *config.Config, n *node.Node, clock *node.Clock, log zerolog.Logger, keep time.Duration) (*Fleet, error) {
	f := &Fleet{config: c.Fleet, clock: clock, log: log, node: n, number: uint16(c.Rules.Topology.NodeNumber), done: make(chan struct{}),
		started: make(map[policy.ServerID]policy.Micros)}
	life := transport.IncarnationID(rand.Uint64()) // Danger: not from the seed, which a process that is back has again
	zone := uint8(c.Rules.Topology.Zone)
	f.book, f.own = judged.NewReportTable(judged.ReporterID(life), zone), judged.NewLocalDetector()
	var err error
	f.transport, err = transport.Open(transport.Options{Fleet: c.Fleet.Name, Listen: c.Fleet.Listen, Advertise: c.Fleet.Advertise, Incarnation: life, MaxBytesPerSecond: c.Fleet.MaxBytesPerSecond,
		SlowdownFactor: int(clock.RealDuration(1))},
		log.With().Str("part", "transport").Logger())
	if err != nil {
		return nil, fmt.Errorf("key fleet.listen: %w", err)
	}
	if c.Fleet.ControlSocket != "" {
		if f.control, err = listen(c.Fleet.ControlSocket, f); err != nil {
			f.transport.Close()
			return nil, fmt.Errorf("key fleet.control: %w", err)
		}
	}
	if c.Fleet.OutlierReports {
		f.transport.Handle(transport.ServerReports, f.hear)
	}
	if c.Fleet.PeerMessages && c.Rules.Topology.PeerMessaging {
		f.words = words.Start(f.transport, f.holder, n.PeerMessagesReceived)
	}
	own := members.Member{Name: c.Name, Incarnation: life, Zone: zone, Number: c.Rules.Topology.NodeNumber, Addr: c.Fleet.Advertise}
	f.members, err = members.Start(members.Options{Self: own, FleetSize: c.Rules.Topology.NodeCount, JoinAddrs: c.Fleet.Join, RandomSeed: c.Seed, DepartedRetention: keep}, f.transport, clock,
		log.With().Str("part", "members").Logger())
	if err != nil {
		f.end()
		return nil, err
	}
	f.transport.Run()
	if c.Fleet.OutlierReports {
		f.over.Go(f.judge)
	}
	n.SetPeers(f)
	if f.control != nil {
		f.control.serve()
	}
	log.Info().Str("listen", c.Fleet.Listen.String()).Str("advertise", c.Fleet.Advertise.String()).Str("life", fmt.Sprintf("%016x", uint64(life))).
		Bool("words", f.words != nil).Bool("judged", c.Fleet.OutlierReports).Msg("the node hears others")
	return f, nil
}

// Leave tells the others that the node leaves. It waits for a moment at the most.
func (f *Fleet) Leave() { f.members.Leave() }

// Close ends it all: the node hears nobody, and what it was told of servers is forgotten.
func (f *Fleet) Close() {
	f.node.SetPeers(nil)
	f.end()
	f.log.Info().Msg("the node hears nobody any more")
}

// Kill ends it all without a word to anybody, as the end of a process would.
func (f *Fleet) Kill() { f.end() }

func (f *Fleet) end() {
	close(f.done)
	if f.control != nil {
		f.control.close()
	}
	if f.words != nil {
		f.words.Close()
	}
	if f.members != nil {
		f.members.Close()
	}
	f.transport.Close()
	f.over.Wait()
}

// Show says where a look at the store of configuration comes from.
func (f *Fleet) SetStoreView(look func() *store.View) { f.store.Store(&look) }

// Others gives all others that are there. The slice is shared: it is read alone.
func (f *Fleet) AlivePeers() []members.Member { return f.members.AlivePeers() }

// Life is this process's among the members.
func (f *Fleet) Incarnation() transport.IncarnationID { return f.transport.Incarnation() }

// Counts gives what has become of frames so far.
func (f *Fleet) TransportCounts() transport.Counts { return f.transport.Counts() }

// Lowered is how many servers others' findings have taken more than half of the weight of.
func (f *Fleet) ReducedServers() (n int) {
	f.books.Lock()
	defer f.books.Unlock()
	for _, w := range f.weights {
		if w.RemainingFraction < 1.0/2 {
			n++
		}
	}
	return n
}

func (f *Fleet) holder(number int) (netip.AddrPort, bool) {
	m, known := f.members.Owner(number)
	return m.Addr, known
}

// Tell, Ended and Follow are node.Peers.
func (f *Fleet) Send(number int, word node.PeerMessage) {
	if f.words != nil {
		f.words.Send(number, word)
	}
}

func (f *Fleet) PushSent(server policy.ServerID, category policy.CategoryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own.PushSent(f.clock.Now(), server, category)
}

func (f *Fleet) PushEnded(server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own.PushEnded(f.clock.Now(), server, category, outcome, took)
}

func (f *Fleet) ListChanged(list []policy.ListEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list[:0], list...)
	f.own.SetServers(f.list, func(s policy.ServerID) policy.Micros { return f.started[s] })
	for _, e := range f.list {
		if was, known := f.started[e.Server]; known && was != e.StartedAt && f.config.OutlierReports { // else no beat takes them
			f.anew = append(f.anew, e.Server)
		}
	}
	clear(f.started)
	f.ids = f.ids[:0]
	for _, e := range f.list {
		f.started[e.Server] = e.StartedAt
		if e.State == policy.Ready { // nothing is said of those that drain
			f.ids = append(f.ids, e.Server)
		}
	}
}

// hear takes in what another node says of servers.
func (f *Fleet) hear(_ netip.AddrPort, frame *transport.Frame, late time.Duration) {
	reports, understood := judged.DecodeReports(frame.Payload, make([]judged.Report, 0, judged.MaxReports(len(frame.Payload))))
	f.books.Lock()
	defer f.books.Unlock()
	if !understood {
		f.foreign++
		return
	}
	for i := range reports {
		reports[i].Age += policy.Micros(late.Microseconds())
	}
	f.book.Merge(f.clock.Now(), reports)
}

// judge is the beat of judgements.
func (f *Fleet) judge() {
	ticker := time.NewTicker(f.clock.RealDuration(judgeEvery))
	defer ticker.Stop()
	payload := make([]byte, 0, transport.MaxPayload)
	told := make(map[transport.IncarnationID]bool) // those who were told all when they came
	var known *members.Member                      // of the others, as they were told last
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		reports, parts, changed := f.beat()
		if changed {
			f.node.SetWeightFactors(parts)
		}
		others := f.members.AlivePeers()
		if len(others) == 0 {
			continue
		}
		if known != &others[0] && f.welcome(others, told, payload) {
			known = &others[0]
		}
		if len(reports) == 0 {
			continue
		}
		payload = judged.AppendReports(payload[:0], reports)
		for range min(tellTo, len(others)) { // one may be drawn twice; then it is told twice
			f.transport.Send(others[rand.IntN(len(others))].Addr, transport.ServerReports, payload)
		}
	}
}

// welcome tells those who have come what is held, the youngest first and as much as one datagram takes, a few in a beat, and forgets
// those who have gone. It says whether
// all have been told.
func (f *Fleet) welcome(others []members.Member, told map[transport.IncarnationID]bool, payload []byte) bool {
	here := make(map[transport.IncarnationID]bool, len(others))
	left := newcomers
	for _, m := range others {
		here[m.Incarnation] = true
		if told[m.Incarnation] || left == 0 {
			continue
		}
		left--
		told[m.Incarnation] = true
		f.books.Lock()
		all := f.book.ReportsToSend(f.clock.Now(), 0, judged.MaxReports(transport.MaxPayload))
		f.books.Unlock()
		if len(all) > 0 {
			f.transport.Send(m.Addr, transport.ServerReports, judged.AppendReports(payload[:0], all))
		}
	}
	maps.DeleteFunc(told, func(life transport.IncarnationID, _ bool) bool { return !here[life] })
	return left > 0
}

// beat says what is new, weighs what was heard, and gives what to pass on.
func (f *Fleet) beat() (reports []judged.Report, parts map[policy.ServerID]float64, changed bool) {
	f.books.Lock()
	defer f.books.Unlock()
	now := f.clock.Now()
	f.mu.Lock()
	for _, server := range f.anew {
		f.book.ServerRestarted(now, server)
	}
	f.anew = f.anew[:0]
	news, ids := f.own.DueReports(now, f.number, f.book), slices.Clone(f.ids)
	f.mu.Unlock()
	for _, r := range news {
		f.book.AddOwn(now, r)
	}
	f.book.Expire(now)
	weights := judged.WeightReductions(now, ids, f.book, f.finding)
	parts, changed = f.compare(weights)
	f.weights = weights
	reports = f.book.ReportsToSend(now, passOn, judged.MaxReports(transport.MaxPayload))
	return reports, parts, changed
}

// finding is the node's own on a server.
func (f *Fleet) finding(now policy.Micros, server policy.ServerID) (judged.Condition, policy.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.Condition(now, server)
}

// compare says whether parts have changed, and logs what an operator acts on: a server that goes out of use by what others
// say, and one that is back.
func (f *Fleet) compare(weights []judged.WeightReduction) (parts map[policy.ServerID]float64, changed bool) {
	before := make(map[policy.ServerID]judged.WeightReduction, len(f.weights))
	for _, w := range f.weights {
		before[w.Server] = w
	}
	parts = make(map[policy.ServerID]float64, len(weights))
	for _, w := range weights {
		parts[w.Server] = w.RemainingFraction
		was, known := before[w.Server]
		changed = changed || !known || was.RemainingFraction != w.RemainingFraction
		if !known || was.Condition != w.Condition {
			f.log.Info().Str("server", name(w.Server)).Stringer("ill", w.Condition).Int("witnesses", w.UnhealthyReporters).Int("against", w.HealthyReporters).
				Bool("own zone", w.OwnZoneOnly).Int64("since_ms", int64(f.clock.Now()-w.Since)/1000).Msg("others find a server bad")
		}
		delete(before, w.Server)
	}
	for server := range before {
		changed = true
		f.log.Info().Str("server", name(server)).Msg("others' finding on a server is let go")
	}
	return parts, changed
}

func name(s policy.ServerID) string { return fmt.Sprintf("%012x", uint64(s)) }
