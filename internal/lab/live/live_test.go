package live

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/sim"
	"canvasrouter/internal/standin/server"
	"canvasrouter/internal/standin/servermodel"
	experiments "canvasrouter/lab"
	"canvasrouter/policy"
)

// nodeFaultEnv makes the test binary run as a node. Its value is "sound", followed by the name of an injected fault.
const nodeFaultEnv = "CANVASLAB_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeFaultEnv) != "" {
		os.Exit(labnode.Main("", strings.TrimPrefix(os.Getenv(nodeFaultEnv), "sound")))
	}
	goleak.VerifyTestMain(m)
}

// readScenario reads a built-in experiment.
func readScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	experiment, err := scenario.Read(experiments.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

// testOptions returns the options of a run whose nodes are processes of the test binary with an injected fault, or "".
func testOptions(t *testing.T, experiment *scenario.Scenario, fault string, duration policy.Micros) Options {
	t.Helper()
	// env(1) sets the variable for the processes of this run only, so that runs can go in parallel.
	return Options{
		Scenario:     experiment,
		Seed:         1,
		LoadDuration: duration,
		Arrivals:     load.Generate(experiment, duration, 1),
		Program: Program{
			Path:           "/usr/bin/env",
			Args:           []string{nodeFaultEnv + "=sound" + fault, os.Args[0]},
			ExitsWithStdin: true,
		},
	}
}

// The rules hold on sockets, and the ledger finds each injected fault. The runs take a few seconds each; the experiments
// at full length are not part of the tests.
func TestRulesHoldAndInjectedFaultsAreFound(t *testing.T) {
	for _, test := range []struct {
		fault, experiment string
		length            policy.Micros
	}{
		{"", "broken-answers", 4 * policy.Second},
		{"", "drain", 4 * policy.Second},
		{"", "zone-lost", 5 * policy.Second},
		{"", "node-crash", 4 * policy.Second},
		{"", "node-restart", 4 * policy.Second},
		{"", "retry-storm", 4 * policy.Second},
		{"", "leaving-clients", 4 * policy.Second},
		{"double-push", "steady", policy.Second},
		{"lost-answer", "steady", policy.Second},
		{"late-answer", "steady", policy.Second},
		{"drained-send", "drain", 4 * policy.Second},
		{"cold-flood", "rolling-deploy", 5 * policy.Second},
	} {
		t.Run(test.experiment+test.fault, func(t *testing.T) {
			t.Parallel()
			experiment := readScenario(t, test.experiment)
			result := runUntilValid(t, testOptions(t, experiment, test.fault, test.length))
			if result.Ops == 0 || result.Served == 0 {
				t.Errorf("of %d ops %d served", result.Ops, result.Served)
			}
			want := deciders.Faults[test.fault]
			if got := strings.Join(result.BrokenRules, " "); got != want {
				t.Errorf("broken %q, want %q: %v", got, want, result.BreachMessages)
			}
		})
	}
}

// At a small size the served benefit on sockets and in simulated time differs by at most 0.05, also when servers fail.
func TestServedBenefitAgreesWithSimulation(t *testing.T) {
	for _, name := range []string{"steady", "sinkhole"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			experiment := readScenario(t, name)
			const duration = 3 * policy.Second
			options := testOptions(t, experiment, "", duration)
			onSockets := runUntilValid(t, options)
			simulated, _, err := sim.Run(t.Context(), sim.Options{Scenario: experiment, Seed: 1, LoadDuration: duration, Arrivals: options.Arrivals})
			if err != nil {
				t.Fatal(err)
			}
			if a, b := onSockets.ServedBenefit, simulated.ServedBenefit; math.Abs(a-b) > 0.05 {
				t.Errorf("served benefit %.3f on sockets, %.3f in simulated time", a, b)
			}
		})
	}
}

// A generator that falls behind makes the run void. Twenty ops are scheduled before the load begins, so they are late.
func TestLateGeneratorVoidsRun(t *testing.T) {
	experiment := readScenario(t, "steady")
	options := testOptions(t, experiment, "", policy.Second)
	for i := range options.Arrivals[:20] {
		options.Arrivals[i].At = -policy.Second
	}
	result, _, err := Run(t.Context(), options)
	if err != nil || result.ScheduleMissed < 20 || result.VoidReason == "" {
		t.Errorf("%v: missed %d, void %q", err, result.ScheduleMissed, result.VoidReason)
	}
}

