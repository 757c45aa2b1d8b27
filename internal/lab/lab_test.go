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

func find(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := ReadExperiment(experiments.Files, name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What an experiment expects is judged for the whole load by the module, and the rules always. A report of several
// results is one page that needs no other file.
func TestPlayJudgeReport(t *testing.T) {
	s := find(t, "all-slow")
	c := RunOptions{Experiment: "all-slow", Seed: 1, Driver: "sim"}
	module, err := Run(t.Context(), s, c, nil)
	if err != nil || len(module.FailedExpectations) > 0 {
		t.Fatalf("%v %v", err, module.FailedExpectations)
	}
	high := 1.0
	s.Expect.MinServedBenefit = &high
	if r, _ := Run(t.Context(), s, c, nil); len(r.FailedExpectations) != 1 || !strings.Contains(r.FailedExpectations[0], "served_benefit") {
		t.Errorf("failures %v", r.FailedExpectations)
	}
	c.Policy = "random"
	random, err := Run(t.Context(), find(t, "all-slow"), c, nil)
	if err != nil || random.Policy != "random" || random.ServedBenefit >= module.ServedBenefit {
		t.Errorf("%v: random served %v, the module %v", err, random.ServedBenefit, module.ServedBenefit)
	}
	dir := filepath.Join(t.TempDir(), "report")
	page, err := report.Write(dir, find(t, "all-slow"), []*ledger.Result{module, random})
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := os.ReadFile(page)
	for _, want := range []string{module.Command, "data:image/png;base64,", "<td>random", "Core time"} {
		if !bytes.Contains(raw, []byte(want)) {
			t.Errorf("the page has no %q", want)
		}
	}
	if bytes.Contains(raw, []byte(`src="http`)) || bytes.Contains(raw, []byte("<script")) {
		t.Error("the page needs another file")
	}
	plots, _ := filepath.Glob(filepath.Join(dir, "*.png"))
	for _, p := range plots {
		if head, _ := os.ReadFile(p); !bytes.HasPrefix(head, []byte("\x89PNG")) {
			t.Errorf("%s is no PNG", p)
		}
	}
	if len(plots) != 8 {
		t.Errorf("%d plots", len(plots))
	}
}

// A run that was cut short is marked, keeps its JSON and report, and is judged by the rules alone.
func TestPartialReport(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := find(t, "steady")
	r, err := Run(ctx, s, RunOptions{Experiment: "steady", Seed: 1, Driver: "sim"}, func(now policy.Micros, _ *ledger.Ledger) {
		if now >= 3*policy.Second {
			cancel()
		}
	})
	if err != nil || !r.Partial || len(r.FailedExpectations) > 0 {
		t.Fatalf("%v %+v", err, r)
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
	if _, err := report.Write(t.TempDir(), find(t, "steady"), []*ledger.Result{r}); err != nil {
		t.Error(err)
	}
}

func TestBadChoices(t *testing.T) {
	s := find(t, "steady")
	for want, c := range map[string]RunOptions{
		"driver":                          {Driver: "paper"},
		`policy "luck"`:                   {Driver: "sim", Policy: "luck"},
		`fault "rust"`:                    {Driver: "sim", InjectedFault: "rust"},
		"can't be played":                 {Driver: "sim", NodeProgram: "/bin/true"},
		"no such file":                    {Driver: "sim", TraceFile: "/nonexistent"},
		`no experiment "nothing of mine"`: {Experiment: "nothing of mine"},
	} {
		var err error
		if c.Experiment != "" {
			_, err = ReadExperiment(experiments.Files, c.Experiment)
		} else {
			_, err = Run(t.Context(), s, c, nil)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Real traffic that passes through is written down, and the trace can be played.
func TestRecord(t *testing.T) {
	behind := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
	defer behind.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	s := find(t, "noisy-tenant")
	ctx, cancel := context.WithCancel(t.Context())
	var file bytes.Buffer
	done := make(chan int)
	go func() {
		n, err := RecordTrace(ctx, s, addr, strings.TrimPrefix(behind.URL, "http://"), &file)
		if err != nil {
			t.Error(err)
		}
		done <- n
	}()
	sent := 0
	for begun := time.Now(); sent < 3 && time.Since(begun) < 5*time.Second; {
		request, _ := http.NewRequest("GET", "http://"+addr+[]string{"/slots/1", "/booking", "/elsewhere"}[sent], nil)
		request.Header.Set("X-Org", "chenku")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			time.Sleep(5 * time.Millisecond) // not up yet
			continue
		}
		response.Body.Close()
		sent++
	}
	cancel()
	if n := <-done; n != 2 {
		t.Errorf("%d arrivals recorded", n)
	}
	arrivals, err := load.ReadTrace(bytes.NewReader(file.Bytes()), s, 10*policy.Second)
	if err != nil || len(arrivals) != 2 || arrivals[1].Category != 1 || arrivals[1].Tenant != 1 {
		t.Errorf("%v %+v", err, arrivals)
	}
}
