package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// requestError says why a request is not served, and with which status it is answered.
type requestError struct {
	status int
	reason string
}

// Error returns the reason.
func (e *requestError) Error() string { return e.reason }

// badRequest returns the error of a request that is answered with the status 400.
func badRequest(reason string) error { return &requestError{http.StatusBadRequest, reason} }

// errClientLeft is the error of a request that gets no answer: its client has left, or this process has closed the connection.
var errClientLeft = errors.New("the client has left")

// opHeader is what the head of a request tells about its op.
type opHeader struct {
	id        string
	category  policy.CategoryID
	tenant    policy.TenantID
	remaining policy.Micros // how long the client still waits
}

// readOp reads an op from a request and takes it. The error is a *requestError or errClientLeft.
func (s *Server) readOp(w http.ResponseWriter, r *http.Request) (*node.Op, error) {
	options := s.options.Load() // one set of settings for the whole request, which may change while it is read
	header, err := options.readOpHeader(r)
	if err != nil {
		return nil, err
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(bodyDeadline(r)) // the body may never come
	body, err := s.readBody(r)
	if err != nil {
		return nil, err
	}
	if err := s.reserveID(header.id); err != nil {
		body.Release()
		return nil, err
	}
	op := node.NewOp()
	op.Request = node.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	op.Category = header.category
	op.Tenant = header.tenant
	op.GenerationNumber = options.GenerationNumber
	op.ClientRetry = r.Header.Get(retryHeader) == "1"
	if op.Deadline, err = s.takeRequest(r, header.remaining); err != nil {
		s.opIDs.release(header.id)
		body.Release()
		return nil, err
	}
	control.SetReadDeadline(time.Time{}) // otherwise a timed-out read would look like a client that has left
	if drain := s.drain.Load(); drain != nil {
		op.Deadline = min(op.Deadline, drain.deadline) // an op that is unanswered at the kill is lost
	}
	if c, ok := connOf(r); ok {
		op.Client = c
	}
	return op, nil
}

// reserveID reserves the id of an op. Two ops with one id would be two runs of the same op to a server. The error is a
// *requestError.
func (s *Server) reserveID(id string) error {
	switch s.opIDs.reserve(id) {
	case idTaken:
		return &requestError{http.StatusConflict, idHeader + " is that of an op in hand"}
	case idSetFull:
		return &requestError{statusNacked, "too many ids of ops that may still run"}
	}
	return nil
}

// takeRequest takes a complete request, which must be answered from then on. It returns when its client gives up. The error is a
// *requestError or errClientLeft.
//
// The remaining time counts from the arrival of the last byte. A process that was not scheduled reads the request later, and
// would answer after the client has given up.
func (s *Server) takeRequest(r *http.Request, remaining policy.Micros) (deadline policy.Micros, err error) {
	now := s.clock.Now()
	c, ok := connOf(r)
	if !ok {
		return now + remaining, nil
	}
	state := readTCPState(c.tcp)
	if c.sentFarAhead() {
		return 0, &requestError{statusNacked, "the client has sent too far ahead"}
	}
	if state.clientClosed || !c.claimRequest() {
		// While the op waited in the backlog, for a socket or for a CPU, its client has left or this process has closed the
		// connection. The library would notice only after the op has been pushed.
		return 0, errClientLeft
	}
	if state.sinceLastByte > tcpInfoGranularity {
		now -= min(policy.Micros(state.sinceLastByte/time.Microsecond), remaining)
	}
	return now + remaining, nil
}

// readOpHeader reads and checks the head of a request. The error is a *requestError.
func (o *Options) readOpHeader(r *http.Request) (header opHeader, err error) {
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// Given both a length and chunked encoding, the library uses the chunks and drops the length. A server that does the
		// opposite would find another request in the body. Clients always send the length.
		return header, &requestError{http.StatusLengthRequired, "HTTP/1.1 and a Content-Length are needed"}
	}
	var found bool
	if header.category, found = o.category(r.RequestURI); !found {
		return header, &requestError{http.StatusNotFound, "no such category"}
	}
	if header.id, err = singleHeader(r.Header, idHeader); err != nil {
		return header, err
	}
	if header.remaining, err = o.remainingTime(r.Header); err != nil {
		return header, err
	}
	if err = checkForm(r, o.DeliverySemantics[header.category]); err != nil {
		return header, err
	}
	if header.tenant, err = o.tenant(r.Header); err != nil {
		return header, err
	}
	if r.ContentLength > node.MaxBodyBytes {
		return header, &requestError{http.StatusRequestEntityTooLarge, "body is too long"}
	}
	return header, nil
}