// A node that can't start yields an error of one line, and nothing is left running, which goleak checks.
func TestNodeStartFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	options := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	options.ListenAddr = listener.Addr().String()
	_, _, err = Run(t.Context(), options)
	if err == nil || !strings.Contains(err.Error(), "node 0") || !strings.Contains(err.Error(), "address already in use") ||
		strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v", err)
	}
	options.Program = Program{Path: "/nonexistent/node"}
	if _, _, err := Run(t.Context(), options); err == nil || !strings.Contains(err.Error(), "/nonexistent/node") {
		t.Errorf("got %v", err)
	}
}

// A node that exits during the run ends the run with an error that has the last line of its log.
func TestNodeExitEndsRun(t *testing.T) {
	options := testOptions(t, readScenario(t, "steady"), "", 3*policy.Second)
	options.Program.Args = []string{"sh", "-c", `exec 3<&0; "$0" <&3 & sleep 1; kill -9 $!; echo "fell over" >&2; exit 7`, os.Args[0]}
	t.Setenv(nodeFaultEnv, "sound")
	_, _, err := Run(t.Context(), options)
	if err == nil || !strings.Contains(err.Error(), "ended by itself: exit status 7: fell over") {
		t.Errorf("got %v", err)
	}
}

// startThroughShell makes the run start nodes through a shell script. $0 is the node's program; its input ends when the
// shell's does.
func startThroughShell(t *testing.T, options *Options, script string) {
	t.Setenv(nodeFaultEnv, "sound")
	options.Program.Args = []string{"sh", "-c", "exec 3<&0; " + script, os.Args[0]}
}

// shortenTimeouts lowers the time limits for processes during this test.
func shortenTimeouts(t *testing.T, timeout time.Duration) {
	ready, exit := readyTimeout, exitTimeout
	readyTimeout = timeout
	exitTimeout = timeout
	t.Cleanup(func() {
		readyTimeout = ready
		exitTimeout = exit
	})
}

// A killed process whose child holds its output open must not block the run. The child waits for its input to end, and
// that input is closed only after the output; without a limit on reading the output the run never ended.
func TestChildOfKilledNodeDoesNotBlock(t *testing.T) {
	options := testOptions(t, readScenario(t, "steady"), "", 10*policy.Second)
	startThroughShell(t, &options, `"$0" <&3 & wait`)
	ctx, cancel := context.WithCancel(t.Context())
	options.OnSecond = func(policy.Micros, *ledger.Ledger) { cancel() }
	startedAt := time.Now()
	ended := make(chan *ledger.Result, 1)
	go func() {
		result, _, err := Run(ctx, options)
		if err != nil {
			t.Error(err)
		}
		ended <- result
	}()
	select {
	case result := <-ended:
		if result == nil || !result.Partial || result.Served == 0 {
			t.Errorf("got %+v", result)
		}
	case <-time.After(30 * time.Second):
		t.Fatalf("interrupted run has not ended after %v", time.Since(startedAt))
	}
}

// A node that never gets ready, one that exits before it is ready, and one that ignores SIGTERM each end the run with an
// error that names the cause.
func TestProcessTimeouts(t *testing.T) {
	shortenTimeouts(t, 500*time.Millisecond)
	for name, test := range map[string]struct{ experiment, script, want string }{
		"never ready":     {"steady", "exec sleep 30", "is not ready after 500ms"},
		"exits early":     {"steady", "echo no room >&2; exit 3", "did not start: no room"},
		"ignores SIGTERM": {"node-restart", `trap "" TERM; "$0" <&3 & while kill -0 $!; do wait; done`, "did not end within 500ms after SIGTERM"},
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions(t, readScenario(t, test.experiment), "", 6*policy.Second)
			startThroughShell(t, &options, test.script)
			startedAt := time.Now()
			_, _, err := Run(t.Context(), options)
			if err == nil || !strings.Contains(err.Error(), test.want) || time.Since(startedAt) > 20*time.Second {
				t.Errorf("after %v: %v", time.Since(startedAt), err)
			}
		})
	}
}

