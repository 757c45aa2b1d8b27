// Package policy makes every decision of a node: which server an op is pushed to, whether it is
// pushed at all, again, or answered at once.
//
// New starts a Node; call Step with each Input in order, at a clock that never goes back, and carry out the
// Effects before the next call, from one goroutine. The interface (Decider) is defined in types.go.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand"
	"slices"
)

const (
	target      = 0.5         // marks a second that control steers to (clause 9.5's default)
	endAfter    = 10 * Second // TerminationPendingPeriod
	period      = 2 * Second  // 1/target: the memory of rates, so that one mark alone starts nothing
	beat        = period / 8  // between steps of the steering
	splash      = 1.0         // SplashAmount: the bucket counts ops
	fill        = 4 * splash  // MaximumFill
	leakTicks   = 4           // LeakInterval, in ticks of the clock
	loosest     = 2.0         // highest rate, as a multiple of the recent accepted rate
	tightest    = 1.0 / 4     // lowest rate, likewise
	step        = 1.0 / 4     // of the rate: down for each multiple of the target too much, up at the most
	drainedTo   = 1.0 / 4     // of the most that a server held at its marks: their queue is gone
	quietShare  = 1.0 / 8     // marks an accepted push that the control of all servers steers to
	slowShare   = 1.0 / 3     // slow answers are marks while more than this share is slow
	errorShare  = 1.0 / 8     // errors are marks while more than this share of all answers is one
	shareMemory = 16          // recent answers, for a server's shares
	paceMemory  = 4           // likewise, for its pace
	few         = 10          // servers in a node's rotation, and no fewer than the pushes allowed
	againShare  = 1.0 / 8     // further pushes that may add work, a first push
	crowdedFrom = 5.0 / 3     // answers' time over the usual
	sharers     = 20          // nodes that use a server, where they tell each other
	saidAnOp    = 34          // words a client's first try, so that no storm of repeats is one of words
)

// mark counts an overload mark, and starts control where their rate passes the target (8.2.1).
func (t *throttle) mark(now Micros, cut int) (log string) {
	t.marks.add(now)
	t.quiet, t.marked = now, now
	if t.on || t.marks.read(now) <= t.target {
		return ""
	}
	t.on, t.cut, t.count, t.leaked, t.since, t.offered, t.rejected = true, cut, fill, now, now, 0, 0
	t.leak = max(t.accepted.whole(now), 2*target) * float64(t.interval) / float64(Second)
	t.high, t.low = t.leak*loosest, t.leak*tightest
	return fmt.Sprintf("control of %s starts, %.1f/s", t.of, t.accepted.value)
}

// admit passes an op by its benefit's level and, at the cut, by the type 3 bucket (8.2.2, 8.2.5).
func (t *throttle) admit(now Micros, level int) bool {
	if !t.on {
		return true
	}
	t.offered++
	if n := (now - t.leaked) / t.interval; n > 0 {
		t.count = max(0, t.count-float64(n)*t.leak)
		t.leaked += n * t.interval
	}
	switch {
	case level > t.cut:
		return true
	case level == t.cut && t.count <= max(fill, t.leak)-splash:
		t.count += splash
		return true
	}
	t.rejected++
	t.quiet = now
	return false
}

