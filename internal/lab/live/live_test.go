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

// The test's own program is the nodes.
const asNode = "CANVASLAB_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(asNode) != "" {
		os.Exit(labnode.Main("", strings.TrimPrefix(os.Getenv(asNode), "sound")))
	}
	goleak.VerifyTestMain(m)
}

func read(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read(experiments.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func options(t *testing.T, s *scenario.Scenario, fault string, length policy.Micros) Options {
	t.Helper()
	// env(1) sets the variable for this run's processes alone, so that runs can go side by side.
	return Options{Scenario: s, Seed: 1, LoadDuration: length, Arrivals: load.Generate(s, length, 1),
		Program: Program{Path: "/usr/bin/env", Args: []string{asNode + "=sound" + fault, os.Args[0]}, ExitsWithStdin: true}}
}

// The rules hold on sockets, and each one broken on purpose is seen. The runs are a few seconds; the whole experiments
// are played by hand.
func TestRulesAndFaults(t *testing.T) {
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
			s := read(t, c.experiment)
			r := sound(t, options(t, s, c.fault, c.length))
			if r.Ops == 0 || r.Served == 0 {
				t.Errorf("of %d ops %d served", r.Ops, r.Served)
			}
			want := trial.Faults[c.fault]
			if got := strings.Join(r.BrokenRules, " "); got != want {
				t.Errorf("broken %q, want %q: %v", got, want, r.BreachMessages)
			}
		})
	}
}

// At a small size simulated time and sockets agree within 5% of served benefit, also where servers fail.
func TestAgreesWithSimulatedTime(t *testing.T) {
	for _, name := range []string{"steady", "sinkhole"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := read(t, name)
			const length = 3 * policy.Second
			o := options(t, s, "", length)
			onSockets := sound(t, o)
			simulated, _, err := sim.Run(t.Context(), sim.Options{Scenario: s, Seed: 1, LoadDuration: length, Arrivals: o.Arrivals})
			if err != nil {
				t.Fatal(err)
			}
			if a, b := onSockets.ServedBenefit, simulated.ServedBenefit; math.Abs(a-b) > 0.05 {
				t.Errorf("served benefit %.3f on sockets, %.3f in simulated time", a, b)
			}
		})
	}
}

// A generator that falls behind says so, and the run is void. The ops here were to be sent before the load began.
func TestGeneratorFallsBehind(t *testing.T) {
	s := read(t, "steady")
	o := options(t, s, "", policy.Second)
	for i := range o.Arrivals[:20] {
		o.Arrivals[i].At = -policy.Second
	}
	r, _, err := Run(t.Context(), o)
	if err != nil || r.ScheduleMissed < 20 || r.VoidReason == "" {
		t.Errorf("%v: missed %d, void %q", err, r.ScheduleMissed, r.VoidReason)
	}
}

// A node that can't start is one line; nothing is left running, which goleak and the address show.
func TestPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	o := options(t, read(t, "steady"), "", policy.Second)
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

// A node that ends by itself in the middle ends the run with its last words.
func TestNodeEnds(t *testing.T) {
	o := options(t, read(t, "steady"), "", 3*policy.Second)
	o.Program.Args = []string{"sh", "-c", `exec 3<&0; "$0" <&3 & sleep 1; kill -9 $!; echo "fell over" >&2; exit 7`, os.Args[0]}
	t.Setenv(asNode, "sound")
	_, _, err := Run(t.Context(), o)
	if err == nil || !strings.Contains(err.Error(), "ended by itself: exit status 7: fell over") {
		t.Errorf("got %v", err)
	}
}

// shell starts a node through a shell, which runs script; $0 is the node, whose input ends with the shell's.
func shell(t *testing.T, o *Options, script string) {
	t.Setenv(asNode, "sound")
	o.Program.Args = []string{"sh", "-c", "exec 3<&0; " + script, os.Args[0]}
}

// short makes the waits for processes short, for this test.
func short(t *testing.T, wait time.Duration) {
	ready, exit := readyWait, exitWait
	readyWait, exitWait = wait, wait
	t.Cleanup(func() { readyWait, exitWait = ready, exit })
}

