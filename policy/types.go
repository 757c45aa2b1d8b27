package policy

import "math/rand"

// Micros is a point in time or a duration, in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Each kind of identifier has a type of its own. None of them carries any information.
type (
	OpID          uint32 // identifies an op among the pending ops of a node
	ServerID      uint64 // identifies a server
	CategoryID    uint8  // is the index of a Category
	TenantID      uint16 // identifies a tenant
	ZoneID        uint8  // identifies a zone
	MachineTypeID uint8  // identifies a type of machine
	CellID        uint16 // identifies a cell
	PushNumber    uint8  // numbers the pushes of an op, from 0
	TimerToken    uint32 // tells which timer has fired
)

// DeliverySemantics tells what happens when an op runs a second time.
type DeliverySemantics uint8

const (
	Redeliverable DeliverySemantics = iota // may run again
	Deduplicated                           // a repeat is dropped within a group of servers, for a limited time
	AtMostOnce                             // must never run twice
)

// DedupScope is the group of servers that drop a deduplicated op's repeats.
type DedupScope uint8

const (
	DedupScopeAll  DedupScope = iota // all servers
	DedupScopeZone                   // the servers of a zone
	DedupScopeCell                   // the servers of a cell
)

// Category describes one kind of op.
type Category struct {
	Benefit       float64 // what an answer within the target latency is worth
	LateBenefit   float64 // share of the benefit that is left of an answer past the target latency
	TargetLatency Micros
	TTL           Micros // time to live of an op, over all its tries
	Delivery      DeliverySemantics
	DedupScope    DedupScope
	DedupWindow   Micros // how long the group remembers an op
}

// Topology gives this node's position: the tier that it sends to, the nodes that send to the same tier, its zone.
type Topology struct {
	Tier          int // from 0, the tier next to the clients
	TierCount     int
	NodeCount     int // nodes that send to the tier
	NodeNumber    int // of this node among them, from 0
	Zone          ZoneID
	CrossZoneCost float64 // points of benefit that a push to another zone costs; 0: none
	PeerMessaging bool    // nodes may send each other peer messages
	ClockTick     Micros  // shortest time between the clocks of two inputs
}

// PushLimits holds the limits on pushes.
type PushLimits struct {
	MaxPushes     int    // pushes that an op may have
	MayDuplicate  bool   // an op may have two pushes in flight at once
	MayCancel     bool   // pushes in flight may be cancelled
	DialTimeout   Micros // a connection that is not open within this time has failed
	MaxRetryAfter Micros // longest advice that clients heed; 0: clients take no advice
}

// ColdStartRule describes servers that have just started.
type ColdStartRule struct {
	InitialShare   float64 // smallest share of its capacity that a server starts with
	WarmUpTime     Micros  // the server is warm after this time at the latest
	OverloadFactor float64 // a server collapses when it gets more than this multiple of its present capacity ...
	OverloadWindow Micros  // ... for this long
}

// RegistryRule tells how the registry reports changes of the list of servers.
type RegistryRule struct {
	MustSubscribe   bool   // changes come only to nodes that subscribe
	SubscribeWithin Micros // a node that has not subscribed for this long counts as notified
}

// ServerState is the state of a server by the list.
type ServerState uint8

const (
	Ready    ServerState = iota // takes pushes
	Draining                    // takes no new pushes
	Gone                        // has left
)

// ListEntry is the entry of a server in the list. In terms of xDS it is an endpoint, and Cell is its locality's
// cluster.
type ListEntry struct {
	Server      ServerID
	StartedAt   Micros // 0: long ago
	Weight      float64
	Cell        CellID
	MachineType MachineTypeID
	Zone        ZoneID
	State       ServerState
}

// ListForm tells what a list of servers contains.
type ListForm uint8

const (
	ListChanges    ListForm = iota // the servers that have changed
	ListFull                       // all servers
	ListCached                     // all servers, but outdated: the first list that a node gets, and no other
	ListFailed                     // none: a call to the registry failed, or the subscription broke
	ListReweighted                 // changes of weights by outlier detection: tells nothing about the subscription
)

// Outcome is how a push ended.
type Outcome uint8

const (
	Acked         Outcome = iota // answered with success
	Errored                      // answered with an error
	Full                         // rejected by a server that is full, without running the op
	TimedOut                     // not answered in time
	ConnectFailed                // not sent: no connection was established
	Reset                        // the connection broke
	Cancelled                    // cancelled by this node
	Moot                         // not sent: the op was over, or out of time, before the push left
)

