package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/ledger"
)

// runAsCanvaslabEnv makes the test binary run as canvaslab, also for the node processes that it starts.
const runAsCanvaslabEnv = "CANVASLAB_TEST_AS_LAB"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCanvaslabEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runCanvaslab runs canvaslab with arguments, and returns its output, its error output and its exit code.
func runCanvaslab(t *testing.T, args ...string) (out, errors string, code int) {
	t.Helper()
	cmd := command(args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
	defer stop.Stop()
	cmd.Wait()
	return stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
}

// command makes a command that runs the test binary as canvaslab.
func command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsCanvaslabEnv+"=1")
	return cmd
}

// Each command prints what it should and exits with 0, with 1 if an expectation was not met, or with 2 and one line about
// the error.
func TestCommandOutputAndExitCodes(t *testing.T) {
	dir := t.TempDir()
	inDir := func(name string) string { return filepath.Join(dir, name) }
	invalidExperiment := inDir("bad.toml")
	os.WriteFile(invalidExperiment, []byte("name = \"x\"\nspeed = 1\n"), 0o600)
	for _, test := range []struct {
		args []string
		code int
		want string // in either output
	}{
		{[]string{"list"}, 0, "rolling-deploy"},
		{[]string{"list", "--troubles"}, 0, "registry-stale"},
		{[]string{"list", "--faults"}, 0, "late-answer      answer"},
		{[]string{"run", "steady", "--driver", "sim", "--short", "--json", inDir("a.json")}, 0, "the four rules hold"},
		{[]string{"run", "steady", "--driver", "sim", "--short", "--json", inDir("b.json")}, 0, "again: canvaslab run steady --short --seed 1 --driver sim"},
		{[]string{"run", "steady", "--driver", "sim", "--short", "--break", "lost-answer"}, 0, "broken rules: answer"},
		{[]string{"run", "steady", "--driver", "sim", "--short", "--break", "drained-send"}, 1, "the ledger did not see it"},
		{[]string{"run", "steady", "--driver", "sim", "--break", "rust"}, 2, `fault "rust" is not one of`},
		{[]string{"run", "nothing"}, 2, `no experiment "nothing"`},
		{[]string{"run", invalidExperiment}, 2, "bad.toml: line 2, column 1: key speed: "},
		{[]string{"run", "steady", "--driver", "sim", "--short", "--report", inDir("r")}, 0, "index.html"},
		{[]string{"record", "steady", inDir("t.jsonl"), "--short"}, 0, "arrivals"},
		{[]string{"record", "steady", inDir("u.jsonl"), "--listen", "127.0.0.1:1"}, 2, "--listen and --to go together"},
		{[]string{"replay", inDir("t.jsonl"), "--on", "sinkhole", "--driver", "sim"}, 0, "the four rules hold"},
		{[]string{"compare", "module", "random", "--on", "all-slow", "--driver", "sim", "--runs", "2"}, 0, "served_benefit"},
		{[]string{"compare", "module", "luck"}, 2, `"luck" is no policy`},
		{[]string{"table", "steady", "sinkhole", "--driver", "sim", "--short"}, 0, "| sinkhole | sim |"},
		{[]string{"run", "steady", "--short", "--node", "/bin/false"}, 2, "did not start"},
	} {
		out, errors, code := runCanvaslab(t, test.args...)
		if code != test.code || !strings.Contains(out+errors, test.want) {
			t.Errorf("%v: exit %d, %s%s", test.args, code, out, errors)
		}
		if code == 2 && strings.Count(errors, "\n") != 1 {
			t.Errorf("%v: not one line: %q", test.args, errors)
		}
	}
	first, _ := os.ReadFile(inDir("a.json"))
	second, _ := os.ReadFile(inDir("b.json"))
	if len(first) == 0 || !bytes.Equal(first, second) {
		t.Error("two runs with the same seed gave different results")
	}
}

// An interrupted run writes a partial result and a partial report.
func TestInterruptLeavesPartialResult(t *testing.T) {
	dir := t.TempDir()
	resultFile := filepath.Join(dir, "r.json")
	cmd := command("run", "steady", "--json", resultFile, "--report", filepath.Join(dir, "report"))
	progress, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
	defer stop.Stop()
	progress.Read(make([]byte, 1)) // until the first second has passed
	cmd.Process.Signal(syscall.SIGINT)
	cmd.Wait()
	var result ledger.Result
	raw, _ := os.ReadFile(resultFile)
	if err := json.Unmarshal(raw, &result); err != nil || !result.Partial || result.Served == 0 || len(result.BrokenRules) > 0 {
		t.Errorf("%v: %+v", err, result)
	}
	page, _ := os.ReadFile(filepath.Join(dir, "report", "index.html"))
	if !bytes.Contains(page, []byte("cut short")) {
		t.Error("the report doesn't say that the run was cut short")
	}
}
