package members

import (
	"encoding/binary"
	"fmt"
	stdlog "log"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

const (
	// rejoinInterval is the mean time between attempts to reach a dead member or an unreached join address. They detect the end
	// of a network partition: memberlist itself contacts alive members only.
	rejoinInterval = time.Second
	// startupPeriod is how long after its start a node also requests the full state from alive members, about once a second.
	// Where many nodes start together, each joins through a node that knows few members yet, and without these requests what
	// gossip misses arrived 30 s later.
	startupPeriod = 10 * time.Second
	// baseExchangeInterval is the time between exchanges of the full state in a small fleet; see ExchangeInterval.
	baseExchangeInterval = 5 * time.Second
	probeInterval        = 500 * time.Millisecond
	// maxAwareness limits the factor by which a node that finds itself unhealthy slows down its probes. A node that is cut off
	// finds itself unhealthy, and would probe ever more slowly.
	maxAwareness = 3
	// MaxProbeAfterClose is how long after Close a probe of memberlist may still run: it lasts until its timeout, and shutting
	// memberlist down does not wait for it.
	MaxProbeAfterClose = probeInterval * maxAwareness
	// leaveTimeout bounds each step of Leave.
	leaveTimeout     = 300 * time.Millisecond
	maxQueuedPackets = 256
)

// Options describe the node and how it joins the fleet.
type Options struct {
	Self              Member
	FleetSize         int // by the settings
	JoinAddrs         []netip.AddrPort
	RandomSeed        uint64
	DepartedRetention time.Duration // how long members that left or died are kept; 0: ten minutes
}

// Members takes part in the membership protocol. Its methods are safe for concurrent use and, except for Leave and Close, do
// not block.
type Members struct {
	options         Options
	transport       *transport.Transport
	clock           *node.Clock
	log             zerolog.Logger
	gossip          *memberlist.Memberlist
	leaveBroadcasts memberlist.TransmitLimitedQueue // leave messages to forward, one for each member
	packets         chan *memberlist.Packet
	done            chan struct{}
	running         sync.WaitGroup
	leaveOnce       sync.Once
	leaving         atomic.Bool

	mu         sync.Mutex
	table      *Table
	alivePeers atomic.Pointer[[]Member] // result of AlivePeers; nil after a change, until it is called again
}

// Start joins the fleet. No other member needs to be reachable yet.
func Start(o Options, t *transport.Transport, clock *node.Clock, log zerolog.Logger) (*Members, error) {
	m := &Members{options: o, transport: t, clock: clock, log: log, packets: make(chan *memberlist.Packet, maxQueuedPackets),
		done: make(chan struct{}), table: NewTable(o.Self, o.FleetSize)}
	if o.DepartedRetention > 0 {
		m.table.departedRetention = policy.Micros(o.DepartedRetention.Microseconds())
	}
	t.Handle(transport.Membership, m.receive)
	config := memberlist.DefaultLANConfig()
	m.leaveBroadcasts.NumNodes = func() int { return len(m.AlivePeers()) + 1 }
	m.leaveBroadcasts.RetransmitMult = config.RetransmitMult
	config.Name = memberID(o.Self.Name, o.Self.Incarnation)
	config.BindAddr = o.Self.Addr.Addr().String()
	config.BindPort = int(o.Self.Addr.Port())
	config.AdvertiseAddr = config.BindAddr
	config.AdvertisePort = config.BindPort
	config.Transport = &transportAdapter{m}
	config.Delegate = delegate{m}
	config.Events = events{m}
	config.Logger = stdlog.New(debugWriter{log}, "", 0)
	config.UDPBufferSize = transport.MaxPayload
	config.EnableCompression = false // the messages are short
	config.ProbeInterval = clock.RealDuration(probeInterval)
	config.ProbeTimeout = clock.RealDuration(200 * time.Millisecond)
	config.SuspicionMult = 3
	config.SuspicionMaxTimeoutMult = 2
	config.AwarenessMaxMultiplier = maxAwareness
	config.GossipInterval = clock.RealDuration(100 * time.Millisecond)
	config.PushPullInterval = clock.RealDuration(baseExchangeInterval)
	config.TCPTimeout = clock.RealDuration(2 * time.Second)
	config.GossipToTheDeadTime = clock.RealDuration(config.GossipToTheDeadTime)
	config.QueueCheckInterval = clock.RealDuration(config.QueueCheckInterval)
	gossip, err := memberlist.Create(config)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	m.gossip = gossip
	m.running.Go(m.rejoinLoop)
	return m, nil
}

// ExchangeInterval returns the time between two state exchanges of a node in a fleet of the given size: five seconds
// (baseExchangeInterval) up to 32 nodes, and as much again for each doubling beyond, as memberlist scales it. Mean traffic
// figures are taken over whole intervals.
func ExchangeInterval(nodes int) time.Duration {
	scale := 1.0
	if nodes > 32 {
		scale += math.Ceil(math.Log2(float64(nodes)) - 5)
	}
	return time.Duration(scale) * baseExchangeInterval
}

// Leave announces to the other members that the node leaves. It waits until the announcement has been sent, but no longer
// than leaveTimeout for each of its three steps.
func (m *Members) Leave() {
	m.leaveOnce.Do(func() {
		m.leaving.Store(true)
		broadcast := &leaveBroadcast{incarnation: m.options.Self.Incarnation, sent: make(chan struct{})}
		m.leaveBroadcasts.QueueBroadcast(broadcast)
		// Members of versions without leave messages read the announcement from the metadata.
		if err := m.gossip.UpdateNode(m.clock.RealDuration(leaveTimeout)); err != nil {
			m.log.Debug().Err(err).Msg("updated metadata did not reach all members before leaving")
		}
		if err := m.gossip.Leave(m.clock.RealDuration(leaveTimeout)); err != nil {
			m.log.Debug().Err(err).Msg("the departure did not reach all members")
		}
		select {
		case <-broadcast.sent:
		case <-time.After(m.clock.RealDuration(leaveTimeout)):
		}
	})
}

// Close ends the membership protocol. Without a Leave before, the other members find the node dead.
func (m *Members) Close() {
	close(m.done)
	m.gossip.Shutdown()
	m.running.Wait()
}

// View returns the node itself and all other members that are kept.
func (m *Members) View() (self Member, all []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.self, m.table.All()
}

// AlivePeers returns all other members that are alive. The slice is shared and must not be modified; after a change of the
// membership the method returns a new one.
//
// The slice is built on demand: when hundreds of members join or return together, sorting a new list at each message would
// take quadratic time.
func (m *Members) AlivePeers() []Member {
	if cached := m.alivePeers.Load(); cached != nil {
		return *cached
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cached := m.alivePeers.Load(); cached != nil {
		return *cached // another caller has built it meanwhile
	}
	peers := m.table.AlivePeers()
	m.alivePeers.Store(&peers) // applyChange resets it under the same lock
	return peers
}

// Owner returns the member that messages to a number go to, if any member has the number.
func (m *Members) Owner(number int) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Owner(number)
}

// applyChange changes the table and logs the changes that an operator may act on.
func (m *Members) applyChange(change func(now policy.Micros) []Change) {
	m.mu.Lock()
	changes := change(m.clock.Now())
	if len(changes) > 0 {
		m.alivePeers.Store(nil)
	}
	m.mu.Unlock()
	for _, c := range changes {
		line := m.log.Info()
		if c.ConflictsWith != "" {
			line = m.log.Warn().Str("beside", c.ConflictsWith)
		}
		line.Str("member", memberID(c.Member.Name, c.Member.Incarnation)).Str("addr", c.Member.Addr.String()).Int("number", c.Member.Number).Msg(c.Text)
	}
}

// memberFrom converts a node of memberlist to a Member.
func memberFrom(n *memberlist.Node) (Member, error) {
	m := Member{}
	addr, ok := netip.AddrFromSlice(n.Addr)
	if err := decodeMetadata(n.Meta, &m); err != nil || !ok {
		return m, errMalformed
	}
	m.Addr = netip.AddrPortFrom(addr.Unmap(), n.Port)
	m.Name, _, _ = strings.Cut(n.Name, "/")
	return m, nil
}

// memberAlive records a member that memberlist reports as alive.
func (m *Members) memberAlive(n *memberlist.Node) {
	member, err := memberFrom(n)
	if err != nil {
		m.log.Warn().Str("member", n.Name).Err(err).Msg("a member is ignored")
		return
	}
	m.applyChange(func(now policy.Micros) []Change { return m.table.MemberAlive(now, member) })
}

// rejoinLoop tries to join through one random address at a time. If all nodes that start together or return after a partition
// tried the addresses in the same order, they would contact the same node at once.
func (m *Members) rejoinLoop() {
	rng := rand.New(rand.NewPCG(m.options.RandomSeed, uint64(m.options.Self.Incarnation)))
	startupEnd := m.clock.Now() + policy.Micros(startupPeriod.Microseconds())
	for delay := time.Duration(0); ; delay = rejoinInterval/2 + time.Duration(rng.Int64N(int64(rejoinInterval))) {
		select {
		case <-m.done:
			return
		case <-time.After(m.clock.RealDuration(delay)):
		}
		m.mu.Lock()
		m.table.Expire(m.clock.Now())
		candidates := m.table.JoinCandidates(m.options.JoinAddrs)
		m.mu.Unlock()
		if peers := m.AlivePeers(); m.clock.Now() < startupEnd && len(peers) > 0 && (len(candidates) == 0 || rng.IntN(2) == 0) {
			candidates = []netip.AddrPort{peers[rng.IntN(len(peers))].Addr}
		}
		if len(candidates) == 0 {
			continue
		}
		addr := candidates[rng.IntN(len(candidates))]
		if _, err := m.gossip.Join([]string{addr.String()}); err != nil {
			m.log.Debug().Str("addr", addr.String()).Err(err).Msg("no member was reached at the address")
		}
	}
}

// receive passes a datagram to memberlist.
func (m *Members) receive(from netip.AddrPort, frame *transport.Frame, _ time.Duration) {
	select {
	case m.packets <- &memberlist.Packet{Buf: append([]byte(nil), frame.Payload...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
	default:
		m.transport.CountDroppedUnread()
	}
}

// transportAdapter lets memberlist use the fleet's transport.
type transportAdapter struct{ *Members }

func (a *transportAdapter) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	addr := a.options.Self.Addr
	return addr.Addr().AsSlice(), int(addr.Port()), nil
}

func (a *transportAdapter) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	a.transport.Send(to, transport.Membership, b) // a datagram dropped by the rate limit or the kernel counts as lost on the network
	return time.Now(), nil
}

func (a *transportAdapter) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return a.WriteTo(b, addr.Addr)
}

