package scenario

import (
	"strings"
	"testing"

	"canvasrouter/internal/config"
	"canvasrouter/internal/lab/load/rngstream"
)

const smallScenario = `name = "x"
[load]
rate = 10.0
[[category]]
name = "slots"
work = "10ms"
target_latency = "100ms"
ttl = "200ms"
[[category]]
name = "booking"
work = "10ms"
target_latency = "100ms"
ttl = "200ms"
repeat = "deduplicated"
[[tier]]
name = "front"
  [[tier.kind]]
  count = 2
[[trouble]]
kind = "slow"
at = "1s"
for = "1s"
`

// A parse error names the line, the column and the key.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`rate = 10.0`, `rate = 10.0` + "\nrates = 1", "line 4, column 1: key load.rates: "},
		{`rate = 10.0`, `rate = "ten"`, "line 3, column 8: key load.rate: "},
		{`rate = 10.0`, `rate = -1.0`, "line 3, column 1: key load.rate: is not above 0"},
		{`work = "10ms"`, `work = "soon"`, `line 6, column 8: key category.work: `},
		{`work = "10ms"`, `work = "0s"`, "line 6, column 1: key category.0.work: is not above 0"},
		{`repeat = "deduplicated"`, `repeat = "never"`, `line 14, column 1: key category.1.repeat: "never" is not one of`},
		{`repeat = "deduplicated"`, "repeat = \"deduplicated\"\nscope = \"street\"", `line 15, column 1: key category.1.scope: "street"`},
		{`count = 2`, `count = 0`, "line 18, column 3: key tier.0.kind.0.count: "},
		{`kind = "slow"`, `kind = "sloth"`, `line 20, column 1: key trouble.0.kind: "sloth" is not one of`},
		{`at = "1s"`, "at = \"1s\"\ntier = \"back\"", `key trouble.0.tier: "back" is no tier`},
		{`name = "x"`, `about = "x"`, "key name: is missing"},
		{`ttl = "200ms"`, `ttl = "50ms"`, "key category.0.target_latency: "},
		{`[load]`, `[load`, "line 2, column "},
	} {
		_, err := Parse([]byte(strings.Replace(smallScenario, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
}

// A node accepts the configuration that an experiment generates for it.
func TestNodeConfigIsValid(t *testing.T) {
	s, err := Parse([]byte(smallScenario + "[[tenant]]\nname = \"a\"\nquota = 5.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range s.Nodes() {
		raw := s.NodeConfig(node, "n", "127.0.0.1:1", "127.0.0.1:2", 7, nil, nil)
		c, err := config.Parse(raw, func(string) string { return "" })
		if err != nil {
			t.Fatalf("%v\n%s", err, raw)
		}
		if len(c.Rules.Categories) != 2 || len(c.Names.Tenants) != 1 || c.Seed != 7 {
			t.Errorf("the configuration was parsed as %+v", c.Rules)
		}
	}
}

// The same seed gives the same plan, and the steps are in order of time.
func TestPlan(t *testing.T) {
	s, err := Parse([]byte(strings.ReplaceAll(smallScenario, `kind = "slow"`, "kind = \"deploy\"")))
	if err != nil {
		t.Fatal(err)
	}
	first, second := s.Plan(rngstream.New(3, "troubles")), s.Plan(rngstream.New(3, "troubles"))
	if len(first.Machines) != 4 || first.InitialCount != 2 || len(first.Steps) != len(second.Steps) {
		t.Errorf("%d machines, %d steps", len(first.Machines), len(first.Steps))
	}
	for i := range first.Steps {
		if first.Steps[i] != second.Steps[i] {
			t.Errorf("step %d differs between two plans of one seed", i)
		}
		if i > 0 && first.Steps[i].At < first.Steps[i-1].At {
			t.Errorf("step %d is earlier than the step before", i)
		}
	}
}

// FuzzParse checks that any input gives either an experiment that can be planned or an error of one line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallScenario))
	f.Add([]byte("name = \"x\"\n[[tier]]\n[[tier.kind]]\ncount = -1\n[[trouble]]\nkind = \"drain\"\nshare = 2.0"))
	f.Add([]byte("[load]\nrate = nan\n[[category]]\nwork = \"1h\"\n[[category.x]]\n"))
	f.Add([]byte("name = 'x'\n\"tier\" = [{name = \"a\", kind = [{count = 1}]}]\nload.rate = 1.0\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error has more than one line: %q", err)
			}
			return
		}
		if n := len(s.Machines()); n < 10_000 && len(s.Disturbances) < 10 {
			s.Plan(rngstream.New(1, "troubles"))
		}
	})
}
