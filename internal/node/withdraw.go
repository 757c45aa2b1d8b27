package node

import (
	"maps"
	"slices"

	"canvasrouter/policy"
)

// A push is decided, and then waits: in the mailbox of its server's actor, for a socket, a dial or a connection that has just
// answered. What allowed the push must still hold when its first byte is written. Push.TryBegin looks at the time and the
// client; the actor, which alone knows the list, withdraws pushes whose server has changed.

// target is a server as it was listed when a push was decided.
type target struct {
	policy.ListEntry
	addr   string
	listed bool
}

// findTarget returns a server as it is listed now.
func (n *Node) findTarget(id policy.ServerID) target {
	i := slices.IndexFunc(n.list, func(e policy.ListEntry) bool { return e.Server == id })
	if i < 0 {
		return target{}
	}
	return target{n.list[i], n.addrs[id], true}
}

// isSameProcess reports whether two entries are of one process, in the same group of servers that drop repeats.
func (t *target) isSameProcess(other *target) bool {
	return t.addr == other.addr && t.StartedAt == other.StartedAt && t.Zone == other.Zone && t.Cell == other.Cell
}

// withdrawUnsent withdraws the pushes that have not been sent yet and whose server takes none any more by the new list: it is
// not ready, or another process stands in its place.
//
// A push may wait for its connection for as long as a dial takes, and would reach a draining server after its drain grace, or
// a process for which it was not decided. The module pushes to ready servers only, so no such push is intended.
func (n *Node) withdrawUnsent() {
	for _, id := range slices.Sorted(maps.Keys(n.ops)) {
		for _, push := range n.ops[id].pushes {
			if !push.ended && !n.stillTakes(push) {
				push.withdraw()
			}
		}
	}
}

// stillTakes reports whether the server of a push takes it by the current list.
func (n *Node) stillTakes(push *Push) bool {
	current := n.findTarget(push.Server)
	return current.listed && current.State == policy.Ready && (!push.target.listed || current.isSameProcess(&push.target))
}

// setPushTimers sets the timers that end a push: at its timeout, and when it may no longer begin.
func (n *Node) setPushTimers(push *Push) {
	timeout := push.sentAt + push.Timeout
	push.timeoutTimer = n.timers.set(timeout, func() {
		n.endPush(push, Result{Outcome: policy.TimedOut}, n.clock.Now()-push.sentAt)
	})
	if push.beginBefore == timeout {
		return
	}
	push.beginTimer = n.timers.set(push.beginBefore, func() {
		if !push.ended && push.withdraw() { // without this, its op would wait for the dial to end
			n.endPush(push, Result{Outcome: policy.Moot}, n.clock.Now()-push.sentAt)
		}
	})
}
