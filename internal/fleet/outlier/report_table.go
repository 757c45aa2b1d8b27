// Package outlier detects outlier servers across a fleet. Each node derives the condition of its servers from its own pushes
// (LocalDetector), exchanges reports on them with its peers (ReportTable), and reduces the weight of servers that peers report
// as unhealthy (WeightReductions). The package does no I/O and reads no clock: reports carry the age of their evidence, are
// merged in any order of arrival, expire and are dropped.
//
// Reports of peers are advice only. A node's own evidence on a server takes precedence over them, a single node ejects no
// server, the reports of a node that finds most servers unhealthy are not counted, and all peers together eject at most
// MaxEjectedFraction of a node's servers.
package outlier

import (
	"cmp"
	"maps"
	"slices"

	"canvasrouter/policy"
)

// Condition is the health of a server as a node sees it.
type Condition uint8

const (
	Healthy       Condition = iota // answers; reported when other nodes report it as unhealthy
	Down                           // does not answer or cannot be reached
	Failing                        // answers with errors
	Full                           // rejects pushes for lack of capacity
	LosingAnswers                  // answers some pushes and loses the answers to others
	Slow                           // answers late compared with the node's other servers
	Silent                         // has an overdue push in flight: weaker evidence than Down, available sooner
	conditionCount
)

func (c Condition) String() string {
	return [...]string{"well", "down", "failing", "full", "losing answers", "slow", "silent"}[c]
}

// ejects reports whether a server in this condition is taken out of use except for occasional trials. A slow server only has
// its weight reduced.
func (c Condition) ejects() bool { return c != Healthy && c != Slow }

// ReporterID identifies one incarnation of a node.
type ReporterID uint64

// Report is what one node reports on one server. It replaces the reporter's earlier reports on the same server.
type Report struct {
	Server     policy.ServerID
	Reporter   ReporterID
	Sequence   uint32 // counts the reporter's reports on this server
	Condition  Condition
	Zone       uint8         // of the reporter
	NodeNumber uint16        // of the reporter: all incarnations of a node count as one reporter
	Age        policy.Micros // of the evidence
	Duration   policy.Micros // for which the condition had lasted at the time of the evidence
}

const (
	// reportRetention is how long a report is kept, from the time of its evidence. Reports of a server that has recovered are
	// kept as long, so that an older report still in transit does not bring the condition back.
	reportRetention = 6 * policy.Second
	// maxEvidenceAge is the age of the evidence up to which a report counts in an assessment.
	maxEvidenceAge = 5 * policy.Second
	// ownEvidenceMaxAge is how long an answer to this node takes precedence over reports of peers, if it came after the
	// reported start of the condition.
	ownEvidenceMaxAge = 2 * policy.Second
	// answerMargin is how long after the reported start of a condition an answer must arrive to count: an answer that was in
	// transit at that time proves nothing.
	answerMargin = 50 * policy.Millisecond
	// refutationMargin is how much younger than the evidence against a server the answers to two peers must be to refute a
	// Down report, and an answer to one peer to raise the weight of an ejected server to answeredFraction.
	refutationMargin = 300 * policy.Millisecond
	// minReporters is the number of nodes that must report a server as unhealthy before it is ejected.
	minReporters = 2
	// minReportersSilent is the same number where some of them have nothing but an overdue push.
	minReportersSilent = 3
	// redundantReports is the number of recent reports of the same kind from which on a node adds none of its own (as in
	// Trickle, RFC 6206), so that traffic does not grow with the number of nodes.
	redundantReports = 4
	// maxReportersPerServer is the number of reporters kept for a server; the freshest reports are kept.
	maxReportersPerServer = 8
	// maxServers is the number of servers with reports; beyond that, fresher reports replace older ones.
	maxServers = 512
	// MaxEjectedFraction is the largest fraction of a node's servers that reports of peers can eject.
	MaxEjectedFraction = 1.0 / 2
	// maxCredibleFraction is the fraction of all servers that a node can report as unhealthy and still be counted. A node that
	// is cut off from the network, or caught in a network storm, finds every server unhealthy.
	maxCredibleFraction = 5.0 / 8
)

// storedReport is a report in a ReportTable.
type storedReport struct {
	Report
	evidenceAt policy.Micros // by this node's clock
	timesSent  int           // to peers
}

// ReportTable holds the reports that one node knows of, its own and those of peers. It is not safe for concurrent use.
type ReportTable struct {
	self        ReporterID
	zone        uint8
	servers     map[policy.ServerID][]storedReport // at most one report of each reporter
	restartedAt map[policy.ServerID]policy.Micros
	now         policy.Micros // of the latest call
}