// Danger: a node's process that has started another, which holds its output open and waits for its input to end, was
// waited for without an end when it was killed.
func TestLeavesAnother(t *testing.T) {
	o := options(t, read(t, "steady"), "", 10*policy.Second)
	shell(t, &o, `"$0" <&3 & wait`)
	ctx, cancel := context.WithCancel(t.Context())
	o.OnSecond = func(policy.Micros, *ledger.Ledger) { cancel() }
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
		t.Fatalf("a run that was interrupted has not ended after %v", time.Since(begun))
	}
}

// A node that never gets ready, one that dies before, and one that ignores SIGTERM each end the run, which says so.
func TestNodesThatDoNot(t *testing.T) {
	short(t, 500*time.Millisecond)
	for name, c := range map[string]struct{ experiment, script, want string }{
		"gets ready":    {"steady", "exec sleep 30", "is not ready after 500ms"},
		"lives to it":   {"steady", "echo no room >&2; exit 3", "did not start: no room"},
		"heeds SIGTERM": {"node-restart", `trap "" TERM; "$0" <&3 & while kill -0 $!; do wait; done`, "did not end within 500ms after SIGTERM"},
	} {
		t.Run(name, func(t *testing.T) {
			o := options(t, read(t, c.experiment), "", 6*policy.Second)
			shell(t, &o, c.script)
			begun := time.Now()
			_, _, err := Run(t.Context(), o)
			if err == nil || !strings.Contains(err.Error(), c.want) || time.Since(begun) > 20*time.Second {
				t.Errorf("after %v: %v", time.Since(begun), err)
			}
		})
	}
}

// A node that does not get ready says where its goroutines stand.
func TestStuckNodeTells(t *testing.T) {
	short(t, time.Second)
	o := options(t, read(t, "steady"), "", policy.Second)
	shell(t, &o, `sed -i 's/"listen":"[^"]*"/"listen":"127.0.0.1:0"/' "$NODE_CONFIG"; exec "$0"`) // it listens where nobody asks
	_, _, err := Run(t.Context(), o)
	if err == nil || !strings.Contains(err.Error(), "is not ready after 1s") || !strings.Contains(err.Error(), "clients.(*Server).Serve") {
		t.Errorf("got %v", err)
	}
}

// A node that is started anew at the very end of its process comes back, whoever sees that end first.
func TestStartBehindItsEnd(t *testing.T) {
	r, err := start(t.Context(), options(t, read(t, "steady"), "", policy.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer r.stop()
	n := r.nodes[0]
	n.mu.Lock()
	cmd := n.process
	n.mu.Unlock()
	if err := n.kill(); err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.process = cmd // as long as await has not got the lock
	n.mu.Unlock()
	if err := n.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	response, err := readyClient.Get("http://" + n.door.addr + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

// A run that is cancelled while it starts leaves nothing running, and a stand-in whose address is taken says so.
func TestCancelledWhileStarting(t *testing.T) {
	o := options(t, read(t, "steady"), "", policy.Second)
	shell(t, &o, "exec sleep 30")
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
	taken := server.New(3, &scenario.MachineType{}, fleet.Spec{Cores: 1, Speed: 1}, l.Addr().String(), server.Environment{})
	if err := taken.Start(false); err == nil || !strings.Contains(err.Error(), "server 3: ") || !strings.Contains(err.Error(), "already in use") {
		t.Errorf("got %v", err)
	}
}

// A wait says what it waited for.
func TestAwait(t *testing.T) {
	var group sync.WaitGroup
	group.Add(1)
	if err := await(&group, "clients", time.Millisecond); err == nil || !strings.Contains(err.Error(), "clients of the run have not ended within 1ms") {
		t.Errorf("got %v", err)
	}
	group.Done()
	if err := await(&group, "clients", time.Second); err != nil {
		t.Error(err)
	}
}

// An interrupted run gives what it has, and a fleet without a load serves anybody.
func TestInterrupted(t *testing.T) {
	s := read(t, "steady")
	ctx, cancel := context.WithCancel(t.Context())
	o := options(t, s, "", 10*policy.Second)
	o.OnSecond = func(policy.Micros, *ledger.Ledger) { cancel() }
	r, _, err := Run(ctx, o)
	if err != nil || !r.Partial || r.Served == 0 || len(r.BrokenRules) > 0 {
		t.Errorf("%v, %+v", err, r)
	}
}

func TestServe(t *testing.T) {
	o := options(t, read(t, "steady"), "", 0)
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
