package frontend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Connections are closed before their own timeouts only while another one waits for a socket, and only after these times. The
// time that a connection and its bytes have spent in the backlog counts, so however many clients stop at the same moment, others
// wait behind them for hardly more than the grace of those.
const (
	// newConnGrace is how long a new connection may be silent.
	newConnGrace = 100 * time.Millisecond
	// maxStalledGrace and minStalledGrace limit how long a client may send nothing in the middle of a request; see graces.
	maxStalledGrace = 200 * time.Millisecond
	minStalledGrace = 25 * time.Millisecond
	// stalledGraceDivisor is the part of the shortest TTL that others may lose by waiting for clients that have stopped.
	stalledGraceDivisor = 3
	// refusedGrace is how long the answer to a bad request has to arrive.
	refusedGrace = 25 * time.Millisecond
	// slowTransferLimit is how long a request may take to arrive although bytes keep coming, and how long a client may leave
	// so much unread that its answer can't be written.
	slowTransferLimit = 500 * time.Millisecond
	// reclaimInterval is the time between two attempts to reclaim a socket for a connection that waits.
	reclaimInterval = 25 * time.Millisecond
)

// reclaimRank is the order in which sockets are reclaimed. Connections without a chance of a good request come first.
type reclaimRank int

const (
	reclaimNever   reclaimRank = iota // pending, being processed, or within its grace
	reclaimRefused                    // a bad request was answered
	reclaimSilent                     // nothing was sent on a new connection
	reclaimStalled                    // the client has stopped in the middle of a request
	reclaimIdle                       // between two requests
	reclaimPaused                     // the client has stopped in a request, but has paused and gone on before
	reclaimUnread                     // the client does not read its answer
	reclaimSlow                       // a request that keeps arriving slowly
)

// reclaimCandidate is a connection whose socket can be reclaimed.
type reclaimCandidate struct {
	conn  *conn
	rank  reclaimRank
	since time.Time // earlier ones are reclaimed first among those of a rank
}

// shortage describes how connections wait for a socket.
type shortage struct {
	waited time.Duration // since the last byte of the connection that waits, including its time in the backlog
	lasted time.Duration // since connections began to wait, one after the other
}

// graces are the times that a client has for an incomplete request while another connection waits.
type graces struct {
	stalled time.Duration // without a byte
	paused  time.Duration // without a byte, if it has paused and gone on before
	slow    time.Duration // from its first byte on, although bytes keep coming
}

// usualGrace returns how long a client may send nothing in the middle of a request while others do not wait longer themselves.
func (o *Options) usualGrace() time.Duration {
	if o.MinTTL == 0 {
		return maxStalledGrace
	}
	return min(maxStalledGrace, max(minStalledGrace, o.MinTTL/stalledGraceDivisor))
}

// newGraces returns the times that hold while a connection has waited for a time, and no socket could be reclaimed for another.
// What it waits beyond the usual grace is taken off the grace of clients that have stopped: otherwise clients that are served
// first and then stop could follow each other without end. Clients that were seen to go on are closed only if there are none of
// these.
func newGraces(usual, waited, stuck time.Duration) graces {
	times := graces{stalled: usual, paused: math.MaxInt64, slow: math.MaxInt64}
	if waited > usual {
		times.stalled = max(minStalledGrace, 2*usual-waited)
	}
	if stuck > usual {
		times.paused = times.stalled
		times.slow = slowTransferLimit
	}
	return times
}

// candidate returns the connection as a candidate; its rank may be reclaimNever. The caller holds mu.
func (c *conn) candidate(now time.Time, times graces) reclaimCandidate {
	rankAfter := func(grace time.Duration, rank reclaimRank, since time.Time) reclaimCandidate {
		if now.Sub(since) < grace {
			rank = reclaimNever
		}
		return reclaimCandidate{c, rank, since}
	}
	use := c.use()
	waitsForBytes := c.waitsForBytesLocked()
	switch {
	case use == useRefused && c.Disconnected():
		return rankAfter(0, reclaimRefused, c.refusedAt)
	case use == useRefused:
		return rankAfter(refusedGrace, reclaimRefused, c.refusedAt)
	case use == usePending && c.writingSince.Load() > 0:
		return rankAfter(slowTransferLimit, reclaimUnread, c.acceptedAt.Add(time.Duration(c.writingSince.Load())))
	case use == useSilent && waitsForBytes:
		return rankAfter(newConnGrace, reclaimSilent, c.lastByteAt)
	case use == useIdle && waitsForBytes:
		return rankAfter(0, reclaimIdle, c.lastByteAt)
	case use == usePartial && waitsForBytes && !c.resumed:
		return rankAfter(times.stalled, reclaimStalled, c.lastByteAt)
	case use == usePartial && waitsForBytes && now.Sub(c.lastByteAt) >= times.paused:
		return reclaimCandidate{c, reclaimPaused, c.lastByteAt}
	case use == usePartial && waitsForBytes:
		return rankAfter(times.slow, reclaimSlow, c.requestStarted)
	}
	return reclaimCandidate{conn: c}
}

// reclaim closes a connection if it still has the rank that it was selected for.
func (c *conn) reclaim(rank reclaimRank, times graces) bool {
	hasRank := func() bool { return c.candidate(time.Now(), times).rank == rank }
	switch rank {
	case reclaimUnread:
		c.mu.Lock()
		closing := hasRank() && c.state.CompareAndSwap(connHasRequest, connClosed)
		c.mu.Unlock()
		if closing {
			c.Close()
		}
		return closing
	case reclaimRefused, reclaimSlow:
		return c.closeUnfinished(hasRank)
	default:
		return c.closeUnfinished(func() bool { return hasRank() && !hasUnread(c.tcp) })
	}
}

// reclaimSocket closes the connection that is least likely to bring a good request or to get its answer, because another one
// waits for a socket. If none can be closed yet, it does nothing: the caller tries again after reclaimInterval.
func (s *openConnSet) reclaimSocket(shortage shortage, usualGrace time.Duration) {
	now := time.Now()
	s.mu.Lock()
	stuck := min(shortage.lasted, now.Sub(s.lastReclaim))
	s.mu.Unlock()
	times := newGraces(usualGrace, shortage.waited, stuck)
	for _, candidate := range s.reclaimCandidates(now, times) {
		if candidate.conn.reclaim(candidate.rank, times) {
			if candidate.rank != reclaimPaused && candidate.rank != reclaimSlow {
				s.mu.Lock()
				s.lastReclaim = now
				s.mu.Unlock()
			}
			return
		}
	}
}

// reclaimCandidates returns the connections that can be closed, in the order in which to close them.
//
// Idle connections are spared while at least half of all connections have no complete request: these hold the sockets, and
// their times end soon. The clients of idle connections would have to wait in the backlog with all others.
func (s *openConnSet) reclaimCandidates(now time.Time, times graces) []reclaimCandidate {
	var candidates []reclaimCandidate
	var counts useCounts
	s.mu.Lock()
	for clientConn := range s.conns {
		clientConn.mu.Lock()
		if candidate := clientConn.candidate(now, times); candidate.rank != reclaimNever {
			candidates = append(candidates, candidate)
		}
		counts[clientConn.use()]++
		clientConn.mu.Unlock()
	}
	spareIdle := 2*(counts[useSilent]+counts[usePartial]) >= len(s.conns)
	s.mu.Unlock()
	if spareIdle {
		candidates = slices.DeleteFunc(candidates, func(c reclaimCandidate) bool { return c.rank == reclaimIdle })
	}
	slices.SortFunc(candidates, func(a, b reclaimCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	return candidates
}