// NewReportTable returns an empty table for one incarnation of a node in the given zone.
func NewReportTable(self ReporterID, zone uint8) *ReportTable {
	return &ReportTable{
		self:        self,
		zone:        zone,
		servers:     make(map[policy.ServerID][]storedReport),
		restartedAt: make(map[policy.ServerID]policy.Micros),
	}
}

// Merge adds reports received from peers. It skips those that the node itself made, those of an unknown condition, and those
// older than reportRetention.
func (t *ReportTable) Merge(now policy.Micros, reports []Report) {
	t.now = now
	for _, report := range reports {
		if report.Reporter != t.self && report.Condition < conditionCount && report.Age >= 0 && report.Age <= reportRetention {
			t.put(report)
		}
	}
}

// ServerRestarted drops all reports on a server that has restarted, since they describe the previous process. Reports with
// older evidence that are still in transit are ignored when they arrive.
func (t *ReportTable) ServerRestarted(now policy.Micros, server policy.ServerID) {
	delete(t.servers, server)
	t.restartedAt[server] = now
}

// AddOwn adds a report that this node makes.
func (t *ReportTable) AddOwn(now policy.Micros, report Report) {
	t.now = now
	report.Reporter = t.self
	report.Zone = t.zone
	t.put(report)
}

func (t *ReportTable) put(report Report) {
	incoming := storedReport{Report: report, evidenceAt: t.now - report.Age}
	stored := t.servers[report.Server]
	if restartedAt, restarted := t.restartedAt[report.Server]; restarted && incoming.evidenceAt < restartedAt {
		return
	}
	if stored == nil && len(t.servers) >= maxServers && !t.evictServer(incoming.evidenceAt) {
		return
	}
	i := slices.IndexFunc(stored, func(other storedReport) bool { return other.Reporter == report.Reporter })
	switch {
	case i >= 0 && incoming.Sequence > stored[i].Sequence:
		stored[i] = incoming
	case i >= 0:
		// The incoming report is a copy of the stored one, or older. Ages leave out the time in transit, so of several copies
		// the one with the oldest evidence is closest to the truth. If a copy with younger evidence counted as a new report,
		// nodes would forward each report to one another for ever.
		if incoming.Sequence == stored[i].Sequence {
			stored[i].evidenceAt = min(stored[i].evidenceAt, incoming.evidenceAt)
		}
	case len(stored) < maxReportersPerServer:
		stored = append(stored, incoming)
	default:
		// Replace the peer's report with the oldest evidence if it is older than the incoming one.
		oldest := 0
		for j := range stored {
			if stored[j].Reporter != t.self && (stored[oldest].Reporter == t.self || stored[j].evidenceAt < stored[oldest].evidenceAt) {
				oldest = j
			}
		}
		if stored[oldest].evidenceAt < incoming.evidenceAt {
			stored[oldest] = incoming
		}
	}
	t.servers[report.Server] = stored
}

// evictServer drops the server whose youngest evidence is the oldest of all servers, if it is older than evidenceAt, and
// reports whether it dropped one. Without this, a node that reports on many servers would keep the reports of all others out
// for reportRetention.
func (t *ReportTable) evictServer(evidenceAt policy.Micros) bool {
	var oldest policy.ServerID
	oldestEvidence := evidenceAt
	for server, stored := range t.servers {
		youngest := slices.MaxFunc(stored, func(a, b storedReport) int { return cmp.Compare(a.evidenceAt, b.evidenceAt) }).evidenceAt
		if youngest < oldestEvidence || youngest == oldestEvidence && youngest < evidenceAt && server < oldest {
			oldest = server
			oldestEvidence = youngest
		}
	}
	if oldestEvidence < evidenceAt {
		delete(t.servers, oldest)
	}
	return oldestEvidence < evidenceAt
}

// Expire drops reports and restarts older than reportRetention.
func (t *ReportTable) Expire(now policy.Micros) {
	t.now = now
	maps.DeleteFunc(t.restartedAt, func(_ policy.ServerID, restartedAt policy.Micros) bool { return now-restartedAt > reportRetention })
	for server, stored := range t.servers {
		stored = slices.DeleteFunc(stored, func(r storedReport) bool { return now-r.evidenceAt > reportRetention })
		if len(stored) == 0 {
			delete(t.servers, server)
		} else {
			t.servers[server] = stored
		}
	}
}