func (a *transportAdapter) PacketCh() <-chan *memberlist.Packet { return a.packets }
func (a *transportAdapter) StreamCh() <-chan net.Conn           { return a.transport.Streams() }
func (a *transportAdapter) Shutdown() error                     { return nil } // whoever opened the transport closes it

func (a *transportAdapter) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return a.transport.Dial(addr, timeout)
}

func (a *transportAdapter) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return a.transport.Dial(addr.Addr, timeout)
}

// delegate implements memberlist.Delegate: the node's metadata and its leave messages.
type delegate struct{ *Members }

func (d delegate) NodeMeta(int) []byte {
	self := d.options.Self
	self.leaving = d.leaving.Load()
	return encodeMetadata(&self)
}

// maxLeavesPerExchange is the number of leave messages in a state exchange, the latest ones: a third of a fleet of 900 within
// ten minutes.
const maxLeavesPerExchange = 300

// LocalState returns what a state exchange carries besides memberlist's own state: the incarnations that have announced that
// they leave. Gossip alone does not suffice: it sends each message a limited number of times, dead members take some of them,
// and it misses one node in twenty.
func (d delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnations := d.table.LeavingIncarnations(maxLeavesPerExchange)
	if len(incarnations) == 0 {
		return nil
	}
	return encodeLeave(incarnations...)
}