// steer moves LeakAmount, faster the further marks are off target, then the cut (8.2.3, 8.2.5).
// It ends control after endAfter with no mark and no rejection (8.2.4).
func (t *throttle) steer(now Micros, levels int, drained bool) (log string) {
	if !t.on {
		return ""
	}
	if t.on = now-t.quiet < endAfter; !t.on {
		return fmt.Sprintf("control of %s ends after %d ms, %d offered, %d rejected",
			t.of, (now-t.since)/Millisecond, t.offered, t.rejected)
	}
	// Danger: after a burst of marks their rate stays high when none has come for long, or when the queue
	// that made them is gone; the server would be shut for seconds, holding nothing.
	off := t.marks.read(now) / t.target
	if gap := now - t.marked; gap > beat {
		off = min(off, float64(Second)/float64(gap)/t.target*number(!drained))
	}
	switch {
	case off > 1 && t.leak > t.low:
		t.leak = max(t.low, t.leak*max(0.5, 1-step*(off-1)))
	case off > 1 && t.cut+1 < levels:
		t.cut, t.count, t.leak = t.cut+1, fill, t.high
	// Danger: few ops have more benefit than most; a cut that falls only after its own rate has risen keeps a
	// drained server (off is 0) idle for seconds.
	case off < 1 && t.cut > 0 && (off == 0 || t.leak == t.high):
		t.cut, t.count, t.leak = t.cut-1, fill, t.low
	case off < 1:
		t.leak = min(t.high, t.leak*(1+step*(1-off)))
	}
	return ""
}

// blame says what the end of a push is evidence of; nothing else decides that.
func (n *Node) blame(s *server, o *op, in *Input) blame {
	switch in.Outcome {
	case Full, TimedOut:
		// Danger: a server that fell silent still looks free, and eats an op each turn.
		if in.Outcome == TimedOut && s.heard < o.sent[in.Push] {
			return onLoad | onServer
		}
		return onLoad
	case ConnectFailed, Reset:
		return onServer
	case Errored:
		// Danger: a server that fails fast, over half the time, holds little and is fed by the rotation.
		if s.errors > 1.0/2 && s.errors > 2*n.errors {
			return onServer
		}
		// Danger: errors everywhere come from a tier below that is full, or dies of what it is sent again. Some
		// come whatever this node sends, and would shut it: with hardly a push out they must be half of all.
		if n.errors > errorShare*(1+3*number(n.out < n.up)) {
			return onLoad
		}
	}
	return 0
}

// crowded moves the room for pushes at a server: up while answers are quick and more is asked for, twofold
// until it was crowded once, else down. Danger: where holding more makes it do less, it is lost for long.
func (s *server) crowded(sent Micros, ratio float64) {
	learn(&s.crowding, ratio, paceMemory)
	switch {
	case s.crowding > crowdedFrom:
		s.room, s.tight = max(fill, s.room-1.0/2), true
	case s.asked < sent: // nothing more was asked of it meanwhile
	case s.tight:
		s.room += max(1/s.room, 1.0/shareMemory)
	default:
		s.room++
	}
}

// warmth is the share of its capacity that the server surely has by now.
func (s *server) warmth(now Micros, rule *ColdStartRule) float64 {
	if age := max(0, now-s.StartedAt); s.StartedAt > 0 && age < rule.WarmUpTime {
		return rule.InitialShare + (1-rule.InitialShare)*float64(age)/float64(rule.WarmUpTime)
	}
	return 1
}

// heard plans the next call. Danger: the whole fleet may start, or lose the registry, together, and it is
// one small service: calls are spread at random and back off.
func (r *registry) heard(now Micros, form ListForm, rng *rand.Rand) {
	switch {
	case !r.MustSubscribe || form == ListReweighted:
	case form == ListCached:
		r.next, r.wait = now+1+Micros(rng.Float64()*float64(r.SubscribeWithin/8)), r.SubscribeWithin/16
	case form == ListFailed:
		r.next = now + 1 + Micros((1.0/2+rng.Float64())*float64(r.wait))
		r.wait = min(2*r.wait, r.SubscribeWithin/2)
	default:
		r.next, r.wait = 0, r.SubscribeWithin/16
	}
}

// table holds the decisions on an op: of its state and signal the first row whose effect can be had.
var table = []struct {
	at   state
	on   signal
	do   func(*Node, *op) bool
	next state
}{
	{fresh, arrives, (*Node).push, out},
	{fresh, arrives, (*Node).nack, over},
	{out, answered, (*Node).drop, over},
	{out, failed, (*Node).push, out},
	{out, failed, (*Node).nack, over},
	{out, failed, (*Node).deadLetter, over},
	{out, due, (*Node).nack, over},
	{out, due, (*Node).deadLetter, over},
	{out, began, nil, streaming},
	{out, leaves, (*Node).drop, over},
	{streaming, answered, (*Node).drop, over},
	{streaming, leaves, (*Node).drop, over},
}

