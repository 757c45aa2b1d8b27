package ledger

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

const msec = policy.Millisecond

func account(t *testing.T) *Account {
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
	try := func(a *Account, category int) (OpID, TryID) {
		op := a.Offer(0, category, -1, 0)
		return op, a.Try(op, 0, 0, 200*msec)
	}
	for name, c := range map[string]struct {
		do   func(*Account)
		want []string
	}{
		"served": {func(a *Account) { _, x := try(a, slots); a.Push(x, 0, 1); a.End(x, 50*msec, Served) }, []string{}},
		"twice answered": {func(a *Account) { _, x := try(a, slots); a.End(x, 50*msec, Served); a.Extra(x) },
			[]string{"answer"}},
		"never answered": {func(a *Account) { _, x := try(a, slots); a.End(x, 500*msec, Unanswered) }, []string{"answer"}},
		"held by a node that died": {func(a *Account) { _, x := try(a, slots); a.Crashed(0, 10*msec); a.End(x, 11*msec, Broken) },
			[]string{}},
		"broken before the node died": {func(a *Account) { _, x := try(a, slots); a.End(x, 5*msec, Broken); a.Crashed(0, 10*msec) },
			[]string{"answer"}},
		"sent after its node died and came back": {func(a *Account) {
			a.Crashed(0, 0)
			op := a.Offer(900*msec, slots, -1, 0)
			a.End(a.Try(op, 0, 900*msec, 1100*msec), 1500*msec, Unanswered)
		}, []string{"answer"}},
		"held by a node that was stopped": {func(a *Account) {
			_, x := try(a, slots)
			a.Paused(0, true, 10*msec)
			a.End(x, 500*msec, Unanswered)
			a.Paused(0, false, 900*msec)
		}, []string{}},
		"sent after its node went on": {func(a *Account) {
			a.Paused(0, true, 0)
			a.Paused(0, false, 100*msec)
			op := a.Offer(900*msec, slots, -1, 0)
			a.End(a.Try(op, 0, 900*msec, 1100*msec), 1500*msec, Unanswered)
		}, []string{"answer"}},
		"drained while its node was stopped": {func(a *Account) {
			a.Paused(0, true, 0)
			a.Told(0, 3, policy.Draining, 0, 10*msec)
			a.Paused(0, false, 4000*msec)
			op := a.Offer(4000*msec, slots, -1, 0)
			a.Push(a.Try(op, 0, 4000*msec, 4200*msec), 3, 4100*msec)
		}, []string{}},
		"just in time":         {func(a *Account) { _, x := try(a, slots); a.End(x, 270*msec, Failed) }, []string{}},
		"late":                 {func(a *Account) { _, x := try(a, slots); a.End(x, 271*msec, Failed) }, []string{"answer"}},
		"client left":          {func(a *Account) { _, x := try(a, slots); a.End(x, 50*msec, Left) }, []string{}},
		"run for one who left": {func(a *Account) { _, x := try(a, slots); p := a.Push(x, 0, 1); a.End(x, 9, Left); a.Effect(p) }, []string{}},
		"sent after its end": {func(a *Account) { _, x := try(a, slots); a.End(x, 10*msec, Served); a.Push(x, 1, 61*msec) },
			[]string{"answer"}},
		"ran twice, may": {func(a *Account) {
			_, x := try(a, slots)
			a.Effect(a.Push(x, 0, 1))
			a.Effect(a.Push(x, 1, 2))
			a.End(x, 9, Served)
		}, []string{}},
		"ran twice, may not": {func(a *Account) {
			_, x := try(a, cancel)
			a.Effect(a.Push(x, 0, 1))
			a.Effect(a.Push(x, 1, 2))
			a.End(x, 9, Served)
		}, []string{"effect"}},
		"two tries of one op ran": {func(a *Account) {
			op, x := try(a, booking)
			a.Effect(a.Push(x, 0, 1))
			a.End(x, 9, Failed)
			y := a.Try(op, 0, 10, 200*msec)
			a.Effect(a.Push(y, 0, 11))
			a.End(y, 20, Served)
		}, []string{"effect"}},
		"nacked and had run":         {func(a *Account) { _, x := try(a, cancel); a.Effect(a.Push(x, 0, 1)); a.End(x, 9, Nacked) }, []string{"effect"}},
		"nacked and ran later":       {func(a *Account) { _, x := try(a, cancel); p := a.Push(x, 0, 1); a.End(x, 9, Nacked); a.Effect(p) }, []string{"effect"}},
		"nacked, ran, may run again": {func(a *Account) { _, x := try(a, booking); a.Effect(a.Push(x, 0, 1)); a.End(x, 9, Nacked) }, []string{}},
		"drained, told to the process before": {func(a *Account) {
			a.Told(0, 1, policy.Draining, 0, 0)
			a.Anew(0)
			a.Told(0, 1, policy.Ready, 0, 500*msec)
			_, x := try(a, slots)
			a.Push(x, 1, 2500*msec)
			a.End(x, 2501*msec-2300*msec, Left)
		}, []string{}},
		"drained, told to the process anew": {func(a *Account) {
			a.Told(0, 1, policy.Draining, 0, 0)
			a.Anew(0)
			a.Told(0, 1, policy.Draining, 0, 500*msec)
			_, x := try(a, slots)
			a.Push(x, 1, 2500*msec)
			a.End(x, 2501*msec-2300*msec, Left)
		}, []string{"drain"}},
		"drained, inside the grace": {func(a *Account) {
			a.Told(0, 1, policy.Draining, 0, 0)
			_, x := try(a, slots)
			a.Push(x, 1, 550*msec)
			a.End(x, 551*msec-300*msec, Left)
		}, []string{}},
		"drained, past the grace": {func(a *Account) {
			a.Told(0, 1, policy.Draining, 0, 0)
			a.Told(0, 1, policy.Gone, 0, 300*msec) // counts from the first word
			_, x := try(a, slots)
			a.Push(x, 1, 551*msec)
			a.End(x, 560*msec, Left)
		}, []string{"drain"}},
		"drained and back": {func(a *Account) {
			a.Told(0, 1, policy.Draining, 0, 0)
			a.Told(0, 1, policy.Ready, 0, 100*msec)
			_, x := try(a, slots)
			a.Push(x, 1, 900*msec)
			a.End(x, 900*msec, Left)
		}, []string{}},
		"tipped over by those who knew": {func(a *Account) { a.Tipped(0, true) }, []string{"cold"}},
		"tipped over unseen":            {func(a *Account) { a.Tipped(0, false) }, []string{}},
	} {
		a := account(t)
		c.do(a)
		r := a.Finish(policy.Second)
		if diff := cmp.Diff(c.want, r.BrokenRules); diff != "" {
			t.Errorf("%s: %s %v", name, diff, r.Breaches)
		}
	}
}

