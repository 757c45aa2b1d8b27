package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/report"
	"canvasrouter/internal/lab/scenario"
	experiments "canvasrouter/lab"
	"canvasrouter/policy"
)

func readExperiment(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	experiment, err := ReadExperiment(experiments.Files, name)
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

// The expectations of an experiment are checked for the full load with the module, and the rules in every run. A report
// on several results is one page that needs no other file.
func TestRunCheckAndReport(t *testing.T) {
	experiment := readExperiment(t, "all-slow")
	options := RunOptions{Experiment: "all-slow", Seed: 1, Driver: "sim"}
	module, err := Run(t.Context(), experiment, options, nil)
	if err != nil || len(module.FailedExpectations) > 0 {
		t.Fatalf("%v %v", err, module.FailedExpectations)
	}
	unreachable := 1.0
	experiment.Expect.MinServedBenefit = &unreachable
	if result, _ := Run(t.Context(), experiment, options, nil); len(result.FailedExpectations) != 1 || !strings.Contains(result.FailedExpectations[0], "served_benefit") {
		t.Errorf("failures %v", result.FailedExpectations)
	}
	options.Policy = "random"
	random, err := Run(t.Context(), readExperiment(t, "all-slow"), options, nil)
	if err != nil || random.Policy != "random" || random.ServedBenefit >= module.ServedBenefit {
		t.Errorf("%v: random served %v, the module %v", err, random.ServedBenefit, module.ServedBenefit)
	}
	dir := filepath.Join(t.TempDir(), "report")
	page, err := report.Write(dir, readExperiment(t, "all-slow"), []*ledger.Result{module, random})
	if err != nil {
		t.Fatal(err)
	}
	html, _ := os.ReadFile(page)
	for _, want := range []string{module.Command, "data:image/png;base64,", "<td>random", "Core time"} {
		if !bytes.Contains(html, []byte(want)) {
			t.Errorf("the page doesn't contain %q", want)
		}
	}
	if bytes.Contains(html, []byte(`src="http`)) || bytes.Contains(html, []byte("<script")) {
		t.Error("the page needs another file")
	}
	plots, _ := filepath.Glob(filepath.Join(dir, "*.png"))
	for _, plotFile := range plots {
		if head, _ := os.ReadFile(plotFile); !bytes.HasPrefix(head, []byte("\x89PNG")) {
			t.Errorf("%s is not a PNG file", plotFile)
		}
	}
	if len(plots) != 8 {
		t.Errorf("%d plots, want 8", len(plots))
	}
}

// The result of a cancelled run is marked as partial, can be written as JSON and as a report, and is checked against the
// rules only.
func TestCancelledRunIsPartial(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	experiment := readExperiment(t, "steady")
	result, err := Run(ctx, experiment, RunOptions{Experiment: "steady", Seed: 1, Driver: "sim"}, func(now policy.Micros, _ *ledger.Ledger) {
		if now >= 3*policy.Second {
			cancel()
		}
	})
	if err != nil || !result.Partial || len(result.FailedExpectations) > 0 {
		t.Fatalf("%v %+v", err, result)
	}
	if _, err := json.Marshal(result); err != nil {
		t.Error(err)
	}
	if _, err := report.Write(t.TempDir(), readExperiment(t, "steady"), []*ledger.Result{result}); err != nil {
		t.Error(err)
	}
}

// Invalid options and unknown names return an error that names them.
func TestInvalidOptions(t *testing.T) {
	experiment := readExperiment(t, "steady")
	for want, options := range map[string]RunOptions{
		"driver":                          {Driver: "paper"},
		`policy "luck"`:                   {Driver: "sim", Policy: "luck"},
		`fault "rust"`:                    {Driver: "sim", InjectedFault: "rust"},
		"can't be played":                 {Driver: "sim", NodeProgram: "/bin/true"},
		"no such file":                    {Driver: "sim", TraceFile: "/nonexistent"},
		`no experiment "nothing of mine"`: {Experiment: "nothing of mine"},
	} {
		var err error
		if options.Experiment != "" {
			_, err = ReadExperiment(experiments.Files, options.Experiment)
		} else {
			_, err = Run(t.Context(), experiment, options, nil)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// RecordTrace records the ops of known categories that pass through, and the trace can be read again.
func TestRecordTrace(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
	defer backend.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	experiment := readExperiment(t, "noisy-tenant")
	ctx, cancel := context.WithCancel(t.Context())
	var file bytes.Buffer
	done := make(chan int)
	go func() {
		count, err := RecordTrace(ctx, experiment, addr, strings.TrimPrefix(backend.URL, "http://"), &file)
		if err != nil {
			t.Error(err)
		}
		done <- count
	}()
	sent := 0
	for startedAt := time.Now(); sent < 3 && time.Since(startedAt) < 5*time.Second; {
		request, _ := http.NewRequest("GET", "http://"+addr+[]string{"/slots/1", "/booking", "/elsewhere"}[sent], nil)
		request.Header.Set("X-Org", "chenku")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			time.Sleep(5 * time.Millisecond) // the proxy doesn't listen yet
			continue
		}
		response.Body.Close()
		sent++
	}
	cancel()
	if count := <-done; count != 2 {
		t.Errorf("%d arrivals recorded, want 2", count)
	}
	arrivals, err := load.ReadTrace(bytes.NewReader(file.Bytes()), experiment, 10*policy.Second)
	if err != nil || len(arrivals) != 2 || arrivals[1].Category != 1 || arrivals[1].Tenant != 1 {
		t.Errorf("%v %+v", err, arrivals)
	}
}
