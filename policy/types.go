package policy

// Micros is a point in time or a duration, in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
)

// Each kind of identifier has a type of its own, so that they cannot be mixed up. None carries further
// information.
type (
	// OpID identifies an op among the pending ops of a node.
	OpID uint32
	// ServerID identifies a server.
	ServerID uint64
	// CategoryID is the index of a Category in the list given to New.
	CategoryID uint8
	// TenantID identifies a tenant.
	TenantID uint16
	// ZoneID identifies a zone.
	ZoneID uint8
	// MachineTypeID identifies a type of machine.
	MachineTypeID uint8
	// CellID identifies a cell.
	CellID uint16
	// PushNumber numbers the pushes of an op, from 0.
	PushNumber uint8
	// TimerToken tells which timer has fired.
	TimerToken uint32
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
	LateBenefit   float64 // share of the benefit that an answer past the target latency still has
	TargetLatency Micros
	TTL           Micros // time to live of an op, over all its tries
	Delivery      DeliverySemantics
	DedupScope    DedupScope
	DedupWindow   Micros // how long the group remembers an op
}

// Topology gives this node's position: the tier that it sends to, the nodes that send to the same tier, and
// its zone.
type Topology struct {
	Tier          int // from 0, the tier next to the clients
	TierCount     int
	NodeCount     int // nodes that send to the tier
	NodeNumber    int // of this node among them, from 0
	Zone          ZoneID
	CrossZoneCost float64 // points of benefit that a push to another zone costs; 0: none
	PeerMessaging bool    // nodes may send each other peer messages
	ClockTick     Micros  // granularity of the clock that Decider.Step gets
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
	SubscribeWithin Micros // changes count as delivered to a node that has not subscribed for this long
}

// ServerState is the state of a server by the list.
type ServerState uint8

const (
	Ready    ServerState = iota // takes pushes
	Draining                    // takes no new pushes
	Gone                        // has left
)

// ListEntry is the entry of a server in the list. In terms of xDS it is an endpoint, and Cell is its
// locality's cluster.
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
	ListCached                     // all servers, possibly outdated: the form of a node's first list only
	ListFailed                     // none: a call to the registry failed, or the subscription broke
	ListReweighted                 // weights changed by outlier detection; says nothing about subscription
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
	return [...]string{"acked", "errored", "full", "timed out",
		"connect failed", "reset", "cancelled", "moot"}[o]
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
	ClientRetry bool   // the client says that this is not its first try
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

// EffectKind is the kind of an Effect. The comment on each constant lists the fields that are set besides
// Kind.
type EffectKind uint8

const (
	Push          EffectKind = iota // Op, Server, Duration (timeout; 0: until the client gives up), BeginBefore
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
	Kind     EffectKind
	Op       OpID
	Server   ServerID
	Push     PushNumber
	Duration Micros
	// BeginBefore is when a push loses its permission: if nothing of it was sent before, it must not be sent any more.
	// 0: there is no such time.
	BeginBefore Micros
	TimerAt     Micros
	Token       TimerToken
	Text        string
	PeerNumber  int // NodeNumber of the receiving node
	Message     [peerMessageLength]byte
}

// Decider is the interface that protocol adapters call, whatever the protocol: the simulator's wire format,
// an external processor that is called per op, or HL7 over MLLP. An adapter turns its frames into Inputs and
// carries out the Effects. The returned slice is valid until the next call.
type Decider interface {
	Step(now Micros, input *Input) []Effect
}
