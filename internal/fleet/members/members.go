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
	// askEvery is how often a node asks one that it thinks gone, or one to join by that is not there. A cut that is over is
	// found by it: members ask only those that they think alive.
	askEvery = time.Second
	// young is how long after its start a node also asks those that it knows for all that they know, one each second or so.
	// Danger: where many start together each joins by one that knows few yet; what gossip misses then came 30 s later.
	young = 10 * time.Second
	// exchangeEvery is how often a node exchanges all that it knows with another; see ExchangeEvery.
	exchangeEvery = 5 * time.Second
	probeEvery    = 500 * time.Millisecond
	// mostAwareness is by how much a node that finds itself ill looks for the others more slowly. Danger: one that is cut off does, and would
	// look ever more slowly.
	mostAwareness = 3
	// ProbeEnds is how long after Close a probe of the library, which waits for nobody's end, may go on: it waits out its time.
	MaxProbeAfterClose = probeEvery * mostAwareness
	// leaveWait is how long a node waits until its leaving has gone out.
	leaveWait = 300 * time.Millisecond
	packets   = 256 // that may wait to be worked
)

// Options say who the node is and by whom it joins.
type Options struct {
	Self              Member
	FleetSize         int // that the settings tell of
	JoinAddrs         []netip.AddrPort
	RandomSeed        uint64
	DepartedRetention time.Duration // how long one that is gone is kept; 0: ten minutes
}

// Members is the actor. Its methods may be called from any goroutine and don't wait, but for Leave and Close.
type Members struct {
	options   Options
	transport *transport.Transport
	clock     *node.Clock
	log       zerolog.Logger
	list      *memberlist.Memberlist
	leaving   memberlist.TransmitLimitedQueue // who leaves, to be passed on: each member once
	packets   chan *memberlist.Packet
	done      chan struct{}
	over      sync.WaitGroup
	left      sync.Once
	leaves    atomic.Bool

	mu    sync.Mutex
	table *Table
	there atomic.Pointer[[]Member] // all others that are there; nil: there was a change since somebody asked
}

// Start joins. Nobody needs to be there yet.
func Start(o Options, w *transport.Transport, clock *node.Clock, log zerolog.Logger) (*Members, error) {
	m := &Members{options: o, transport: w, clock: clock, log: log, packets: make(chan *memberlist.Packet, packets),
		done: make(chan struct{}), table: NewTable(o.Self, o.FleetSize)}
	if o.DepartedRetention > 0 {
		m.table.keep = policy.Micros(o.DepartedRetention.Microseconds())
	}
	w.Handle(transport.Membership, m.packet)
	config := memberlist.DefaultLANConfig()
	m.leaving.NumNodes, m.leaving.RetransmitMult = func() int { return len(m.AlivePeers()) + 1 }, config.RetransmitMult
	config.Name = id(o.Self.Name, o.Self.Incarnation)
	config.BindAddr, config.BindPort = o.Self.Addr.Addr().String(), int(o.Self.Addr.Port())
	config.AdvertiseAddr, config.AdvertisePort = config.BindAddr, config.BindPort
	config.Transport = &adapter{m}
	config.Delegate, config.Events = delegate{m}, events{m}
	config.Logger = stdlog.New(quiet{log}, "", 0)
	config.UDPBufferSize = transport.MaxPayload
	config.EnableCompression = false // what is told is short
	config.ProbeInterval, config.ProbeTimeout = clock.RealDuration(probeEvery), clock.RealDuration(200*time.Millisecond)
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = 3, 2
	config.AwarenessMaxMultiplier = mostAwareness
	config.GossipInterval = clock.RealDuration(100 * time.Millisecond)
	config.PushPullInterval = clock.RealDuration(exchangeEvery)
	config.TCPTimeout = clock.RealDuration(2 * time.Second)
	config.GossipToTheDeadTime, config.QueueCheckInterval = clock.RealDuration(config.GossipToTheDeadTime), clock.RealDuration(config.QueueCheckInterval)
	list, err := memberlist.Create(config)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	m.list = list
	m.over.Go(m.ask)
	return m, nil
}

// ExchangeEvery is how often each of so many nodes exchanges all that it knows with another: the library's base up to 32, and one
// base more for each doubling past that. What a node sends and gets in the mean is told over whole such spans.
func ExchangeInterval(nodes int) time.Duration {
	longer := 1.0
	if nodes > 32 {
		longer += math.Ceil(math.Log2(float64(nodes)) - 5)
	}
	return time.Duration(longer) * exchangeEvery
}

