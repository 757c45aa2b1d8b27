package live

import (
	"strings"
	"testing"

	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

// runUntilValid repeats a run, at most six times, until it is not void. On a machine that is too busy the harness itself
// is late, which looks like a fault of a node.
func runUntilValid(t *testing.T, options Options) *ledger.Result {
	t.Helper()
	for range 6 {
		result, _, err := Run(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		if result.VoidReason == "" {
			return result
		}
		t.Log(result.VoidReason)
	}
	t.Fatal("all six runs were void")
	return nil
}

const second = scenario.Duration(policy.Second)

// The rules hold at each node while processes are paused and resumed, crash and come back without a cached list or at
// another address, have duplicates under their name, and are partitioned from each other. Ops that a paused process could
// not answer are counted as lost to the pause.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	experiment := readScenario(t, "fleet-pause")
	experiment.Tiers[0].NodeCount = 6
	experiment.Load.Rate = 120
	experiment.Disturbances = []scenario.Disturbance{
		{Kind: "node-pause", At: second, Duration: 2 * second, Count: 1, Tier: "front"},
		{Kind: "node-empty", At: second, Duration: second, Count: 1, Tier: "front"},
		{Kind: "node-move", At: 2 * second, Duration: second / 2, Count: 1, Tier: "front"},
		{Kind: "node-twin", At: second / 2, Duration: 3 * second, Count: 2, Tier: "front"},
		{Kind: "liar-down", At: second / 2, Tier: "front"}, // false reports on every server must not end a drain
		{Kind: "liar-well", At: second / 2, Tier: "front"},
		{Kind: "drain", At: second * 3 / 2, Duration: second, Count: 1, Tier: "front"},
	}
	experiment.PeerFaults = []scenario.PeerFault{{Kind: "groups", At: second, Duration: 2 * second, PartSizes: []int{1, 2}}}
	result := runUntilValid(t, testOptions(t, experiment, "", 5*policy.Second))
	if len(result.BrokenRules) > 0 || result.LostToPause == 0 || result.LostToCrash == 0 || result.Served < result.Ops*2/3 {
		t.Errorf("broken %v, lost to pauses %d and to crashes %d, served %d of %d: %s", result.BrokenRules, result.LostToPause, result.LostToCrash,
			result.Served, result.Ops, strings.Join(result.BreachMessages, "; "))
	}
}

// The total load that 5, 20 or 30 processes send to cold servers stays within the servers' budget plus the allowance for
// chance, with low and uneven traffic, a burst and node restarts. Nodes that send a cold server all their load are found.
func TestColdFleet(t *testing.T) {
	for _, test := range []struct {
		nodes int
		fault string
	}{{5, ""}, {20, ""}, {30, ""}, {20, "cold-flood"}} {
		experiment := readScenario(t, "cold-fleet")
		experiment.Tiers[0].NodeCount = test.nodes
		result := runUntilValid(t, testOptions(t, experiment, test.fault, 7*policy.Second))
		t.Logf("%d nodes %s: highest load in a window %.2f, %d collapsed, served %d of %d", test.nodes, test.fault, result.ColdPeakLoad, result.CollapsedServers, result.Served, result.Ops)
		if overloaded := result.ColdPeakLoad > 1; overloaded != (test.fault != "") || result.ColdPeakLoad < 0.1 {
			t.Errorf("%d nodes %s: highest load of a cold server in a window %.2f of its capacity", test.nodes, test.fault, result.ColdPeakLoad)
		}
		if broken := strings.Join(result.BrokenRules, " "); broken != deciders.Faults[test.fault] {
			t.Errorf("%d nodes %s: broken %q: %v", test.nodes, test.fault, broken, result.BreachMessages)
		}
	}
}

// The rules hold when servers don't answer half of the nodes, and those nodes repeat pushes at other servers.
func TestPartialPushLoss(t *testing.T) {
	t.Parallel()
	experiment := readScenario(t, "fleet-partial")
	experiment.Tiers[0].NodeCount = 6
	result := runUntilValid(t, testOptions(t, experiment, "", 4*policy.Second))
	if len(result.BrokenRules) > 0 || result.PushesPerOp < 1.01 {
		t.Errorf("broken %v, %v pushes an op", result.BrokenRules, result.PushesPerOp)
	}
}
