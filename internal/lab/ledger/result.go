package ledger

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/policy"
)

// sprintf formats a breach message or a failed expectation.
func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// milliseconds converts a time to milliseconds, with microsecond precision.
func milliseconds(t policy.Micros) float64 { return float64(t) / 1000 }

// Result is the outcome of a run; option --json writes it as JSON. A ratio is 0 where nothing was counted.
type Result struct {
	Name               string           `json:"name"`
	Policy             string           `json:"policy"`
	Driver             string           `json:"driver"` // "live": servers on loopback sockets; "sim": simulated time
	Seed               uint64           `json:"seed"`
	Command            string           `json:"command"`
	Partial            bool             `json:"partial"` // the run was interrupted
	VoidReason         string           `json:"void,omitempty"`
	Ops                int              `json:"ops"` // sent by clients
	Served             int              `json:"served"`
	Nacked             int              `json:"nacked"`
	DeadLettered       int              `json:"dead_lettered"`
	ClientLeft         int              `json:"left"` // the client gave up by its own choice
	Unanswered         int              `json:"unanswered"`
	LostToCrash        int              `json:"lost_to_crash"` // tries pending at a node when it crashed
	LostToPause        int              `json:"lost_to_pause"` // tries pending at a node while its process was stopped
	HarnessLateMs      float64          `json:"rig_late_ms"`   // maximum lateness of the test harness itself
	PeerTraffic        *PeerTraffic     `json:"between,omitempty"`
	DoubleAnswers      int              `json:"double_answers"`
	DoubleEffects      int              `json:"double_effects"`
	FalseNacks         int              `json:"false_nacks"`
	DrainBreaches      int              `json:"drain_breaches"`
	ColdBreaches       int              `json:"cold_breaches"`
	CollapsedServers   int              `json:"tipped_over"`
	ColdPeakLoad       float64          `json:"cold_fullest"` // peak load of a cold server in one window, as a share of its budget and the allowance for chance
	LateAnswers        int              `json:"late"`
	LatePushes         int              `json:"late_sends"`
	PushesPerOp        float64          `json:"pushes_per_op"`    // per try that reached a node of the first tier
	TriesPerOp         float64          `json:"tries_per_op"`     // made by clients
	PushesAllTiers     float64          `json:"pushes_all_tiers"` // pushes in all tiers, per op of a client
	P50Ms              float64          `json:"p50_ms"`
	P99Ms              float64          `json:"p99_ms"`
	P999Ms             float64          `json:"p999_ms"`
	ServedBenefit      float64          `json:"served_benefit"` // as a share of the offered benefit
	LastQuarterBenefit float64          `json:"last_quarter_benefit"`
	WorstTenantBenefit float64          `json:"worst_tenant"`
	WastedWork         float64          `json:"wasted_work"` // share of core time spent on answers that reached no client
	ScheduleMissed     int              `json:"schedule_missed"`
	BrokenRules        []string         `json:"broken_rules"`
	Categories         []CategoryResult `json:"categories"`
	BreachMessages     []string         `json:"breaches,omitempty"` // descriptions of the first breaches
	Events             []string         `json:"events,omitempty"`
	Series             []Bucket         `json:"series"`
	Throttles          []Throttle       `json:"throttles,omitempty"`
	FailedExpectations []string         `json:"failed_expectations"`
}

// PeerTraffic is the traffic between nodes as counted by the relay, per node and second: the mean over all nodes and,
// for MaxBytesPerSecond, the busiest node.
type PeerTraffic struct {
	BytesPerSecond       float64 `json:"bytes_a_node_and_second"`
	MaxBytesPerSecond    float64 `json:"most_bytes_a_second"`
	DatagramsPerSecond   float64 `json:"datagrams_a_node_and_second"`
	StreamsPerSecond     float64 `json:"streams_a_node_and_second"`
	StreamBytesPerSecond float64 `json:"streamed_bytes_a_node_and_second"`
	MaxClosedByPeers     float64 `json:"most_closed_by_hearsay"` // highest share of a node's servers that peer reports reduced to less than a third of their weight, as the nodes answer when asked
}

// CategoryResult holds the figures of one category.
type CategoryResult struct {
	Name          string  `json:"name"`
	Ops           int     `json:"ops"`
	Served        int     `json:"served"`
	ServedBenefit float64 `json:"served_benefit"`
	P50Ms         float64 `json:"p50_ms"`
	P99Ms         float64 `json:"p99_ms"`
}

