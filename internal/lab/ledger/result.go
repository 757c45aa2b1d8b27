package ledger

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/policy"
)

func sprintf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// ms is a time in milliseconds, to a microsecond.
func milliseconds(t policy.Micros) float64 { return float64(t) / 1000 }

// Result is what a run came to: the JSON of --json. Ratios are 0 where nothing was counted.
type Result struct {
	Name               string           `json:"name"`
	Policy             string           `json:"policy"`
	Driver             string           `json:"driver"` // live: servers on loopback sockets; sim: simulated time
	Seed               uint64           `json:"seed"`
	Command            string           `json:"command"`
	Partial            bool             `json:"partial"` // ended before its time
	VoidReason         string           `json:"void,omitempty"`
	Ops                int              `json:"ops"` // of clients
	Served             int              `json:"served"`
	Nacked             int              `json:"nacked"`
	DeadLettered       int              `json:"dead_lettered"`
	ClientLeft         int              `json:"left"` // the client went first
	Unanswered         int              `json:"unanswered"`
	LostToCrash        int              `json:"lost_to_crash"` // tries that a node held when it died
	LostToPause        int              `json:"lost_to_pause"` // tries that a node held while its process was stopped
	HarnessLateMs      float64          `json:"rig_late_ms"`   // the most that the rig itself was late
	PeerTraffic        *PeerTraffic     `json:"between,omitempty"`
	DoubleAnswers      int              `json:"double_answers"`
	DoubleEffects      int              `json:"double_effects"`
	FalseNacks         int              `json:"false_nacks"`
	DrainBreaches      int              `json:"drain_breaches"`
	ColdBreaches       int              `json:"cold_breaches"`
	CollapsedServers   int              `json:"tipped_over"`
	ColdPeakLoad       float64          `json:"cold_fullest"` // fullest window at a cold server, as a share of its budget and chance
	LateAnswers        int              `json:"late"`
	LatePushes         int              `json:"late_sends"`
	PushesPerOp        float64          `json:"pushes_per_op"`    // of tries that reached a node of the first tier
	TriesPerOp         float64          `json:"tries_per_op"`     // of clients
	PushesAllTiers     float64          `json:"pushes_all_tiers"` // pushes in any tier, by client's op
	P50Ms              float64          `json:"p50_ms"`
	P99Ms              float64          `json:"p99_ms"`
	P999Ms             float64          `json:"p999_ms"`
	ServedBenefit      float64          `json:"served_benefit"` // share of what was offered
	LastQuarterBenefit float64          `json:"last_quarter_benefit"`
	WorstTenantBenefit float64          `json:"worst_tenant"`
	WastedWork         float64          `json:"wasted_work"` // share of core time whose answer reached nobody
	ScheduleMissed     int              `json:"schedule_missed"`
	BrokenRules        []string         `json:"broken_rules"`
	Categories         []CategoryResult `json:"categories"`
	BreachMessages     []string         `json:"breaches,omitempty"` // the first of them in words
	Events             []string         `json:"events,omitempty"`
	Series             []Bucket         `json:"series"`
	Throttles          []Throttle       `json:"throttles,omitempty"`
	FailedExpectations []string         `json:"failed_expectations"`
}

// Traffic is what nodes said to each other, as the relay counted it: a node and second, mean and the busiest node's.
type PeerTraffic struct {
	BytesPerSecond       float64 `json:"bytes_a_node_and_second"`
	MaxBytesPerSecond    float64 `json:"most_bytes_a_second"`
	DatagramsPerSecond   float64 `json:"datagrams_a_node_and_second"`
	StreamsPerSecond     float64 `json:"streams_a_node_and_second"`
	StreamBytesPerSecond float64 `json:"streamed_bytes_a_node_and_second"`
	MaxClosedByPeers     float64 `json:"most_closed_by_hearsay"` // part of a node's servers, as nodes say when asked
}

// Kind is one category's part.
type CategoryResult struct {
	Name          string  `json:"name"`
	Ops           int     `json:"ops"`
	Served        int     `json:"served"`
	ServedBenefit float64 `json:"served_benefit"`
	P50Ms         float64 `json:"p50_ms"`
	P99Ms         float64 `json:"p99_ms"`
}

// Bucket is one category over one span of the run.
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

// Throttle is one server's overload control at a node, while it acts.
type Throttle struct {
	AtMs        float64 `json:"at_ms"`
	Node        int     `json:"node"`
	Server      string  `json:"server"`
	Rate        float64 `json:"rate"` // ops a second that it lets pass at the cut
	CutoffLevel int     `json:"cut"`  // benefit level
}

// bucket finds a category's bucket of a moment.
func (a *Ledger) bucketAt(at policy.Micros, category int) *Bucket {
	n := int(max(0, at-a.loadStart)/a.bucketDuration)*len(a.scenario.Categories) + category
	for len(a.series) <= n {
		next := len(a.series)
		a.series = append(a.series, Bucket{AtMs: milliseconds(policy.Micros(next/len(a.scenario.Categories)) * a.bucketDuration),
			Category: next % len(a.scenario.Categories)})
	}
	return &a.series[n]
}

