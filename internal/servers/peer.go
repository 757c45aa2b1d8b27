package servers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

const (
	remainingHeader  = "X-Remaining-Ms"
	turnedAwayHeader = "X-Turned-Away"
	loadHeader       = "X-Pressure"
)

// hopByHop are the headers that are for one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

func dropHopByHop(header http.Header) {
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// peer is the actor of one server: it owns the transport and so the connections.
type peer struct {
	log       zerolog.Logger
	addr      string
	started   policy.Micros
	mail      chan *node.Push
	transport *http.Transport
	part      *sockets.Budget
	kept      *keep
	end       func(*node.Push, node.Result)
}

func newPeer(addr string, started policy.Micros, options Options, part *sockets.Budget, kept *keep,
	log zerolog.Logger, end func(*node.Push, node.Result)) *peer {
	dialer := &sockets.Dialer{Dialer: net.Dialer{Timeout: options.DialTimeout}, Budget: part}
	p := &peer{log: log, addr: addr, started: started, mail: make(chan *node.Push, options.MaxInFlight), part: part, kept: kept, end: end}
	p.transport = &http.Transport{
		Proxy: nil, // none from the environment either
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			begun := time.Now()
			opened, err := dialer.Dial(ctx, network, addr)
			p.log.Debug().Err(err).Dur("took_ms", time.Since(begun)).Msg("dial")
			if err != nil {
				return nil, err
			}
			return kept.add(&conn{Conn: opened, of: p, in: kept, stall: stallDials * options.DialTimeout}), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: part.Size(),
		// Danger: a push written as the server closes its idle connection ends as a reset.
		IdleConnTimeout:        options.ServerIdleTimeout * 9 / 10,
		MaxResponseHeaderBytes: mostHead,
	}
	return p
}

// run carries each push in a goroutine of its own, until the mailbox is closed and the last push has ended.
func (p *peer) run() {
	var out sync.WaitGroup
	for push := range p.mail {
		out.Go(func() {
			result := p.carry(push)
			p.end(push, result)
		})
	}
	p.kept.closeIdle(p) // at once: no new push comes
	out.Wait()
	p.transport.CloseIdleConnections()
}

// carry sends a push and reads its answer whole.
//
// Danger: a kept connection may have ended, or have brought what belongs to no push, since it was last used. Nothing
// of the push was written on it then, so the push still waits for a connection and takes another; each one passed over
// is closed, and a new one is not passed over.
func (p *peer) carry(push *node.Push) node.Result {
	defer push.Body.Close()
	for {
		if result, over := p.attempt(push); !over {
			return result
		}
	}
}

// attempt sends a push on one connection, unless it passes it over.
//
// Danger: once an answer has come the connection may be another push's, which has written nothing on it yet. What it
// has written is then no word on this push: looked at so late, it sent a push again that had run.
func (p *peer) attempt(push *node.Push) (result node.Result, passedOver bool) {
	way := &passage{push: push, body: push.Body.NewReader()}
	response, err := p.transport.RoundTrip(p.request(push, way))
	switch {
	case err != nil && push.Withdrawn():
		return node.Result{Outcome: policy.Moot}, false
	case err != nil:
		return node.Result{Outcome: way.failure(push.Context)}, way.passedOver() && push.Context.Err() == nil
	}
	return p.answer(push, way, response), false
}

// answer reads what a push has brought.
func (p *peer) answer(push *node.Push, way *passage, response *http.Response) node.Result {
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		return way.acked(push.Context, response)
	case (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) &&
		response.Header.Get(turnedAwayHeader) == "1":
		discard(response)
		return node.Result{Outcome: policy.Full}
	}
	discard(response)
	return node.Result{Outcome: policy.Errored}
}