var neverRan = [...]bool{Full: true, ConnectFailed: true, Moot: true} // the outcomes that prove it

// New starts a node that knows no server yet.
func New(seed int64, place Topology, kinds []Category, rule PushLimits, cold ColdStartRule, reg RegistryRule) *Node {
	rule.MaxPushes, place.NodeCount = min(rule.MaxPushes, mostPushes), max(1, place.NodeCount)
	n := &Node{rng: rand.New(rand.NewSource(seed)), place: place, rule: rule, cold: cold, kinds: kinds,
		registry: registry{RegistryRule: reg},
		took:     make([]answers, len(kinds)), byID: map[ServerID]int32{}, byOp: map[OpID]int32{},
		all: throttle{of: "all servers", target: target, interval: leakTicks * place.ClockTick}, again: 1 / againShare}
	for i, c := range kinds {
		// Danger: the first answers to come are the quick ones; time-outs from them alone cut off the rest.
		start := float64(n.aim(CategoryID(i))) * 3 / 8
		n.took[i] = answers{mean: start, dev: start, usual: start}
		n.levels = append(n.levels, c.Benefit)
	}
	slices.Sort(n.levels)
	n.levels = slices.Compact(n.levels)
	return n
}

// Step takes one input and returns what to do, valid until the next call.
func (n *Node) Step(now Micros, in *Input) []Effect {
	n.now, n.effects = now, n.effects[:0]
	switch in.Kind {
	case OpArrived:
		n.decide(n.take(in), arrives)
	case PushEnded:
		n.ended(in)
	case OpAbandoned, StreamBegan:
		if p, found := n.byOp[in.Op]; found {
			n.decide(&n.ops[p], [...]signal{OpAbandoned: leaves, StreamBegan: began}[in.Kind])
		}
	case ListReceived:
		n.follow(in)
	case PeerMessageReceived:
		n.hear(in)
	case TimerFired:
		if n.now >= n.beatAt {
			n.tick()
		}
		if p, found := n.byOp[OpID(in.Token)]; found && n.now > n.ops[p].last {
			n.decide(&n.ops[p], due)
		}
	}
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) log(text string) {
	if text != "" {
		n.emit(Effect{Kind: Log, Text: text})
	}
}

func (n *Node) decide(o *op, on signal) {
	for i := range table {
		if row := &table[i]; row.at == o.state && row.on == on && (row.do == nil || row.do(n, o)) {
			o.state = row.next
			break
		}
	}
	if o.state == over && o.out == 0 {
		delete(n.byOp, o.id)
		n.free = append(n.free, o.place)
	}
}

// take gives an arriving op a place in the slab.
func (n *Node) take(in *Input) *op {
	if len(n.free) == 0 {
		n.free = append(n.free, int32(len(n.ops)))
		n.ops = append(n.ops, op{})
	}
	p := n.free[len(n.free)-1]
	n.free = n.free[:len(n.free)-1]
	o, c := &n.ops[p], &n.kinds[in.Category]
	*o = op{id: in.Op, category: in.Category, place: p}
	n.byOp[in.Op] = p
	o.level, _ = slices.BinarySearch(n.levels, c.Benefit)
	n.offered.add(n.now)
	n.words = min(8*saidAnOp, n.words+saidAnOp*number(!in.ClientRetry))
	o.allowed = uint8(1 + math.Ceil(float64(n.rule.MaxPushes-1)*c.Benefit/cmp.Or(n.levels[len(n.levels)-1], 1)))
	o.last = in.Deadline - 2*n.place.ClockTick
	o.goal = min(n.now+c.TargetLatency-2*n.place.ClockTick, o.last)
	if c.LateBenefit > 0 {
		o.goal = o.last // a late answer still has some benefit
	} else if c.harmless() || n.place.Tier > 0 {
		o.last = o.goal // Danger: failing late; the client may still try elsewhere in time
	}
	return o
}

