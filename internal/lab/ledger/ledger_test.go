package ledger

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

const millisecond = policy.Millisecond

func newTestLedger(t *testing.T) *Ledger {
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

// Each breach of a rule is detected, and similar sequences that are allowed are not reported as breaches.
func TestRules(t *testing.T) {
	const slots, booking, cancel = 0, 1, 2
	try := func(ledger *Ledger, category int) (OpID, TryID) {
		op := ledger.RecordOp(0, category, -1, 0)
		return op, ledger.RecordTry(op, 0, 0, 200*millisecond)
	}
	for name, c := range map[string]struct {
		record func(*Ledger)
		want   []string
	}{
		"served": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 0, 1)
			ledger.RecordTryEnd(id, 50*millisecond, Served)
		}, []string{}},
		"answered twice": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 50*millisecond, Served)
			ledger.RecordExtraAnswer(id)
		}, []string{"answer"}},
		"never answered": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 500*millisecond, Unanswered)
		}, []string{"answer"}},
		"pending at a node that crashed": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordNodeCrash(0, 10*millisecond)
			ledger.RecordTryEnd(id, 11*millisecond, ConnectionLost)
		}, []string{}},
		"connection lost before the node crashed": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 5*millisecond, ConnectionLost)
			ledger.RecordNodeCrash(0, 10*millisecond)
		}, []string{"answer"}},
		"sent after its node crashed and restarted": {func(ledger *Ledger) {
			ledger.RecordNodeCrash(0, 0)
			op := ledger.RecordOp(900*millisecond, slots, -1, 0)
			ledger.RecordTryEnd(ledger.RecordTry(op, 0, 900*millisecond, 1100*millisecond), 1500*millisecond, Unanswered)
		}, []string{"answer"}},
		"pending at a paused node": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordNodePause(0, true, 10*millisecond)
			ledger.RecordTryEnd(id, 500*millisecond, Unanswered)
			ledger.RecordNodePause(0, false, 900*millisecond)
		}, []string{}},
		"sent after its node resumed": {func(ledger *Ledger) {
			ledger.RecordNodePause(0, true, 0)
			ledger.RecordNodePause(0, false, 100*millisecond)
			op := ledger.RecordOp(900*millisecond, slots, -1, 0)
			ledger.RecordTryEnd(ledger.RecordTry(op, 0, 900*millisecond, 1100*millisecond), 1500*millisecond, Unanswered)
		}, []string{"answer"}},
		"drain sent while its node was paused": {func(ledger *Ledger) {
			ledger.RecordNodePause(0, true, 0)
			ledger.RecordServerState(0, 3, policy.Draining, 0, 10*millisecond)
			ledger.RecordNodePause(0, false, 4000*millisecond)
			op := ledger.RecordOp(4000*millisecond, slots, -1, 0)
			ledger.RecordPush(ledger.RecordTry(op, 0, 4000*millisecond, 4200*millisecond), 3, 4100*millisecond)
		}, []string{}},
		"answered within the tolerance": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 270*millisecond, Failed)
		}, []string{}},
		"answered late": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 271*millisecond, Failed)
		}, []string{"answer"}},
		"client left": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 50*millisecond, ClientLeft)
		}, []string{}},
		"ran after its client left": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			p := ledger.RecordPush(id, 0, 1)
			ledger.RecordTryEnd(id, 9, ClientLeft)
			ledger.RecordEffect(p)
		}, []string{}},
		"pushed after its end": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordTryEnd(id, 10*millisecond, Served)
			ledger.RecordPush(id, 1, 61*millisecond)
		}, []string{"answer"}},
		"ran twice, redeliverable": {func(ledger *Ledger) {
			_, id := try(ledger, slots)
			ledger.RecordEffect(ledger.RecordPush(id, 0, 1))
			ledger.RecordEffect(ledger.RecordPush(id, 1, 2))
			ledger.RecordTryEnd(id, 9, Served)
		}, []string{}},
		"ran twice, at most once": {func(ledger *Ledger) {
			_, id := try(ledger, cancel)
			ledger.RecordEffect(ledger.RecordPush(id, 0, 1))
			ledger.RecordEffect(ledger.RecordPush(id, 1, 2))
			ledger.RecordTryEnd(id, 9, Served)
		}, []string{"effect"}},
		"two tries of one op ran": {func(ledger *Ledger) {
			op, id := try(ledger, booking)
			ledger.RecordEffect(ledger.RecordPush(id, 0, 1))
			ledger.RecordTryEnd(id, 9, Failed)
			second := ledger.RecordTry(op, 0, 10, 200*millisecond)
			ledger.RecordEffect(ledger.RecordPush(second, 0, 11))
			ledger.RecordTryEnd(second, 20, Served)
		}, []string{"effect"}},
		"nacked after it ran": {func(ledger *Ledger) {
			_, id := try(ledger, cancel)
			ledger.RecordEffect(ledger.RecordPush(id, 0, 1))
			ledger.RecordTryEnd(id, 9, Nacked)
		}, []string{"effect"}},
		"nacked before it ran": {func(ledger *Ledger) {
			_, id := try(ledger, cancel)
			p := ledger.RecordPush(id, 0, 1)
			ledger.RecordTryEnd(id, 9, Nacked)
			ledger.RecordEffect(p)
		}, []string{"effect"}},
		"nacked after it ran, deduplicated by all servers": {func(ledger *Ledger) {
			_, id := try(ledger, booking)
			ledger.RecordEffect(ledger.RecordPush(id, 0, 1))
			ledger.RecordTryEnd(id, 9, Nacked)
		}, []string{}},
		"drained, sent to the previous process": {func(ledger *Ledger) {
			ledger.RecordServerState(0, 1, policy.Draining, 0, 0)
			ledger.RecordNodeStart(0)
			ledger.RecordServerState(0, 1, policy.Ready, 0, 500*millisecond)
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 1, 2500*millisecond)
			ledger.RecordTryEnd(id, 2501*millisecond-2300*millisecond, ClientLeft)
		}, []string{}},
		"drained, sent again to the new process": {func(ledger *Ledger) {
			ledger.RecordServerState(0, 1, policy.Draining, 0, 0)
			ledger.RecordNodeStart(0)
			ledger.RecordServerState(0, 1, policy.Draining, 0, 500*millisecond)
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 1, 2500*millisecond)
			ledger.RecordTryEnd(id, 2501*millisecond-2300*millisecond, ClientLeft)
		}, []string{"drain"}},
		"drained, within the grace period": {func(ledger *Ledger) {
			ledger.RecordServerState(0, 1, policy.Draining, 0, 0)
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 1, 550*millisecond)
			ledger.RecordTryEnd(id, 551*millisecond-300*millisecond, ClientLeft)
		}, []string{}},
		"drained, past the grace period": {func(ledger *Ledger) {
			ledger.RecordServerState(0, 1, policy.Draining, 0, 0)
			ledger.RecordServerState(0, 1, policy.Gone, 0, 300*millisecond) // the grace period runs from the first notification
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 1, 551*millisecond)
			ledger.RecordTryEnd(id, 560*millisecond, ClientLeft)
		}, []string{"drain"}},
		"drained, then ready again": {func(ledger *Ledger) {
			ledger.RecordServerState(0, 1, policy.Draining, 0, 0)
			ledger.RecordServerState(0, 1, policy.Ready, 0, 100*millisecond)
			_, id := try(ledger, slots)
			ledger.RecordPush(id, 1, 900*millisecond)
			ledger.RecordTryEnd(id, 900*millisecond, ClientLeft)
		}, []string{}},
		"collapsed by nodes that knew of its start":         {func(ledger *Ledger) { ledger.RecordCollapse(0, true) }, []string{"cold"}},
		"collapsed by nodes that did not know of its start": {func(ledger *Ledger) { ledger.RecordCollapse(0, false) }, []string{}},
	} {
		ledger := newTestLedger(t)
		c.record(ledger)
		r := ledger.Finish(policy.Second)
		if diff := cmp.Diff(c.want, r.BrokenRules); diff != "" {
			t.Errorf("%s: %s %v", name, diff, r.BreachMessages)
		}
	}
}

