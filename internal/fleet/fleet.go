// Package fleet connects a node with the other nodes of its fleet. It wires together the transport, the membership, the
// messages between decision modules and the exchange of reports on servers. No op waits for anything in this package, and what
// peers report is advice only.
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
	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/fleet/outlier"
	"canvasrouter/internal/fleet/peermsg"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/internal/store"
	"canvasrouter/policy"
)

const (
	// reportInterval is the tick at which new reports are sent and received ones are assessed.
	reportInterval = 50 * time.Millisecond
	// fanOut is the number of random peers that reports are sent to at each tick.
	fanOut = 3
	// sendsPerReport is how often a node sends a report. With fanOut, each node that has a report sends it nine times in all,
	// which leaves about one node in eight thousand without it.
	sendsPerReport = 3
	// maxNewcomersPerTick is the number of new members that are sent all reports at one tick, which spreads the load when many
	// join at once.
	maxNewcomersPerTick = 2
)

// Fleet connects one node with its peers, from Start until Close.
type Fleet struct {
	config     *config.Fleet
	clock      *node.Clock
	log        zerolog.Logger
	node       *node.Node
	transport  *transport.Transport
	members    *members.Members
	messenger  *peermsg.Messenger // nil if modules exchange no messages
	control    *controlServer     // nil if there is no control socket
	nodeNumber uint16
	done       chan struct{}
	running    sync.WaitGroup

	// The node's actor takes mu while ops are pending, and assessing many reports takes milliseconds. So the report table has a
	// lock of its own, tableMu, which the actor never takes. A goroutine that takes both takes tableMu first.
	mu           sync.Mutex // guards detector, list, startedAt, restarted, readyServers
	detector     *outlier.LocalDetector
	list         []policy.ListEntry
	startedAt    map[policy.ServerID]policy.Micros // by the list
	restarted    []policy.ServerID                 // servers that have restarted since the last tick
	readyServers []policy.ServerID

	storeView atomic.Pointer[func() *store.View] // returns the state of the configuration store; nil if there is none

	tableMu            sync.Mutex // guards table, reductions, undecodableReports
	table              *outlier.ReportTable
	reductions         []outlier.WeightReduction
	undecodableReports int64 // received frames of reports in another format
}

// Start opens the node's transport and joins the fleet. From then on the node receives weights from the reports of peers, and
// reports what it observes itself.
func Start(c *config.Config, n *node.Node, clock *node.Clock, log zerolog.Logger) (*Fleet, error) {
	return StartWithRetention(c, n, clock, log, 0)
}

// StartWithRetention is Start with another retention of departed members, 0 for the default: tests of long network partitions
// cannot take hours. All delays follow the clock, which may be slowed down.
func StartWithRetention(c *config.Config, n *node.Node, clock *node.Clock, log zerolog.Logger, departedRetention time.Duration) (*Fleet, error) {
	f := &Fleet{config: c.Fleet, clock: clock, log: log, node: n, nodeNumber: uint16(c.Rules.Topology.NodeNumber), done: make(chan struct{}),
		startedAt: make(map[policy.ServerID]policy.Micros)}
	incarnation := transport.IncarnationID(rand.Uint64()) // not from the configured seed, which a restarted process has again
	zone := uint8(c.Rules.Topology.Zone)
	f.table = outlier.NewReportTable(outlier.ReporterID(incarnation), zone)
	f.detector = outlier.NewLocalDetector()
	var err error
	f.transport, err = transport.Open(transport.Options{
		Fleet:             c.Fleet.Name,
		Listen:            c.Fleet.Listen,
		Advertise:         c.Fleet.Advertise,
		Incarnation:       incarnation,
		MaxBytesPerSecond: c.Fleet.MaxBytesPerSecond,
		SlowdownFactor:    int(clock.RealDuration(1)),
	}, log.With().Str("part", "transport").Logger())
	if err != nil {
		return nil, fmt.Errorf("key fleet.listen: %w", err)
	}
	if c.Fleet.ControlSocket != "" {
		if f.control, err = listenControl(c.Fleet.ControlSocket, f); err != nil {
			f.transport.Close()
			return nil, fmt.Errorf("key fleet.control: %w", err)
		}
	}
	if c.Fleet.OutlierReports {
		f.transport.Handle(transport.ServerReports, f.receiveReports)
	}
	if c.Fleet.PeerMessages && c.Rules.Topology.PeerMessaging {
		f.messenger = peermsg.Start(f.transport, f.ownerAddr, n.PeerMessagesReceived)
	}
	self := members.Member{Name: c.Name, Incarnation: incarnation, Zone: zone, Number: c.Rules.Topology.NodeNumber, Addr: c.Fleet.Advertise}
	f.members, err = members.Start(members.Options{
		Self:              self,
		FleetSize:         c.Rules.Topology.NodeCount,
		JoinAddrs:         c.Fleet.Join,
		RandomSeed:        c.Seed,
		DepartedRetention: departedRetention,
	}, f.transport, clock, log.With().Str("part", "members").Logger())
	if err != nil {
		f.stop()
		return nil, err
	}
	f.transport.Run()
	if c.Fleet.OutlierReports {
		f.running.Go(f.reportLoop)
	}
	n.SetPeers(f)
	if f.control != nil {
		f.control.serve()
	}
	log.Info().Str("listen", c.Fleet.Listen.String()).Str("advertise", c.Fleet.Advertise.String()).Str("life", fmt.Sprintf("%016x", uint64(incarnation))).
		Bool("words", f.messenger != nil).Bool("judged", c.Fleet.OutlierReports).Msg("the node hears others")
	return f, nil
}

