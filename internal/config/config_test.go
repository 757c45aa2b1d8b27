package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// load reads the example that `make run` starts, with changes to its text.
func load(t *testing.T, changes ...string) (*Config, error) {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("the example does not hold %s", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] })
}

// Every fault is one line that names the key.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"no JSON":           {`{`, `[`, "not JSON"},
		"a kind":            {`"sockets": 256`, `"sockets": "many"`, "key limits.sockets: a string can't be used here"},
		"too few sockets":   {`"sockets": 256`, `"sockets": 9`, "key limits.sockets: 9 is under"},
		"too little memory": {`"memory_mb": 192`, `"memory_mb": 1`, "key limits.memory_mb: 1 is under"},
		"no cores":          {`"cores": 1.0`, `"cores": 0`, "key limits.cores: 0 is not above 0"},
		"no address":        {`"127.0.0.1:8081"`, `"somewhere"`, "key listen: address somewhere"},
		"no registry":       {`"discovery"`, `"elsewhere"`, "key discovery: missing port"},
		"a seed":            {`"8c1f30d27a5be964"`, `"lucky"`, `key seed: "lucky" is no hexadecimal number`},
		"a log level":       {`"seed"`, `"log_level": "loud", "seed"`, "key log_level: "},
		"no settings":       {`"settings"`, `"other"`, "key settings is missing"},
		"a setting missing": {`"dial_timeout"`, `"timeout"`, "setting limits.dial_timeout is missing"},
		"no number":         {`"cold": 7800.0`, `"cold": "long"`, `setting safety.cold is no number: "long"`},
		"out of range":      {`"max_pushes": 3`, `"max_pushes": 0`, `setting limits.max_pushes is out of range: "0"`},
		"no tier of its":    {`"tier": 0`, `"tier": 4`, `setting tier is out of range: "4"`},
		"unknown value":     {`"idempotent"`, `"harmless"`, `setting categories.0.effect has the unknown value "harmless"`},
		"odd times":         {`"ttl": 3000.0`, `"ttl": 30.0`, "setting categories.0.target_latency or ttl is out of range"},
		"no categories":     {`"categories"`, `"classes"`, "setting categories.count is missing"},
	} {
		_, err := load(t, c.old, c.new)
		if err == nil || !strings.HasPrefix(err.Error(), "config: "+c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

// The nested form and the simulator's lines are the same settings.
func TestNestedIsFlat(t *testing.T) {
	nested := fromJSON([]byte(`{"tier": 1, "big": 100000000, "tiers": ["front", "a, b"], "tenants": [], "none": null,
		"limits": {"may_cancel": true, "rate": 0.50}, "categories": [{"name": "x"}, {"name": "y z", "kinds": [1, 2]}]}`))
	flat := fromText([]byte("tier=1\nbig=100000000\ntiers=front,a__b\ntenants=\nlimits.may_cancel=true\nlimits.rate=0.50\n" +
		"categories.count=2\ncategories.0.name=x\ncategories.1.name=y_z\ncategories.1.kinds=1,2\n"))
	if diff := cmp.Diff(flat.pairs, nested.pairs); diff != "" {
		t.Error(diff)
	}
}

// What nodes may tell each other is off unless the settings say otherwise; settings that earlier versions heeded are named.
func TestPeersAndUnheeded(t *testing.T) {
	for with, peers := range map[string]bool{
		`"max_pushes": 3`:                 false,
		`"peers": false, "max_pushes": 3`: false,
		`"peers": true, "max_pushes": 3`:  true,
	} {
		c, err := load(t, `"max_pushes": 3`, with)
		if err != nil || c.Rules.Topology.PeerMessaging != peers || len(c.IgnoredSettings) > 0 ||
			strings.Contains(c.Explain(), "tell each other") != peers {
			t.Errorf("%s: %+v, %v", with, c, err)
		}
	}
	for _, c := range []struct{ old, new, key string }{
		{`"cold": 7800.0`, `"cold": 7800.0, "gone_is_advice": true`, "safety.gone_is_advice"},
		{`"tick": 5.0`, `"tick": 5.0, "tenants": [{"name": "a", "quota_rps": 5}]`, "tenants.quota_rps"},
	} {
		got, err := load(t, c.old, c.new)
		if err != nil || !slices.Equal(got.IgnoredSettings, []string{c.key}) || !strings.Contains(got.Explain(), c.key) {
			t.Errorf("%s: %+v, %v", c.key, got, err)
		}
	}
	if _, err := load(t, `"max_pushes": 3`, `"peers": "maybe", "max_pushes": 3`); err == nil ||
		!strings.Contains(err.Error(), `setting limits.peers is neither true nor false: "maybe"`) {
		t.Errorf("got %v", err)
	}
}

// What is left out has a default, and the environment stands in for keys of the file.
func TestDefaults(t *testing.T) {
	c, err := load(t, `"memory_mb": 192, "sockets": 256`, `"memory_mb": 64`)
	if err != nil {
		t.Fatal(err)
	}
	if c.Sockets != defaultSockets || c.MemoryMB != 64 {
		t.Errorf("sockets %d, memory %d", c.Sockets, c.MemoryMB)
	}
	env := map[string]string{"NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:2"}
	_, err = parse([]byte(`{}`), func(key string) string { return env[key] })
	if err == nil || err.Error() != "key settings is missing" {
		t.Errorf("got %v", err)
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("got %v", err)
	}
}
