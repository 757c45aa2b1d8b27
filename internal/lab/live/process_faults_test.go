package live

import (
	"strings"
	"testing"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/policy"
)

// runUntilValid repeats a run, at most six times, until it is not void. On a machine that is too busy the harness itself
// is late, which looks like a fault of a node.
func runUntilValid(t *testing.T, o Options) *ledger.Result {
	t.Helper()
	for range 6 {
		r, _, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Void == "" {
			return r
		}
		t.Log(r.Void)
	}
	t.Fatal("all six runs were void")
	return nil
}

const second = scenario.Span(policy.Second)

// The rules hold at each node while processes are paused and resumed, crash and come back without a cached list or at
// another address, have duplicates under their name, and are partitioned from each other. Ops that a paused process could
// not answer are counted as lost to the pause.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	s := readScenario(t, "fleet-pause")
	s.Tiers[0].Nodes = 6
	s.Load.Rate = 120
	s.Troubles = []scenario.Trouble{
		{Kind: "node-pause", At: second, For: 2 * second, Count: 1, Tier: "front"},
		{Kind: "node-empty", At: second, For: second, Count: 1, Tier: "front"},
		{Kind: "node-move", At: 2 * second, For: second / 2, Count: 1, Tier: "front"},
		{Kind: "node-twin", At: second / 2, For: 3 * second, Count: 2, Tier: "front"},
		{Kind: "liar-down", At: second / 2, Tier: "front"}, // false reports on every server must not end a drain
		{Kind: "liar-well", At: second / 2, Tier: "front"},
		{Kind: "drain", At: second * 3 / 2, For: second, Count: 1, Tier: "front"},
	}
	s.Between = []scenario.Between{{Kind: "groups", At: second, For: 2 * second, Parts: []int{1, 2}}}
	r := runUntilValid(t, testOptions(t, s, "", 5*policy.Second))
	if len(r.BrokenRules) > 0 || r.LostToPause == 0 || r.LostToCrash == 0 || r.Served < r.Ops*2/3 {
		t.Errorf("broken %v, lost to pauses %d and to crashes %d, served %d of %d: %s", r.BrokenRules, r.LostToPause, r.LostToCrash,
			r.Served, r.Ops, strings.Join(r.Breaches, "; "))
	}
}

// The total load that 5, 20 or 30 processes send to cold servers stays within the servers' budget plus the allowance for
// chance, with low and uneven traffic, a burst and node restarts. Nodes that send a cold server all their load are found.
func TestColdFleet(t *testing.T) {
	for _, c := range []struct {
		nodes int
		fault string
	}{{5, ""}, {20, ""}, {30, ""}, {20, "cold-flood"}} {
		s := readScenario(t, "cold-fleet")
		s.Tiers[0].Nodes = c.nodes
		r := runUntilValid(t, testOptions(t, s, c.fault, 7*policy.Second))
		t.Logf("%d nodes %s: fullest window %.2f, %d collapsed, served %d of %d", c.nodes, c.fault, r.ColdFullest, r.TippedOver, r.Served, r.Ops)
		if overloaded := r.ColdFullest > 1; overloaded != (c.fault != "") || r.ColdFullest < 0.1 {
			t.Errorf("%d nodes %s: fullest window at a cold server %.2f of its capacity", c.nodes, c.fault, r.ColdFullest)
		}
		if broken := strings.Join(r.BrokenRules, " "); broken != trial.Faults[c.fault] {
			t.Errorf("%d nodes %s: broken %q: %v", c.nodes, c.fault, broken, r.Breaches)
		}
	}
}

// The rules hold when servers don't answer half of the nodes, and those nodes repeat pushes at other servers.
func TestPartialPushLoss(t *testing.T) {
	t.Parallel()
	s := readScenario(t, "fleet-partial")
	s.Tiers[0].Nodes = 6
	r := runUntilValid(t, testOptions(t, s, "", 4*policy.Second))
	if len(r.BrokenRules) > 0 || r.PushesPerOp < 1.01 {
		t.Errorf("broken %v, %v pushes an op", r.BrokenRules, r.PushesPerOp)
	}
}