// MergeRemoteState handles the LocalState of another member.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) > 0 {
		d.NotifyMsg(b)
	}
}

// GetBroadcasts returns leave messages that fit into what memberlist's own messages have left of a datagram.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.leaveBroadcasts.GetBroadcasts(overhead, limit)
}

// NotifyMsg handles leave messages and forwards those that are new.
func (d delegate) NotifyMsg(b []byte) {
	incarnations, err := decodeLeave(b)
	if err != nil {
		d.log.Debug().Err(err).Msg("a message of a member is ignored")
		return
	}
	for _, incarnation := range incarnations {
		isNew := false
		d.applyChange(func(policy.Micros) (changes []Change) {
			changes, isNew = d.table.LeaveAnnounced(incarnation)
			return changes
		})
		if isNew { // the queue calls AlivePeers under its own lock: to call it under the members' lock would deadlock
			d.leaveBroadcasts.QueueBroadcast(&leaveBroadcast{incarnation: incarnation})
		}
	}
}

// leaveBroadcast is a queued message that an incarnation leaves.
type leaveBroadcast struct {
	incarnation transport.IncarnationID
	sent        chan struct{} // closed when it has been sent often enough; nil if nothing waits for that
}

const leaveFormatVersion = 1

func (l *leaveBroadcast) Message() []byte { return encodeLeave(l.incarnation) }

// encodeLeave encodes a leave message: a version and the incarnations that leave.
func encodeLeave(incarnations ...transport.IncarnationID) []byte {
	b := []byte{leaveFormatVersion}
	for _, incarnation := range incarnations {
		b = binary.BigEndian.AppendUint64(b, uint64(incarnation))
	}
	return b
}

func (l *leaveBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

func (l *leaveBroadcast) Finished() {
	if l.sent != nil {
		close(l.sent)
	}
}

// decodeLeave decodes a leave message.
func decodeLeave(b []byte) (incarnations []transport.IncarnationID, err error) {
	if len(b) < 9 || len(b)%8 != 1 || len(b) > 1+8*maxLeavesPerExchange || b[0] != leaveFormatVersion {
		return nil, errMalformed
	}
	for b = b[1:]; len(b) > 0; b = b[8:] {
		incarnations = append(incarnations, transport.IncarnationID(binary.BigEndian.Uint64(b)))
	}
	return incarnations, nil
}

// events implements memberlist.EventDelegate. memberlist calls its methods while it holds a lock of its own.
type events struct{ *Members }

func (e events) NotifyJoin(n *memberlist.Node)   { e.memberAlive(n) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.memberAlive(n) }

func (e events) NotifyLeave(n *memberlist.Node) {
	member, err := memberFrom(n)
	if err != nil {
		return
	}
	// memberlist knows whether the member announced that it leaves but does not pass that on, so the metadata has to tell.
	e.applyChange(func(now policy.Micros) []Change { return e.table.MemberGone(now, member.Incarnation, member.leaving) })
}

// debugWriter logs memberlist's lines at debug level; what matters to an operator is logged as a Change.
type debugWriter struct{ log zerolog.Logger }

func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
