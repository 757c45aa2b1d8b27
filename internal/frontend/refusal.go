package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// refusalAnswer is the answer to a request that is given up before it is complete. It is a nack: nothing of it was pushed.
var refusalAnswer = fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	statusNacked, http.StatusText(statusNacked))

// refusalWriteTimeout limits the write of refusalAnswer. The kernel takes so few bytes at once, unless the client has left
// earlier answers unread.
const refusalWriteTimeout = 5 * time.Millisecond

// nackUnfinished answers a request of which part was received and that is given up. The caller holds mu, and has changed the
// state to connClosed.
func (c *conn) nackUnfinished() {
	if c.requestStarted.IsZero() {
		return
	}
	c.tcp.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	io.WriteString(c.tcp, refusalAnswer)
}

const (
	// lingerTimeout is how long a connection is read after a refusal, and lingerBytes how much. A close over bytes that were not
	// read would reset the connection, and the client might lose the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// headRefusal is why a request is refused while its head is being read.
type headRefusal struct {
	status int
	reason string
}

var (
	headTooLarge = headRefusal{http.StatusRequestHeaderFieldsTooLarge, "head of the request is too large"}
	noHeadMemory = headRefusal{statusNacked, "no memory for a head of this size"}
)

// refuseHead answers a request whose head is refused and closes the connection, unless it was closed before.
func (c *conn) refuseHead() {
	if !c.markRefused() {
		return
	}
	c.recordClosed(c.refusal.reason, usePartial)
	c.tcp.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	fmt.Fprintf(c.tcp, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		c.refusal.status, http.StatusText(c.refusal.status), len(c.refusal.reason), c.refusal.reason)
	c.closeAfterRefusal()
}

// closeAfterRefusal closes a refused connection when its client has read the answer and left, or after lingerTimeout or
// lingerBytes. Its socket may be reclaimed before.
func (c *conn) closeAfterRefusal() {
	c.tcp.CloseWrite()
	c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.tcp, lingerBytes)
	c.Close()
}

// refuseBadRequest answers a request that is not served, and closes its connection: it may be followed by more of the same, or
// by a request hidden in its body.
func (s *Server) refuseBadRequest(w http.ResponseWriter, r *http.Request, refused *requestError) {
	if c, ok := connOf(r); ok && !c.markRefused() {
		panic(http.ErrAbortHandler) // this process has closed the connection
	}
	s.refused.Log(s.log.Warn(), refused.reason, "bad request", func(line *zerolog.Event) {
		line.Int("status", refused.status).Str("client", r.RemoteAddr).Str("id", shortened(r.Header.Get(idHeader))).
			Str("target", shortened(r.RequestURI)).Int64("length", r.ContentLength)
	})
	answerAndClose(w, r, refused.status, refused.reason)
}

// maxLoggedBytes limits what a log line tells of a text that a client has sent.
const maxLoggedBytes = 64

// shortened returns the beginning of a text.
func shortened(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// answerReady answers a readiness check.
func (s *Server) answerReady(w http.ResponseWriter, r *http.Request) {
	c, ok := connOf(r)
	if r.ContentLength == 0 {
		if ok && !c.claimRequest() {
			panic(http.ErrAbortHandler) // this process has closed the connection
		}
		s.closeIfNeeded(w, r)
		w.WriteHeader(http.StatusOK)
		return
	}
	if ok && !c.markRefused() {
		panic(http.ErrAbortHandler)
	}
	answerAndClose(w, r, http.StatusOK, "") // its body may never come
}

// answerAndClose answers a request of which a body may still arrive, and closes its connection. The library would keep the
// request and its buffers for half a second after the connection has been closed to free its socket, so it is left nothing to
// read.
func answerAndClose(w http.ResponseWriter, r *http.Request, status int, text string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	if c, ok := connOf(r); ok && r.ContentLength != 0 {
		http.NewResponseController(w).Flush()
		c.closeAfterRefusal()
		panic(http.ErrAbortHandler) // the answer is complete
	}
}