// Leave tells the others that the node leaves, and waits until that has gone out, for a while at the most.
func (m *Members) Leave() {
	m.left.Do(func() {
		m.leaves.Store(true)
		word := &leaving{life: m.options.Self.Incarnation, told: make(chan struct{})}
		m.leaving.QueueBroadcast(word)
		if err := m.list.UpdateNode(m.clock.RealDuration(leaveWait)); err != nil { // members of versions that know no such word go by what it tells of itself
			m.log.Debug().Err(err).Msg("that the node leaves was not told to all")
		}
		if err := m.list.Leave(m.clock.RealDuration(leaveWait)); err != nil {
			m.log.Debug().Err(err).Msg("leaving was not told to all")
		}
		select {
		case <-word.told:
		case <-time.After(m.clock.RealDuration(leaveWait)):
		}
	})
}

// Close ends the actor, after Leave or without a word.
func (m *Members) Close() {
	close(m.done)
	m.list.Shutdown()
	m.over.Wait()
}

// View gives all that are known, and the node itself.
func (m *Members) View() (own Member, all []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.own, m.table.All()
}

// There gives all others that are there. The slice is shared: it is read alone, and another one after a change.
//
// It is made when it is asked for. Danger: hundreds join or come back together, and a list sorted anew at each one's word costs
// their square.
func (m *Members) AlivePeers() []Member {
	if all := m.there.Load(); all != nil {
		return *all
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if all := m.there.Load(); all != nil {
		return *all // somebody else has asked meanwhile
	}
	all := m.table.AlivePeers()
	m.there.Store(&all) // changes come under the lock, too
	return all
}

// Holder is whom a word to a number goes to.
func (m *Members) Owner(number int) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Owner(number)
}

// tell changes the table and logs what an operator may act on.
func (m *Members) tell(change func(now policy.Micros) []Change) {
	m.mu.Lock()
	changes := change(m.clock.Now())
	if len(changes) > 0 {
		m.there.Store(nil)
	}
	m.mu.Unlock()
	for _, c := range changes {
		line := m.log.Info()
		if c.ConflictsWith != "" {
			line = m.log.Warn().Str("beside", c.ConflictsWith)
		}
		line.Str("member", id(c.Member.Name, c.Member.Incarnation)).Str("addr", c.Member.Addr.String()).Int("number", c.Member.Number).Msg(c.Text)
	}
}

// member is a library's node in our terms.
func member(n *memberlist.Node) (Member, error) {
	m := Member{}
	addr, ok := netip.AddrFromSlice(n.Addr)
	if err := readMeta(n.Meta, &m); err != nil || !ok {
		return m, errMeta
	}
	m.Addr = netip.AddrPortFrom(addr.Unmap(), n.Port)
	m.Name, _, _ = strings.Cut(n.Name, "/")
	return m, nil
}

// heard takes in what the library says of one that is there.
func (m *Members) heard(n *memberlist.Node) {
	of, err := member(n)
	if err != nil {
		m.log.Warn().Str("member", n.Name).Err(err).Msg("a member is passed over")
		return
	}
	m.tell(func(now policy.Micros) []Change { return m.table.MemberAlive(now, of) })
}

// ask asks one address at a time, at random, whether somebody is there. Danger: nodes that start or heal together would
// all ask the same one at once.
func (m *Members) ask() {
	rng := rand.New(rand.NewPCG(m.options.RandomSeed, uint64(m.options.Self.Incarnation)))
	grown := m.clock.Now() + policy.Micros(young.Microseconds())
	for wait := time.Duration(0); ; wait = askEvery/2 + time.Duration(rng.Int64N(int64(askEvery))) {
		select {
		case <-m.done:
			return
		case <-time.After(m.clock.RealDuration(wait)):
		}
		m.mu.Lock()
		m.table.Expire(m.clock.Now())
		all := m.table.JoinCandidates(m.options.JoinAddrs)
		m.mu.Unlock()
		if there := m.AlivePeers(); m.clock.Now() < grown && len(there) > 0 && (len(all) == 0 || rng.IntN(2) == 0) {
			all = []netip.AddrPort{there[rng.IntN(len(there))].Addr}
		}
		if len(all) == 0 {
			continue
		}
		addr := all[rng.IntN(len(all))]
		if _, err := m.list.Join([]string{addr.String()}); err != nil {
			m.log.Debug().Str("addr", addr.String()).Err(err).Msg("nobody was reached there")
		}
	}
}

