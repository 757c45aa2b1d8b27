package ledger

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

const msec = policy.Millisecond

func account(t *testing.T) *Ledger {
	t.Helper()
	s, err := scenario.Parse([]byte(`name = "x"
[load]
rate = 1.0
[limits]
drain_grace = "500ms"
answer_slack = "20ms"
[[category]]
name = "slots"
work = "10ms"
target_latency = "100ms"
ttl = "200ms"
late_benefit = 0.5
[[category]]
name = "booking"
work = "10ms"
target_latency = "100ms"
ttl = "200ms"
repeat = "deduplicated"
scope = "all"
[[category]]
name = "cancel"
work = "10ms"
target_latency = "100ms"
ttl = "200ms"
repeat = "at_most_once"
[[tier]]
name = "front"
  [[tier.kind]]
  count = 2
`))
	if err != nil {
		t.Fatal(err)
	}
	return New(s, 0, policy.Second, false)
}

// Each breach is seen, and what only looks like one is none.
func TestRules(t *testing.T) {
	const slots, booking, cancel = 0, 1, 2
	try := func(a *Ledger, category int) (OpID, TryID) {
		op := a.RecordOp(0, category, -1, 0)
		return op, a.RecordTry(op, 0, 0, 200*msec)
	}
	for name, c := range map[string]struct {
		do   func(*Ledger)
		want []string
	}{
		"served": {func(a *Ledger) { _, x := try(a, slots); a.RecordPush(x, 0, 1); a.RecordTryEnd(x, 50*msec, Served) }, []string{}},
		"twice answered": {func(a *Ledger) { _, x := try(a, slots); a.RecordTryEnd(x, 50*msec, Served); a.RecordExtraAnswer(x) },
			[]string{"answer"}},
		"never answered": {func(a *Ledger) { _, x := try(a, slots); a.RecordTryEnd(x, 500*msec, Unanswered) }, []string{"answer"}},
		"held by a node that died": {func(a *Ledger) {
			_, x := try(a, slots)
			a.RecordNodeCrash(0, 10*msec)
			a.RecordTryEnd(x, 11*msec, ConnectionLost)
		},
			[]string{}},
		"broken before the node died": {func(a *Ledger) {
			_, x := try(a, slots)
			a.RecordTryEnd(x, 5*msec, ConnectionLost)
			a.RecordNodeCrash(0, 10*msec)
		},
			[]string{"answer"}},
		"sent after its node died and came back": {func(a *Ledger) {
			a.RecordNodeCrash(0, 0)
			op := a.RecordOp(900*msec, slots, -1, 0)
			a.RecordTryEnd(a.RecordTry(op, 0, 900*msec, 1100*msec), 1500*msec, Unanswered)
		}, []string{"answer"}},
		"held by a node that was stopped": {func(a *Ledger) {
			_, x := try(a, slots)
			a.RecordNodePause(0, true, 10*msec)
			a.RecordTryEnd(x, 500*msec, Unanswered)
			a.RecordNodePause(0, false, 900*msec)
		}, []string{}},
		"sent after its node went on": {func(a *Ledger) {
			a.RecordNodePause(0, true, 0)
			a.RecordNodePause(0, false, 100*msec)
			op := a.RecordOp(900*msec, slots, -1, 0)
			a.RecordTryEnd(a.RecordTry(op, 0, 900*msec, 1100*msec), 1500*msec, Unanswered)
		}, []string{"answer"}},
		"drained while its node was stopped": {func(a *Ledger) {
			a.RecordNodePause(0, true, 0)
			a.RecordServerState(0, 3, policy.Draining, 0, 10*msec)
			a.RecordNodePause(0, false, 4000*msec)
			op := a.RecordOp(4000*msec, slots, -1, 0)
			a.RecordPush(a.RecordTry(op, 0, 4000*msec, 4200*msec), 3, 4100*msec)
		}, []string{}},
		"just in time": {func(a *Ledger) { _, x := try(a, slots); a.RecordTryEnd(x, 270*msec, Failed) }, []string{}},
		"late":         {func(a *Ledger) { _, x := try(a, slots); a.RecordTryEnd(x, 271*msec, Failed) }, []string{"answer"}},
		"client left":  {func(a *Ledger) { _, x := try(a, slots); a.RecordTryEnd(x, 50*msec, ClientLeft) }, []string{}},
		"run for one who left": {func(a *Ledger) {
			_, x := try(a, slots)
			p := a.RecordPush(x, 0, 1)
			a.RecordTryEnd(x, 9, ClientLeft)
			a.RecordEffect(p)
		}, []string{}},
		"sent after its end": {func(a *Ledger) {
			_, x := try(a, slots)
			a.RecordTryEnd(x, 10*msec, Served)
			a.RecordPush(x, 1, 61*msec)
		},
			[]string{"answer"}},
		"ran twice, may": {func(a *Ledger) {
			_, x := try(a, slots)
			a.RecordEffect(a.RecordPush(x, 0, 1))
			a.RecordEffect(a.RecordPush(x, 1, 2))
			a.RecordTryEnd(x, 9, Served)
		}, []string{}},
		"ran twice, may not": {func(a *Ledger) {
			_, x := try(a, cancel)
			a.RecordEffect(a.RecordPush(x, 0, 1))
			a.RecordEffect(a.RecordPush(x, 1, 2))
			a.RecordTryEnd(x, 9, Served)
		}, []string{"effect"}},
		"two tries of one op ran": {func(a *Ledger) {
			op, x := try(a, booking)
			a.RecordEffect(a.RecordPush(x, 0, 1))
			a.RecordTryEnd(x, 9, Failed)
			y := a.RecordTry(op, 0, 10, 200*msec)
			a.RecordEffect(a.RecordPush(y, 0, 11))
			a.RecordTryEnd(y, 20, Served)
		}, []string{"effect"}},
		"nacked and had run": {func(a *Ledger) {
			_, x := try(a, cancel)
			a.RecordEffect(a.RecordPush(x, 0, 1))
			a.RecordTryEnd(x, 9, Nacked)
		}, []string{"effect"}},
		"nacked and ran later": {func(a *Ledger) {
			_, x := try(a, cancel)
			p := a.RecordPush(x, 0, 1)
			a.RecordTryEnd(x, 9, Nacked)
			a.RecordEffect(p)
		}, []string{"effect"}},
		"nacked, ran, may run again": {func(a *Ledger) {
			_, x := try(a, booking)
			a.RecordEffect(a.RecordPush(x, 0, 1))
			a.RecordTryEnd(x, 9, Nacked)
		}, []string{}},
		"drained, told to the process before": {func(a *Ledger) {
			a.RecordServerState(0, 1, policy.Draining, 0, 0)
			a.RecordNodeStart(0)
			a.RecordServerState(0, 1, policy.Ready, 0, 500*msec)
			_, x := try(a, slots)
			a.RecordPush(x, 1, 2500*msec)
			a.RecordTryEnd(x, 2501*msec-2300*msec, ClientLeft)
		}, []string{}},
		"drained, told to the process anew": {func(a *Ledger) {
			a.RecordServerState(0, 1, policy.Draining, 0, 0)
			a.RecordNodeStart(0)
			a.RecordServerState(0, 1, policy.Draining, 0, 500*msec)
			_, x := try(a, slots)
			a.RecordPush(x, 1, 2500*msec)
			a.RecordTryEnd(x, 2501*msec-2300*msec, ClientLeft)
		}, []string{"drain"}},
		"drained, inside the grace": {func(a *Ledger) {
			a.RecordServerState(0, 1, policy.Draining, 0, 0)
			_, x := try(a, slots)
			a.RecordPush(x, 1, 550*msec)
			a.RecordTryEnd(x, 551*msec-300*msec, ClientLeft)
		}, []string{}},
		"drained, past the grace": {func(a *Ledger) {
			a.RecordServerState(0, 1, policy.Draining, 0, 0)
			a.RecordServerState(0, 1, policy.Gone, 0, 300*msec) // counts from the first word
			_, x := try(a, slots)
			a.RecordPush(x, 1, 551*msec)
			a.RecordTryEnd(x, 560*msec, ClientLeft)
		}, []string{"drain"}},
		"drained and back": {func(a *Ledger) {
			a.RecordServerState(0, 1, policy.Draining, 0, 0)
			a.RecordServerState(0, 1, policy.Ready, 0, 100*msec)
			_, x := try(a, slots)
			a.RecordPush(x, 1, 900*msec)
			a.RecordTryEnd(x, 900*msec, ClientLeft)
		}, []string{}},
		"tipped over by those who knew": {func(a *Ledger) { a.RecordCollapse(0, true) }, []string{"cold"}},
		"tipped over unseen":            {func(a *Ledger) { a.RecordCollapse(0, false) }, []string{}},
	} {
		a := account(t)
		c.do(a)
		r := a.Finish(policy.Second)
		if diff := cmp.Diff(c.want, r.BrokenRules); diff != "" {
			t.Errorf("%s: %s %v", name, diff, r.BreachMessages)
		}
	}
}

