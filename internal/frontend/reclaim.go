package frontend

import (
	"math"
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
	// maxReclaimChecks limits the connections of a rank that are looked at in one attempt. Bytes may have arrived on those that
	// were silent for longest, or their goroutines may be about to run.
	maxReclaimChecks = 4
)

// reclaimRank is the order in which sockets are reclaimed. Connections without a chance of a good request come first.
type reclaimRank int

const (
	reclaimRefused   reclaimRank = iota // a bad request was answered
	reclaimSilent                       // nothing was sent on a new connection
	reclaimStalled                      // the client has stopped in the middle of a request
	reclaimIdle                         // between two requests
	reclaimPaused                       // the client has stopped in a request, but has paused and gone on before
	reclaimUnread                       // the client does not read its answer
	reclaimSlow                         // a request that keeps arriving slowly
	reclaimRankCount                    // number of ranks
)

// String returns why a connection of the rank is closed, for the log.
func (r reclaimRank) String() string {
	return "for another one: " + [reclaimRankCount]string{reclaimRefused: "refused", reclaimSilent: "silent", reclaimStalled: "stopped in a request",
		reclaimIdle: "idle", reclaimPaused: "paused in a request", reclaimUnread: "answer unread", reclaimSlow: "slow request"}[r]
}

// shortage describes how connections wait for a socket.
type shortage struct {
	waited time.Duration // since the last byte of the connection that waits, including its time in the backlog
	lasted time.Duration // since connections began to wait, one after the other
}

// graces are the times after which a connection can be closed while another one waits, by its rank.
type graces [reclaimRankCount]time.Duration

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
	times := graces{
		reclaimRefused: refusedGrace,
		reclaimSilent:  newConnGrace,
		reclaimStalled: usual,
		reclaimIdle:    0,
		reclaimPaused:  math.MaxInt64,
		reclaimUnread:  slowTransferLimit,
		reclaimSlow:    math.MaxInt64,
	}
	if waited > usual {
		times[reclaimStalled] = max(minStalledGrace, 2*usual-waited)
	}
	if stuck > usual {
		times[reclaimPaused] = times[reclaimStalled]
		times[reclaimSlow] = slowTransferLimit
	}
	return times
}

// reclaimTimes returns from when on the connection has each rank; the time is zero for the ranks that it does not have. The
// caller holds mu.
func (c *conn) reclaimTimes() (since [reclaimRankCount]time.Time) {
	if c.state.Load() == connClosed {
		return since
	}
	switch c.use() {
	case useRefused:
		since[reclaimRefused] = c.refusedAt
	case useSilent:
		since[reclaimSilent] = c.lastByteAt
	case useIdle:
		since[reclaimIdle] = c.lastByteAt
	case usePending:
		if start := c.writingSince.Load(); start > 0 {
			since[reclaimUnread] = c.acceptedAt.Add(time.Duration(start))
		}
	case usePartial:
		if !c.resumed {
			since[reclaimStalled] = c.lastByteAt
			break
		}
		since[reclaimPaused] = c.lastByteAt
		since[reclaimSlow] = c.requestStarted
	}
	return since
}

// canReclaim reports whether the connection has a rank, and its grace is over. A connection whose bytes the library is
// processing is not waiting for its client. The caller holds mu.
func (c *conn) canReclaim(rank reclaimRank, times graces) bool {
	since := c.reclaimTimes()[rank]
	if since.IsZero() || time.Since(since) < times[rank] {
		return false
	}
	return rank == reclaimRefused || rank == reclaimUnread || c.waitsForBytes()
}

// reclaim closes a connection if it still has the rank that it was selected for.
func (c *conn) reclaim(rank reclaimRank, times graces) bool {
	canReclaim := func() bool { return c.canReclaim(rank, times) }
	switch rank {
	case reclaimUnread:
		c.mu.Lock()
		closing := canReclaim() && c.state.CompareAndSwap(connHasRequest, connClosed)
		c.mu.Unlock()
		if closing {
			c.recordClosed(rank.String(), usePending)
			c.Close()
		}
		return closing
	case reclaimRefused, reclaimSlow:
		return c.closeUnfinished(rank.String(), canReclaim)
	default:
		return c.closeUnfinished(rank.String(), func() bool { return canReclaim() && !hasUnread(c.tcp) })
	}
}

// reclaimSocket closes the connection that is least likely to bring a good request or to get its answer, because another one
// waits for a socket. If none can be closed yet, it does nothing: the caller tries again after reclaimInterval. The work does
// not depend on how many connections are open: bad clients can cause a shortage as often as they connect.
func (s *openConnSet) reclaimSocket(shortage shortage, usualGrace time.Duration) {
	now := time.Now()
	s.mu.Lock()
	stuck := min(shortage.lasted, now.Sub(s.lastReclaim))
	s.mu.Unlock()
	times := newGraces(usualGrace, shortage.waited, stuck)
	for rank := range reclaimRankCount {
		if rank == reclaimIdle && s.sparesIdle() || !s.reclaimRank(rank, times) {
			continue
		}
		if rank != reclaimPaused && rank != reclaimSlow {
			s.mu.Lock()
			s.lastReclaim = now
			s.mu.Unlock()
		}
		return
	}
}

// CloseUnread closes the connection whose client has left its answer unread for longest, if that is too long. It is called while
// another answer waits for memory.
func (s *Server) CloseUnread() {
	s.openConns.reclaimRank(reclaimUnread, newGraces(s.options.Load().usualGrace(), 0, 0))
}

// reclaimRank closes the connection that has exceeded the grace of a rank for longest, if one has.
func (s *openConnSet) reclaimRank(rank reclaimRank, times graces) bool {
	for range maxReclaimChecks {
		s.mu.Lock()
		candidate := s.queues[rank].first(time.Now(), times[rank])
		s.mu.Unlock()
		if candidate == nil {
			return false
		}
		s.checks.Add(1)
		if candidate.reclaim(rank, times) {
			return true
		}
		s.mu.Lock()
		candidate.places[rank].postpone()
		s.mu.Unlock()
	}
	return false
}

// sparesIdle reports whether idle connections are kept: at least half of all connections have no complete request. These hold
// the sockets, and their times end soon. The clients of idle connections would have to wait in the backlog with all others.
func (s *openConnSet) sparesIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incomplete := 0
	for _, rank := range []reclaimRank{reclaimSilent, reclaimStalled, reclaimPaused} {
		incomplete += s.queues[rank].length()
	}
	return 2*incomplete >= len(s.conns)
}