// The fields of the result hold the benefit, latency and wasted work of the recorded ops, and keep their JSON names.
func TestResultFields(t *testing.T) {
	ledger := newTestLedger(t)
	for i, took := range []policy.Micros{50 * millisecond, 150 * millisecond} { // within the target latency, and past it
		op := ledger.RecordOp(policy.Micros(i), 0, -1, 0)
		firstTry := ledger.RecordTry(op, 0, policy.Micros(i), 200*millisecond)
		pushID := ledger.RecordPush(firstTry, 0, 1)
		ledger.RecordWork(pushID, 10*millisecond)
		ledger.RecordServedBy(pushID)
		ledger.RecordTryEnd(firstTry, policy.Micros(i)+took, Served)
	}
	op := ledger.RecordOp(2, 0, -1, 0)
	firstTry := ledger.RecordTry(op, 0, 2, 200*millisecond)
	ledger.RecordWork(ledger.RecordPush(firstTry, 1, 3), 20*millisecond)
	ledger.RecordTryEnd(firstTry, 100*millisecond, Failed)
	secondTry := ledger.RecordTry(op, 0, 110*millisecond, 200*millisecond)
	ledger.RecordTryEnd(secondTry, 120*millisecond, Nacked)
	r := ledger.Finish(policy.Second)
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
		if _, ok := fields[name]; !ok {
			t.Errorf("the JSON has no %s", name)
		}
	}
	bound := 0.9
	ledger.scenario.Expect = scenario.Expect{MinServedBenefit: &bound, BrokenRules: []string{"cold"}}
	r.CheckExpectations(ledger)
	if len(r.FailedExpectations) != 2 {
		t.Errorf("failed expectations: %v", r.FailedExpectations)
	}
}
