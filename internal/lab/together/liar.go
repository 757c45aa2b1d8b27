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
	way     *transport.Transport
	members *members.Members
	done    chan struct{}
	over    sync.WaitGroup
}

const lieEvery = 100 * time.Millisecond

// NewLiar joins at a place as one more node, and lies of these servers until Close.
func (g *Network) NewFalseReporter(place, nodes int, ill judged.Condition, servers []policy.ServerID) (*FalseReporter, error) {
	at := g.Addresses(place)
	life := transport.IncarnationID(rand.Uint64())
	w, err := transport.Open(transport.Options{Fleet: "canvasrouter", Listen: at.Listen, Advertise: at.Advertise, Incarnation: life, MaxBytesPerSecond: 1 << 20}, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	l := &FalseReporter{way: w, done: make(chan struct{})}
	own := members.Member{Name: "liar-" + ill.String(), Incarnation: life, Number: nodes + int(ill), Addr: at.Advertise}
	l.members, err = members.Start(members.Options{Self: own, FleetSize: nodes + 8, JoinAddrs: []netip.AddrPort{g.Addresses(0).Advertise}}, w, node.NewClock(), zerolog.Nop())
	if err != nil {
		w.Close()
		return nil, err
	}
	w.Run()
	l.over.Go(func() { l.lie(judged.ReporterID(life), uint16(own.Number), ill, servers) })
	return l, nil
}

func (l *FalseReporter) lie(source judged.ReporterID, number uint16, ill judged.Condition, servers []policy.ServerID) {
	ticker := time.NewTicker(lieEvery)
	defer ticker.Stop()
	for n := uint32(1); ; n++ {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		var reports []judged.Report
		for _, s := range servers {
			for zone := range uint8(2) {
				reports = append(reports, judged.Report{Server: s, Reporter: source + judged.ReporterID(zone), Sequence: n, Condition: ill, Zone: zone, NodeNumber: number,
					Duration: 500 * policy.Millisecond})
			}
		}
		for len(reports) > 0 {
			part := reports[:min(len(reports), judged.MaxReports(transport.MaxPayload))]
			reports = reports[len(part):]
			payload := judged.AppendReports(nil, part)
			for _, m := range l.members.AlivePeers() {
				l.way.Send(m.Addr, transport.ServerReports, payload)
			}
		}
	}
}

// Close ends it without a word.
func (l *FalseReporter) Close() {
	close(l.done)
	l.over.Wait()
	l.members.Close()
	l.way.Close()
	time.Sleep(members.MaxProbeAfterClose) // Danger: what the library leaves running for so long looks like a leak of the run's
}
