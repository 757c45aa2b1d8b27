package frontend

import (
	"context"
	"net/http"
	"time"

	"canvasrouter/policy"
)

// drainTimes returns, as durations after SIGTERM, how long kept connections are served and when the last answer must be
// written. A third of the longest TTL lies between the two. TTLs count for at most maxKillTTL, because the kill does not
// wait for longer ones.
func (o *Options) drainTimes() (serveKept, lastAnswer time.Duration) {
	longest := min(o.MaxTTL, maxKillTTL)
	lastAnswer = longest + killDelay - exitReserve
	return lastAnswer - longest/3, lastAnswer
}

// Drain ends the server for a planned restart without losing an op. For a while, new connections are still accepted and
// served, with answers that close them; then the listener closes and the pending ops are finished. The channel delivers the
// result of Serve, which ends by the drain if it has not ended before. With keepServing, connections that clients have kept
// open are served for as long as the time until the kill allows.
func (s *Server) Drain(served <-chan error, keepServing bool) {
	startedAt := time.Now()
	serveKept, lastAnswer := s.options.Load().drainTimes()
	// The last answers are written at the deadline that ops are given, and closing connections at the same moment would cut
	// them off.
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(lastAnswer+exitReserve/2))
	defer cancel()
	deadline := s.clock.Now() + policy.Micros(lastAnswer/time.Microsecond)
	s.drain.Store(&drainState{startedAt: startedAt, deadline: deadline})
	s.actor.SetShutdownDeadline(deadline)
	s.listener.drain(startedAt.Add(lastAnswer))
	<-served
	s.logDrain(startedAt, "the listener is closed")
	if keepServing {
		s.serveKeptConns(startedAt.Add(serveKept))
	}
	s.logDrain(startedAt, "connections are closed")
	// Requests that bad clients have begun and never finish would delay the restart by seconds, and the next node may go
	// down in the meantime. So connections without a complete request, on which nothing arrives any more, are closed.
	s.listener.ending.Store(true)
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.http.Shutdown(ctx) }()
	ticker := time.NewTicker(minBodyTimeout / 10)
	defer ticker.Stop()
	for {
		select {
		case err := <-shutdown:
			if err != nil {
				s.http.Close()
			}
			return
		case <-ticker.C:
			s.openConns.closeIncomplete(minBodyTimeout)
		}
	}
}

// logDrain logs a step of a planned restart.
func (s *Server) logDrain(startedAt time.Time, step string) {
	s.log.Info().Int64("after_ms", time.Since(startedAt).Milliseconds()).EmbedObject(s.openConns.countUses()).
		Msg("planned restart: " + step)
}

// serveKeptConns waits until the deadline, or until all connections are closed, while kept connections are served. The next
// node may be in a planned restart itself, and clients that are sent away from this one at once would find no node.
func (s *Server) serveKeptConns(deadline time.Time) {
	ticker := time.NewTicker(backlogQuietTime)
	defer ticker.Stop()
	for now := range ticker.C {
		if s.openConns.empty() || now.After(deadline) {
			return
		}
	}
}

// arrivedDuringDrain reports whether a request's connection was accepted after a planned restart had begun, so that its
// client has to be sent to another node.
func (s *Server) arrivedDuringDrain(r *http.Request) bool {
	drain := s.drain.Load()
	c, ok := connOf(r)
	return drain != nil && ok && c.acceptedAt.After(drain.startedAt)
}
