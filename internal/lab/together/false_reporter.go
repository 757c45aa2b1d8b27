package together

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/judged"
	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// Liar is a member that takes no ops and says the same of every server to everybody, again and again: as bad a neighbour as
// the frames allow.
type FalseReporter struct {
	transport *transport.Transport
	members   *members.Members
	done      chan struct{}
	goroutine sync.WaitGroup
}

const reportInterval = 100 * time.Millisecond

// NewLiar joins at a place as one more node, and lies of these servers until Close.
func (g *Network) NewFalseReporter(slot, nodes int, condition judged.Ill, servers []policy.ServerID) (*FalseReporter, error) {
	addresses := g.Addresses(slot)
	incarnation := transport.LifeID(rand.Uint64())
	sender, err := transport.Open(transport.Options{Fleet: "canvasrouter", Listen: addresses.Listen, Advertise: addresses.Advertise, Life: incarnation, Pace: 1 << 20}, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	reporter := &FalseReporter{transport: sender, done: make(chan struct{})}
	self := members.Member{Name: "liar-" + condition.String(), Life: incarnation, Number: nodes + int(condition), Addr: addresses.Advertise}
	reporter.members, err = members.Start(members.Options{Own: self, Nodes: nodes + 8, Join: []netip.AddrPort{g.Addresses(0).Advertise}}, sender, node.NewClock(), zerolog.Nop())
	if err != nil {
		sender.Close()
		return nil, err
	}
	sender.Run()
	reporter.goroutine.Go(func() { reporter.sendReports(judged.SourceID(incarnation), uint16(self.Number), condition, servers) })
	return reporter, nil
}

func (l *FalseReporter) sendReports(reporter judged.SourceID, nodeNumber uint16, condition judged.Ill, servers []policy.ServerID) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for sequence := uint32(1); ; sequence++ {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		var reports []judged.Report
		for _, server := range servers {
			for zone := range uint8(2) {
				reports = append(reports, judged.Report{Server: server, Source: reporter + judged.SourceID(zone), Number: sequence, Ill: condition, Zone: zone, Node: nodeNumber,
					Span: 500 * policy.Millisecond})
			}
		}
		for len(reports) > 0 {
			batch := reports[:min(len(reports), judged.Fit(transport.MostPayload))]
			reports = reports[len(batch):]
			payload := judged.Append(nil, batch)
			for _, peer := range l.members.There() {
				l.transport.Send(peer.Addr, transport.Judgements, payload)
			}
		}
	}
}

// Close ends it without a word.
func (l *FalseReporter) Close() {
	close(l.done)
	l.goroutine.Wait()
	l.members.Close()
	l.transport.Close()
	time.Sleep(members.ProbeEnds) // Danger: what the library leaves running for so long looks like a leak of the run's
}
