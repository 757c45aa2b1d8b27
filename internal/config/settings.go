package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"canvasrouter/policy"
)

// settings are path=value pairs. The first bad or missing one is kept in err.
type settings struct {
	values map[string]string
	err    error
}

// fromText reads one path=value pair a line, as the simulator's first message holds them.
func settingsFromText(text []byte) *settings {
	s := &settings{values: make(map[string]string)}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		if !found {
			s.recordError("line %d of the settings has no '=': %q", i+1, line)
			continue
		}
		s.values[key] = value
	}
	return s
}

// fromJSON flattens nested JSON to the paths that the text form has.
func settingsFromJSON(raw []byte) *settings {
	s := &settings{values: make(map[string]string)}
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		s.recordError("settings: %w", err)
	}
	s.flatten("", tree)
	return s
}

func (s *settings) flatten(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			s.flatten(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		plainValues := make([]string, 0, len(v))
		for i, inner := range v {
			if _, isObject := inner.(map[string]any); isObject {
				s.flatten(path+"."+strconv.Itoa(i), inner)
				s.values[path+".count"] = strconv.Itoa(len(v))
			} else {
				plainValues = append(plainValues, plainText(inner))
			}
		}
		if len(plainValues) > 0 || len(v) == 0 {
			s.values[path] = strings.Join(plainValues, ",")
		}
	case nil:
	default:
		s.values[path] = plainText(v)
	}
}

// word is a plain value as the text form writes it: spaces and commas become _.
func plainText(value any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}

func (s *settings) recordError(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *settings) text(key string) string {
	value, found := s.values[key]
	if !found {
		s.recordError("setting %s is missing", key)
	}
	return value
}

func (s *settings) number(key string) float64 {
	value := s.text(key)
	if s.err != nil {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || x != x {
		s.recordError("setting %s is no number: %q", key, value)
	}
	return x
}

func (s *settings) numberOr(key string, fallback float64) float64 {
	if _, found := s.values[key]; !found {
		return fallback
	}
	return s.number(key)
}

func (s *settings) integer(key string) int { return int(s.number(key)) }

func (s *settings) duration(key string) policy.Micros { return MillisToMicros(s.number(key)) }

func (s *settings) boolean(key string) bool {
	switch value := s.text(key); value {
	case "true":
		return true
	case "false", "":
	default:
		s.recordError("setting %s is neither true nor false: %q", key, value)
	}
	return false
}

func (s *settings) booleanOr(key string, fallback bool) bool {
	if _, found := s.values[key]; !found {
		return fallback
	}
	return s.boolean(key)
}

func enumValue[T any](s *settings, key string, values map[string]T) T {
	value := s.text(key)
	result, found := values[value]
	if !found {
		s.recordError("setting %s has the unknown value %q", key, value)
	}
	return result
}

// count gives the length of a list of objects: 0 where the list is empty or absent.
func (s *settings) listLength(key string) int {
	return int(s.numberOr(key+".count", 0))
}

func (s *settings) categories() []policy.Category {
	categories := make([]policy.Category, s.listLength("categories"))
	if len(categories) == 0 {
		s.recordError("setting categories.count is missing or 0")
	}
	for i := range categories {
		prefix := fmt.Sprintf("categories.%d.", i)
		categories[i] = policy.Category{
			Benefit: s.number(prefix + "benefit"),
			Late:    s.numberOr(prefix+"tardy_benefit", 0),
			Target:  s.duration(prefix + "target_latency"),
			TTL:     s.duration(prefix + "ttl"),
			Repeat: enumValue(s, prefix+"effect", map[string]policy.Repeat{"idempotent": policy.Redeliverable,
				"deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}),
			Window: MillisToMicros(s.numberOr(prefix+"repeat_window", 0)),
		}
		if categories[i].Repeat == policy.Deduplicated {
			categories[i].Scope = enumValue(s, prefix+"key_scope", map[string]policy.Scope{"all": policy.ScopeAll,
				"zone": policy.ScopeZone, "cell": policy.ScopeCell})
		}
	}
	return categories
}

// list gives a list of plain values.
func (s *settings) stringList(key string) []string {
	if value := s.values[key]; value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// names gives the names of a list of objects.
func (s *settings) objectNames(key string) []string {
	names := make([]string, s.listLength(key))
	for i := range names {
		names[i] = s.text(fmt.Sprintf("%s.%d.name", key, i))
	}
	return names
}

// Micros turns the settings' milliseconds into the module's whole microseconds.
func MillisToMicros(ms float64) policy.Micros { return policy.Micros(math.Round(ms * 1000)) }

// Rules are the settings as the module takes them.
type Rules struct {
	Topology   policy.Place
	Categories []policy.Category
	PushLimits policy.PushRule
	ColdStart  policy.ColdRule
	Registry   policy.RegistryRule
	DrainGrace policy.Micros // of drains; 0: not told
}

// NewNode starts the module with these rules.
func (r *Rules) NewNode(seed uint64) *policy.Node {
	return policy.New(int64(seed), r.Topology, r.Categories, r.PushLimits, r.ColdStart, r.Registry)
}

// ParseRules reads the rules from path=value lines.
func ParseRules(text []byte) (*Rules, error) {
	s := settingsFromText(text)
	rules := s.rules()
	return rules, s.err
}

func (s *settings) rules() *Rules {
	rules := &Rules{
		Topology: policy.Place{Tier: s.integer("tier"), Tiers: len(strings.Split(s.text("tiers"), ",")),
			Nodes: s.integer("fleet_size"), Number: s.integer("slot_no"),
			Zone: policy.ZoneID(s.integer("az")), Cross: s.numberOr("prices.cross_zone", 0),
			Peers: s.booleanOr("limits.peers", false), Tick: s.duration("tick")},
		PushLimits: policy.PushRule{Max: s.integer("limits.max_pushes"), Duplicate: s.boolean("limits.may_duplicate"),
			Cancel: s.boolean("limits.may_cancel"), Dial: s.duration("limits.dial_timeout")},
		ColdStart: policy.ColdRule{From: s.number("safety.cold_from"), Warm: s.duration("safety.cold"),
			Factor: s.number("safety.overload_factor"), Window: s.duration("safety.tip_after")},
		Registry: policy.RegistryRule{
			Ask:    enumValue(s, "registry_mode", map[string]bool{"ask": true, "push": false}),
			Within: MillisToMicros(s.numberOr("safety.must_ask_in", 0))},
		DrainGrace: MillisToMicros(s.numberOr("safety.drain_grace", 0)),
		Categories: s.categories(),
	}
	if s.boolean("limits.retry_after") {
		rules.PushLimits.RetryAfter = s.duration("limits.max_retry_after")
	}
	return rules
}
