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
	minSockets      = 40
	minMemoryMB     = 16
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

	rawSettings, rawFleet json.RawMessage
}

// Fixed names the keys that differ in next and can't change while the node runs. Discovery, log_level and settings
// can; known is only read at the start, since the node itself holds a newer list.
func (c *Config) RestartRequiredKeys(next *Config) (keys []string) {
	for _, field := range []struct {
		key   string
		equal bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"seed", c.Seed == next.Seed},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Sockets == next.Sockets},
		{"store", reflect.DeepEqual(c.Store, next.Store)},
	} {
		if !field.equal {
			keys = append(keys, field.key)
		}
	}
	return keys
}

// Running is c, taken over by a node that runs with old: what can't change while it runs stays.
func (c *Config) WithFixedKeysOf(running *Config) *Config {
	merged := *c
	merged.Name, merged.Listen, merged.Seed = running.Name, running.Listen, running.Seed
	merged.Cores, merged.MemoryMB, merged.Sockets = running.Cores, running.MemoryMB, running.Sockets
	merged.Store = running.Store
	return &merged
}

// SameSettings says that the settings have the same values.
func (c *Config) SameSettings(next *Config) bool { return sameJSON(c.rawSettings, next.rawSettings) }

// SameFleet says that the nodes would hear each other as before: the same keys, and the same place among them.
func (c *Config) SameFleet(next *Config) bool {
	place, nextPlace := &c.Rules.Topology, &next.Rules.Topology
	return (c.Fleet == nil) == (next.Fleet == nil) && (c.Fleet == nil || sameJSON(c.rawFleet, next.rawFleet) &&
		place.Number == nextPlace.Number && place.Zone == nextPlace.Zone && place.Nodes == nextPlace.Nodes)
}

// sameJSON compares values, whatever their spacing and the order of their keys.
func sameJSON(rawLeft, rawRight json.RawMessage) bool {
	var left, right any
	return json.Unmarshal(rawLeft, &left) == nil && json.Unmarshal(rawRight, &right) == nil && reflect.DeepEqual(left, right)
}

// Names are the words of the settings, by the number that the module knows them by.
type Names struct {
	Categories, Tenants, Zones, MachineTypes []string
}

// document is the file's form.
type fileDocument struct {
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
	var document fileDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("key %s: a %s can't be used here", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c := &Config{
		Name:         cmp.Or(document.Name, getenv("NODE_NAME")),
		Listen:       cmp.Or(document.Listen, getenv("NODE_LISTEN")),
		RegistryAddr: cmp.Or(document.Discovery, getenv("NODE_DISCOVERY")),
		CachedList:   document.Known,
		rawSettings:  document.Settings,
		rawFleet:     document.Fleet,
		Raw:          raw,
		Cores:        valueOr(document.Limits.Cores, defaultCores),
		MemoryMB:     valueOr(document.Limits.MemoryMB, defaultMemoryMB),
		Sockets:      valueOr(document.Limits.Sockets, defaultSockets),
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("key listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.RegistryAddr); err != nil {
		return nil, fmt.Errorf("key discovery: %w", err)
	}
	if document.Seed != "" {
		seed, err := strconv.ParseUint(document.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("key seed: %q is no hexadecimal number of 64 bits", document.Seed)
		}
		c.Seed = seed
	}
	switch {
	case !(c.Cores > 0):
		return nil, fmt.Errorf("key limits.cores: %v is not above 0", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf("key limits.memory_mb: %d is under %d", c.MemoryMB, minMemoryMB)
	case c.Sockets < minSockets:
		return nil, fmt.Errorf("key limits.sockets: %d is under %d", c.Sockets, minSockets)
	case len(document.Settings) == 0:
		return nil, errors.New("key settings is missing")
	}
	level, err := zerolog.ParseLevel(cmp.Or(document.LogLevel, getenv("NODE_LOG_LEVEL"), defaultLogLevel))
	if err != nil {
		return nil, fmt.Errorf("key log_level: %w", err)
	}
	c.LogLevel = level
	set := settingsFromJSON(document.Settings)
	c.Rules = set.rules()
	c.ServerIdleTimeout = Duration(MillisToMicros(set.numberOr("limits.idle_close", 0)))
	c.AnswerSlack = MillisToMicros(set.numberOr("safety.answer_slack", 0))
	c.MaxPendingOps = int(set.numberOr("limits.max_open", float64(c.Sockets)))
	c.Names = Names{Categories: set.objectNames("categories"), Tenants: set.objectNames("tenants"),
		Zones: set.stringList("failure_domains"), MachineTypes: set.stringList("kinds")}
	set.checkRules(c.Rules)
	if set.booleanOr("safety.gone_is_advice", false) {
		c.IgnoredSettings = append(c.IgnoredSettings, "safety.gone_is_advice")
	}
	if _, found := set.values["tenants.0.quota_rps"]; found {
		c.IgnoredSettings = append(c.IgnoredSettings, "tenants.quota_rps")
	}
	if set.err != nil {
		return c, set.err
	}
	if c.Fleet, err = parseFleet(document.Fleet); err == nil {
		c.Store, err = parseStore(document.Store)
	}
	return c, err
}

// check refuses values that no node could run with.
func (s *settings) checkRules(rules *Rules) {
	for _, check := range []struct {
		key     string
		invalid bool
	}{
		{"tier", rules.Topology.Tier < 0 || rules.Topology.Tier >= rules.Topology.Tiers},
		{"fleet_size", rules.Topology.Nodes < 1},
		{"slot_no", rules.Topology.Number < 0},
		{"tick", rules.Topology.Tick < 1},
		{"limits.max_pushes", rules.PushLimits.Max < 1},
		{"limits.dial_timeout", rules.PushLimits.Dial < policy.Millisecond},
	} {
		if check.invalid {
			s.recordError("setting %s is out of range: %q", check.key, s.values[check.key])
		}
	}
	for i, category := range rules.Categories {
		if category.TTL <= 0 || category.Target <= 0 || category.Target > category.TTL {
			s.recordError("setting categories.%d.target_latency or ttl is out of range", i)
		}
	}
}

func valueOr[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}