// push sends the op, or sends it again where its category, its benefit and the time allow.
func (n *Node) push(o *op) bool {
	c, took := &n.kinds[o.category], &n.took[o.category]
	// Danger: time-outs learned while all is lost would say that every op comes too late, for ever.
	least := min(Micros(took.mean-took.dev), c.TargetLatency/2)
	if o.pushes >= o.allowed || n.now+max(0, least) > o.goal {
		return false
	}
	// Danger: further pushes that add work feed the overload that made them.
	if o.risk > 0 && (n.again < 1 || c.Delivery == AtMostOnce ||
		c.Delivery == Deduplicated && n.now >= o.risk+c.DedupWindow-n.place.ClockTick) {
		return false
	}
	i := n.pick(o)
	if i < 0 {
		return false
	}
	s, wait := &n.servers[i], o.last-n.now
	if o.pushes+1 < o.allowed && c.Delivery != AtMostOnce {
		wait = min(wait, max(Micros(took.mean+6*took.dev), n.rule.DialTimeout))
	}
	switch {
	case o.risk > 0:
		n.again--
	case o.pushes == 0:
		n.again = min(1/againShare, n.again+againShare)
		n.emit(Effect{Kind: SetTimer, TimerAt: o.last + n.place.ClockTick, Token: TimerToken(o.id)})
	}
	// Danger: a connection that has rested may be dropped unseen; what is sent on it is lost in silence.
	o.rest = min(len(n.lost)-1, bits.Len64(uint64((n.now-s.ended)/beat)))
	if s.held == 0 && n.lost[o.rest] > max(1.0/3, 3*n.lost[0]) {
		n.emit(Effect{Kind: CloseIdle, Server: s.Server})
		learn(&n.lost[o.rest], 0, 4*shareMemory) // Danger: a trouble that is over would cost connections for ever
		o.rest = 0
	}
	s.held++
	n.out++
	s.part.left--
	o.to[o.pushes], o.sent[o.pushes] = i, n.now
	o.pushes++
	o.out++
	n.emit(Effect{Kind: Push, Op: o.id, Server: s.Server, Duration: max(1, wait)})
	n.tell(s, said{what: saidPush})
	return true
}

// pick asks the throttle of all servers, then those of the rotation; -1 where none admits the op. Danger: a
// push to another zone costs benefit, and more where the way is slow or lossy; but a zone alone jams sooner.
// Its servers come first while they hold little and are not under control, neither each nor all together.
func (n *Node) pick(o *op) int32 {
	c, run, most := &n.kinds[o.category], n.run, n.most()
	// A repeat that is bound to its group may find a server there beyond this node's own.
	if o.risk > 0 && c.Delivery == Deduplicated && c.DedupScope != DedupScopeAll {
		run = n.ring
	}
	if !n.all.admit(n.now, o.level) {
		return -1
	}
	if i := n.rotate(o, n.near, most, true); i >= 0 {
		return i
	}
	return n.rotate(o, run, most, false)
}

// rotate is smooth weighted round robin over the servers that may take the op, in order of turn, until a
// bucket admits it.
func (n *Node) rotate(o *op, run []int32, most float64, near bool) int32 {
	total := 0.0
	n.round++
	for _, i := range run {
		s := &n.servers[i]
		if near && (n.all.on || s.on || s.held >= fill) || !n.may(o, s, most) {
			s.tried = n.round
			continue
		}
		// Danger: equal turns overfill those that are slower than the list says.
		weight := s.Weight * s.warmth(n.now, &n.cold) / max(1, s.pace*s.pace)
		s.turn += weight
		total += weight
	}
	for {
		best := int32(-1)
		for _, i := range run {
			if n.servers[i].tried != n.round && (best < 0 || n.servers[i].turn > n.servers[best].turn) {
				best = i
			}
		}
		if best < 0 {
			return -1
		}
		s := &n.servers[best]
		if s.admit(n.now, o.level) {
			s.turn -= total
			return best
		}
		s.tried, s.turn = n.round, min(s.turn, total)
	}
}