// Benefit, latency and waste are counted as the fields say.
func TestFigures(t *testing.T) {
	a := account(t)
	for i, took := range []policy.Micros{50 * msec, 150 * msec} { // in its target latency, and past it
		op := a.RecordOp(policy.Micros(i), 0, -1, 0)
		x := a.RecordTry(op, 0, policy.Micros(i), 200*msec)
		p := a.RecordPush(x, 0, 1)
		a.RecordWork(p, 10*msec)
		a.RecordServedBy(p)
		a.RecordTryEnd(x, policy.Micros(i)+took, Served)
	}
	op := a.RecordOp(2, 0, -1, 0)
	x := a.RecordTry(op, 0, 2, 200*msec)
	a.RecordWork(a.RecordPush(x, 1, 3), 20*msec)
	a.RecordTryEnd(x, 100*msec, Failed)
	y := a.RecordTry(op, 0, 110*msec, 200*msec)
	a.RecordTryEnd(y, 120*msec, Nacked)
	r := a.Finish(policy.Second)
	got := []float64{float64(r.Ops), float64(r.Served), float64(r.Nacked), float64(r.DeadLettered), r.ServedBenefit, r.WastedWork,
		r.PushesPerOp, r.TriesPerOp}
	if diff := cmp.Diff([]float64{3, 2, 1, 0, 0.5, 0.5, 0.75, 1.333333}, got); diff != "" {
		t.Error(diff)
	}
	if r.P50Ms < 49 || r.P50Ms > 51 || r.P99Ms < 149 || r.P99Ms > 151 {
		t.Errorf("p50 %v, p99 %v", r.P50Ms, r.P99Ms)
	}
	raw, _ := json.Marshal(r)
	var fields map[string]any
	json.Unmarshal(raw, &fields)
	for _, name := range []string{"ops", "served", "nacked", "dead_lettered", "unanswered", "double_answers", "double_effects",
		"drain_breaches", "cold_breaches", "late", "pushes_per_op", "p50_ms", "p99_ms", "p999_ms", "schedule_missed"} {
		if _, there := fields[name]; !there {
			t.Errorf("the JSON has no %s", name)
		}
	}
	bound := 0.9
	a.scenario.Expect = scenario.Expect{MinServedBenefit: &bound, BrokenRules: []string{"cold"}}
	r.CheckExpectations(a)
	if len(r.FailedExpectations) != 2 {
		t.Errorf("failures %v", r.FailedExpectations)
	}
}