// String returns the name of the outcome as logs have it.
func (o Outcome) String() string {
	return [...]string{"acked", "errored", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[o]
}

// InputKind is the kind of an Input. The comment on each constant lists the fields that are set besides Kind.
type InputKind uint8

const (
	OpArrived           InputKind = iota // Op, Category, Tenant, Deadline, ClientRetry
	PushEnded                            // Op, Push, Server, Outcome, Latency, OpSettled
	OpAbandoned                          // Op
	StreamBegan                          // Op
	TimerFired                           // Token
	ProbeEnded                           // Server, Outcome, Latency
	ListReceived                         // Form, List
	PeerMessageReceived                  // Message
)

// Input is one event that a node observes.
type Input struct {
	Kind        InputKind
	Op          OpID
	Category    CategoryID
	Tenant      TenantID
	Deadline    Micros // when the client gives up this try
	ClientRetry bool   // the client tells that this is not its first try
	Server      ServerID
	Push        PushNumber
	Outcome     Outcome
	Latency     Micros // from the start of the push
	OpSettled   bool   // the op has its answer, by this outcome or earlier
	Token       TimerToken
	Form        ListForm
	List        []ListEntry // read during the call only
	Message     []byte      // read during the call only
}

// EffectKind is the kind of an Effect. The comment on each constant lists the fields that are set besides Kind.
type EffectKind uint8

const (
	Push          EffectKind = iota // Op, Server, Duration (timeout; 0: until the client gives up)
	Nack                            // Op, Duration (advice when to retry; 0: no advice)
	DeadLetter                      // Op
	Cancel                          // Op, Push
	SetTimer                        // TimerAt, Token
	WatchRegistry                   // none: subscribe to the registry's changes
	Log                             // Text
	SendToPeer                      // PeerNumber, Message
	CloseIdle                       // Server, whose idle connections are to be closed
)

// Effect is one action that a node asks its caller to carry out.
type Effect struct {
	Kind       EffectKind
	Op         OpID
	Server     ServerID
	Push       PushNumber
	Duration   Micros
	TimerAt    Micros
	Token      TimerToken
	Text       string
	PeerNumber int // NodeNumber of the receiving node
	Message    [peerMessageLength]byte
}

// Decider is the interface that protocol adapters call, whatever the protocol: the simulator's wire format, an
// external processor that is called per op, or HL7 over MLLP. An adapter turns its frames into Inputs and carries
// out the Effects. The returned slice is valid until the next call.
type Decider interface {
	Step(now Micros, in *Input) []Effect
}

// opState is the state of a pending op.
type opState uint8

const (
	opArriving  opState = iota // no push yet
	opPushed                   // a push is in flight
	opStreaming                // the answer has begun and belongs to the client
	opAnswered                 // answered; pushes may still be in flight
)

// opEvent is an event in the state machine of an op.
type opEvent uint8

const (
	eventArrived     opEvent = iota // the op has come
	eventAnswered                   // a push ended with the op's answer, or the op was settled before
	eventPushFailed                 // a push ended without an answer for the client
	eventStreamBegan                // the answer has begun
	eventDeadline                   // the op must be answered now
	eventAbandoned                  // the client has left
)

// evidence is a set of flags that tell what the end of a push is evidence of.
type evidence uint8

const (
	overloadEvidence    evidence = 1 << iota // more is sent than can be served: an overload mark
	serverFaultEvidence                      // this server fails: it leaves the rotation for a while
)

// maxPushesPerOp is the number of pushes that a pendingOp has space for.
const maxPushesPerOp = 8

// pendingOp is an op from its arrival until it is answered and its last push has ended. It keeps its slot for that
// time.
type pendingOp struct {
	id              OpID
	category        CategoryID
	benefitLevel    int // index of the category's benefit in Node.benefitLevels
	state           opState
	pushCount       uint8                  // pushes made
	allowedPushes   uint8                  // pushes that the category's benefit allows
	inFlight        uint8                  // pushes not yet ended
	slot            int32                  // index in Node.ops
	usefulUntil     Micros                 // an answer after this time has no benefit
	answerDeadline  Micros                 // the op is nacked or dead-lettered after this time
	idleStep        int                    // how long the last push's server had been idle: an index of timeoutShareByIdleStep
	mayHaveRunSince Micros                 // send time of the first push that may have run; 0: none
	mayHaveRunZone  ZoneID                 // zone of the server of that push
	mayHaveRunCell  CellID                 // cell of the server of that push
	overduePushes   uint8                  // a bit for each push that counted as slow while it was in flight
	pushServers     [maxPushesPerOp]int32  // slot of the server of each push in flight, or -1
	pushSentAt      [maxPushesPerOp]Micros // send time of each push
}

// tokenBucket is a bucket of tokens that fills with time.
type tokenBucket struct {
	available float64
	updatedAt Micros
}

// throttle is the overload control of one server, or of all servers together where the node has little traffic
// (clause 8.2).
type throttle struct {
	name           string       // of the server, in log lines
	markRate       decayingRate // overload marks
	acceptedRate   decayingRate // pushes that the server may have run
	targetMarkRate float64      // overload marks per second that control aims at
	slowShare      float64      // share of recent answers that were slow
	active         bool
	cutoffLevel    int     // lowest benefit level that may pass
	leakInterval   Micros  // LeakInterval
	bucketFill     float64 // ops in the leaky bucket
	leakAmount     float64 // LeakAmount: ops that leak from the bucket per LeakInterval
	maxLeakAmount  float64
	minLeakAmount  float64
	lastLeakAt     Micros
	lastActivityAt Micros // last overload mark or rejection
	activeSince    Micros
	lastMarkAt     Micros
	offered        int // ops since control started
	rejected       int // of these, rejected
}

// knownServer is what the node knows about one server.
type knownServer struct {
	ListEntry
	throttle
	inFlight            int          // pushes of this node not yet ended
	maxInFlightAtMark   float64      // most pushes in flight at an overload mark, while control is active
	currentWeight       float64      // in the smooth weighted round robin
	relativeLatency     float64      // recent latency, as a multiple of the categories' means
	errorShare          float64      // share of recent answers that are errors
	consecutiveFailures int          // times in a row that the server has left the rotation
	lastAnswerAt        Micros       // last answer, of any kind, that this node knows of
	lastPushEndAt       Micros       // last end of a push
	downUntil           Micros       // the server gets no push before this time
	concurrencyLimit    float64      // pushes that the server may hold
	congestion          float64      // recent latency, as a multiple of the categories' baselines
	wasCongested        bool         // the server was congested once
	lastAtLimitAt       Micros       // last time that the concurrency limit kept an op away
	skippedInRound      uint64       // last selection round that passed over the server
	peerPushRate        decayingRate // pushes of other nodes, by their messages, less those that ended
	ringIndex           int          // position in Node.ring
	coldTokens          tokenBucket  // while the server is cold: this node's share of its capacity, in pushes
}

// subscription is the subscription to changes of the list of servers.
type subscription struct {
	RegistryRule
	nextCallAt Micros // time of the next call to the registry; 0 while subscribed
	retryDelay Micros // delay after the next failure, before jitter
}

// Node makes the decisions of one load balancer node.
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
	offeredRate            decayingRate   // ops that arrive
	ackRate                decayingRate   // pushes that are acked
	servers                []knownServer  // by slot
	serverSlots            map[ServerID]int32
	ops                    []pendingOp // by slot
	freeOpSlots            []int32
	opSlots                map[OpID]int32
	errorShare             float64    // share of recent answers of all servers that are errors
	retryBudget            float64    // further pushes that may add work
	warmServerAckRate      float64    // acks per second of a warm server, averaged over a longer time
	sustainableRate        float64    // pushes per second that a warm server certainly takes from this node
	selectionRound         uint64     // counts calls of nextInRotation
	allServers             throttle   // of all servers together, used while traffic to each is low
	upServers              float64    // servers in the rotation that are not down
	inFlight               float64    // pushes not yet ended
	upCapacity             float64    // sum of the capacity shares of upServers
	maxInFlightAtMark      float64    // most pushes in flight at an overload mark, while allServers is active
	ring                   []int32    // slots of the ready servers, by server id
	subset                 []int32    // slots of the ring in this node's rotation
	zoneSubset             []int32    // slots of the own zone that are tried first
	timeoutShareByIdleStep [8]float64 // share of recent pushes that timed out, by the server's idle time in doubling steps
	peerMessageBudget      float64    // peer messages that may be sent
	nextTickAt             Micros     // time of the next control tick
	ackRateSamples         float64    // control ticks over which warmServerAckRate is averaged
	effects                []Effect   // result of the current step
}

// decayingRate is a rate of events, per second, that forgets exponentially with the time constant rateMemory.
type decayingRate struct {
	perSecond     float64
	updatedAt     Micros
	countingSince Micros // time of the first event
}

// latencyStats holds the recent latencies of a category: mean, mean deviation, and as baseline a mean over a longer
// time in which the servers were not under control.
type latencyStats struct {
	mean      float64
	deviation float64
	baseline  float64
}
