// Package config is the one place where a node's configuration is read, checked and given defaults. Every
// error names the key at fault.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultLogLevel = "info"
	fewestSockets   = 40
	leastMemoryMB   = 16
)

// Config is all that a node is told at its start.
type Config struct {
	Name              string
	Listen            string // where clients connect
	RegistryAddr      string // the registry
	Seed              uint64
	LogLevel          zerolog.Level
	Cores             float64
	MemoryMB          int
	Sockets           int
	CachedList        json.RawMessage // the list as the node last had it, in the registry's form
	Rules             *Rules
	Names             Names
	MaxPendingOps     int           // ops in hand that the settings allow
	AnswerSlack       policy.Micros // past a client's wait, in which a final answer still counts
	IgnoredSettings   []string      // settings that earlier versions heeded, given here
	ServerIdleTimeout time.Duration // a server closes a connection that was idle for this long
	Fleet             *Fleet        // nil: the node hears nobody
	Store             *Store        // nil: the file alone says what holds
	Raw               []byte        // the document that this was read from

	settings, fleet json.RawMessage
}

// Fixed names the keys that differ in next and can't change while the node runs. Discovery, log_level and settings
// can; known is only read at the start, since the node itself holds a newer list.
func (c *Config) RestartRequiredKeys(next *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"seed", c.Seed == next.Seed},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Sockets == next.Sockets},
		{"store", reflect.DeepEqual(c.Store, next.Store)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Running is c, taken over by a node that runs with old: what can't change while it runs stays.
func (c *Config) WithFixedKeysOf(old *Config) *Config {
	now := *c
	now.Name, now.Listen, now.Seed = old.Name, old.Listen, old.Seed
	now.Cores, now.MemoryMB, now.Sockets = old.Cores, old.MemoryMB, old.Sockets
	now.Store = old.Store
	return &now
}

// SameSettings says that the settings have the same values.
func (c *Config) SameSettings(next *Config) bool { return sameJSON(c.settings, next.settings) }

// SameFleet says that the nodes would hear each other as before: the same keys, and the same place among them.
func (c *Config) SameFleet(next *Config) bool {
	a, b := &c.Rules.Topology, &next.Rules.Topology
	return (c.Fleet == nil) == (next.Fleet == nil) && (c.Fleet == nil || sameJSON(c.fleet, next.fleet) &&
		a.NodeNumber == b.NodeNumber && a.Zone == b.Zone && a.NodeCount == b.NodeCount)
}

// sameJSON compares values, whatever their spacing and the order of their keys.
func sameJSON(a, b json.RawMessage) bool {
	var one, other any
	return json.Unmarshal(a, &one) == nil && json.Unmarshal(b, &other) == nil && reflect.DeepEqual(one, other)
}

// Names are the words of the settings, by the number that the module knows them by.
type Names struct {
	Categories, Tenants, Zones, MachineTypes []string
}

// document is the file's form.
type document struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	LogLevel  string `json:"log_level"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Fleet    json.RawMessage `json:"fleet"`
	Store    json.RawMessage `json:"store"`
}

// Load reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_LOG_LEVEL stand in for
// keys that the file leaves out.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("config: NODE_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: NODE_CONFIG: %w", err)
	}
	return Parse(raw, getenv)
}

// Parse reads a file's content.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	c, err := parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

func parse(raw []byte, getenv func(string) string) (*Config, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fmt.Errorf("key %s: a %s can't be used here", kind.Field, kind.Value)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c := &Config{
		Name:         cmp.Or(d.Name, getenv("NODE_NAME")),
		Listen:       cmp.Or(d.Listen, getenv("NODE_LISTEN")),
		RegistryAddr: cmp.Or(d.Discovery, getenv("NODE_DISCOVERY")),
		CachedList:   d.Known,
		settings:     d.Settings,
		fleet:        d.Fleet,
		Raw:          raw,
		Cores:        orDefault(d.Limits.Cores, defaultCores),
		MemoryMB:     orDefault(d.Limits.MemoryMB, defaultMemoryMB),
		Sockets:      orDefault(d.Limits.Sockets, defaultSockets),
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("key listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.RegistryAddr); err != nil {
		return nil, fmt.Errorf("key discovery: %w", err)
	}
	if d.Seed != "" {
		seed, err := strconv.ParseUint(d.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("key seed: %q is no hexadecimal number of 64 bits", d.Seed)
		}
		c.Seed = seed
	}
	switch {
	case !(c.Cores > 0):
		return nil, fmt.Errorf("key limits.cores: %v is not above 0", c.Cores)
	case c.MemoryMB < leastMemoryMB:
		return nil, fmt.Errorf("key limits.memory_mb: %d is under %d", c.MemoryMB, leastMemoryMB)
	case c.Sockets < fewestSockets:
		return nil, fmt.Errorf("key limits.sockets: %d is under %d", c.Sockets, fewestSockets)
	case len(d.Settings) == 0:
		return nil, errors.New("key settings is missing")
	}
	level, err := zerolog.ParseLevel(cmp.Or(d.LogLevel, getenv("NODE_LOG_LEVEL"), defaultLogLevel))
	if err != nil {
		return nil, fmt.Errorf("key log_level: %w", err)
	}
	c.LogLevel = level
	s := fromJSON(d.Settings)
	c.Rules = s.rules()
	c.ServerIdleTimeout = Duration(MillisToMicros(s.numberOr("limits.idle_close", 0)))
	c.AnswerSlack = MillisToMicros(s.numberOr("safety.answer_slack", 0))
	c.MaxPendingOps = int(s.numberOr("limits.max_open", float64(c.Sockets)))
	c.Names = Names{Categories: s.names("categories"), Tenants: s.names("tenants"),
		Zones: s.list("failure_domains"), MachineTypes: s.list("kinds")}
	s.check(c.Rules)
	if s.flagOr("safety.gone_is_advice", false) {
		c.IgnoredSettings = append(c.IgnoredSettings, "safety.gone_is_advice")
	}
	if _, found := s.pairs["tenants.0.quota_rps"]; found {
		c.IgnoredSettings = append(c.IgnoredSettings, "tenants.quota_rps")
	}
	if s.err != nil {
		return c, s.err
	}
	if c.Fleet, err = parseFleet(d.Fleet); err == nil {
		c.Store, err = parseStore(d.Store)
	}
	return c, err
}

// check refuses values that no node could run with.
func (s *settings) check(r *Rules) {
	for _, rule := range []struct {
		key string
		bad bool
	}{
		{"tier", r.Topology.Tier < 0 || r.Topology.Tier >= r.Topology.TierCount},
		{"fleet_size", r.Topology.NodeCount < 1},
		{"slot_no", r.Topology.NodeNumber < 0},
		{"tick", r.Topology.ClockTick < 1},
		{"limits.max_pushes", r.PushLimits.MaxPushes < 1},
		{"limits.dial_timeout", r.PushLimits.DialTimeout < policy.Millisecond},
	} {
		if rule.bad {
			s.fail("setting %s is out of range: %q", rule.key, s.pairs[rule.key])
		}
	}
	for i, c := range r.Categories {
		if c.TTL <= 0 || c.TargetLatency <= 0 || c.TargetLatency > c.TTL {
			s.fail("setting categories.%d.target_latency or ttl is out of range", i)
		}
	}
}

func orDefault[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}