// ReportsToSend returns at most maxReports reports to send to peers, youngest evidence first, with their present ages. Each
// report is returned maxSends times in all: by then every peer has it or the path to it is cut. With maxSends 0 the result
// covers all reports, for a peer that has just joined, and no sends are counted.
func (t *ReportTable) ReportsToSend(now policy.Micros, maxSends, maxReports int) (reports []Report) {
	for _, stored := range t.servers {
		for i := range stored {
			if r := &stored[i]; now-r.evidenceAt <= reportRetention && (maxSends == 0 || r.timesSent < maxSends) {
				report := r.Report
				report.Age = max(0, now-r.evidenceAt)
				reports = append(reports, report)
			}
		}
	}
	slices.SortFunc(reports, compareReports)
	reports = reports[:min(maxReports, len(reports))]
	if maxSends > 0 {
		for _, report := range reports {
			stored := t.servers[report.Server]
			stored[slices.IndexFunc(stored, func(r storedReport) bool { return r.Reporter == report.Reporter })].timesSent++
		}
	}
	return reports
}

// compareReports orders reports by age, then server, then reporter.
func compareReports(a, b Report) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Reporter, b.Reporter))
}

// ReportedUnhealthy reports whether at least two peers report a server in a condition that ejects it. Only then does a node
// that finds the server healthy report that: a report for every answer that is late for one node only would fill the network
// while nothing is wrong.
func (t *ReportTable) ReportedUnhealthy(now policy.Micros, server policy.ServerID) bool {
	firstNode := uint16(0)
	found := false
	for i := range t.servers[server] {
		r := &t.servers[server][i]
		if r.Reporter == t.self || !r.Condition.ejects() || now-r.evidenceAt > maxEvidenceAge {
			continue
		}
		if found && r.NodeNumber != firstNode {
			return true
		}
		firstNode = r.NodeNumber
		found = true
	}
	return false
}

// Redundant reports whether enough peers have recently made a report on a server with the same effect as the given condition.
// One more would cost bandwidth and add no information.
func (t *ReportTable) Redundant(now policy.Micros, server policy.ServerID, condition Condition) bool {
	n := 0
	for i := range t.servers[server] {
		if r := &t.servers[server][i]; r.Reporter != t.self && r.Condition.ejects() == condition.ejects() && now-r.evidenceAt <= repeatInterval {
			n++
		}
	}
	return n >= redundantReports
}

// Assessment is the condition of a server by the reports of peers.
type Assessment struct {
	Server             policy.ServerID
	Condition          Condition
	UnhealthyReporters int           // nodes
	HealthyReporters   int           // nodes
	Since              policy.Micros // earliest reported start of the condition
	LastEvidence       policy.Micros // youngest evidence against the server
	LastAnswer         policy.Micros // youngest answer to a peer after Since; 0 if there is none
	OwnZoneOnly        bool          // only reports from the node's own zone were counted
}

// Assess evaluates the reports of peers on each server in the list and returns those that are not healthy, the ones with the
// largest majority of unhealthy reports first. The caller excludes servers on which the node has evidence of its own.
func (t *ReportTable) Assess(now policy.Micros, list []policy.ServerID) (assessments []Assessment) {
	discredited := t.discredited(now, list)
	for _, server := range list {
		if assessment := t.assessServer(now, server, discredited); assessment.Condition != Healthy {
			assessments = append(assessments, assessment)
		}
	}
	slices.SortStableFunc(assessments, func(a, b Assessment) int {
		return cmp.Compare(b.UnhealthyReporters-b.HealthyReporters, a.UnhealthyReporters-a.HealthyReporters)
	})
	return assessments
}

// discredited returns the numbers of the nodes that report more than maxCredibleFraction of the servers as unhealthy.
func (t *ReportTable) discredited(now policy.Micros, list []policy.ServerID) map[uint16]bool {
	unhealthyServers := make(map[uint16]int)
	for _, server := range list {
		counted := make(map[uint16]bool)
		for _, r := range t.servers[server] {
			if r.Reporter != t.self && r.Condition.ejects() && now-r.evidenceAt <= maxEvidenceAge && !counted[r.NodeNumber] {
				counted[r.NodeNumber] = true
				unhealthyServers[r.NodeNumber]++
			}
		}
	}
	discredited := make(map[uint16]bool)
	for node, n := range unhealthyServers {
		discredited[node] = n > 1 && float64(n) > maxCredibleFraction*float64(len(list))
	}
	return discredited
}

