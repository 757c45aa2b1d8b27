// Package servers sends pushes to servers over HTTP. Each server has an actor with a mailbox and an http.Transport of its own.
package servers

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// Options are the settings of connections to servers.
type Options struct {
	DialTimeout       time.Duration // limit for opening a connection, including the wait for a socket
	ServerIdleTimeout time.Duration // a server closes connections that were idle for this long; 0: not known
	MaxInFlight       int           // maximum number of pushes in flight at a time
	Answers           *memory.Pool  // for large answers, until clients have taken them; nil: they are not counted
	Buffers           sockets.Buffers
}

// listedServer is a server on the list. A node pushes to a few of the servers that it knows, so an actor is started with the first
// push.
type listedServer struct {
	addr      string
	startedAt policy.Micros
	actor     *serverActor // nil: not started
}

// Pool holds the servers on the list and an actor for each that gets pushes. It implements node.Servers: its methods are called by the node's actor
// only, and they do not block.
type Pool struct {
	options   Options
	budget    *sockets.Budget
	log       zerolog.Logger
	onPushEnd func(*node.Push, node.Result)
	servers   map[policy.ServerID]*listedServer
	openConns *connSet
}

// New returns an empty pool. It calls onPushEnd once for each push that it was given.
func New(options Options, budget *sockets.Budget, log zerolog.Logger, onPushEnd func(*node.Push, node.Result)) *Pool {
	p := &Pool{
		options:   options,
		budget:    budget,
		log:       log,
		onPushEnd: onPushEnd,
		servers:   make(map[policy.ServerID]*listedServer),
		openConns: &connSet{budget: budget, conns: make(map[*conn]bool)},
	}
	budget.OnExhausted(p.openConns.closeLongestIdle)
	return p
}

// UpdateList applies a server list. The actors of removed servers end after their last push.
func (p *Pool) UpdateList(list *node.List) {
	if list.Form == policy.ListFailed {
		return
	}
	listed := make(map[policy.ServerID]bool, len(list.Entries))
	for i, e := range list.Entries {
		if e.State == policy.Gone {
			p.retire(e.Server)
			continue
		}
		listed[e.Server] = true
		if old := p.servers[e.Server]; old != nil {
			// A server that has restarted, or moved to another address, does not know the connections that were kept
			// open to it, and a push written on one of them would be reset.
			if old.addr == list.Addrs[i] && old.startedAt == e.StartedAt {
				continue
			}
			p.retire(e.Server)
		}
		p.servers[e.Server] = &listedServer{addr: list.Addrs[i], startedAt: e.StartedAt}
	}
	if list.Form == policy.ListChanges {
		return
	}
	for id := range p.servers {
		if !listed[id] {
			p.retire(id)
		}
	}
}

// SetOptions makes later pushes use other options. Idle connections that were opened under the old ones are closed, and
// pushes in flight end normally.
func (p *Pool) SetOptions(options Options) {
	if options == p.options {
		return
	}
	p.options = options
	for _, server := range p.servers {
		server.stop()
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(id policy.ServerID) {
	if server := p.servers[id]; server != nil && server.actor != nil {
		p.openConns.closeIdleOf(server.actor)
	}
}

// Push hands a push to its server's actor. It must not block, because it runs in the node's actor. The mailbox has room for
// every push that can be in flight, so a full mailbox means that MaxInFlight is wrong; the push then ends as not connected.
func (p *Pool) Push(push *node.Push) {
	if server := p.servers[push.Server]; server != nil {
		if server.actor == nil {
			server.actor = p.startActor(push.Server, server)
		}
		select {
		case server.actor.mailbox <- push:
			return
		default:
			p.log.Error().Str("server", server.addr).Msg("mailbox of a server is full")
		}
	}
	go func() {
		push.Body.Close()
		p.onPushEnd(push, node.Result{Outcome: policy.ConnectFailed})
	}()
}

// startActor starts an actor for a server.
func (p *Pool) startActor(id policy.ServerID, server *listedServer) *serverActor {
	log := p.log.With().Str("server", fmt.Sprintf("%012x", id)).Logger()
	actor := newServerActor(server.addr, p.options, p.budget, p.openConns, log, p.onPushEnd)
	go actor.run()
	return actor
}

// retire removes a server. Its actor ends after its last push.
func (p *Pool) retire(id policy.ServerID) {
	if server := p.servers[id]; server != nil {
		server.stop()
		delete(p.servers, id)
	}
}

// stop lets the server's actor end after its last push. The next push starts another one.
func (s *listedServer) stop() {
	if s.actor != nil {
		close(s.actor.mailbox)
		s.actor = nil
	}
}

// MarshalZerologObject writes the number of connections, and of those that were closed and why.
func (p *Pool) MarshalZerologObject(line *zerolog.Event) {
	open, idle := p.openConns.count()
	line.Int("open", open).Int("idle", idle).Object("closed", &p.openConns.closed)
}
