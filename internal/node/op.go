package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"canvasrouter/policy"
)

// ErrTooLong says that a body is longer than MostBody.
var ErrBodyTooLong = errors.New("body is too long")

// Clock is the one clock of a process: monotonic, counted from Unix time at its start, in the module's unit.
type Clock struct {
	start time.Time
	base  policy.Micros
	still bool // simulated time: base moves by Set alone
	slow  int  // how much longer a span of this clock takes in real time
}

func NewClock() *Clock { return NewSlowedClock(1) }

// NewSlowedClock makes a clock on which a second takes so many. Many nodes in one process may need more than the machine's
// cores in real time; all that waits by the clock (Until, Real) then waits longer by the same factor.
func NewSlowedClock(slow int) *Clock {
	now := time.Now()
	return &Clock{start: now, base: policy.Micros(now.UnixMicro()), slow: max(1, slow)}
}

// NewSimulatedClock makes a clock that stands at a moment until Set.
func NewSimulatedClock(at policy.Micros) *Clock { return &Clock{base: at, still: true, slow: 1} }

// Set moves a simulated clock. The caller's goroutine is the only one that may read it.
func (c *Clock) Set(at policy.Micros) { c.base = at }

func (c *Clock) Now() policy.Micros {
	if c.still {
		return c.base
	}
	return c.base + policy.Micros(time.Since(c.start).Microseconds()/int64(c.slow))
}

// Until is the real time left to a moment of the module's.
func (c *Clock) Until(at policy.Micros) time.Duration {
	return c.RealDuration(time.Duration(at-c.Now()) * time.Microsecond)
}

// Real is how long a span of this clock takes in real time.
func (c *Clock) RealDuration(span time.Duration) time.Duration { return span * time.Duration(c.slow) }

// Request is what goes on to a server, as it came.
type Request struct {
	Method, Target, Host string // Target is the path and query, byte for byte
	Header               http.Header
	Body                 *Payload
}

// Verdict is how an op ended.
type Verdict uint8

const (
	Acked        Verdict = iota
	Nacked               // trying again does no harm
	DeadLettered         // no promise
	ClientLeft           // the client went first: nobody to answer
)

func (v Verdict) String() string { return [...]string{"acked", "nacked", "dead-lettered", "left"}[v] }

// Answer is an op's one final answer. Who takes it releases its body.
type Answer struct {
	Verdict    Verdict
	RetryAfter policy.Micros
	OverLimit  bool // nacked for want of sockets: the client's is wanted back
	Header     http.Header
	Body       *Payload
}

// Client is an op's client. Left asks whether it has left, though nobody may have noticed yet; it does not wait.
type Client interface{ Disconnected() bool }

// Op is one op in hand. Its fields are set by the client's side before Arrive; what is unexported belongs to
// the module's actor.
type Op struct {
	Request
	Category    policy.CategoryID
	Tenant      policy.TenantID
	Deadline    policy.Micros
	ClientRetry bool
	// Generation is the number of the one whose settings the op was read by.
	GenerationNumber int
	Client           Client // nil: it can't be asked

	answer  chan Answer  // holds one: the actor never waits for a client
	made    time.Time    // when its client was there
	there   atomic.Int64 // nanoseconds past made when the client was there still, as far as anybody has asked
	gone    atomic.Bool  // the client has left; known before the actor reads of it
	of      *Generation
	id      policy.OpID
	settled bool
	pushes  []*Push
	out     int
	ran     bool   // it may have, by the pushes that have ended
	end     *timer // by then it is answered, by whoever
}

// NewOp makes an op that can be waited for. Its client was there a moment ago.
func NewOp() *Op { return &Op{answer: make(chan Answer, 1), made: time.Now()} }

// Answer gives the op its answer. Only the module's actor calls it, once.
func (o *Op) Answer(a Answer) { o.answer <- a }

// Answered gives the final answer, once.
func (o *Op) Answered() <-chan Answer { return o.answer }

// Push is one push of an op. The server's side carries it, closes its body and ends it with Node.Ended, once.
type Push struct {
	*Request
	Body    *Reader         // holds the op's body for as long as this push reads it
	Context context.Context // done when the push is given up
	Server  policy.ServerID
	Timeout policy.Micros // how long the node will wait

	op      *Op
	no      policy.PushNumber
	fate    atomic.Uint32 // whether its first byte may be written
	made    time.Time     // zero: For counts from whenever it is asked
	cancel  context.CancelFunc
	sent    policy.Micros
	ended   bool // told to the module
	timeout *timer
}

// Left is how long the node will wait yet. Any goroutine may ask.
func (p *Push) TimeLeft() policy.Micros {
	if p.made.IsZero() {
		return p.Timeout
	}
	return max(0, p.Timeout-policy.Micros(time.Since(p.made).Microseconds()))
}

// What becomes of a push's first byte. From unsent there is one way on, so that who writes and who keeps back agree.
const (
	unsent uint32 = iota
	begun
	keptBack
)

// askAfter is how long a client counts as being there without being asked for again. Each asking is a system call.
//
// Danger: an attempt that begins more than 0.1 s after its client's close runs for nobody, and that time holds all that comes
// between: the close's way here, a timer that is late, a push that was made a moment ago for an op that has waited for long.
const askAfter = 10 * time.Millisecond

// stays says whether the op's client is there still, as known less than askAfter ago. Any goroutine may ask.
func (o *Op) stays() bool {
	if o.Client != nil && !o.gone.Load() {
		if now := int64(time.Since(o.made)); now-o.there.Load() >= int64(askAfter) {
			if o.Client.Disconnected() {
				o.gone.Store(true)
			} else {
				o.there.Store(now)
			}
		}
	}
	return !o.gone.Load()
}

// Begin is asked by who carries the push, right before its first byte is written. Once it has said yes the push may have
// run; once it has said no, nothing of it is ever written.
//
// Danger: a push waits for its connection, its socket or its turn, and its client leaves meanwhile; written then, it
// would run for nobody. The actor may not have read of the leaving yet, nor the client's side have seen it.
func (p *Push) TryBegin() bool {
	if p.op != nil && p.fate.Load() == unsent && !p.op.stays() {
		p.fate.CompareAndSwap(unsent, keptBack)
	}
	return p.fate.CompareAndSwap(unsent, begun) || p.fate.Load() == begun
}

// KeptBack says that nothing of the push was written, nor ever will be, since nobody waits for it.
func (p *Push) Withdrawn() bool { return p.fate.Load() == keptBack }

// keepBack calls a push back of which nothing has been written, also where cancelling is not allowed: it was not sent.
// It says whether it could.
func (p *Push) keepBack() bool {
	if !p.fate.CompareAndSwap(unsent, keptBack) && !p.Withdrawn() {
		return false
	}
	p.cancel()
	return true
}

// Result is how the server's side saw a push end. Body and Header only come with Acked.
type Result struct {
	Outcome policy.Outcome
	Header  http.Header
	Body    *Payload
}

// List is what the registry told, with each entry's address beside it.
type List struct {
	Form    policy.ListForm
	Entries []policy.ListEntry
	Addrs   []string
}

// Servers carry pushes. The calls come from the module's actor and must not wait.
type Servers interface {
	UpdateList(*List)
	Push(*Push)
	CloseIdle(policy.ServerID) // connections that rest
}

// Registry is asked for changes. The call comes from the module's actor and must not wait.
type Registry interface{ Watch() }