// readBody reads the body of a request. The error is a *requestError; a request whose body finds no memory is nacked.
func (s *Server) readBody(r *http.Request) (*node.Payload, error) {
	size := r.ContentLength
	if !s.bodyMemory.tryReserve(size) {
		return nil, &requestError{statusNacked, "no memory for a body of this size"}
	}
	if c, ok := connOf(r); ok && r.ContentLength > 0 {
		c.setPhase(phaseBody)
		defer c.setPhase(phaseHandler)
	}
	body, err := node.ReadPayload(r.Body, size)
	if err != nil {
		s.bodyMemory.release(size)
		return nil, badRequest("body is cut short")
	}
	body.OnRelease(func() { s.bodyMemory.release(size) })
	return body, nil
}

// bodyDeadline returns when the body of a request must have been read. For the first request of a connection it counts from
// the time at which the connection was accepted.
func bodyDeadline(r *http.Request) time.Time {
	now := time.Now()
	if c, ok := connOf(r); ok && !c.hadRequest {
		c.hadRequest = true
		return later(c.acceptedAt.Add(requestTimeout), now.Add(minBodyTimeout))
	}
	return now.Add(requestTimeout)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// singleHeader returns the value of a header that must occur exactly once and must not be empty.
func singleHeader(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) != 1 || values[0] == "" {
		return "", badRequest(name + " is not there once")
	}
	return values[0], nil
}

// remainingTime returns how long the client of a request still waits. It counts for at most the longest TTL, since an op holds a
// socket and a place among the pending ones.
func (o *Options) remainingTime(header http.Header) (policy.Micros, error) {
	text, err := singleHeader(header, remainingHeader)
	if err != nil {
		return 0, err
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxRemaining.Milliseconds() {
		return 0, badRequest(remainingHeader + " is not a time in whole milliseconds")
	}
	return policy.Micros(min(time.Duration(milliseconds)*time.Millisecond, o.MaxTTL) / time.Microsecond), nil
}

// checkForm refuses a request whose method, body or key does not match its category's delivery semantics. A server can't
// drop duplicates of an op without a key, and a server that ignores the body of a GET would read the body as a request of
// its own.
func checkForm(r *http.Request, semantics policy.DeliverySemantics) error {
	method := http.MethodPost
	if semantics == policy.Redeliverable {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return &requestError{http.StatusMethodNotAllowed, "this category goes by " + method}
	case method == http.MethodGet && r.ContentLength != 0:
		return badRequest("a GET has no body")
	case semantics == policy.Deduplicated:
		_, err := singleHeader(r.Header, keyHeader)
		return err
	}
	return nil
}

// category returns the category that the first path segment names.
func (o *Options) category(target string) (policy.CategoryID, bool) {
	name, found := strings.CutPrefix(target, "/")
	if end := strings.IndexAny(name, "/?"); end >= 0 {
		name = name[:end]
	}
	i := slices.Index(o.Categories, name)
	return policy.CategoryID(max(i, 0)), found && i >= 0
}

// tenant returns the tenant of a request, which the tenant header or a label gives by name or by its number in the settings.
func (o *Options) tenant(header http.Header) (policy.TenantID, error) {
	name := header.Get(tenantHeader)
	for label := range strings.SplitSeq(header.Get(labelsHeader), ",") {
		if key, value, _ := strings.Cut(strings.TrimSpace(label), "="); name == "" && key == tenantLabel {
			name = value
		}
	}
	if name == "" || len(o.Tenants) == 0 {
		return 0, nil
	}
	i := slices.Index(o.Tenants, name)
	if number, err := strconv.Atoi(name); i < 0 && err == nil {
		i = number
	}
	if i < 0 || i >= len(o.Tenants) {
		return 0, badRequest(fmt.Sprintf("no such tenant: %q", name))
	}
	return policy.TenantID(i), nil
}