// Leave announces to the other members that the node leaves. It waits for a moment at most.
func (f *Fleet) Leave() { f.members.Leave() }

// Close disconnects the node from the fleet and discards the weights that follow from the reports of peers.
func (f *Fleet) Close() {
	f.node.SetPeers(nil)
	f.stop()
	f.log.Info().Msg("the node hears nobody any more")
}

// Kill disconnects without an announcement, as when the process dies.
func (f *Fleet) Kill() { f.stop() }

func (f *Fleet) stop() {
	close(f.done)
	if f.control != nil {
		f.control.close()
	}
	if f.messenger != nil {
		f.messenger.Close()
	}
	if f.members != nil {
		f.members.Close()
	}
	f.transport.Close()
	f.running.Wait()
}

// SetStoreView sets the function from which View takes the state of the configuration store.
func (f *Fleet) SetStoreView(view func() *store.View) { f.storeView.Store(&view) }

// AlivePeers returns all other members that are alive. The slice is shared and must not be modified.
func (f *Fleet) AlivePeers() []members.Member { return f.members.AlivePeers() }

// Incarnation returns the ID of this process in the fleet.
func (f *Fleet) Incarnation() transport.IncarnationID { return f.transport.Incarnation() }

// TransportCounts returns what has become of frames so far.
func (f *Fleet) TransportCounts() transport.Counts { return f.transport.Counts() }

// ReducedServers returns the number of servers that have lost more than half of their weight because of reports of peers.
func (f *Fleet) ReducedServers() (n int) {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	for _, reduction := range f.reductions {
		if reduction.RemainingFraction < 1.0/2 {
			n++
		}
	}
	return n
}

// ownerAddr returns the address of the node that owns a number.
func (f *Fleet) ownerAddr(number int) (netip.AddrPort, bool) {
	owner, known := f.members.Owner(number)
	return owner.Addr, known
}

// Send sends a message to the node that owns a number. It implements node.Peers.
func (f *Fleet) Send(number int, message node.PeerMessage) {
	if f.messenger != nil {
		f.messenger.Send(number, message)
	}
}

// PushSent records that a push was sent. It implements node.Peers.
func (f *Fleet) PushSent(server policy.ServerID, category policy.CategoryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.PushSent(f.clock.Now(), server, category)
}

// PushEnded records the outcome of a push and the time it took. It implements node.Peers.
func (f *Fleet) PushEnded(server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.PushEnded(f.clock.Now(), server, category, outcome, took)
}

// ListChanged sets the list of servers. It implements node.Peers.
func (f *Fleet) ListChanged(list []policy.ListEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list[:0], list...)
	f.detector.SetServers(f.list, func(server policy.ServerID) policy.Micros { return f.startedAt[server] })
	for _, entry := range f.list {
		// Without the exchange of reports, no tick would empty f.restarted.
		if before, known := f.startedAt[entry.Server]; known && before != entry.StartedAt && f.config.OutlierReports {
			f.restarted = append(f.restarted, entry.Server)
		}
	}
	clear(f.startedAt)
	f.readyServers = f.readyServers[:0]
	for _, entry := range f.list {
		f.startedAt[entry.Server] = entry.StartedAt
		if entry.State == policy.Ready { // draining servers are not reported on
			f.readyServers = append(f.readyServers, entry.Server)
		}
	}
}

// receiveReports handles a frame of reports from another node.
func (f *Fleet) receiveReports(_ netip.AddrPort, frame *transport.Frame, late time.Duration) {
	reports, understood := outlier.DecodeReports(frame.Payload, make([]outlier.Report, 0, outlier.MaxReports(len(frame.Payload))))
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	if !understood {
		f.undecodableReports++
		return
	}
	for i := range reports {
		reports[i].Age += policy.Micros(late.Microseconds())
	}
	f.table.Merge(f.clock.Now(), reports)
}

