// Package judged holds what nodes say of servers beyond single words: which are bad, since when, and for whom. It is pure:
// reports come in with their age, are merged in whatever order they come, grow old, and are forgotten.
//
// Hearsay is advice. A node's own evidence of a server goes before it; one node alone closes nothing; who finds most
// servers bad is no witness; and all together close at most a part of a node's servers.
package judged

import (
	"cmp"
	"maps"
	"slices"

	"canvasrouter/policy"
)

// Ill is what is wrong with a server.
type Condition uint8

const (
	Healthy       Condition = iota // answers, told where others say that it doesn't
	Down                           // says nothing, or can't be reached
	Failing                        // answers errors
	Full                           // turns away
	LosingAnswers                  // answers some and loses others
	Slow                           // late against the node's other servers
	Silent                         // has not answered a push that is out for long: less than Down, and known sooner
	kinds
)

func (i Condition) String() string {
	return [...]string{"well", "down", "failing", "full", "losing answers", "slow", "silent"}[i]
}

// closes says that an ill takes a server out of use, but for a trial now and then; a slow one only gets less.
func (i Condition) closes() bool { return i != Healthy && i != Slow }

// SourceID is one life of a node.
type ReporterID uint64

// Report is what one node says of one server. A later one of the same source replaces it.
type Report struct {
	Server     policy.ServerID
	Reporter   ReporterID
	Sequence   uint32 // of the source's reports on this server
	Condition  Condition
	Zone       uint8         // of the source
	NodeNumber uint16        // number of the source: one node is one witness, however many lives it has
	Age        policy.Micros // since the evidence
	Duration   policy.Micros // how long before that the ill had begun
}

const (
	// keep is how long a report is kept after its evidence. One that was said well again is kept so long, too: older news
	// that is still on its way must not revive.
	keep = 6 * policy.Second
	// fresh is the age up to which a report counts for the judgement.
	fresh = 5 * policy.Second
	// ownFresh is how long an own answer goes before hearsay, if it came after the ill is said to have begun.
	ownFresh = 2 * policy.Second
	// margin is by how much it must have come after: what was on its way says nothing.
	margin = 50 * policy.Millisecond
	// refuted is by how much two answers to others must be younger than a silence to end it.
	refuted = 300 * policy.Millisecond
	// witnesses is how many nodes must say so.
	witnesses = 2
	// waiting is how many must say so where all that some have is a push without an answer yet.
	waiting = 3
	// enough of the same reports lately, and a node says nothing more of it (as Trickle does, RFC 6206): bytes don't grow with
	// nodes.
	enough = 4
	// mostSources are kept for a server: the freshest.
	mostSources = 8
	// mostServers are kept; past that what is fresher replaces what is older.
	mostServers = 512
	// Part is the largest part of a node's servers that hearsay closes.
	MaxEjectedFraction = 1.0 / 2
	// believed is the part of all servers of which one node may say that they are bad, and still be a witness. Danger: one
	// that is cut off finds every server bad, and so does every one in a storm.
	believed = 5.0 / 8
)

// kept is a report as a node holds it.
type kept struct {
	Report
	at   policy.Micros // of the evidence, on this node's clock
	told int           // times that it was passed on
}

// Book is what one node holds. One goroutine uses it at a time.
type ReportTable struct {
	own     ReporterID
	zone    uint8
	servers map[policy.ServerID][]kept // by source
	anew    map[policy.ServerID]policy.Micros
	now     policy.Micros
}

// NewBook makes the book of a life.
func NewReportTable(own ReporterID, zone uint8) *ReportTable {
	return &ReportTable{own: own, zone: zone, servers: make(map[policy.ServerID][]kept), anew: make(map[policy.ServerID]policy.Micros)}
}

// Hear merges reports. Those of the node itself, of an unknown kind or too old are passed over.
func (b *ReportTable) Merge(now policy.Micros, reports []Report) {
	b.now = now
	for _, r := range reports {
		if r.Reporter != b.own && r.Condition < kinds && r.Age >= 0 && r.Age <= keep {
			b.put(r)
		}
	}
}

// Anew says that a server has started anew: what was said of it before is of another process, also where it is still on its
// way.
func (b *ReportTable) ServerRestarted(now policy.Micros, server policy.ServerID) {
	delete(b.servers, server)
	b.anew[server] = now
}

// Say takes up the node's own report.
func (b *ReportTable) AddOwn(now policy.Micros, r Report) {
	b.now = now
	r.Reporter, r.Zone = b.own, b.zone
	b.put(r)
}

