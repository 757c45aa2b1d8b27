package live

import (
	"strings"
	"testing"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/policy"
)

// sound plays until the rig itself was in time. Danger: a machine too busy would look like a node at fault.
func sound(t *testing.T, o Options) *ledger.Result {
	t.Helper()
	for range 6 {
		r, _, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if r.VoidReason == "" {
			return r
		}
		t.Log(r.VoidReason)
	}
	t.Fatal("six runs were void")
	return nil
}

const second = scenario.Duration(policy.Second)

// Processes that are stopped and go on, die and come back with no list, or at another address, and second ones under a
// name, with the ways between them cut: the rules hold at each node, and what a stopped one could not answer is its own.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	s := read(t, "fleet-pause")
	s.Tiers[0].NodeCount = 6
	s.Load.Rate = 120
	s.Disturbances = []scenario.Disturbance{
		{Kind: "node-pause", At: second, Duration: 2 * second, Count: 1, Tier: "front"},
		{Kind: "node-empty", At: second, Duration: second, Count: 1, Tier: "front"},
		{Kind: "node-move", At: 2 * second, Duration: second / 2, Count: 1, Tier: "front"},
		{Kind: "node-twin", At: second / 2, Duration: 3 * second, Count: 2, Tier: "front"},
		{Kind: "liar-down", At: second / 2, Tier: "front"}, // one that says otherwise of every server: a drain stays one
		{Kind: "liar-well", At: second / 2, Tier: "front"},
		{Kind: "drain", At: second * 3 / 2, Duration: second, Count: 1, Tier: "front"},
	}
	s.PeerFaults = []scenario.PeerFault{{Kind: "groups", At: second, Duration: 2 * second, PartSizes: []int{1, 2}}}
	r := sound(t, options(t, s, "", 5*policy.Second))
	if len(r.BrokenRules) > 0 || r.LostToPause == 0 || r.LostToCrash == 0 || r.Served < r.Ops*2/3 {
		t.Errorf("broken %v, lost to a pause %d and to deaths %d, served %d of %d: %s", r.BrokenRules, r.LostToPause, r.LostToCrash,
			r.Served, r.Ops, strings.Join(r.BreachMessages, "; "))
	}
}

// Cold servers under the sum of what 5, 20 and 30 processes send, thin and uneven, under a burst, while nodes are restarted:
// within their budget and what is put down to chance. Nodes that send a cold server all they have are seen.
func TestColdFleet(t *testing.T) {
	for _, c := range []struct {
		nodes int
		fault string
	}{{5, ""}, {20, ""}, {30, ""}, {20, "cold-flood"}} {
		s := read(t, "cold-fleet")
		s.Tiers[0].NodeCount = c.nodes
		r := sound(t, options(t, s, c.fault, 7*policy.Second))
		t.Logf("%d nodes %s: fullest window %.2f, %d fell over, served %d of %d", c.nodes, c.fault, r.ColdPeakLoad, r.CollapsedServers, r.Served, r.Ops)
		if fell := r.ColdPeakLoad > 1; fell != (c.fault != "") || r.ColdPeakLoad < 0.1 {
			t.Errorf("%d nodes %s: fullest window at a cold server %.2f of what it bears", c.nodes, c.fault, r.ColdPeakLoad)
		}
		if broken := strings.Join(r.BrokenRules, " "); broken != trial.Faults[c.fault] {
			t.Errorf("%d nodes %s: broken %q: %v", c.nodes, c.fault, broken, r.BreachMessages)
		}
	}
}

// Servers that are bad for half of the nodes only leave the rules whole, and the other half's ops served.
func TestOneSided(t *testing.T) {
	t.Parallel()
	s := read(t, "fleet-partial")
	s.Tiers[0].NodeCount = 6
	r := sound(t, options(t, s, "", 4*policy.Second))
	if len(r.BrokenRules) > 0 || r.PushesPerOp < 1.01 {
		t.Errorf("broken %v, %v pushes an op", r.BrokenRules, r.PushesPerOp)
	}
}
