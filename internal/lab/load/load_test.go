package load

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

func parseScenario(t *testing.T, extra string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(`name = "x"
[[category]]
name = "slots"
share = 3.0
work = "10ms"
spread = 1.0
target_latency = "100ms"
ttl = "400ms"
[[category]]
name = "booking"
work = "10ms"
target_latency = "100ms"
ttl = "400ms"
repeat = "deduplicated"
window = "900ms"
[[tenant]]
name = "a"
[[tier]]
name = "front"
calls = 1.5
  [[tier.kind]]
  count = 2
[[tier]]
name = "back"
  [[tier.kind]]
  count = 2
` + extra))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Each kind of arrivals has the configured rate, mix, mean work and calls, and is the same for the same seed.
func TestGenerate(t *testing.T) {
	const duration = 60 * policy.Second
	for _, kind := range []string{"poisson", "bursty", "even"} {
		s := parseScenario(t, "[load]\nrate = 500.0\nretries = 1\narrivals = \""+kind+"\"\n")
		got := Generate(s, duration, 5)
		if diff := cmp.Diff(got, Generate(s, duration, 5)); diff != "" {
			t.Errorf("%s: the same seed gives another load", kind)
		}
		slots, work, calls := 0.0, 0.0, 0.0
		for i, a := range got {
			if i > 0 && a.At < got[i-1].At {
				t.Fatalf("%s: arrival %d is earlier than the one before", kind, i)
			}
			if a.Category == 0 {
				slots++
			}
			work += float64(a.WorkByTier[0])
			calls += float64(a.CallsByTier[0])
		}
		n := float64(len(got))
		for what, ratio := range map[string]float64{"rate": n / 30000, "mix": slots / n / 0.75, "work": work / n / 10000,
			"calls": calls / n / 1.5} {
			if math.Abs(ratio-1) > 0.1 {
				t.Errorf("%s: %s is %.3f times the configured value", kind, what, ratio)
			}
		}
	}
}

// A burst adds arrivals and does not change those of the regular load.
func TestBurst(t *testing.T) {
	withoutBurst := parseScenario(t, "[load]\nrate = 100.0\n")
	withBurst := parseScenario(t, "[load]\nrate = 100.0\n[[trouble]]\nkind = \"burst\"\nat = \"2s\"\nfor = \"1s\"\nfactor = 4.0\ntenant = \"a\"\n")
	plain, burst := Generate(withoutBurst, 5*policy.Second, 1), Generate(withBurst, 5*policy.Second, 1)
	if more := len(burst) - len(plain); more < 200 || more > 400 {
		t.Errorf("%d additional arrivals", more)
	}
	for i, arrival := range plain[:50] { // the first half second, before the burst
		if diff := cmp.Diff(arrival, burst[i]); diff != "" {
			t.Fatal(diff)
		}
	}
}

// A trace is read back as it was written, and an invalid line is reported with its number.
func TestTrace(t *testing.T) {
	s := parseScenario(t, "[load]\nrate = 50.0\nimpatient = 0.2\n")
	written := Generate(s, 3*policy.Second, 9)
	var file bytes.Buffer
	if err := WriteTrace(&file, written); err != nil {
		t.Fatal(err)
	}
	read, err := ReadTrace(&file, s, 3*policy.Second)
	if diff := cmp.Diff(written, read); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for bad, want := range map[string]string{
		`{`: "trace line 1: ",
		`{"at_us":1,"category":7,"work_us":[1,1]}`:                                                   "trace line 1: category 7",
		`{"at_us":1,"tenant":1,"work_us":[1,1]}`:                                                     "trace line 1: tenant 1",
		`{"at_us":1,"tenant":-1,"work_us":[1]}`:                                                      "trace line 1: work_us has 1 tiers",
		`{"at_us":1,"tenant":-1,"work_us":[1,0]}`:                                                    "trace line 1: work_us 0",
		`{"at_us":5,"tenant":-1,"work_us":[1,1]}` + "\n" + `{"at_us":4,"tenant":-1,"work_us":[1,1]}`: "trace line 2: at_us goes back",
	} {
		if _, err := ReadTrace(strings.NewReader(bad), s, policy.Second); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// A client retries a deduplicated op only while the servers are certain to still drop the duplicate.
func TestShouldRetry(t *testing.T) {
	s := parseScenario(t, "[load]\nrate = 1.0\nretries = 1\nretry_wait = \"50ms\"\n")
	for _, c := range []struct {
		category int
		try      Try
		retry    bool
	}{
		{0, Try{}, true},
		{0, Try{Index: 1}, false},
		{0, Try{Elapsed: 360 * policy.Millisecond}, false}, // past the TTL
		{1, Try{Elapsed: 100 * policy.Millisecond}, true},
		{1, Try{Nacked: true, Elapsed: 100 * policy.Millisecond}, true},
	} {
		if _, retry := ShouldRetry(s, c.category, c.try); retry != c.retry {
			t.Errorf("%+v: retry %v", c, retry)
		}
	}
	s.Categories[1].DedupWindow = scenario.Duration(500 * policy.Millisecond)
	if _, retry := ShouldRetry(s, 1, Try{Elapsed: 100 * policy.Millisecond}); retry {
		t.Error("retried although the window may have ended")
	}
}