// Bucket holds the figures of one category in one time bucket of the run.
type Bucket struct {
	AtMs     float64 `json:"at_ms"`
	Category int     `json:"category"`
	Offered  int     `json:"offered"`
	Served   int     `json:"served"`
	Nacked   int     `json:"nacked"`
	Benefit  float64 `json:"benefit"`
	WastedMs float64 `json:"wasted_ms"` // core time
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
}

// Throttle is a sample of a server's overload control at a node while the control is active.
type Throttle struct {
	AtMs        float64 `json:"at_ms"`
	Node        int     `json:"node"`
	Server      string  `json:"server"`
	Rate        float64 `json:"rate"` // ops a second admitted at CutoffLevel
	CutoffLevel int     `json:"cut"`  // benefit level at which Rate applies
}

// bucketAt returns a category's bucket at a time, and appends buckets up to it where needed.
func (l *Ledger) bucketAt(at policy.Micros, category int) *Bucket {
	n := int(max(0, at-l.loadStart)/l.bucketDuration)*len(l.scenario.Categories) + category
	for len(l.series) <= n {
		next := len(l.series)
		l.series = append(l.series, Bucket{AtMs: milliseconds(policy.Micros(next/len(l.scenario.Categories)) * l.bucketDuration),
			Category: next % len(l.scenario.Categories)})
	}
	return &l.series[n]
}

// Finish returns the result of a run that ended at end, with the rules checked. Tries that are still pending count as
// unanswered. Finish can be called again.
func (l *Ledger) Finish(end policy.Micros) *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.result // a copy, so that Finish can be called again
	l.tallyTries(&r)
	l.tallyOps(&r, end)
	l.tallyWork(&r)
	r.P50Ms = quantileMs(l.latency, 50)
	r.P99Ms = quantileMs(l.latency, 99)
	r.P999Ms = quantileMs(l.latency, 99.9)
	r.Series = l.series
	r.BreachMessages = l.breachMessages
	r.BrokenRules = []string{}
	for i, broken := range []bool{
		r.Unanswered+r.DoubleAnswers+r.LateAnswers+r.LatePushes > 0,
		r.DoubleEffects+r.FalseNacks > 0,
		r.DrainBreaches > 0,
		r.ColdBreaches > 0,
	} {
		if broken {
			r.BrokenRules = append(r.BrokenRules, RuleNames[i])
		}
	}
	return &r
}

// tallyTries counts the tries without an answer, and the pushes per try.
func (l *Ledger) tallyTries(r *Result) {
	clientTries, pushes := 0, 0
	for i := range l.tries {
		t := &l.tries[i]
		betweenTiers := l.ops[t.op].tier != 0
		switch {
		case t.verdict == Pending, t.verdict == Unanswered, t.verdict == ConnectionLost:
			if l.lostToCrash(t) {
				r.LostToCrash++
			} else if l.wasPaused(t, t.deadline) {
				r.LostToPause++
			} else if t.verdict != Pending || !betweenTiers {
				r.Unanswered++
				l.addBreach(sprintf("try %d to node %d got no answer", i, t.node))
			}
		}
		if !betweenTiers && t.verdict != Refused {
			clientTries++
			pushes += t.pushes
		}
	}
	r.PushesPerOp = ratio(float64(pushes), float64(clientTries))
}

// tallyOps counts the clients' ops by their end and computes the benefit and the latency of each category.
func (l *Ledger) tallyOps(r *Result, end policy.Micros) {
	type sum struct{ earned, offered float64 }
	tenants := make([]sum, len(l.scenario.Tenants))
	categories := make([]sum, len(l.scenario.Categories))
	var total, lastQuarter sum
	tries := 0
	for range l.scenario.Categories {
		r.Categories = append(r.Categories, CategoryResult{})
	}
	lastQuarterStart := l.loadStart + (end-l.loadStart)*3/4
	for i := range l.ops {
		o := &l.ops[i]
		if o.tier != 0 {
			continue
		}
		category := &r.Categories[o.category]
		r.Ops++
		category.Ops++
		tries += o.tries
		earned := 0.0
		switch o.verdict {
		case Served:
			r.Served++
			category.Served++
			earned = l.earnedBenefit(o)
		case Nacked:
			r.Nacked++
		case ClientLeft:
			r.ClientLeft++
			continue // neither offered nor earned: nobody waits for the answer
		case Failed:
			r.DeadLettered++
		}
		add := func(s *sum) {
			s.earned += earned
			s.offered += o.offeredBenefit
		}
		add(&total)
		add(&categories[o.category])
		if o.tenant >= 0 {
			add(&tenants[o.tenant])
		}
		if o.intendedAt >= lastQuarterStart {
			add(&lastQuarter)
		}
	}
	r.ServedBenefit = ratio(total.earned, total.offered)
	r.LastQuarterBenefit = ratio(lastQuarter.earned, lastQuarter.offered)
	r.TriesPerOp = ratio(float64(tries), float64(r.Ops))
	r.PushesAllTiers = ratio(float64(len(l.pushes)), float64(r.Ops))
	r.WorstTenantBenefit = 1
	for _, t := range tenants {
		if t.offered > 0 {
			r.WorstTenantBenefit = min(r.WorstTenantBenefit, ratio(t.earned, t.offered))
		}
	}
	for i := range r.Categories {
		category := &r.Categories[i]
		category.Name = l.scenario.Categories[i].Name
		category.ServedBenefit = ratio(categories[i].earned, categories[i].offered)
		category.P50Ms = quantileMs(l.latencyByCategory[i], 50)
		category.P99Ms = quantileMs(l.latencyByCategory[i], 99)
	}
}

