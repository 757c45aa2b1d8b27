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
	Message    [peerMessageLength]byte
}

// Decider is what a protocol calls, whichever it is: the simulator's wire, an external processor
// called per op, or HL7 over MLLP. It turns its frames into Inputs and carries out the Effects.
// The slice returned is valid until the next call.
type Decider interface {
	Step(now Micros, in *Input) []Effect
}

// What follows is the module's own: an op in hand and its words.

// state of an op in hand.
type opState uint8

const (
	opArriving  opState = iota
	opPushed            // a push is out
	opStreaming         // the answer has begun and is the client's
	opAnswered          // answered; pushes may still be out
)

// signal is an input as an op's state sees it.
type opEvent uint8

const (
	eventArrived opEvent = iota
	eventAnswered
	eventPushFailed
	eventStreamBegan
	eventDeadline
	eventAbandoned
)

// blame is what the end of a push is evidence of.
type evidence uint8

const (
	overloadEvidence    evidence = 1 << iota // more is sent than is borne: a mark
	serverFaultEvidence                      // this one fails: it leaves the rotation for a while
)

// mostPushes is the places for an op's pushes.
const maxPushesPerOp = 8

// op is an op in hand. It keeps its place in the slab until its last push has ended.
type pendingOp struct {
	id                                 OpID
	category                           CategoryID
	benefitLevel                       int
	state                              opState
	pushCount, allowedPushes, inFlight uint8  // pushes made, allowed by benefit, still out
	slot                               int32  // in the slab
	usefulUntil, answerDeadline        Micros // an answer past goal is worth nothing; one is given by last
	idleStep                           int    // step of how long its server had rested
	mayHaveRunSince                    Micros // send time of the first push that may have run; 0: none
	mayHaveRunZone                     ZoneID // of the server it may have run at
	mayHaveRunCell                     CellID
	overduePushes                      uint8                 // bit of each push that was slow while out
	pushServers                        [maxPushesPerOp]int32 // server of each push still out, or -1
	pushSentAt                         [maxPushesPerOp]Micros
}

// tokens are what is left of a part that fills with time.
type tokenBucket struct {
	available float64
	updatedAt Micros
}

// throttle is the overload control towards one server, or all of a quiet node (clause 8.2).
type throttle struct {
	name                         string // server, in the log
	markRate, acceptedRate       decayingRate
	targetMarkRate               float64 // marks a second that control steers to
	slowShare                    float64 // share of recent answers past target latency
	active                       bool
	cutoffLevel                  int
	leakInterval                 Micros // LeakInterval
	bucketFill, leakAmount       float64
	maxLeakAmount, minLeakAmount float64 // bounds of LeakAmount
	lastLeakAt, lastActivityAt   Micros  // last leak; last mark or rejection
	activeSince, lastMarkAt      Micros  // start; last mark
	offered, rejected            int
}

// server is what the node knows of one server.
type knownServer struct {
	ListEntry
	throttle
	inFlight            int          // pushes out
	maxInFlightAtMark   float64      // the most that it held at a mark, while under control
	currentWeight       float64      // of the weighted rotation
	relativeLatency     float64      // recent answer times, as a multiple of their categories'
	errorShare          float64      // share of recent pushes that ended in an error
	consecutiveFailures int          // in a row
	lastAnswerAt        Micros       // last answer of any kind, of which this node knows
	lastPushEndAt       Micros       // last end of a push
	downUntil           Micros       // no push before this
	concurrencyLimit    float64      // pushes it may hold
	congestion          float64      // recent answer times, as a multiple of the usual ones
	wasCongested        bool         // it was crowded once
	lastAtLimitAt       Micros       // last time that it had no room
	skippedInRound      uint64       // the round of pick that passed it over
	peerPushRate        decayingRate // pushes of others there, by hearsay, less those that ended
	ringIndex           int          // in the ring
	coldTokens          tokenBucket  // while cold: this node's part of what it can do
}

// registry is the subscription to the list.
type subscription struct {
	RegistryRule
	nextCallAt, retryDelay Micros // next call, 0 while subscribed; last wait after a failure
}

// Node decides for one balancer.
type Node struct {
	now                    Micros
	rng                    *rand.Rand
	topology               Topology
	limits                 PushLimits
	coldStart              ColdStartRule
	subscription           subscription
	categories             []Category
	latencies              []latencyStats // by category
	benefitLevels          []float64      // distinct benefits, ascending
	offeredRate            decayingRate   // ops that came
	ackRate                decayingRate
	servers                []knownServer
	serverIndex            map[ServerID]int32
	ops                    []pendingOp
	freeOpSlots            []int32
	opSlots                map[OpID]int32
	errorShare             float64    // share of recent answers of all servers that are errors
	retryBudget            float64    // further pushes saved up
	warmServerAckRate      float64    // acks a second of a warm server, over a longer time
	sustainableRate        float64    // pushes a second that a warm server of this node surely bears
	selectionRound         uint64     // of pick
	allServers             throttle   // of all servers together, while each is too quiet to be seen
	upServers, inFlight    float64    // servers in the rotation that are not down; pushes out
	upCapacity             float64    // of those up, counted by their warmth
	maxInFlightAtMark      float64    // the most that were out at a mark, while all are under control
	ring                   []int32    // ready servers by id
	subset, zoneSubset     []int32    // of them, this node's; those of its zone that come first
	timeoutShareByIdleStep [8]float64 // share of recent pushes that timed out, by their server's rest in doubling steps
	peerMessageBudget      float64    // that it may say
	nextTickAt             Micros     // next beat of the steering
	ackRateSamples         float64    // that carry remembers
	effects                []Effect
}

// rate is a number a second that forgets at the pace of one period.
type decayingRate struct {
	perSecond     float64
	updatedAt     Micros
	countingSince Micros // when it began to count
}

// answers is the recent answer time of a category: mean and deviation, and over a long time without control.
type latencyStats struct{ mean, deviation, baseline float64 }