// request is what goes on: the bytes that came, and how long the node will wait.
//
// Danger: http.Transport sends a request again by itself when a kept connection breaks, if the request has no
// body or can make it anew; that would be a push that the module never decided. So there always is a body, also
// for GET, and no GetBody.
func (p *peer) request(push *node.Push, way *passage) *http.Request {
	header := push.Header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	dropHopByHop(header)
	tell := func() { header.Set(remainingHeader, strconv.FormatInt(int64(push.TimeLeft()/policy.Millisecond), 10)) }
	tell()
	if _, told := header["User-Agent"]; !told {
		header["User-Agent"] = []string{""} // none, rather than the library's
	}
	request := &http.Request{
		Method:        push.Method,
		URL:           &url.URL{Scheme: "http", Host: p.addr, Opaque: push.Target},
		Host:          push.Host,
		Header:        header,
		Body:          way.body,
		ContentLength: int64(way.body.Remaining()),
	}
	if request.ContentLength == 0 && (push.Method == http.MethodGet || push.Method == http.MethodHead) {
		// No length and no chunks: without this the library waits to see whether a body comes.
		request.TransferEncoding = []string{"identity"}
	}
	return request.WithContext(httptrace.WithClientTrace(push.Context, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// Danger: a connection may have come up late, and a server that is told of more time than its client has goes on
			// with what nobody waits for. The library reads the header after this.
			tell()
			way.begin(info)
		},
		PutIdleConn: func(error) { p.part.NotifyIdle() },
	}))
}

// passage tells how far a push got on its connection.
type passage struct {
	push *node.Push
	body *node.Reader
	kept atomic.Bool // the connection has carried others before
	conn atomic.Pointer[conn]
}

func (w *passage) begin(info httptrace.GotConnInfo) {
	if own, ok := info.Conn.(*conn); ok {
		own.begin(w.push)
		w.kept.Store(info.Reused)
		w.conn.Store(own)
	}
}

// passedOver says that nothing of the push was written on a kept connection, or on one that was shed just then.
func (w *passage) passedOver() bool {
	c := w.conn.Load()
	return c != nil && c.wrote.Load() == nothing && (w.kept.Load() || c.dropped())
}

// failure is the outcome of a push without an answer that can be passed on. It has surely not run only if its last
// byte was surely not written: no connection, nothing written on it, a last write that was cut short, or body left to
// read. Danger: a server may answer before it has read the whole, and break then; what was answered may have run. A server
// that answers with what can't be read has had the push and is there: that is an error of its own, and not the break of a
// connection.
func (w *passage) failure(ctx context.Context) policy.Outcome {
	c := w.conn.Load()
	switch {
	case ctx.Err() != nil:
		return policy.Cancelled
	case c == nil || !c.replied() && (c.wrote.Load() != whole || w.body.Remaining() > 0):
		return policy.ConnectFailed
	case c.spoilt():
		return policy.Errored
	}
	return policy.Reset
}

// acked reads a 200 answer. One that ends early, or does not say where it ends, can't be told from a broken one.
func (w *passage) acked(ctx context.Context, response *http.Response) node.Result {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength > node.MaxBodyBytes { // it may say 3 GB, and keep coming
		return node.Result{Outcome: policy.Errored}
	}
	body, err := node.ReadPayload(response.Body, response.ContentLength)
	if err == nil && (response.ContentLength >= 0 || chunked) {
		dropHopByHop(response.Header)
		response.Header.Del(loadHeader)
		return node.Result{Outcome: policy.Acked, Header: response.Header, Body: body}
	}
	body.Release()
	if errors.Is(err, node.ErrBodyTooLong) {
		return node.Result{Outcome: policy.Errored}
	}
	return node.Result{Outcome: w.failure(ctx)}
}

// discardWait is how long the rest of an answer that does not go on is worth to keep its connection.
const discardWait = 20 * time.Millisecond

// discard reads the rest of an answer that does not go on, so that its connection can be kept. Danger: the rest may
// never come, and what the status has proved would be told as a time-out.
func discard(response *http.Response) {
	enough := time.AfterFunc(discardWait, func() { response.Body.Close() })
	defer enough.Stop()
	io.CopyN(io.Discard, response.Body, node.MaxBodyBytes)
}