func (b *ReportTable) put(r Report) {
	k := kept{Report: r, at: b.now - r.Age}
	all := b.servers[r.Server]
	if since, started := b.anew[r.Server]; started && k.at < since {
		return
	}
	if all == nil && len(b.servers) >= mostServers && !b.makeRoom(k.at) {
		return
	}
	i := slices.IndexFunc(all, func(o kept) bool { return o.Reporter == r.Reporter })
	switch {
	case i >= 0 && k.Sequence > all[i].Sequence:
		all[i] = k
	case i >= 0:
		// A copy of what is held, or older. Of copies the one that makes the evidence oldest is nearest the truth: time on
		// ways is not in an age. Danger: to take the younger one for news would pass each report on for ever.
		if k.Sequence == all[i].Sequence {
			all[i].at = min(all[i].at, k.at)
		}
	case len(all) < mostSources:
		all = append(all, k)
	default:
		// The oldest evidence of another gives way, if it is older.
		oldest := 0
		for j := range all {
			if all[j].Reporter != b.own && (all[oldest].Reporter == b.own || all[j].at < all[oldest].at) {
				oldest = j
			}
		}
		if all[oldest].at < k.at {
			all[oldest] = k
		}
	}
	b.servers[r.Server] = all
}

// makeRoom lets go the server whose youngest evidence is the oldest of all, if it is older than at. Danger: one node that tells of
// many servers would keep out all that is news of others for as long as a report is kept.
func (b *ReportTable) makeRoom(at policy.Micros) bool {
	var oldest policy.ServerID
	youngest := at
	for server, all := range b.servers {
		last := slices.MaxFunc(all, func(a, b kept) int { return cmp.Compare(a.at, b.at) }).at
		if last < youngest || last == youngest && last < at && server < oldest {
			oldest, youngest = server, last
		}
	}
	if youngest < at {
		delete(b.servers, oldest)
	}
	return youngest < at
}

// Forget lets go what is too old.
func (b *ReportTable) Expire(now policy.Micros) {
	b.now = now
	maps.DeleteFunc(b.anew, func(_ policy.ServerID, at policy.Micros) bool { return now-at > keep })
	for server, all := range b.servers {
		all = slices.DeleteFunc(all, func(k kept) bool { return now-k.at > keep })
		if len(all) == 0 {
			delete(b.servers, server)
		} else {
			b.servers[server] = all
		}
	}
}

// Reports gives what to pass on, the youngest evidence first, with ages now; so many at the most. Each is passed on so many
// times, by when all have it or a way is cut; 0 gives all that is held, for one who has just come.
func (b *ReportTable) ReportsToSend(now policy.Micros, times, most int) (all []Report) {
	for _, of := range b.servers {
		for i := range of {
			if k := &of[i]; now-k.at <= keep && (times == 0 || k.told < times) {
				r := k.Report
				r.Age = max(0, now-k.at)
				all = append(all, r)
			}
		}
	}
	slices.SortFunc(all, compare)
	all = all[:min(most, len(all))]
	if times > 0 {
		for _, r := range all {
			of := b.servers[r.Server]
			of[slices.IndexFunc(of, func(k kept) bool { return k.Reporter == r.Reporter })].told++
		}
	}
	return all
}

func compare(a, b Report) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Reporter, b.Reporter))
}

// Disputed says that enough others call a server bad to close it: then a node that finds it well says so. Danger: an answer
// to each that is late for one node alone would fill the ways while nothing is wrong.
func (b *ReportTable) ReportedUnhealthy(now policy.Micros, server policy.ServerID) bool {
	first, found := uint16(0), false
	for i := range b.servers[server] {
		k := &b.servers[server][i]
		if k.Reporter == b.own || !k.Condition.closes() || now-k.at > fresh {
			continue
		}
		if found && k.NodeNumber != first {
			return true
		}
		first, found = k.NodeNumber, true
	}
	return false
}

// Said says that enough others say the same of a server, and lately: one more would cost bytes and tell nothing.
func (b *ReportTable) Redundant(now policy.Micros, server policy.ServerID, ill Condition) bool {
	n := 0
	for i := range b.servers[server] {
		if k := &b.servers[server][i]; k.Reporter != b.own && k.Condition.closes() == ill.closes() && now-k.at <= sayAgain {
			n++
		}
	}
	return n >= enough
}

// Judgement is what the others' reports make of a server.
type Assessment struct {
	Server                               policy.ServerID
	Condition                            Condition
	UnhealthyReporters, HealthyReporters int           // witnesses
	Since                                policy.Micros // when it began, as they say
	LastEvidence                         policy.Micros // youngest evidence
	LastAnswer                           policy.Micros // youngest answer to another, after it began; 0: none
	OwnZoneOnly                          bool          // the witnesses are of the node's own zone alone
}

