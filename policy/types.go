package policy

import "math/rand"

// Micros is a time or a span in whole microseconds.
type Micros int64

const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Each kind of id is a type of its own; none of them carries information.
type (
	OpID          uint32
	ServerID      uint64
	CategoryID    uint8
	TenantID      uint16
	ZoneID        uint8
	MachineTypeID uint8
	CellID        uint16
	PushNumber    uint8
	TimerToken    uint32
)

// Repeat says what a second run of an op does.
type DeliverySemantics uint8

const (
	Redeliverable DeliverySemantics = iota // may run again
	Deduplicated                           // a repeat is dropped inside the group, for a while
	AtMostOnce                             // must never run twice
)

// Scope is the group of servers that drop a deduplicated op's repeats.
type DedupScope uint8

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Category is one kind of op.
type Category struct {
	Benefit       float64
	LateBenefit   float64 // share of the benefit that an answer past target latency still has
	TargetLatency Micros  // target latency
	TTL           Micros
	Delivery      DeliverySemantics
	DedupScope    DedupScope
	DedupWindow   Micros // how long the group remembers an op
}

// Place says where this node stands: the tier it sends to, of how many, and how many nodes do so.
type Topology struct {
	Tier, TierCount int
	NodeCount       int
	NodeNumber      int // of this node among them, from 0
	Zone            ZoneID
	CrossZoneCost   float64 // points of benefit that a push to another zone costs; 0: none
	PeerMessaging   bool    // nodes may tell one another what they see
	ClockTick       Micros  // the least time between two inputs' clocks
}

// PushRule holds what is allowed to pushes.
type PushLimits struct {
	MaxPushes     int // pushes an op may have
	MayDuplicate  bool
	MayCancel     bool
	DialTimeout   Micros // a connection not open within this time has failed
	MaxRetryAfter Micros // the longest that a client heeds; 0 where clients take no advice
}

// ColdRule holds the rule on servers that have just started.
type ColdStartRule struct {
	InitialShare   float64 // least share of its capacity that a server starts with
	WarmUpTime     Micros  // warm after this at the latest
	OverloadFactor float64 // it falls over when sent more than this multiple of its present capacity
	OverloadWindow Micros  // for this long
}

// RegistryRule says how the list of servers is followed.
type RegistryRule struct {
	MustSubscribe   bool   // changes come only to those who ask
	SubscribeWithin Micros // a node that has not asked for this long counts as told
}

// ServerState is what the list says of a server.
type ServerState uint8

const (
	Ready ServerState = iota
	Draining
	Gone
)

// Entry is one line of the list of servers. With xDS it is one endpoint, Cell its locality's cluster.
type ListEntry struct {
	Server      ServerID
	StartedAt   Micros // 0: long ago
	Weight      float64
	Cell        CellID
	MachineType MachineTypeID
	Zone        ZoneID
	State       ServerState
}

// ListForm says what a list holds.
type ListForm uint8

const (
	ListChanges ListForm = iota
	ListFull
	ListCached     // whole, but old: the first of a node's life, and only that
	ListFailed     // a call to the registry failed, or the subscription broke
	ListReweighted // changes of weights alone, by others' judgement: says nothing of the subscription
)

// Outcome is how a push ended.
type Outcome uint8