// full is what a server holds or, where others say what they push there, how long an op to come would wait;
// most is how full one may be to get it, by the mean of the run's. Danger: all look dead; one may be back.
func (n *Node) full(s *server) float64 {
	if !n.place.PeerMessaging {
		return float64(s.held)
	}
	return (n.load(s) + 1) * s.pace
}

func (n *Node) most() float64 {
	sum, up := 0.0, 0.0
	for _, i := range n.run {
		if s := &n.servers[i]; s.down <= n.now {
			sum += n.full(s)
			up++
		}
	}
	mean := sum / max(1, up)
	if up == 0 {
		return math.Inf(1)
	} else if n.place.PeerMessaging {
		return mean * (1 + 1e-9) // what all hold alike is not above its mean
	}
	return min(2*mean, mean+2)
}

// load is what a server holds: pushes of this node and, by hearsay, of others.
func (n *Node) load(s *server) float64 {
	return float64(s.held) + s.told.read(n.now)*float64(period)/float64(Second)
}

// may says whether a server is in the rotation for the op.
func (n *Node) may(o *op, s *server, most float64) bool {
	c := &n.kinds[o.category]
	if n.full(s) > most || o.risk > 0 && c.Delivery == Deduplicated &&
		(c.DedupScope == DedupScopeZone && s.Zone != o.zone || c.DedupScope == DedupScopeCell && s.Cell != o.cell) {
		return false
	}
	if n.load(s) >= s.room {
		s.asked = n.now
		return false
	}
	// An op that cannot go again is not for trying a server out. Danger: where all are such, no other ever will.
	if n.up > 0 && (s.down > n.now || s.failures > 0 &&
		(s.held > 0 || c.Delivery == AtMostOnce && n.now-s.down < endAfter)) {
		return false
	}
	// Danger: a cold server is pushed over by all nodes together, as its like are full or all are cold.
	// Single ops of many nodes add up: a node whose part is under one op waits, from a random start.
	w := s.warmth(n.now, &n.cold)
	return w == 1 || n.load(s) < max(1, most*w) && s.part.fill(n.now, w*n.bearable, 1) >= 1
}

// tell says what happened at a server to the nodes whose runs hold it.
func (n *Node) tell(s *server, w said) {
	if !n.place.PeerMessaging || s.State != Ready { // Danger: the last one drains, and there is no ring
		return
	}
	w.server = fold(s.Server)
	size, nodes, word := len(n.ring), n.place.NodeCount, w.bytes()
	for k := ((s.spot+size-n.narrow()+1)*nodes + size - 1) / size; k < ((s.spot+size+1)*nodes+size-1)/size; k++ {
		if to := k % nodes; to != n.place.NodeNumber && n.words >= 1 {
			n.words--
			n.emit(Effect{Kind: SendToPeer, PeerNumber: to, Message: word})
		}
	}
}

// hear takes in what another node says. It is advice on servers that the list has named, forgotten as soon as
// what this node saw: of a server's pushes, its pace, and that it answers.
func (n *Node) hear(in *Input) {
	w, understood := readSaid(in.Message)
	at := slices.IndexFunc(n.run, func(i int32) bool { return fold(n.servers[i].Server) == w.server })
	if !understood || at < 0 {
		return
	}
	s := &n.servers[n.run[at]]
	if w.pace > 0 {
		learn(&s.pace, w.pace, paceMemory)
	}
	if w.what == saidPush {
		s.told.add(n.now)
		return
	}
	s.told.value = max(0, s.told.read(n.now)-float64(Second)/float64(period))
	if w.what == saidAck {
		s.heard, s.failures = n.now, 0
	}
}

// narrow is a run's length where others are told. Danger: connections cost work, and each sharer a word.
func (n *Node) narrow() int {
	return min(len(n.ring), max(2, min(few, sharers*len(n.ring)/n.place.NodeCount)))
}

