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

	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/sim"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/internal/standin/fleet"
	"canvasrouter/internal/standin/server"
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

func readScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read(experiments.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func testOptions(t *testing.T, s *scenario.Scenario, fault string, length policy.Micros) Options {
	t.Helper()
	// env(1) sets the variable for the processes of this run only, so that runs can go in parallel.
	return Options{Scenario: s, Seed: 1, LoadDuration: length, Arrivals: load.Make(s, length, 1),
		Program: Program{Path: "/usr/bin/env", Args: []string{nodeFaultEnv + "=sound" + fault, os.Args[0]}, ExitsWithStdin: true}}
}

// The rules hold on sockets, and the ledger finds each injected fault. The runs take a few seconds each; the experiments
// at full length are not part of the tests.
func TestRulesHoldAndInjectedFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.experiment+c.fault, func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, c.experiment)
			r := runUntilValid(t, testOptions(t, s, c.fault, c.length))
			if r.Ops == 0 || r.Served == 0 {
				t.Errorf("of %d ops %d served", r.Ops, r.Served)
			}
			want := trial.Faults[c.fault]
			if got := strings.Join(r.BrokenRules, " "); got != want {
				t.Errorf("broken %q, want %q: %v", got, want, r.Breaches)
			}
		})
	}
}

// At a small size the served benefit on sockets and in simulated time differs by at most 0.05, also when servers fail.
func TestServedBenefitAgreesWithSimulation(t *testing.T) {
	for _, name := range []string{"steady", "sinkhole"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, name)
			const length = 3 * policy.Second
			o := testOptions(t, s, "", length)
			onSockets := runUntilValid(t, o)
			simulated, _, err := sim.Run(t.Context(), sim.Options{Scenario: s, Seed: 1, Length: length, Arrivals: o.Arrivals})
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
	s := readScenario(t, "steady")
	o := testOptions(t, s, "", policy.Second)
	for i := range o.Arrivals[:20] {
		o.Arrivals[i].At = -policy.Second
	}
	r, _, err := Run(t.Context(), o)
	if err != nil || r.ScheduleMissed < 20 || r.Void == "" {
		t.Errorf("%v: missed %d, void %q", err, r.ScheduleMissed, r.Void)
	}
}

// A node that can't start yields an error of one line, and nothing is left running, which goleak checks.
func TestNodeStartFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	o := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	o.ListenAddr = l.Addr().String()
	_, _, err = Run(t.Context(), o)
	if err == nil || !strings.Contains(err.Error(), "node 0") || !strings.Contains(err.Error(), "address already in use") ||
		strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v", err)
	}
	o.Program = Program{Path: "/nonexistent/node"}
	if _, _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "/nonexistent/node") {
		t.Errorf("got %v", err)
	}
}

// A node that exits during the run ends the run with an error that has the last line of its log.
func TestNodeExitEndsRun(t *testing.T) {
	o := testOptions(t, readScenario(t, "steady"), "", 3*policy.Second)
	o.Program.Args = []string{"sh", "-c", `exec 3<&0; "$0" <&3 & sleep 1; kill -9 $!; echo "fell over" >&2; exit 7`, os.Args[0]}
	t.Setenv(nodeFaultEnv, "sound")
	_, _, err := Run(t.Context(), o)
	if err == nil || !strings.Contains(err.Error(), "ended by itself: exit status 7: fell over") {
		t.Errorf("got %v", err)
	}
}

// startThroughShell makes the run start nodes through a shell script. $0 is the node's program; its input ends when the
// shell's does.
func startThroughShell(t *testing.T, o *Options, script string) {
	t.Setenv(nodeFaultEnv, "sound")
	o.Program.Args = []string{"sh", "-c", "exec 3<&0; " + script, os.Args[0]}
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
	o := testOptions(t, readScenario(t, "steady"), "", 10*policy.Second)
	startThroughShell(t, &o, `"$0" <&3 & wait`)
	ctx, cancel := context.WithCancel(t.Context())
	o.OnSecond = func(policy.Micros, *ledger.Account) { cancel() }
	begun := time.Now()
	ended := make(chan *ledger.Result, 1)
	go func() {
		r, _, err := Run(ctx, o)
		if err != nil {
			t.Error(err)
		}
		ended <- r
	}()
	select {
	case r := <-ended:
		if r == nil || !r.Partial || r.Served == 0 {
			t.Errorf("got %+v", r)
		}
	case <-time.After(30 * time.Second):
		t.Fatalf("interrupted run has not ended after %v", time.Since(begun))
	}
}