// assessServer evaluates the reports on one server. If enough of them come from the node's own zone, only those count, since
// a server may be unhealthy for one zone only. Otherwise the reports from all zones count.
func (t *ReportTable) assessServer(now policy.Micros, server policy.ServerID, discredited map[uint16]bool) Assessment {
	allZones := t.countReports(now, server, discredited, now, func(*storedReport) bool { return true })
	if allZones.UnhealthyReporters == 0 {
		return allZones
	}
	ownZone := t.countReports(now, server, discredited, allZones.Since, func(r *storedReport) bool { return r.Zone == t.zone })
	if ownZone.UnhealthyReporters+ownZone.HealthyReporters >= minReporters {
		ownZone.OwnZoneOnly = true
		return ownZone
	}
	return allZones
}

// countReports assesses a server by the reports that include accepts. Answers given before the condition began, by the
// earliest start that any reporter gives, are not counted.
func (t *ReportTable) countReports(now policy.Micros, server policy.ServerID, discredited map[uint16]bool, since policy.Micros, include func(*storedReport) bool) Assessment {
	assessment := Assessment{Server: server, Since: since}
	latest := make(map[uint16]*storedReport) // by node number: several incarnations of a node count once
	stored := t.servers[server]
	for i := range stored {
		r := &stored[i]
		if r.Reporter == t.self || now-r.evidenceAt > maxEvidenceAge || !include(r) || discredited[r.NodeNumber] && r.Condition.ejects() {
			continue
		}
		if known := latest[r.NodeNumber]; known == nil || known.evidenceAt < r.evidenceAt || known.evidenceAt == r.evidenceAt && known.Reporter < r.Reporter {
			latest[r.NodeNumber] = r
		}
	}
	refutedUpTo := secondLatestAnswer(latest)
	lastAnswer := policy.Micros(0) // to any node
	for _, r := range latest {
		if r.Condition == Healthy {
			lastAnswer = max(lastAnswer, r.evidenceAt)
		}
	}
	// In network congestion pushes are late everywhere. A server that answers other nodes is not down or silent.
	valid := func(r *storedReport) bool {
		return (r.Condition != Down || refutedUpTo <= r.evidenceAt+refutationMargin) &&
			(r.Condition != Silent || lastAnswer <= r.evidenceAt-r.Duration+answerMargin)
	}
	var byCondition [conditionCount]int
	for _, r := range latest {
		if r.Condition == Healthy || !valid(r) {
			continue
		}
		assessment.UnhealthyReporters++
		byCondition[r.Condition]++
		assessment.Since = min(assessment.Since, r.evidenceAt-r.Duration)
		assessment.LastEvidence = max(assessment.LastEvidence, r.evidenceAt)
	}
	for _, r := range latest {
		if r.Condition == Healthy && r.evidenceAt > assessment.Since+answerMargin {
			assessment.HealthyReporters++
			assessment.LastAnswer = max(assessment.LastAnswer, r.evidenceAt)
		}
	}
	if assessment.UnhealthyReporters < minReporters ||
		byCondition[Silent] > 0 && assessment.UnhealthyReporters < minReportersSilent && assessment.UnhealthyReporters-byCondition[Silent] < minReporters ||
		assessment.UnhealthyReporters <= assessment.HealthyReporters {
		return assessment
	}
	// The most frequent condition wins; of equally frequent ones, the first in the order of the constants.
	for condition := Down; condition < conditionCount; condition++ {
		if byCondition[condition] > byCondition[assessment.Condition] || assessment.Condition == Healthy && byCondition[condition] > 0 {
			assessment.Condition = condition
		}
	}
	return assessment
}

// secondLatestAnswer returns the time of the second-latest of the answers to different nodes, or 0 if fewer than two nodes
// had one. As many answers refute a Down report as reports would eject the server.
func secondLatestAnswer(latest map[uint16]*storedReport) policy.Micros {
	var first, second policy.Micros
	for _, r := range latest {
		if r.Condition == Healthy && r.evidenceAt > first {
			first, second = r.evidenceAt, first
		} else if r.Condition == Healthy {
			second = max(second, r.evidenceAt)
		}
	}
	return second
}

// Snapshot returns all reports by server, youngest evidence first, with their present ages. It serves inspection by
// operators.
func (t *ReportTable) Snapshot(now policy.Micros) map[policy.ServerID][]Report {
	reports := make(map[policy.ServerID][]Report, len(t.servers))
	for server, stored := range t.servers {
		for _, r := range stored {
			report := r.Report
			report.Age = now - r.evidenceAt
			reports[server] = append(reports[server], report)
		}
		slices.SortFunc(reports[server], compareReports)
	}
	return reports
}