// nack answers that a new try does no harm, where that is true.
func (n *Node) nack(o *op) bool {
	if (o.risk > 0 || o.out > 0) && !n.kinds[o.category].harmless() {
		return false
	}
	e := Effect{Kind: Nack, Op: o.id}
	if n.now+n.place.ClockTick >= o.goal {
		e.Duration = n.rule.MaxRetryAfter
	}
	n.emit(e)
	return n.drop(o)
}

func (n *Node) deadLetter(o *op) bool { n.emit(Effect{Kind: DeadLetter, Op: o.id}); return n.drop(o) }

// drop calls back what is still out: nobody waits for it.
func (n *Node) drop(o *op) bool {
	for p := uint8(0); p < o.pushes && n.rule.MayCancel && o.out > 0; p++ {
		if o.to[p] >= 0 {
			n.emit(Effect{Kind: Cancel, Op: o.id, Push: PushNumber(p)})
		}
	}
	return true
}

// ended learns from the end of a push and decides on its op.
func (n *Node) ended(in *Input) {
	p, found := n.byOp[in.Op]
	if !found || in.Push >= PushNumber(n.ops[p].pushes) || n.ops[p].to[in.Push] < 0 {
		return
	}
	o := &n.ops[p]
	s, took := &n.servers[o.to[in.Push]], &n.took[o.category]
	o.to[in.Push] = -1
	o.out--
	s.held--
	s.ended = n.now
	n.out--
	w := said{what: saidEnd}
	if in.Outcome == Acked || in.Outcome == TimedOut {
		learn(&n.lost[o.rest], number(in.Outcome == TimedOut), paceMemory)
		w.pace = float64(in.Latency) / took.mean
		learn(&s.pace, w.pace, paceMemory)
		s.crowded(o.sent[in.Push], float64(in.Latency)/took.usual)
		if !s.on {
			learn(&took.usual, min(float64(in.Latency), 4*took.usual), 16*shareMemory)
		}
		took.learn(in.Latency, in.Outcome)
	}
	if !neverRan[in.Outcome] {
		s.accepted.add(n.now)
		n.all.accepted.add(n.now)
		if o.risk == 0 {
			o.risk, o.zone, o.cell = o.sent[in.Push], s.Zone, s.Cell
		}
	}
	marked := o.late&(1<<in.Push) > 0 // while it was out
	if in.Outcome == Acked {
		w.what, s.failures = saidAck, 0
		n.acks.add(n.now)
		if !marked {
			n.slow(s, in.Latency > n.aim(o.category))
		}
	}
	n.tell(s, w)
	if in.Outcome == Acked || in.Outcome == Errored {
		s.heard = n.now
		learn(&s.errors, number(in.Outcome == Errored), shareMemory)
		learn(&n.errors, number(in.Outcome == Errored), 4*shareMemory)
	}
	why := n.blame(s, o, in)
	if why&onServer > 0 { // out of the rotation, twice as long each time; then one push tries
		s.failures = min(s.failures+1, 5)
		s.down = n.now + n.rule.DialTimeout<<s.failures
		n.choose()
	}
	if why&onLoad > 0 && !marked {
		n.mark(s)
	}
	on := answered
	if in.Outcome != Acked && !in.OpSettled {
		on = failed
	}
	n.decide(o, on)
}

// slow counts an answer as slow or not; a slow one is a mark while more than their share is.
func (n *Node) slow(s *server, is bool) {
	learn(&s.slow, number(is), shareMemory)
	learn(&n.all.slow, number(is), shareMemory)
	if is && (s.slow > slowShare || n.quiet() && n.all.slow > slowShare) {
		n.mark(s)
	}
}

