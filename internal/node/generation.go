package node

import (
	"errors"
	"fmt"
	"slices"

	"canvasrouter/policy"
)

const (
	// mostGenerations stand at a time. Danger: settings that come faster than ops end would fill the memory.
	mostGenerations = 16
	// readWait is how long a generation stays for requests that are still being read by its categories.
	readWait = 5 * policy.Second
)

var errStopped = errors.New("the node ends")

// ErrTooManySwitches says that there is no room for other settings until ops of earlier ones have ended.
var ErrTooManyGenerations = errors.New("too many settings still have ops in hand")

// Generation is the module as one set of settings made it. Ops end under the generation that took them: its
// categories, its timers, its rules. The newest takes what comes; an older one gets lists and what ends, and goes
// with its last op.
type Generation struct {
	Options Options
	Module  policy.Decider
	Apply   func() // what else goes by these settings; the actor calls it at the switch

	number int           // 0 is the one that the node began with
	ops    int           // in hand
	until  policy.Micros // it stays for requests being read; 0: it is the newest
	over   bool
}

type switched struct {
	next *Generation
	done chan switchedTo // holds one: the actor does not wait
}

type switchedTo struct {
	number int
	err    error
}

// Switch lets what comes from now on go by the next generation, and gives its number, which ops that were read by
// its settings bear.
func (n *Node) Switch(next *Generation) (number int, err error) {
	m := switched{next, make(chan switchedTo, 1)}
	n.send(m)
	done := <-m.done
	return done.number, done.err
}

func (n *Node) switchTo(m switched) {
	n.retire()
	if len(n.generations) >= mostGenerations {
		m.done <- switchedTo{0, fmt.Errorf("%w: %d generations", ErrTooManyGenerations, len(n.generations))}
		return
	}
	n.newest().until = max(1, n.clock.Now()+readWait)
	n.timers.set(n.newest().until, n.retire)
	m.next.number = n.newest().number + 1
	n.generations = append(n.generations, m.next)
	if m.next.Apply != nil {
		m.next.Apply()
	}
	n.step(m.next, &policy.Input{Kind: policy.ListReceived, Form: policy.ListCached, List: n.partly(n.list)})
	n.log.Info().Int("generation", m.next.number).Int("in hand before", n.open).Msg("new settings")
	m.done <- switchedTo{m.next.number, nil}
}

func (n *Node) newest() *Generation { return n.generations[len(n.generations)-1] }

// generation finds the one that read an op. A request that was read for longer than any may be finds none.
func (n *Node) generation(number int) *Generation {
	i := slices.IndexFunc(n.generations, func(g *Generation) bool { return g.number == number })
	if i < 0 {
		return nil
	}
	return n.generations[i]
}

// retire lets older generations go that have no op in hand and that no request may still come for.
func (n *Node) retire() {
	n.generations = slices.DeleteFunc(n.generations, func(g *Generation) bool {
		g.over = g.ops == 0 && g.until > 0 && n.clock.Now() >= g.until
		if g.over {
			n.log.Info().Int("generation", g.number).Msg("older settings are out of use")
		}
		return g.over
	})
}

// keep holds the list as it now is, for the next generation. Danger: an old list may come again, whole, and would make a
// cold server seem warm to a module that has not seen its start.
func (n *Node) keep(list *List) {
	if list.Form == policy.ListFailed {
		return
	}
	held := make(map[policy.ServerID]int, len(n.list))
	for i, e := range n.list {
		held[e.Server] = i
	}
	var next []policy.ListEntry
	if list.Form == policy.ListChanges {
		next = n.list
	}
	for _, e := range list.Entries {
		i, found := held[e.Server]
		if found {
			e.StartedAt = max(e.StartedAt, n.list[i].StartedAt)
		}
		if found && list.Form == policy.ListChanges {
			next[i] = e
		} else {
			next = append(next, e)
		}
	}
	n.list = slices.DeleteFunc(next, func(e policy.ListEntry) bool { return e.State == policy.Gone })
}