// reportLoop assesses and sends reports at each tick.
func (f *Fleet) reportLoop() {
	ticker := time.NewTicker(f.clock.RealDuration(reportInterval))
	defer ticker.Stop()
	payload := make([]byte, 0, transport.MaxPayload)
	welcomed := make(map[transport.IncarnationID]bool) // members that were sent all reports after they joined
	var welcomedPeers *members.Member                  // first of the AlivePeers slice whose members have all been welcomed
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		reports, fractions, changed := f.updateReports()
		if changed {
			f.node.SetWeightFactors(fractions)
		}
		peers := f.members.AlivePeers()
		if len(peers) == 0 {
			continue
		}
		if welcomedPeers != &peers[0] && f.welcomeNewcomers(peers, welcomed, payload) {
			welcomedPeers = &peers[0]
		}
		if len(reports) == 0 {
			continue
		}
		payload = outlier.AppendReports(payload[:0], reports)
		for range min(fanOut, len(peers)) { // a peer that is drawn twice gets the reports twice
			f.transport.Send(peers[rand.IntN(len(peers))].Addr, transport.ServerReports, payload)
		}
	}
}

// welcomeNewcomers sends all reports, youngest first and as many as fit into one datagram, to at most maxNewcomersPerTick
// peers that are not in welcomed, and adds them to it. It removes members that are gone from welcomed, and reports whether all
// peers are in it. It returns false also if it has added the last missing ones at the limit; the next tick corrects that.
func (f *Fleet) welcomeNewcomers(peers []members.Member, welcomed map[transport.IncarnationID]bool, payload []byte) bool {
	alive := make(map[transport.IncarnationID]bool, len(peers))
	remaining := maxNewcomersPerTick
	for _, m := range peers {
		alive[m.Incarnation] = true
		if welcomed[m.Incarnation] || remaining == 0 {
			continue
		}
		remaining--
		welcomed[m.Incarnation] = true
		f.tableMu.Lock()
		reports := f.table.ReportsToSend(f.clock.Now(), 0, outlier.MaxReports(transport.MaxPayload))
		f.tableMu.Unlock()
		if len(reports) > 0 {
			f.transport.Send(m.Addr, transport.ServerReports, outlier.AppendReports(payload[:0], reports))
		}
	}
	maps.DeleteFunc(welcomed, func(incarnation transport.IncarnationID, _ bool) bool { return !alive[incarnation] })
	return remaining > 0
}

// updateReports adds the node's own reports to the table and assesses all reports. It returns the reports to send, the
// remaining fractions of the weights of servers, and whether these have changed.
func (f *Fleet) updateReports() (reports []outlier.Report, fractions map[policy.ServerID]float64, changed bool) {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	now := f.clock.Now()
	f.mu.Lock()
	for _, server := range f.restarted {
		f.table.ServerRestarted(now, server)
	}
	f.restarted = f.restarted[:0]
	ownReports := f.detector.DueReports(now, f.nodeNumber, f.table)
	readyServers := slices.Clone(f.readyServers)
	f.mu.Unlock()
	for _, report := range ownReports {
		f.table.AddOwn(now, report)
	}
	f.table.Expire(now)
	reductions := outlier.WeightReductions(now, readyServers, f.table, f.ownCondition)
	fractions, changed = f.compareReductions(reductions)
	f.reductions = reductions
	reports = f.table.ReportsToSend(now, sendsPerReport, outlier.MaxReports(transport.MaxPayload))
	return reports, fractions, changed
}

// ownCondition is LocalDetector.Condition under the lock.
func (f *Fleet) ownCondition(now policy.Micros, server policy.ServerID) (outlier.Condition, policy.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detector.Condition(now, server)
}

// compareReductions returns the remaining fractions of the weights of servers, and whether they differ from the present ones.
// It logs what an operator acts on: servers that peers report in a new condition, and servers whose weight is restored.
func (f *Fleet) compareReductions(reductions []outlier.WeightReduction) (fractions map[policy.ServerID]float64, changed bool) {
	previous := make(map[policy.ServerID]outlier.WeightReduction, len(f.reductions))
	for _, reduction := range f.reductions {
		previous[reduction.Server] = reduction
	}
	fractions = make(map[policy.ServerID]float64, len(reductions))
	for _, reduction := range reductions {
		fractions[reduction.Server] = reduction.RemainingFraction
		before, known := previous[reduction.Server]
		changed = changed || !known || before.RemainingFraction != reduction.RemainingFraction
		if !known || before.Condition != reduction.Condition {
			f.log.Info().Str("server", serverName(reduction.Server)).Stringer("ill", reduction.Condition).
				Int("witnesses", reduction.UnhealthyReporters).Int("against", reduction.HealthyReporters).
				Bool("own zone", reduction.OwnZoneOnly).Int64("since_ms", int64(f.clock.Now()-reduction.Since)/1000).Msg("others find a server bad")
		}
		delete(previous, reduction.Server)
	}
	for server := range previous {
		changed = true
		f.log.Info().Str("server", serverName(server)).Msg("others' finding on a server is let go")
	}
	return fractions, changed
}

func serverName(server policy.ServerID) string { return fmt.Sprintf("%012x", uint64(server)) }
