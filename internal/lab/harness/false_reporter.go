package harness

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/fleet/outlier"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// FalseReporter is a member that serves no ops. It reports one false condition of all servers to all peers, over and
// over: the worst behaviour that valid frames allow.
type FalseReporter struct {
	transport *transport.Transport
	members   *members.Members
	done      chan struct{}
	goroutine sync.WaitGroup
}

// reportInterval is the time between two rounds of reports.
const reportInterval = 100 * time.Millisecond

// NewFalseReporter joins the fleet at a slot as a further node, and reports the given condition of the servers until
// Close.
func (n *Network) NewFalseReporter(slot, nodes int, condition outlier.Condition, servers []policy.ServerID) (*FalseReporter, error) {
	addresses := n.Addresses(slot)
	incarnation := transport.IncarnationID(rand.Uint64())
	sender, err := transport.Open(transport.Options{Fleet: "canvasrouter", Listen: addresses.Listen, Advertise: addresses.Advertise, Incarnation: incarnation, MaxBytesPerSecond: 1 << 20}, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	reporter := &FalseReporter{transport: sender, done: make(chan struct{})}
	self := members.Member{Name: "liar-" + condition.String(), Incarnation: incarnation, Number: nodes + int(condition), Addr: addresses.Advertise}
	reporter.members, err = members.Start(members.Options{Self: self, FleetSize: nodes + 8, JoinAddrs: []netip.AddrPort{n.Addresses(0).Advertise}}, sender, node.NewClock(), zerolog.Nop())
	if err != nil {
		sender.Close()
		return nil, err
	}
	sender.Run()
	reporter.goroutine.Go(func() { reporter.sendReports(outlier.ReporterID(incarnation), uint16(self.Number), condition, servers) })
	return reporter, nil
}

// sendReports sends reports under two reporter IDs, one for each of two zones, until Close.
func (r *FalseReporter) sendReports(reporter outlier.ReporterID, nodeNumber uint16, condition outlier.Condition, servers []policy.ServerID) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for sequence := uint32(1); ; sequence++ {
		select {
		case <-r.done:
			return
		case <-ticker.C:
		}
		var reports []outlier.Report
		for _, server := range servers {
			for zone := range uint8(2) {
				reports = append(reports, outlier.Report{Server: server, Reporter: reporter + outlier.ReporterID(zone), Sequence: sequence, Condition: condition, Zone: zone, NodeNumber: nodeNumber,
					Duration: 500 * policy.Millisecond})
			}
		}
		for len(reports) > 0 {
			batch := reports[:min(len(reports), outlier.MaxReports(transport.MaxPayload))]
			reports = reports[len(batch):]
			payload := outlier.AppendReports(nil, batch)
			for _, peer := range r.members.AlivePeers() {
				r.transport.Send(peer.Addr, transport.ServerReports, payload)
			}
		}
	}
}

// Close stops the reporter without announcing that it leaves.
func (r *FalseReporter) Close() {
	close(r.done)
	r.goroutine.Wait()
	r.members.Close()
	r.transport.Close()
	time.Sleep(members.MaxProbeAfterClose) // the membership library's last probes run on, and would count as leaked goroutines
}
