package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"canvasrouter/policy"
)

// ErrBodyTooLong means that a body is longer than MaxBodyBytes.
var ErrBodyTooLong = errors.New("body is too long")

// Clock is the clock of a process, in the module's unit. It is monotonic and starts at the Unix time of its creation.
type Clock struct {
	start     time.Time
	base      policy.Micros
	simulated bool // only Set changes the time, which is base
	slowdown  int  // real duration of one unit of this clock's time
}

// NewClock returns a clock that runs in real time.
func NewClock() *Clock { return NewSlowedClock(1) }

// NewSlowedClock returns a clock on which one second takes slowdown seconds of real time. Many nodes in one process may need
// more CPU than the machine has in real time; every wait that uses the clock (Until, RealDuration) is longer by the same
// factor.
func NewSlowedClock(slowdown int) *Clock {
	now := time.Now()
	return &Clock{start: now, base: policy.Micros(now.UnixMicro()), slowdown: max(1, slowdown)}
}

// NewSimulatedClock returns a clock whose time only changes by Set.
func NewSimulatedClock(now policy.Micros) *Clock {
	return &Clock{base: now, simulated: true, slowdown: 1}
}

// Set sets the time of a simulated clock. Only the goroutine that calls Set may read the clock.
func (c *Clock) Set(now policy.Micros) { c.base = now }

// Now returns the current time of the clock.
func (c *Clock) Now() policy.Micros {
	if c.simulated {
		return c.base
	}
	return c.base + policy.Micros(time.Since(c.start).Microseconds()/int64(c.slowdown))
}

// Until returns the real duration until a time of this clock; it is negative for a time in the past.
func (c *Clock) Until(at policy.Micros) time.Duration {
	return c.RealDuration(time.Duration(at-c.Now()) * time.Microsecond)
}

// RealDuration returns how long a duration of this clock takes in real time.
func (c *Clock) RealDuration(duration time.Duration) time.Duration {
	return duration * time.Duration(c.slowdown)
}

// Request is a client's request as it was received, to be forwarded to servers.
type Request struct {
	Method, Target, Host string // Target is the path and query, unchanged byte for byte
	Header               http.Header
	Body                 *Payload
}

// Verdict is the kind of an op's final answer.
type Verdict uint8

// The verdicts.
const (
	Acked        Verdict = iota
	Nacked               // not run; a retry is safe
	DeadLettered         // unknown whether it has run
	ClientLeft           // the client left before an answer
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"acked", "nacked", "dead-lettered", "left"}[v] }

// Answer is the one final answer to an op. Its receiver releases the body.
type Answer struct {
	Verdict    Verdict
	RetryAfter policy.Micros // how long the client should wait before a retry; 0: the client decides
	OverLimit  bool          // nacked because of the limit on pending ops; the client's connection is to be closed
	MayRunYet  bool          // a push may still run, at the latest until the op's deadline, which servers are told
	Header     http.Header
	Body       *Payload
}

// Client is the client of an op. Disconnected asks the kernel whether the client has left, which the HTTP library may not
// have noticed yet. It does not block.
type Client interface{ Disconnected() bool }

// Op is one op from submission to its final answer. The client side sets the exported fields before Submit; the actor owns
// the unexported ones, except for the atomic fields.
type Op struct {
	Request
	Category    policy.CategoryID
	Tenant      policy.TenantID
	Deadline    policy.Micros // the client waits for an answer until then
	ClientRetry bool          // the client has sent the op before
	// GenerationNumber is the number of the generation whose settings the request was read with.
	GenerationNumber int
	Client           Client // nil: always counts as connected

	answer      chan Answer  // buffered, so that the actor never waits for a client
	createdAt   time.Time    // the client was connected then
	lastSeen    atomic.Int64 // nanoseconds after createdAt: latest check that found the client connected
	clientLeft  atomic.Bool  // set before the actor handles the message about it
	generation  *Generation
	id          policy.OpID
	settled     bool
	pushes      []*Push
	inFlight    int    // pushes that have not ended
	mayHaveRun  bool   // according to the pushes that have ended
	answerTimer *timer // settles the op if the module has not
}

// NewOp returns an op whose answer can be waited for. Its client counts as connected at this moment.
func NewOp() *Op { return &Op{answer: make(chan Answer, 1), createdAt: time.Now()} }

// Answer delivers the final answer. Only the actor calls it, once.
func (o *Op) Answer(a Answer) { o.answer <- a }

// Answered returns the channel that delivers the final answer, once.
func (o *Op) Answered() <-chan Answer { return o.answer }