// Finish closes the account at the run's end and judges it. Tries that are still open by then got no answer.
func (a *Ledger) Finish(end policy.Micros) *Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.result // a copy: the account can be closed again
	a.tallyTries(&r)
	a.tallyOps(&r, end)
	a.tallyWork(&r)
	r.P50Ms, r.P99Ms, r.P999Ms = quantileMs(a.latency, 50), quantileMs(a.latency, 99), quantileMs(a.latency, 99.9)
	r.Series, r.BreachMessages = a.series, a.breachMessages
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

func (a *Ledger) tallyTries(r *Result) {
	clientTries, pushes := 0, 0
	for i := range a.tries {
		t := &a.tries[i]
		betweenTiers := a.ops[t.op].tier != 0
		switch {
		case t.verdict == Pending, t.verdict == Unanswered, t.verdict == ConnectionLost:
			if a.lostToCrash(t) {
				r.LostToCrash++
			} else if a.wasPaused(t, t.deadline) {
				r.LostToPause++
			} else if t.verdict != Pending || !betweenTiers {
				r.Unanswered++
				a.addBreach(sprintf("try %d to node %d got no answer", i, t.node))
			}
		}
		if !betweenTiers && t.verdict != Refused {
			clientTries++
			pushes += t.pushes
		}
	}
	r.PushesPerOp = ratio(float64(pushes), float64(clientTries))
}

func (a *Ledger) tallyOps(r *Result, end policy.Micros) {
	type sum struct{ earned, offered float64 }
	tenants := make([]sum, len(a.scenario.Tenants))
	categories := make([]sum, len(a.scenario.Categories))
	var total, lastQuarter sum
	tries := 0
	for range a.scenario.Categories {
		r.Categories = append(r.Categories, CategoryResult{})
	}
	lastQuarterStart := a.loadStart + (end-a.loadStart)*3/4
	for i := range a.ops {
		o := &a.ops[i]
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
			earned = a.earnedBenefit(o)
		case Nacked:
			r.Nacked++
		case ClientLeft:
			r.ClientLeft++
			continue // worth nothing to anybody
		case Failed:
			r.DeadLettered++
		}
		add := func(s *sum) { s.earned += earned; s.offered += o.offeredBenefit }
		add(&total)
		add(&categories[o.category])
		if o.tenant >= 0 {
			add(&tenants[o.tenant])
		}
		if o.intendedAt >= lastQuarterStart {
			add(&lastQuarter)
		}
	}
	r.ServedBenefit, r.LastQuarterBenefit = ratio(total.earned, total.offered), ratio(lastQuarter.earned, lastQuarter.offered)
	r.TriesPerOp = ratio(float64(tries), float64(r.Ops))
	r.PushesAllTiers = ratio(float64(len(a.pushes)), float64(r.Ops))
	r.WorstTenantBenefit = 1
	for _, t := range tenants {
		if t.offered > 0 {
			r.WorstTenantBenefit = min(r.WorstTenantBenefit, ratio(t.earned, t.offered))
		}
	}
	for i := range r.Categories {
		category := &r.Categories[i]
		category.Name, category.ServedBenefit = a.scenario.Categories[i].Name, ratio(categories[i].earned, categories[i].offered)
		category.P50Ms, category.P99Ms = quantileMs(a.latencyByCategory[i], 50), quantileMs(a.latencyByCategory[i], 99)
	}
}

// finishWork adds up core time whose answer reached no client, and the latency of each bucket.
func (a *Ledger) tallyWork(r *Result) {
	var total, wasted policy.Micros
	for i := range a.series {
		a.series[i].WastedMs = 0
	}
	for i := range a.pushes {
		p := &a.pushes[i]
		total += p.work
		if !p.served {
			wasted += p.work
			a.bucketAt(p.at, a.ops[a.tries[p.try].op].category).WastedMs += milliseconds(p.work)
		}
	}
	r.WastedWork = ratio(float64(wasted), float64(total))
	histograms := make([]*hdrhistogram.Histogram, len(a.series))
	for i := range a.ops {
		if o := &a.ops[i]; o.tier == 0 && o.verdict == Served {
			n := int(max(0, o.intendedAt+o.latency-a.loadStart)/a.bucketDuration)*len(a.scenario.Categories) + o.category
			if histograms[n] == nil {
				histograms[n] = hdrhistogram.New(1, 300_000_000, 2)
			}
			histograms[n].RecordValue(max(1, int64(o.latency)))
		}
	}
	for i, h := range histograms {
		if h != nil {
			a.series[i].P50Ms, a.series[i].P99Ms = quantileMs(h, 50), quantileMs(h, 99)
		}
	}
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// ratio is a share to six digits; 0 of nothing.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return math.Round(numerator/denominator*1e6) / 1e6
}

// Judge compares a result with what its experiment expects, and writes down what was not met.
func (r *Result) CheckExpectations(a *Ledger) {
	r.FailedExpectations = []string{}
	fail := func(format string, args ...any) {
		r.FailedExpectations = append(r.FailedExpectations, sprintf(format, args...))
	}
	expect := &a.scenario.Expect
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
			fail("rule %q was to be broken and is not", rule)
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
