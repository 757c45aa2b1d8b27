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

// settings holds the settings as path=value pairs. err is the error of the first missing or invalid one that was read.
type settings struct {
	values map[string]string
	err    error
}

// settingsFromText reads one path=value pair a line, the format of the simulator's first message.
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

// settingsFromJSON flattens nested JSON to the same paths as the text format.
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

// flatten stores value, and all that it contains, under path. A list of objects also gets a path.count; a list of plain
// values becomes one value with commas.
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

// plainText returns a plain value as the text format writes it: spaces and commas become _.
func plainText(value any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}

// recordError keeps the first error.
func (s *settings) recordError(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// text returns a value. A missing one is an error.
func (s *settings) text(key string) string {
	value, found := s.values[key]
	if !found {
		s.recordError("setting %s is missing", key)
	}
	return value
}

// number returns a value as a number other than NaN.
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

// numberOr returns a number, or fallback if it is missing.
func (s *settings) numberOr(key string, fallback float64) float64 {
	if _, found := s.values[key]; !found {
		return fallback
	}
	return s.number(key)
}

// integer returns a number without its fraction.
func (s *settings) integer(key string) int { return int(s.number(key)) }

// duration returns a number of milliseconds.
func (s *settings) duration(key string) policy.Micros { return MillisToMicros(s.number(key)) }

// boolean returns a value that is true or false; an empty one is false.
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

// booleanOr returns a boolean, or fallback if it is missing.
func (s *settings) booleanOr(key string, fallback bool) bool {
	if _, found := s.values[key]; !found {
		return fallback
	}
	return s.boolean(key)
}

// enumValue returns what values has for a setting. Any other value is an error.
func enumValue[T any](s *settings, key string, values map[string]T) T {
	value := s.text(key)
	result, found := values[value]
	if !found {
		s.recordError("setting %s has the unknown value %q", key, value)
	}
	return result
}

// listLength returns the length of a list of objects: 0 if the list is empty or missing.
func (s *settings) listLength(key string) int {
	return int(s.numberOr(key+".count", 0))
}

// categories reads the list of categories.
func (s *settings) categories() []policy.Category {
	categories := make([]policy.Category, s.listLength("categories"))
	if len(categories) == 0 {
		s.recordError("setting categories.count is missing or 0")
	}
	for i := range categories {
		prefix := fmt.Sprintf("categories.%d.", i)
		categories[i] = policy.Category{
			Benefit:       s.number(prefix + "benefit"),
			LateBenefit:   s.numberOr(prefix+"tardy_benefit", 0),
			TargetLatency: s.duration(prefix + "target_latency"),
			TTL:           s.duration(prefix + "ttl"),
			Delivery: enumValue(s, prefix+"effect", map[string]policy.DeliverySemantics{
				"idempotent":   policy.Redeliverable,
				"deduplicated": policy.Deduplicated,
				"at_most_once": policy.AtMostOnce,
			}),
			DedupWindow: MillisToMicros(s.numberOr(prefix+"repeat_window", 0)),
		}
		if categories[i].Delivery == policy.Deduplicated {
			categories[i].DedupScope = enumValue(s, prefix+"key_scope", map[string]policy.DedupScope{
				"all":  policy.DedupScopeAll,
				"zone": policy.DedupScopeZone,
				"cell": policy.DedupScopeCell,
			})
		}
	}
	return categories
}

// stringList returns a list of plain values.
func (s *settings) stringList(key string) []string {
	if value := s.values[key]; value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// objectNames returns the names of a list of objects.
func (s *settings) objectNames(key string) []string {
	names := make([]string, s.listLength(key))
	for i := range names {
		names[i] = s.text(fmt.Sprintf("%s.%d.name", key, i))
	}
	return names
}

// MillisToMicros converts the milliseconds of the settings to whole microseconds.
func MillisToMicros(ms float64) policy.Micros { return policy.Micros(math.Round(ms * 1000)) }

// Rules are the settings in the types of the policy.
type Rules struct {
	Topology   policy.Topology
	Categories []policy.Category
	PushLimits policy.PushLimits
	ColdStart  policy.ColdStartRule
	Registry   policy.RegistryRule
	DrainGrace policy.Micros // of draining servers; 0 if the settings do not give one
}

// NewNode returns a policy node with these rules.
func (r *Rules) NewNode(seed uint64) *policy.Node {
	return policy.New(int64(seed), r.Topology, r.Categories, r.PushLimits, r.ColdStart, r.Registry)
}

// ParseRules reads rules from path=value lines.
func ParseRules(text []byte) (*Rules, error) {
	s := settingsFromText(text)
	rules := s.rules()
	return rules, s.err
}

// rules reads all rules.
func (s *settings) rules() *Rules {
	rules := &Rules{
		Topology: policy.Topology{
			Tier:          s.integer("tier"),
			TierCount:     len(strings.Split(s.text("tiers"), ",")),
			NodeCount:     s.integer("fleet_size"),
			NodeNumber:    s.integer("slot_no"),
			Zone:          policy.ZoneID(s.integer("az")),
			CrossZoneCost: s.numberOr("prices.cross_zone", 0),
			PeerMessaging: s.booleanOr("limits.peers", false),
			ClockTick:     s.duration("tick"),
		},
		PushLimits: policy.PushLimits{
			MaxPushes:    s.integer("limits.max_pushes"),
			MayDuplicate: s.boolean("limits.may_duplicate"),
			MayCancel:    s.boolean("limits.may_cancel"),
			DialTimeout:  s.duration("limits.dial_timeout"),
		},
		ColdStart: policy.ColdStartRule{
			InitialShare:   s.number("safety.cold_from"),
			WarmUpTime:     s.duration("safety.cold"),
			OverloadFactor: s.number("safety.overload_factor"),
			OverloadWindow: s.duration("safety.tip_after"),
		},
		Registry: policy.RegistryRule{
			MustSubscribe:   enumValue(s, "registry_mode", map[string]bool{"ask": true, "push": false}),
			SubscribeWithin: MillisToMicros(s.numberOr("safety.must_ask_in", 0)),
		},
		DrainGrace: MillisToMicros(s.numberOr("safety.drain_grace", 0)),
		Categories: s.categories(),
	}
	if s.boolean("limits.retry_after") {
		rules.PushLimits.MaxRetryAfter = s.duration("limits.max_retry_after")
	}
	return rules
}
