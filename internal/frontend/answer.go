package frontend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// awaitAnswer waits for the op's answer. If the client disconnects first, it abandons the op.
func (s *Server) awaitAnswer(r *http.Request, op *node.Op) node.Answer {
	var check <-chan time.Time
	c, ok := connOf(r)
	if ok {
		if c.disconnectTimer == nil {
			c.disconnectTimer = time.NewTimer(disconnectCheckInterval)
		}
		c.disconnectTimer.Reset(disconnectCheckInterval)
		defer c.disconnectTimer.Stop()
		check = c.disconnectTimer.C
	}
	for {
		reason := "end of the connection was read"
		select {
		case answer := <-op.Answered():
			return answer
		case <-r.Context().Done():
		case <-check:
			if !c.disconnectedUnnoticed() {
				c.disconnectTimer.Reset(disconnectCheckInterval)
				continue
			}
			reason = "unread bytes ahead of the end"
		}
		s.actor.Abandon(op)
		s.left.Log(s.log.Info(), reason, "client left", func(line *zerolog.Event) {
			line.Str("id", shortened(op.Header.Get(idHeader))).Str("client", r.RemoteAddr)
		})
		return <-op.Answered()
	}
}

// releaseID lets the id of an op come again. While a push may still run it does not: the same id, as from a client that has left
// and comes again, would run beside that push. Nor does it right after an answer, unless the op may run any number of times.
func (s *Server) releaseID(op *node.Op, answer node.Answer) {
	id := op.Header.Get(idHeader)
	answered := answer.Verdict == node.Acked && op.Method != http.MethodGet
	if !answer.MayRunYet && !answered {
		s.opIDs.release(id)
		return
	}
	s.opIDs.releaseAt(id, time.Now().Add(s.clock.Until(op.Deadline)), !answer.MayRunYet)
}

// writeAnswer writes the final answer of an op and releases its body.
func (s *Server) writeAnswer(w http.ResponseWriter, answer node.Answer) {
	defer answer.Body.Release()
	if answer.OverLimit {
		w.Header().Set("Connection", "close")
	}
	switch answer.Verdict {
	case node.Acked:
		header := w.Header()
		for name, values := range answer.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(answer.Body.Bytes())))
		w.WriteHeader(http.StatusOK)
		w.Write(answer.Body.Bytes())
	case node.Nacked:
		if answer.RetryAfter > 0 {
			seconds := float64(answer.RetryAfter) / float64(policy.Second)
			w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
		}
		w.WriteHeader(statusNacked)
	case node.DeadLettered:
		w.WriteHeader(statusDeadLettered)
	case node.ClientLeft:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}