// The error about a node that does not get ready contains the stacks of its goroutines.
func TestStuckNodeDumpsGoroutines(t *testing.T) {
	shortenTimeouts(t, time.Second)
	options := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	startThroughShell(t, &options, `sed -i 's/"listen":"[^"]*"/"listen":"127.0.0.1:0"/' "$NODE_CONFIG"; exec "$0"`) // it listens on another port than the one that is checked
	_, _, err := Run(t.Context(), options)
	if err == nil || !strings.Contains(err.Error(), "is not ready after 1s") || !strings.Contains(err.Error(), "frontend.(*Server).Serve") {
		t.Errorf("got %v", err)
	}
}

// A node that is started again after its process exited, but before waitForExit has recorded the exit, comes up. If
// start took the exited process for a running one, the node would stay down.
func TestRestartBeforeExitIsRecorded(t *testing.T) {
	r, err := startRun(t.Context(), testOptions(t, readScenario(t, "steady"), "", policy.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer r.stop()
	node := r.nodes[0]
	node.mu.Lock()
	cmd := node.cmd
	node.mu.Unlock()
	if err := node.kill(); err != nil {
		t.Fatal(err)
	}
	node.mu.Lock()
	node.cmd = cmd // as before waitForExit gets the lock
	node.mu.Unlock()
	if err := node.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	response, err := readyClient.Get("http://" + node.endpoint.addr + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

// A run that is cancelled while it starts ends soon and leaves nothing running. A stand-in server whose address is in use
// returns an error that names it.
func TestCancelDuringStart(t *testing.T) {
	options := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	startThroughShell(t, &options, "exec sleep 30")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	if _, _, err := Run(ctx, options); !errors.Is(err, context.DeadlineExceeded) || time.Since(startedAt) > 20*time.Second {
		t.Errorf("after %v: %v", time.Since(startedAt), err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	standinServer := server.New(3, &scenario.MachineType{}, servermodel.Spec{Cores: 1, Speed: 1}, listener.Addr().String(), server.Environment{})
	if err := standinServer.Start(false); err == nil || !strings.Contains(err.Error(), "server 3: ") || !strings.Contains(err.Error(), "already in use") {
		t.Errorf("got %v", err)
	}
}

// waitFor returns an error that names the group when the timeout passes, and none when the group is done.
func TestWaitFor(t *testing.T) {
	var group sync.WaitGroup
	group.Add(1)
	if err := waitFor(&group, "clients", time.Millisecond); err == nil || !strings.Contains(err.Error(), "clients of the run have not ended within 1ms") {
		t.Errorf("got %v", err)
	}
	group.Done()
	if err := waitFor(&group, "clients", time.Second); err != nil {
		t.Error(err)
	}
}

// An interrupted run returns a partial result.
func TestInterruptedRunIsPartial(t *testing.T) {
	experiment := readScenario(t, "steady")
	ctx, cancel := context.WithCancel(t.Context())
	options := testOptions(t, experiment, "", 10*policy.Second)
	options.OnSecond = func(policy.Micros, *ledger.Ledger) { cancel() }
	result, _, err := Run(ctx, options)
	if err != nil || !result.Partial || result.Served == 0 || len(result.BrokenRules) > 0 {
		t.Errorf("%v, %+v", err, result)
	}
}

// A fleet without a generated load serves ops of any client.
func TestServe(t *testing.T) {
	options := testOptions(t, readScenario(t, "steady"), "", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := ""
	err := Serve(ctx, options, func(nodes []string) {
		request, _ := http.NewRequest("GET", "http://"+nodes[0]+"/slots", nil)
		request.Header.Set("X-Txn", "1")
		request.Header.Set("X-Remaining-Ms", "900")
		if response, err := readyClient.Do(request); err != nil {
			got = err.Error()
		} else {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			got = response.Status + " " + string(body)
		}
		cancel()
	})
	if err != nil || !strings.HasPrefix(got, `200 OK {"server":`) {
		t.Errorf("%v, %s", err, got)
	}
}
