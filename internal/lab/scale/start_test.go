package scale

import (
	"os"
	"testing"

	"canvasrouter/internal/serve"
)

// TestMain runs the test binary as a node if it has a configuration: the tests start it as the program.
func TestMain(m *testing.M) {
	if os.Getenv("NODE_CONFIG") != "" {
		os.Exit(serve.Main(serve.Options{}))
	}
	os.Exit(m.Run())
}

// When all processes restart at once, nine in ten are ready within 10 s, and all serve by then, whether the registry is up,
// delayed or down. A node that waited for its registry would not be ready.
func TestReadyAfterRestart(t *testing.T) {
	point, err := MeasureStarts(t.Context(), os.Args[0], 40, 1, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	for _, phase := range []string{"up", "slow", "down"} {
		if got := point.Values[phase+"_ready_p90_s"]; got > 10 || got <= 0 {
			t.Errorf("registry %s: nine in ten are ready after %v s", phase, got)
		}
		if got := point.Values[phase+"_serves_most_s"]; got > 10 || got <= 0 {
			t.Errorf("registry %s: the last one serves after %v s", phase, got)
		}
	}
	if _, err := MeasureStarts(t.Context(), "", 3, 1, t.Logf); err == nil {
		t.Error("a measurement without a program succeeds")
	}
}