// Judge weighs the reports of others on each server of the node's list, and gives those that are bad, the worst proven
// first. Servers of which the node has own evidence are for the caller to leave out.
func (b *ReportTable) Assess(now policy.Micros, list []policy.ServerID) (all []Assessment) {
	doubted := b.doubted(now, list)
	for _, server := range list {
		if j := b.judge(now, server, doubted); j.Condition != Healthy {
			all = append(all, j)
		}
	}
	slices.SortStableFunc(all, func(a, b Assessment) int {
		return cmp.Compare(b.UnhealthyReporters-b.HealthyReporters, a.UnhealthyReporters-a.HealthyReporters)
	})
	return all
}

// doubted are the nodes that call too many of the servers bad.
func (b *ReportTable) doubted(now policy.Micros, list []policy.ServerID) map[uint16]bool {
	bad := make(map[uint16]int)
	for _, server := range list {
		said := make(map[uint16]bool)
		for _, k := range b.servers[server] {
			if k.Reporter != b.own && k.Condition.closes() && now-k.at <= fresh && !said[k.NodeNumber] {
				said[k.NodeNumber] = true
				bad[k.NodeNumber]++
			}
		}
	}
	out := make(map[uint16]bool)
	for node, n := range bad {
		out[node] = n > 1 && float64(n) > believed*float64(len(list))
	}
	return out
}

// judge weighs one server's reports: of the node's own zone where enough are from there, since a server may be bad for
// one zone only, else of all.
func (b *ReportTable) judge(now policy.Micros, server policy.ServerID, doubted map[uint16]bool) Assessment {
	all := b.weigh(now, server, doubted, now, func(*kept) bool { return true })
	if all.UnhealthyReporters == 0 {
		return all
	}
	here := b.weigh(now, server, doubted, all.Since, func(k *kept) bool { return k.Zone == b.zone })
	if here.UnhealthyReporters+here.HealthyReporters >= witnesses {
		here.OwnZoneOnly = true
		return here
	}
	return all
}

// weigh counts the witnesses of some nodes. An answer given before the ill began, as any witness has it, says nothing.
func (b *ReportTable) weigh(now policy.Micros, server policy.ServerID, doubted map[uint16]bool, since policy.Micros, counts func(*kept) bool) Assessment {
	j := Assessment{Server: server, Since: since}
	latest := make(map[uint16]*kept) // one node is one witness
	all := b.servers[server]
	for i := range all {
		k := &all[i]
		if k.Reporter == b.own || now-k.at > fresh || !counts(k) || doubted[k.NodeNumber] && k.Condition.closes() {
			continue
		}
		if o := latest[k.NodeNumber]; o == nil || o.at < k.at || o.at == k.at && o.Reporter < k.Reporter {
			latest[k.NodeNumber] = k
		}
	}
	refutes := answered(latest)
	last := policy.Micros(0) // answer to anybody
	for _, k := range latest {
		if k.Condition == Healthy {
			last = max(last, k.at)
		}
	}
	// Danger: in a jam pushes are late everywhere, and a server that answers others is not silent.
	counted := func(k *kept) bool {
		return (k.Condition != Down || refutes <= k.at+refuted) && (k.Condition != Silent || last <= k.at-k.Duration+margin)
	}
	var ills [kinds]int
	for _, k := range latest {
		if k.Condition == Healthy || !counted(k) {
			continue
		}
		j.UnhealthyReporters++
		ills[k.Condition]++
		j.Since = min(j.Since, k.at-k.Duration)
		j.LastEvidence = max(j.LastEvidence, k.at)
	}
	for _, k := range latest {
		if k.Condition == Healthy && k.at > j.Since+margin {
			j.HealthyReporters++
			j.LastAnswer = max(j.LastAnswer, k.at)
		}
	}
	if j.UnhealthyReporters < witnesses || ills[Silent] > 0 && j.UnhealthyReporters < waiting && j.UnhealthyReporters-ills[Silent] < witnesses || j.UnhealthyReporters <= j.HealthyReporters {
		return j
	}
	for ill := Down; ill < kinds; ill++ { // the one most say; of as many the worse
		if ills[ill] > ills[j.Condition] || j.Condition == Healthy && ills[ill] > 0 {
			j.Condition = ill
		}
	}
	return j
}

// answered is when a server had answered as many others as would close it; 0: it hasn't.
func answered(latest map[uint16]*kept) policy.Micros {
	var first, second policy.Micros
	for _, k := range latest {
		if k.Condition == Healthy && k.at > first {
			first, second = k.at, first
		} else if k.Condition == Healthy {
			second = max(second, k.at)
		}
	}
	return second
}

// Held gives what is held of a server, by source, with ages now; for whoever looks at a node.
func (b *ReportTable) Snapshot(now policy.Micros) map[policy.ServerID][]Report {
	out := make(map[policy.ServerID][]Report, len(b.servers))
	for server, all := range b.servers {
		for _, k := range all {
			r := k.Report
			r.Age = now - k.at
			out[server] = append(out[server], r)
		}
		slices.SortFunc(out[server], compare)
	}
	return out
}
