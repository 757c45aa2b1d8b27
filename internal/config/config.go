// Package config reads a node's configuration, checks it and fills in defaults. No other package does so. Every error
// names the key at fault.
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

// Config is the configuration of one node.
type Config struct {
	Name         string
	Listen       string // address for clients
	RegistryAddr string // address of the service registry
	Seed         uint64 // of random decisions
	LogLevel     zerolog.Level
	Cores        float64
	MemoryMB     int
	Sockets      int             // sockets that the node may open
	CachedList   json.RawMessage // the server list that the node had when it last ran, in the registry's format
	Rules        *Rules
	Names        Names

	MaxPendingOps     int           // limit of pending ops from the settings
	AnswerSlack       policy.Micros // after a client's deadline, in which a final answer still counts
	IgnoredSettings   []string      // settings in the file that only earlier versions used
	ServerIdleTimeout time.Duration // servers close connections that have been idle for this long

	Fleet *Fleet // nil: the node exchanges nothing with other nodes
	Store *Store // nil: the file is the only source of configuration
	Raw   []byte // the document that was parsed

	rawSettings, rawFleet json.RawMessage
}

// RestartRequiredKeys returns the keys that differ in next and cannot change while the node runs. The keys discovery,
// log_level and settings can; known is only read at the start, because a running node has a newer list.
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

// WithFixedKeysOf returns a copy of c with the values of running for all keys that cannot change while a node runs.
func (c *Config) WithFixedKeysOf(running *Config) *Config {
	merged := *c
	merged.Name = running.Name
	merged.Listen = running.Listen
	merged.Seed = running.Seed
	merged.Cores = running.Cores
	merged.MemoryMB = running.MemoryMB
	merged.Sockets = running.Sockets
	merged.Store = running.Store
	return &merged
}

// SameSettings reports whether both configurations have the same settings.
func (c *Config) SameSettings(next *Config) bool { return sameJSON(c.rawSettings, next.rawSettings) }

// SameFleet reports whether both configurations give the node the same connection to the fleet: the same keys under fleet,
// and the same number, zone and fleet size.
func (c *Config) SameFleet(next *Config) bool {
	topology, nextTopology := &c.Rules.Topology, &next.Rules.Topology
	return (c.Fleet == nil) == (next.Fleet == nil) && (c.Fleet == nil || sameJSON(c.rawFleet, next.rawFleet) &&
		topology.NodeNumber == nextTopology.NodeNumber && topology.Zone == nextTopology.Zone &&
		topology.NodeCount == nextTopology.NodeCount)
}

// MemoryBytes returns the memory limit of the process in bytes.
func (c *Config) MemoryBytes() int64 { return int64(c.MemoryMB) << 20 }

// sameJSON compares two JSON values regardless of white space and the order of keys.
func sameJSON(rawLeft, rawRight json.RawMessage) bool {
	var left, right any
	return json.Unmarshal(rawLeft, &left) == nil && json.Unmarshal(rawRight, &right) == nil && reflect.DeepEqual(left, right)
}

// Names holds the names from the settings. The index of a name is the number that the policy uses for it.
type Names struct {
	Categories   []string
	Tenants      []string
	Zones        []string
	MachineTypes []string
}

// fileDocument is the JSON format of the configuration file.
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

// Load reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_LOG_LEVEL are defaults for
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

// Parse reads a configuration from the content of a file.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	c, err := parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// parse is Parse without the prefix of the errors. A configuration with an invalid setting is returned with its error.
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
	c.Names = Names{
		Categories:   set.objectNames("categories"),
		Tenants:      set.objectNames("tenants"),
		Zones:        set.stringList("failure_domains"),
		MachineTypes: set.stringList("kinds"),
	}
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

// checkRules records an error for a value that no node could run with.
func (s *settings) checkRules(rules *Rules) {
	for _, rule := range []struct {
		key     string
		invalid bool
	}{
		{"tier", rules.Topology.Tier < 0 || rules.Topology.Tier >= rules.Topology.TierCount},
		{"fleet_size", rules.Topology.NodeCount < 1},
		{"slot_no", rules.Topology.NodeNumber < 0},
		{"tick", rules.Topology.ClockTick < 1},
		{"limits.max_pushes", rules.PushLimits.MaxPushes < 1},
		{"limits.dial_timeout", rules.PushLimits.DialTimeout < policy.Millisecond},
	} {
		if rule.invalid {
			s.recordError("setting %s is out of range: %q", rule.key, s.values[rule.key])
		}
	}
	for i, category := range rules.Categories {
		if category.TTL <= 0 || category.TargetLatency <= 0 || category.TargetLatency > category.TTL {
			s.recordError("setting categories.%d.target_latency or ttl is out of range", i)
		}
	}
}

// valueOr returns the value, or fallback if there is none.
func valueOr[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}