// Benefit, latency and waste are counted as the fields say.
func TestFigures(t *testing.T) {
	a := account(t)
	for i, took := range []policy.Micros{50 * msec, 150 * msec} { // in its target latency, and past it
		op := a.Offer(policy.Micros(i), 0, -1, 0)
		x := a.Try(op, 0, policy.Micros(i), 200*msec)
		p := a.Push(x, 0, 1)
		a.Worked(p, 10*msec)
		a.ServedBy(p)
		a.End(x, policy.Micros(i)+took, Served)
	}
	op := a.Offer(2, 0, -1, 0)
	x := a.Try(op, 0, 2, 200*msec)
	a.Worked(a.Push(x, 1, 3), 20*msec)
	a.End(x, 100*msec, Failed)
	y := a.Try(op, 0, 110*msec, 200*msec)
	a.End(y, 120*msec, Nacked)
	r := a.Finish(policy.Second)
	got := []float64{float64(r.Ops), float64(r.Served), float64(r.Nacked), float64(r.DeadLettered), r.ServedBenefit, r.Wasted,
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
	a.scenario.Expect = scenario.Expect{Served: &bound, Broken: []string{"cold"}}
	r.Judge(a)
	if len(r.Failures) != 2 {
		t.Errorf("failures %v", r.Failures)
	}
}