const (
	Acked Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

func (o Outcome) String() string {
	return [...]string{"acked", "errored", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[o]
}

// InputKind says which fields of an Input count.
type InputKind uint8

const (
	OpArrived           InputKind = iota // Op, Category, Tenant, NotAfter, Repeated
	PushEnded                            // Op, Push, Server, Outcome, Took, Settled
	OpAbandoned                          // Op
	StreamBegan                          // Op
	TimerFired                           // Token
	ProbeEnded                           // Server, Outcome, Took
	ListReceived                         // Form, List
	PeerMessageReceived                  // Said
)

// Input is one thing that a node sees.
type Input struct {
	Kind        InputKind
	Op          OpID
	Category    CategoryID
	Tenant      TenantID
	Deadline    Micros // when the client gives up this try
	ClientRetry bool   // the client says that this is not its first try
	Server      ServerID
	Push        PushNumber
	Outcome     Outcome
	Latency     Micros
	OpSettled   bool // the op is over, by this outcome or earlier
	Token       TimerToken
	Form        ListForm
	List        []ListEntry // read during the call only
	Message     []byte      // likewise
}

// EffectKind says which fields of an Effect count.
type EffectKind uint8

const (
	Push          EffectKind = iota // Op, Server, For (time-out; 0: until the client gives up)
	Nack                            // Op, For (when to come back; 0: no advice)
	DeadLetter                      // Op
	Cancel                          // Op, Push
	SetTimer                        // At, Token
	WatchRegistry                   // subscribe to the registry's changes
	Log                             // Text
	SendToPeer                      // Peer, Said
	CloseIdle                       // Server: its connections that are idle
)

// Effect is one thing that a node does.
type Effect struct {
	Kind       EffectKind
	Op         OpID
	Server     ServerID
	Push       PushNumber
	Duration   Micros
	TimerAt    Micros
	Token      TimerToken
	Text       string
	PeerNumber int // number of a node
	Message    [sayLen]byte
}

// Decider is what a protocol calls, whichever it is: the simulator's wire, an external processor
// called per op, or HL7 over MLLP. It turns its frames into Inputs and carries out the Effects.
// The slice returned is valid until the next call.
type Decider interface {
	Step(now Micros, in *Input) []Effect
}

// What follows is the module's own: an op in hand and its words.

// state of an op in hand.
type state uint8

const (
	fresh     state = iota
	out             // a push is out
	streaming       // the answer has begun and is the client's
	over            // answered; pushes may still be out
)

// signal is an input as an op's state sees it.
type signal uint8

const (
	arrives signal = iota
	answered
	failed
	began
	due
	leaves
)

// blame is what the end of a push is evidence of.
type blame uint8

const (
	onLoad   blame = 1 << iota // more is sent than is borne: a mark
	onServer                   // this one fails: it leaves the rotation for a while
)

// mostPushes is the places for an op's pushes.
const mostPushes = 8

// op is an op in hand. It keeps its place in the slab until its last push has ended.
type op struct {
	id                   OpID
	category             CategoryID
	level                int
	state                state
	pushes, allowed, out uint8  // pushes made, allowed by benefit, still out
	place                int32  // in the slab
	goal, last           Micros // an answer past goal is worth nothing; one is given by last
	rest                 int    // step of how long its server had rested
	risk                 Micros // send time of the first push that may have run; 0: none
	zone                 ZoneID // of the server it may have run at
	cell                 CellID
	late                 uint8             // bit of each push that was slow while out
	to                   [mostPushes]int32 // server of each push still out, or -1
	sent                 [mostPushes]Micros
}

// tokens are what is left of a part that fills with time.
type tokens struct {
	left float64
	at   Micros
}

// throttle is the overload control towards one server, or all of a quiet node (clause 8.2).
type throttle struct {
	of                string // server, in the log
	marks, accepted   rate
	target            float64 // marks a second that control steers to
	slow              float64 // share of recent answers past target latency
	on                bool
	cut               int
	interval          Micros // LeakInterval
	count, leak       float64
	high, low         float64 // bounds of LeakAmount
	leaked, quiet     Micros  // last leak; last mark or rejection
	since, marked     Micros  // start; last mark
	offered, rejected int
}

// server is what the node knows of one server.
type server struct {
	ListEntry
	throttle
	held     int     // pushes out
	crowd    float64 // the most that it held at a mark, while under control
	turn     float64 // of the weighted rotation
	pace     float64 // recent answer times, as a multiple of their categories'
	errors   float64 // share of recent pushes that ended in an error
	failures int     // in a row
	heard    Micros  // last answer of any kind, of which this node knows
	ended    Micros  // last end of a push
	down     Micros  // no push before this
	room     float64 // pushes it may hold
	crowding float64 // recent answer times, as a multiple of the usual ones
	tight    bool    // it was crowded once
	asked    Micros  // last time that it had no room
	tried    uint64  // the round of pick that passed it over
	told     rate    // pushes of others there, by hearsay, less those that ended
	spot     int     // in the ring
	part     tokens  // while cold: this node's part of what it can do
}

// registry is the subscription to the list.
type registry struct {
	RegistryRule
	next, wait Micros // next call, 0 while subscribed; last wait after a failure
}

// Node decides for one balancer.
type Node struct {
	now       Micros
	rng       *rand.Rand
	place     Topology
	rule      PushLimits
	cold      ColdStartRule
	registry  registry
	kinds     []Category
	took      []answers // by category
	levels    []float64 // distinct benefits, ascending
	offered   rate      // ops that came
	acks      rate
	servers   []server
	byID      map[ServerID]int32
	ops       []op
	free      []int32
	byOp      map[OpID]int32
	errors    float64    // share of recent answers of all servers that are errors
	again     float64    // further pushes saved up
	carry     float64    // acks a second of a warm server, over a longer time
	bearable  float64    // pushes a second that a warm server of this node surely bears
	round     uint64     // of pick
	all       throttle   // of all servers together, while each is too quiet to be seen
	up, out   float64    // servers in the rotation that are not down; pushes out
	warm      float64    // of those up, counted by their warmth
	crowd     float64    // the most that were out at a mark, while all are under control
	ring      []int32    // ready servers by id
	run, near []int32    // of them, this node's; those of its zone that come first
	lost      [8]float64 // share of recent pushes that timed out, by their server's rest in doubling steps
	words     float64    // that it may say
	beatAt    Micros     // next beat of the steering
	beats     float64    // that carry remembers
	effects   []Effect
}

// rate is a number a second that forgets at the pace of one period.
type rate struct {
	value float64
	at    Micros
	first Micros // when it began to count
}

// answers is the recent answer time of a category: mean and deviation, and over a long time without control.
type answers struct{ mean, dev, usual float64 }