// A node that never gets ready, one that exits before it is ready, and one that ignores SIGTERM each end the run with an
// error that names the cause.
func TestProcessTimeouts(t *testing.T) {
	shortenTimeouts(t, 500*time.Millisecond)
	for name, c := range map[string]struct{ experiment, script, want string }{
		"never ready":     {"steady", "exec sleep 30", "is not ready after 500ms"},
		"exits early":     {"steady", "echo no room >&2; exit 3", "did not start: no room"},
		"ignores SIGTERM": {"node-restart", `trap "" TERM; "$0" <&3 & while kill -0 $!; do wait; done`, "did not end within 500ms after SIGTERM"},
	} {
		t.Run(name, func(t *testing.T) {
			o := testOptions(t, readScenario(t, c.experiment), "", 6*policy.Second)
			startThroughShell(t, &o, c.script)
			begun := time.Now()
			_, _, err := Run(t.Context(), o)
			if err == nil || !strings.Contains(err.Error(), c.want) || time.Since(begun) > 20*time.Second {
				t.Errorf("after %v: %v", time.Since(begun), err)
			}
		})
	}
}

// The error about a node that does not get ready contains the stacks of its goroutines.
func TestStuckNodeDumpsGoroutines(t *testing.T) {
	shortenTimeouts(t, time.Second)
	o := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	startThroughShell(t, &o, `sed -i 's/"listen":"[^"]*"/"listen":"127.0.0.1:0"/' "$NODE_CONFIG"; exec "$0"`) // it listens on another port than the one that is checked
	_, _, err := Run(t.Context(), o)
	if err == nil || !strings.Contains(err.Error(), "is not ready after 1s") || !strings.Contains(err.Error(), "clients.(*Server).Serve") {
		t.Errorf("got %v", err)
	}
}

// A node that is started again after its process exited, but before waitForExit has recorded the exit, comes up. It used
// to stay down, since start took the process for a running one.
func TestRestartBeforeExitIsRecorded(t *testing.T) {
	r, err := startRun(t.Context(), testOptions(t, readScenario(t, "steady"), "", policy.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer r.stop()
	n := r.nodes[0]
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if err := n.kill(); err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.cmd = cmd // as before waitForExit gets the lock
	n.mu.Unlock()
	if err := n.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	response, err := readyClient.Get("http://" + n.endpoint.addr + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

// A run that is cancelled while it starts ends soon and leaves nothing running. A stand-in server whose address is in use
// returns an error that names it.
func TestCancelDuringStart(t *testing.T) {
	o := testOptions(t, readScenario(t, "steady"), "", policy.Second)
	startThroughShell(t, &o, "exec sleep 30")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	begun := time.Now()
	if _, _, err := Run(ctx, o); !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) > 20*time.Second {
		t.Errorf("after %v: %v", time.Since(begun), err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken := server.New(3, &scenario.Kind{}, fleet.Traits{Cores: 1, Speed: 1}, l.Addr().String(), server.World{})
	if err := taken.Up(false); err == nil || !strings.Contains(err.Error(), "server 3: ") || !strings.Contains(err.Error(), "already in use") {
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
	s := readScenario(t, "steady")
	ctx, cancel := context.WithCancel(t.Context())
	o := testOptions(t, s, "", 10*policy.Second)
	o.OnSecond = func(policy.Micros, *ledger.Account) { cancel() }
	r, _, err := Run(ctx, o)
	if err != nil || !r.Partial || r.Served == 0 || len(r.BrokenRules) > 0 {
		t.Errorf("%v, %+v", err, r)
	}
}

// A fleet without a generated load serves ops of any client.
func TestServe(t *testing.T) {
	o := testOptions(t, readScenario(t, "steady"), "", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got := ""
	err := Serve(ctx, o, func(nodes []string) {
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
