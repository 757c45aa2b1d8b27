// Package servers carries pushes to servers: an actor with a mailbox for each, over http.Transport.
package servers

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// Options are what the settings say of connections to servers.
type Options struct {
	DialTimeout       time.Duration // a connection not open within this has failed
	ServerIdleTimeout time.Duration // a server closes a connection that was idle for this long; 0: not told
	MaxInFlight       int           // pushes that can be out together
}

// Pool holds the actors of the servers on the list. Its methods are for the module's actor alone; they never
// wait.
type Pool struct {
	options Options
	part    *sockets.Budget
	log     zerolog.Logger
	end     func(*node.Push, node.Result)
	peers   map[policy.ServerID]*peer
	kept    *keep
}

// New makes a pool that ends each push it was given with end, once.
func New(options Options, part *sockets.Budget, log zerolog.Logger, end func(*node.Push, node.Result)) *Pool {
	p := &Pool{options: options, part: part, log: log, end: end, peers: make(map[policy.ServerID]*peer),
		kept: &keep{part: part, conns: make(map[*conn]bool)}}
	part.OnExhausted(p.kept.shed)
	return p
}

// Follow takes over a list: new servers get an actor, those that left give theirs back after their last push.
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
		if old := p.peers[e.Server]; old != nil {
			// Danger: a server that has started again, or elsewhere, knows nothing of the connections kept to
			// it; a write on one would be a reset.
			if old.addr == list.Addrs[i] && old.started == e.StartedAt {
				continue
			}
			p.retire(e.Server)
		}
		p.peers[e.Server] = p.start(e.Server, list.Addrs[i], e.StartedAt)
	}
	if list.Form == policy.ListChanges {
		return
	}
	for id := range p.peers {
		if !listed[id] {
			p.retire(id)
		}
	}
}

// Use lets pushes from now on go by other options. Connections kept under the old ones close; what is out ends on its
// own.
func (p *Pool) SetOptions(options Options) {
	if options == p.options {
		return
	}
	p.options = options
	for id, old := range p.peers {
		p.retire(id)
		p.peers[id] = p.start(id, old.addr, old.started)
	}
}

// CloseIdle closes the connections to a server that no push is out on.
func (p *Pool) CloseIdle(id policy.ServerID) {
	if peer := p.peers[id]; peer != nil {
		p.kept.closeIdle(peer)
	}
}

// Push hands a push to its server's actor. Danger: the module's actor must not wait here. The mailbox has room
// for every push that can be out, so a full one means that this bound is wrong; the push then ends as never
// connected, which it is.
func (p *Pool) Push(push *node.Push) {
	if peer := p.peers[push.Server]; peer != nil {
		select {
		case peer.mail <- push:
			return
		default:
			p.log.Error().Str("server", peer.addr).Msg("mailbox of a server is full")
		}
	}
	go func() {
		push.Body.Close()
		p.end(push, node.Result{Outcome: policy.ConnectFailed})
	}()
}

func (p *Pool) start(id policy.ServerID, addr string, started policy.Micros) *peer {
	log := p.log.With().Str("server", fmt.Sprintf("%012x", id)).Logger()
	peer := newPeer(addr, started, p.options, p.part, p.kept, log, p.end)
	go peer.run()
	return peer
}

// retire closes the mailbox; the actor ends with its last push.
func (p *Pool) retire(id policy.ServerID) {
	if peer := p.peers[id]; peer != nil {
		close(peer.mail)
		delete(p.peers, id)
	}
}