func (n *Node) mark(s *server) {
	// Danger: a fleet whose traffic starts in overload jams before the cut has risen from below (8.2.5 c).
	cut := int(number(n.now-n.offered.first <= period)) * (len(n.levels) - 1)
	s.crowd = max(s.crowd*number(s.on), float64(s.held))
	n.log(s.throttle.mark(n.now, cut))
	if n.quiet() {
		n.crowd = max(n.crowd*number(n.all.on), n.out)
		n.log(n.all.mark(n.now, cut))
	}
}

// quiet says that servers see too little of this node for marks of one alone to tell. Danger: the target lets
// its marks pass from each of many nodes. Below the first tier a nack throws away work done.
func (n *Node) quiet() bool {
	most := 3 * target
	if n.place.Tier == 0 {
		most = 3 * target / quietShare
	}
	return n.all.accepted.whole(n.now) < most*n.up
}

// aim is the time past which an answer is slow: two thirds of a tier's part of target latency, less further
// down, with one part kept back where another push may follow. Danger: servers jam before answers are late.
func (n *Node) aim(k CategoryID) Micros {
	c := &n.kinds[k]
	parts := n.place.TierCount + int(number(c.Delivery != AtMostOnce))
	return c.TargetLatency * Micros(n.place.TierCount-n.place.Tier) / Micros(parts) * 2 / 3
}

// tick steers every throttle and keeps the registry's subscription.
func (n *Node) tick() {
	n.beatAt = n.now + beat
	n.emit(Effect{Kind: SetTimer, TimerAt: n.beatAt})
	for i := range n.servers {
		s := &n.servers[i]
		n.log(s.steer(n.now, len(n.levels), s.crowd >= fill && float64(s.held) <= s.crowd*drainedTo))
		// Danger: a server that gets no turn can't show that it is well again.
		if s.held == 0 && n.now-s.ended > endAfter {
			learn(&s.pace, min(s.pace, 1), float64(period/beat))
		}
	}
	// Danger: an answer that is late says so late, and the queue grows meanwhile: overdue is slow. And one
	// server of many is slow for seconds before its answers tell; its turns shrink by what is overdue there.
	for p := range n.ops {
		for k, o := PushNumber(0), &n.ops[p]; k < PushNumber(o.pushes); k++ {
			if o.to[k] >= 0 && o.late&(1<<k) == 0 && n.now-o.sent[k] > n.aim(o.category) {
				o.late |= 1 << k
				s := &n.servers[o.to[k]]
				s.pace = max(s.pace, float64(n.now-o.sent[k])/n.took[o.category].mean)
				n.slow(s, true)
			}
		}
	}
	n.all.target = max(target, quietShare*n.all.accepted.whole(n.now))
	// Danger: all nodes meet a jam in one beat; each then shuts out a whole level of benefit for seconds.
	n.log(n.all.steer(n.now, len(n.levels), n.crowd >= fill && n.out <= n.crowd*drainedTo))
	n.choose()
	n.beats = min(n.beats+1, float64(endAfter/beat))
	learn(&n.carry, n.acks.read(n.now)/max(1, n.warm), n.beats)
	n.bearable = cmp.Or(n.carry*n.cold.OverloadFactor/2, n.offered.whole(n.now)/max(1, n.up)) // first an even turn
	if r := &n.registry; r.next > 0 && n.now >= r.next {
		r.next = n.now + r.SubscribeWithin
		n.emit(Effect{Kind: WatchRegistry})
	}
}