// Push is one attempt to run an op on a server. The server side sends it, closes its body and reports its end with
// Node.PushEnded, once.
type Push struct {
	*Request
	Body    *Reader         // keeps the op's body in memory until closed
	Context context.Context // done when the push is cancelled, withdrawn or has ended
	Server  policy.ServerID
	Timeout policy.Micros // how long the node waits, from the creation of the push

	op           *Op
	clock        *Clock
	target       target // the server as it was listed when the push was decided
	number       policy.PushNumber
	state        atomic.Uint32 // pushUnsent, pushBegun or pushWithdrawn
	createdAt    time.Time     // zero: TimeLeft is always the whole Timeout
	cancel       context.CancelFunc
	sentAt       policy.Micros  // step time at which the push was created
	beginBefore  policy.Micros  // the push must not begin from then on
	ended        bool           // reported to the module
	outcome      policy.Outcome // set once ended
	timeoutTimer *timer
	beginTimer   *timer // withdraws the push at beginBefore; nil if the push times out before
}

// TimeLeft returns how much longer the node waits for this push. It is safe for concurrent use.
func (p *Push) TimeLeft() policy.Micros {
	if p.createdAt.IsZero() {
		return p.Timeout
	}
	return max(0, p.Timeout-policy.Micros(time.Since(p.createdAt).Microseconds()))
}

// States of a push. Once it has left pushUnsent it never changes again, so that the goroutine that writes the push and the
// one that withdraws it cannot both succeed.
const (
	pushUnsent uint32 = iota
	pushBegun
	pushWithdrawn
)

// clientCheckInterval is how long a client counts as connected after a check; each check is a system call.
//
// A push must not begin more than 0.1 s after its client has closed the connection. That time has to cover the delay until
// the close is received, a late timer, and a push that was created just before for an op that has waited long.
const clientCheckInterval = 10 * time.Millisecond

// clientConnected reports whether the op's client is still connected, as of at most clientCheckInterval ago. It is safe for
// concurrent use.
func (o *Op) clientConnected() bool {
	if o.Client != nil && !o.clientLeft.Load() {
		if elapsed := int64(time.Since(o.createdAt)); elapsed-o.lastSeen.Load() >= int64(clientCheckInterval) {
			if o.Client.Disconnected() {
				o.clientLeft.Store(true)
			} else {
				o.lastSeen.Store(elapsed)
			}
		}
	}
	return !o.clientLeft.Load()
}

// TryBegin must be called right before the first byte of the push is written. If it returns true the push may have run from
// then on; if it returns false nothing of the push may ever be written.
//
// What allowed the push when it was decided may have ended while it waited for a socket, a connection or its turn. The actor
// withdraws it then, but TryBegin looks again, because the actor may not have noticed yet.
func (p *Push) TryBegin() bool {
	if p.op != nil && p.state.Load() == pushUnsent && !p.mayBegin() {
		p.state.CompareAndSwap(pushUnsent, pushWithdrawn)
	}
	return p.state.CompareAndSwap(pushUnsent, pushBegun) || p.state.Load() == pushBegun
}

// mayBegin reports whether the push is still in time, and its client waits for it.
func (p *Push) mayBegin() bool { return p.clock.Now() < p.beginBefore && p.op.clientConnected() }

// WriteBefore returns the time before which the whole push must have reached its server, or zero if that is only its time-out.
func (p *Push) WriteBefore() time.Time {
	if p.op == nil || p.beginBefore >= p.sentAt+p.Timeout {
		return time.Time{}
	}
	return time.Now().Add(p.clock.Until(p.beginBefore))
}

// Withdrawn reports whether the push was withdrawn, so that nothing of the push was written or ever will be.
func (p *Push) Withdrawn() bool { return p.state.Load() == pushWithdrawn }

// withdraw prevents a push of which nothing has been written from being sent, and reports whether it succeeded. It is
// allowed where cancelling is not, since the push was never sent.
func (p *Push) withdraw() bool {
	if !p.state.CompareAndSwap(pushUnsent, pushWithdrawn) && !p.Withdrawn() {
		return false
	}
	p.cancel()
	return true
}

// Result is the end of a push as the server side saw it. Header and Body are only set if the outcome is Acked.
type Result struct {
	Outcome policy.Outcome
	Header  http.Header
	Body    *Payload
}

// List is a server list or a set of changes from the registry. Addrs[i] is the address of Entries[i].
type List struct {
	Form    policy.ListForm
	Entries []policy.ListEntry
	Addrs   []string
}

// Servers sends pushes to servers. The actor calls its methods, which must not block.
type Servers interface {
	// UpdateList applies a server list or changes to it.
	UpdateList(*List)
	// Push sends a push and later reports its end.
	Push(*Push)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(policy.ServerID)
}

// Registry starts a watch for changes of the server list. The actor calls Watch, which must not block.
type Registry interface{ Watch() }
