package scale

import (
	"os"
	"testing"

	"canvasrouter/internal/serve"
)

// The test's own program is the nodes: they have a configuration.
func TestMain(m *testing.M) {
	if os.Getenv("NODE_CONFIG") != "" {
		os.Exit(serve.Main(serve.Options{}))
	}
	os.Exit(m.Run())
}

// Processes that are told to end and start anew all at once are ready within 10 s, nine in ten of them, and serve, with the registry up, late
// and down. A node that waited for its registry would not be.
func TestReadyAtOnce(t *testing.T) {
	p, err := MeasureStarts(t.Context(), os.Args[0], 40, 1, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	for _, phase := range []string{"up", "slow", "down"} {
		if got := p.Values[phase+"_ready_p90_s"]; got > 10 || got <= 0 {
			t.Errorf("registry %s: nine in ten are ready after %v s", phase, got)
		}
		if got := p.Values[phase+"_serves_most_s"]; got > 10 || got <= 0 {
			t.Errorf("registry %s: the last one serves after %v s", phase, got)
		}
	}
	if _, err := MeasureStarts(t.Context(), "", 3, 1, t.Logf); err == nil {
		t.Error("starts without a program")
	}
}