// tallyWork sums the core time spent on answers that reached no client, and computes the latency of each bucket.
func (l *Ledger) tallyWork(r *Result) {
	var total, wasted policy.Micros
	for i := range l.series {
		l.series[i].WastedMs = 0
	}
	for i := range l.pushes {
		p := &l.pushes[i]
		total += p.work
		if !p.served {
			wasted += p.work
			l.bucketAt(p.at, l.ops[l.tries[p.try].op].category).WastedMs += milliseconds(p.work)
		}
	}
	r.WastedWork = ratio(float64(wasted), float64(total))
	histograms := make([]*hdrhistogram.Histogram, len(l.series))
	for i := range l.ops {
		if o := &l.ops[i]; o.tier == 0 && o.verdict == Served {
			n := int(max(0, o.intendedAt+o.latency-l.loadStart)/l.bucketDuration)*len(l.scenario.Categories) + o.category
			if histograms[n] == nil {
				histograms[n] = hdrhistogram.New(1, 300_000_000, 2)
			}
			histograms[n].RecordValue(max(1, int64(o.latency)))
		}
	}
	for i, h := range histograms {
		if h != nil {
			l.series[i].P50Ms = quantileMs(h, 50)
			l.series[i].P99Ms = quantileMs(h, 99)
		}
	}
}

// quantileMs returns a percentile of a histogram of microseconds, in milliseconds.
func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// ratio returns a quotient rounded to six decimals, or 0 if the denominator is 0.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return math.Round(numerator/denominator*1e6) / 1e6
}

// CheckExpectations compares the result with the expectations of its experiment and records those that were not met.
func (r *Result) CheckExpectations(l *Ledger) {
	r.FailedExpectations = []string{}
	fail := func(format string, args ...any) {
		r.FailedExpectations = append(r.FailedExpectations, sprintf(format, args...))
	}
	expect := &l.scenario.Expect
	expectedBroken := map[string]bool{}
	for _, rule := range expect.BrokenRules {
		expectedBroken[rule] = true
	}
	for _, rule := range r.BrokenRules {
		if !expectedBroken[rule] {
			fail("rule %q is broken", rule)
		}
		delete(expectedBroken, rule)
	}
	for _, rule := range RuleNames {
		if expectedBroken[rule] {
			fail("rule %q was expected to be broken and is not", rule)
		}
	}
	requireMin := func(what string, got float64, bound *float64) {
		if bound != nil && got < *bound {
			fail("%s is %.3f, at least %.3f was expected", what, got, *bound)
		}
	}
	requireMax := func(what string, got float64, bound *float64) {
		if bound != nil && got > *bound {
			fail("%s is %.3f, at most %.3f was expected", what, got, *bound)
		}
	}
	requireMin("served_benefit", r.ServedBenefit, expect.MinServedBenefit)
	requireMin("worst_tenant", r.WorstTenantBenefit, expect.MinWorstTenantBenefit)
	requireMin("last_quarter_benefit", r.LastQuarterBenefit, expect.MinLastQuarterBenefit)
	requireMax("pushes_per_op", r.PushesPerOp, expect.MaxPushesPerOp)
	requireMax("wasted_work", r.WastedWork, expect.MaxWastedWork)
	if expect.MaxP99 != nil {
		bound := expect.MaxP99.Milliseconds()
		requireMax("p99 in ms", r.P99Ms, &bound)
	}
	if expect.Category != nil {
		for _, category := range r.Categories {
			if category.Name == expect.Category.Name {
				requireMin("served_benefit of "+category.Name, category.ServedBenefit, &expect.Category.MinServedBenefit)
			}
		}
	}
}