// packet hands a datagram to the library.
func (m *Members) packet(from netip.AddrPort, f *transport.Frame, _ time.Duration) {
	select {
	case m.packets <- &memberlist.Packet{Buf: append([]byte(nil), f.Payload...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
	default:
		m.transport.CountDroppedUnread()
	}
}

// adapter is the library's transport: ours.
type adapter struct{ *Members }

func (t *adapter) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := t.options.Self.Addr
	return a.Addr().AsSlice(), int(a.Port()), nil
}

func (t *adapter) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	t.transport.Send(to, transport.Membership, b) // what the pace or the kernel drops is lost, as on any way
	return time.Now(), nil
}

func (t *adapter) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

func (t *adapter) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *adapter) StreamCh() <-chan net.Conn           { return t.transport.Streams() }
func (t *adapter) Shutdown() error                     { return nil } // closed by who opened it

func (t *adapter) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.transport.Dial(addr, timeout)
}

func (t *adapter) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.transport.Dial(addr.Addr, timeout)
}

// delegate tells the library what a member says of itself.
type delegate struct{ *Members }

func (d delegate) NodeMeta(int) []byte {
	own := d.options.Self
	own.leaves = d.leaves.Load()
	return meta(&own)
}

// mostSaid of those that left are told in an exchange, the latest: a third of a fleet of 900 in ten minutes.
const mostSaid = 300

// LocalState is what an exchange tells beside the library's own: who has said that it leaves. Danger: gossip goes to so many and no
// further, to the dead as well, and passes one in twenty by.
func (d delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	lives := d.table.LeavingIncarnations(mostSaid)
	if len(lives) == 0 {
		return nil
	}
	return leavingWord(lives...)
}

// MergeRemoteState takes in what an exchange has told.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) > 0 {
		d.NotifyMsg(b)
	}
}

// GetBroadcasts gives who leaves, in what the library's own news has left of a datagram.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.leaving.GetBroadcasts(overhead, limit)
}

// NotifyMsg takes in who leaves, and passes on what was not known.
func (d delegate) NotifyMsg(b []byte) {
	lives, err := readLeaving(b)
	if err != nil {
		d.log.Debug().Err(err).Msg("a member's word is passed over")
		return
	}
	for _, life := range lives {
		news := false
		d.tell(func(policy.Micros) (changes []Change) {
			changes, news = d.table.LeaveAnnounced(life)
			return changes
		})
		if news { // Danger: the queue asks for the members under its own lock, so it is not told under theirs
			d.leaving.QueueBroadcast(&leaving{life: life})
		}
	}
}

// leaving is the word that a life leaves, on its way.
type leaving struct {
	life transport.IncarnationID
	told chan struct{} // closed when it has gone out often enough; nil: nobody waits
}

const leavingVersion = 1

func (l *leaving) Message() []byte { return leavingWord(l.life) }

// leavingWord is a version and lives.
func leavingWord(lives ...transport.IncarnationID) []byte {
	b := []byte{leavingVersion}
	for _, life := range lives {
		b = binary.BigEndian.AppendUint64(b, uint64(life))
	}
	return b
}

func (l *leaving) Invalidates(memberlist.Broadcast) bool { return false }

func (l *leaving) Finished() {
	if l.told != nil {
		close(l.told)
	}
}

// readLeaving takes the word apart.
func readLeaving(b []byte) (lives []transport.IncarnationID, err error) {
	if len(b) < 9 || len(b)%8 != 1 || len(b) > 1+8*mostSaid || b[0] != leavingVersion {
		return nil, errMeta
	}
	for b = b[1:]; len(b) > 0; b = b[8:] {
		lives = append(lives, transport.IncarnationID(binary.BigEndian.Uint64(b)))
	}
	return lives, nil
}

// events are the library's, told under its lock.
type events struct{ *Members }

func (e events) NotifyJoin(n *memberlist.Node)   { e.heard(n) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.heard(n) }

func (e events) NotifyLeave(n *memberlist.Node) {
	of, err := member(n)
	if err != nil {
		return
	}
	// The library knows as well whether it said that it leaves, and tells nobody.
	e.tell(func(now policy.Micros) []Change { return e.table.MemberGone(now, of.Incarnation, of.leaves) })
}

// quiet writes the library's lines at debug level: what matters in them is told by changes.
type quiet struct{ log zerolog.Logger }

func (q quiet) Write(p []byte) (int, error) {
	q.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
