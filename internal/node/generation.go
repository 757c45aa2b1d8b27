package node

import (
	"errors"
	"fmt"
	"slices"

	"canvasrouter/policy"
)

const (
	// maxGenerations is how many generations may be in use at a time. Without a limit, settings that change faster than
	// ops end would fill the memory.
	maxGenerations = 16
	// requestReadTimeout is how long a replaced generation is kept for requests that are being read with its categories.
	requestReadTimeout = 5 * policy.Second
)

var errStopped = errors.New("node has stopped")

// ErrTooManyGenerations means that the settings cannot change again until ops of earlier generations have ended.
var ErrTooManyGenerations = errors.New("too many settings still have ops in hand")

// Generation is a module created from one set of settings. An op ends under the generation that admitted it, with that
// generation's categories, timers and rules. The newest generation admits ops; an older one still receives server lists
// and the ends of its pushes, and is removed after its last op.
type Generation struct {
	Options Options
	Module  policy.Decider
	Apply   func() // switches everything else that uses these settings; called by the actor; may be nil

	number      int           // 0 is the generation that the node started with
	opCount     int           // ops that have not been removed
	retainUntil policy.Micros // kept until then for requests being read; 0: it is the newest
	retired     bool
}

// switchRequest asks the actor to switch to another generation.
type switchRequest struct {
	next   *Generation
	result chan switchResult // buffered, so that the actor does not block
}

type switchResult struct {
	number int
	err    error
}

// Switch makes next the generation that admits new ops and returns its number, which ops that are read with its settings
// carry. It waits for the actor.
func (n *Node) Switch(next *Generation) (number int, err error) {
	request := switchRequest{next, make(chan switchResult, 1)}
	n.post(request)
	result := <-request.result
	return result.number, result.err
}

// switchGeneration appends the requested generation, unless too many are in use, and gives it the full list.
func (n *Node) switchGeneration(request switchRequest) {
	n.retireGenerations()
	if len(n.generations) >= maxGenerations {
		request.result <- switchResult{0, fmt.Errorf("%w: %d generations", ErrTooManyGenerations, len(n.generations))}
		return
	}
	n.newestGeneration().retainUntil = max(1, n.clock.Now()+requestReadTimeout)
	n.timers.set(n.newestGeneration().retainUntil, n.retireGenerations)
	request.next.number = n.newestGeneration().number + 1
	n.generations = append(n.generations, request.next)
	if request.next.Apply != nil {
		request.next.Apply()
	}
	n.step(request.next, &policy.Input{Kind: policy.ListReceived, Form: policy.ListCached, List: n.reweighted(n.list)})
	n.log.Info().Int("generation", request.next.number).Int("in hand before", n.pendingOps).Msg("new settings")
	request.result <- switchResult{request.next.number, nil}
}

func (n *Node) newestGeneration() *Generation { return n.generations[len(n.generations)-1] }

// generation returns the generation with a number, or nil if it was removed, as for a request that took longer to read
// than requestReadTimeout.
func (n *Node) generation(number int) *Generation {
	i := slices.IndexFunc(n.generations, func(g *Generation) bool { return g.number == number })
	if i < 0 {
		return nil
	}
	return n.generations[i]
}

// retireGenerations removes the older generations that have no op left and that no request can still refer to.
func (n *Node) retireGenerations() {
	n.generations = slices.DeleteFunc(n.generations, func(g *Generation) bool {
		g.retired = g.opCount == 0 && g.retainUntil > 0 && n.clock.Now() >= g.retainUntil
		if g.retired {
			n.log.Info().Int("generation", g.number).Msg("older settings are out of use")
		}
		return g.retired
	})
}

// mergeList updates the full list, which the next generation receives. A server keeps its latest start time: an outdated
// full list may be received again, and would make a cold server look warm to a module that has not seen its restart.
func (n *Node) mergeList(list *List) {
	if list.Form == policy.ListFailed {
		return
	}
	indexes := make(map[policy.ServerID]int, len(n.list))
	for i, e := range n.list {
		indexes[e.Server] = i
	}
	var merged []policy.ListEntry
	if list.Form == policy.ListChanges {
		merged = n.list
	}
	for _, e := range list.Entries {
		i, found := indexes[e.Server]
		if found {
			e.StartedAt = max(e.StartedAt, n.list[i].StartedAt)
		}
		if found && list.Form == policy.ListChanges {
			merged[i] = e
		} else {
			merged = append(merged, e)
		}
	}
	n.list = slices.DeleteFunc(merged, func(e policy.ListEntry) bool { return e.State == policy.Gone })
}

// updateAddrs updates the addresses of the listed servers.
func (n *Node) updateAddrs(list *List) {
	if list.Form == policy.ListFailed {
		return
	}
	if list.Form != policy.ListChanges || n.addrs == nil {
		n.addrs = make(map[policy.ServerID]string, len(list.Entries))
	}
	for i, e := range list.Entries {
		if e.State == policy.Gone {
			delete(n.addrs, e.Server)
			continue
		}
		n.addrs[e.Server] = list.Addrs[i]
	}
}

// keepLatestProcesses replaces what a list says of an earlier process of a server by what is known of the latest one: its start and
// its address. An outdated list may be received again, and by now another process may stand at the earlier address.
func (n *Node) keepLatestProcesses(list *List) {
	known := make(map[policy.ServerID]policy.Micros, len(n.list))
	for _, e := range n.list {
		known[e.Server] = e.StartedAt
	}
	for i := range list.Entries {
		entry := &list.Entries[i]
		if latest, found := known[entry.Server]; found && entry.State != policy.Gone && entry.StartedAt < latest {
			entry.StartedAt = latest
			list.Addrs[i] = n.addrs[entry.Server]
		}
	}
}