// follow takes over a list of servers.
func (n *Node) follow(in *Input) {
	n.registry.heard(n.now, in.Form, n.rng)
	if in.Form == ListFull || in.Form == ListCached {
		for i := range n.servers {
			if !slices.ContainsFunc(in.List, func(e ListEntry) bool { return e.Server == n.servers[i].Server }) {
				n.servers[i].State = Gone
			}
		}
	}
	for _, e := range in.List {
		i, found := n.byID[e.Server]
		if !found {
			i = n.room()
			n.byID[e.Server] = i
		}
		s := &n.servers[i]
		// Danger: an old list may come again, and would make a cold server seem warm.
		if found {
			e.StartedAt = max(e.StartedAt, s.StartedAt)
		}
		if !found || e.StartedAt != s.StartedAt {
			*s = server{held: s.held, turn: -n.rng.Float64(), part: tokens{n.rng.Float64(), n.now},
				room: fill, pace: 1, throttle: throttle{
					of: fmt.Sprintf("%012x", e.Server), target: target, interval: leakTicks * n.place.ClockTick}}
		}
		s.ListEntry = e
	}
	n.ring = n.ring[:0]
	for i := range n.servers {
		if n.servers[i].State == Ready {
			n.ring = append(n.ring, int32(i))
		}
	}
	at := n.servers
	slices.SortFunc(n.ring, func(a, b int32) int { return cmp.Compare(at[a].Server, at[b].Server) })
	n.choose()
	if in.Form == ListCached {
		n.tick()
	}
}

// choose keeps the rotation to a run of the ids in order, evenly apart. Danger: a node learns nothing of a
// large fleet, and all nodes' connections fill a server's table. What is down is passed over; where nodes
// tell each other only if all of the run is: they aren't told what others push elsewhere, and the neighbours
// of what died jam. Else, where a push to another zone costs benefit, the own zone's servers have a run too.
func (n *Node) choose() {
	left, size := max(few, n.rule.MaxPushes), len(n.ring)
	if n.place.PeerMessaging {
		left = n.narrow()
	}
	start, cross := n.place.NodeNumber*size/n.place.NodeCount, n.place.CrossZoneCost > 0 && !n.place.PeerMessaging
	n.run, n.near, n.up, n.warm = n.run[:0], n.near[:0], 0, 0
	for k := range 2 * size {
		i := n.ring[(start+k)%size]
		s := &n.servers[i]
		s.spot = (start + k) % size
		down := s.down > n.now
		in := len(n.run) < left && down == (k >= size)
		if n.place.PeerMessaging {
			in = k < left || k < size && n.up == 0 && !down
		}
		if in {
			n.run = append(n.run, i)
		}
		first := cross && len(n.near) < left && !down && k < size && s.Zone == n.place.Zone
		if first {
			n.near = append(n.near, i)
		}
		if !down && (in || first) {
			n.up++
			n.warm += s.warmth(n.now, &n.cold)
		}
	}
}

// harmless says that a client's new try never does harm, whatever ran.
func (c *Category) harmless() bool {
	return c.Delivery == Redeliverable || c.Delivery == Deduplicated && c.DedupScope == DedupScopeAll
}

func (r *rate) read(now Micros) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(period))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now Micros) {
	if r.first == 0 {
		r.first = now
	}
	r.value = r.read(now) + float64(Second)/float64(period)
}

// whole is the rate less the shortfall of a memory that is not yet full.
func (r *rate) whole(now Micros) float64 {
	return r.read(now) / (1 - math.Exp(-float64(max(beat, now-r.first))/float64(period)))
}

// learn takes in how long a push took. Danger: where a tenth of the answers never come, time-outs that teach
// their own length grow until no time is left for another push. Where all are late they still grow.
func (a *answers) learn(took Micros, how Outcome) {
	x := float64(took)
	if how == TimedOut {
		x = min(x, a.mean+5.0/4*a.dev)
	}
	learn(&a.dev, math.Abs(x-a.mean), shareMemory)
	learn(&a.mean, x, shareMemory)
}

func learn(mean *float64, x, memory float64) { *mean += (x - *mean) / memory }

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// room is the place of a server that is gone and holds nothing, or a new one.
func (n *Node) room() int32 {
	for i := range n.servers {
		if s := &n.servers[i]; s.State == Gone && s.held == 0 {
			delete(n.byID, s.Server)
			return int32(i)
		}
	}
	n.servers = append(n.servers, server{})
	return int32(len(n.servers) - 1)
}

// fill adds rate a second, up to most, and returns what is left.
func (a *tokens) fill(now Micros, rate, most float64) float64 {
	a.left = min(most, a.left+rate*float64(now-a.at)/float64(Second))
	a.at = now
	return a.left
}
