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
	pairs map[string]string
	err   error
}

// fromText reads one path=value pair a line, as the simulator's first message holds them.
func fromText(text []byte) *settings {
	s := &settings{pairs: make(map[string]string)}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		if !found {
			s.fail("line %d of the settings has no '=': %q", i+1, line)
			continue
		}
		s.pairs[key] = value
	}
	return s
}

// fromJSON flattens nested JSON to the paths that the text form has.
func fromJSON(raw []byte) *settings {
	s := &settings{pairs: make(map[string]string)}
	var tree map[string]any
	numbers := json.NewDecoder(bytes.NewReader(raw))
	numbers.UseNumber()
	if err := numbers.Decode(&tree); err != nil {
		s.fail("settings: %w", err)
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
		plain := make([]string, 0, len(v))
		for i, inner := range v {
			if _, object := inner.(map[string]any); object {
				s.flatten(path+"."+strconv.Itoa(i), inner)
				s.pairs[path+".count"] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, word(inner))
			}
		}
		if len(plain) > 0 || len(v) == 0 {
			s.pairs[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		s.pairs[path] = word(v)
	}
}

// word is a plain value as the text form writes it: spaces and commas become _.
func word(value any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}

func (s *settings) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *settings) text(key string) string {
	value, found := s.pairs[key]
	if !found {
		s.fail("setting %s is missing", key)
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
		s.fail("setting %s is no number: %q", key, value)
	}
	return x
}

func (s *settings) numberOr(key string, fallback float64) float64 {
	if _, found := s.pairs[key]; !found {
		return fallback
	}
	return s.number(key)
}

func (s *settings) whole(key string) int { return int(s.number(key)) }

func (s *settings) span(key string) policy.Micros { return MillisToMicros(s.number(key)) }

func (s *settings) flag(key string) bool {
	switch value := s.text(key); value {
	case "true":
		return true
	case "false", "":
	default:
		s.fail("setting %s is neither true nor false: %q", key, value)
	}
	return false
}

func (s *settings) flagOr(key string, fallback bool) bool {
	if _, found := s.pairs[key]; !found {
		return fallback
	}
	return s.flag(key)
}

func choice[T any](s *settings, key string, of map[string]T) T {
	value := s.text(key)
	out, found := of[value]
	if !found {
		s.fail("setting %s has the unknown value %q", key, value)
	}
	return out
}

// count gives the length of a list of objects: 0 where the list is empty or absent.
func (s *settings) count(key string) int {
	return int(s.numberOr(key+".count", 0))
}

func (s *settings) categories() []policy.Category {
	out := make([]policy.Category, s.count("categories"))
	if len(out) == 0 {
		s.fail("setting categories.count is missing or 0")
	}
	for i := range out {
		at := fmt.Sprintf("categories.%d.", i)
		out[i] = policy.Category{
			Benefit:       s.number(at + "benefit"),
			LateBenefit:   s.numberOr(at+"tardy_benefit", 0),
			TargetLatency: s.span(at + "target_latency"),
			TTL:           s.span(at + "ttl"),
			Delivery: choice(s, at+"effect", map[string]policy.DeliverySemantics{"idempotent": policy.Redeliverable,
				"deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}),
			DedupWindow: MillisToMicros(s.numberOr(at+"repeat_window", 0)),
		}
		if out[i].Delivery == policy.Deduplicated {
			out[i].DedupScope = choice(s, at+"key_scope", map[string]policy.DedupScope{"all": policy.DedupScopeAll,
				"zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell})
		}
	}
	return out
}

// list gives a list of plain values.
func (s *settings) list(key string) []string {
	if value := s.pairs[key]; value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// names gives the names of a list of objects.
func (s *settings) names(key string) []string {
	out := make([]string, s.count(key))
	for i := range out {
		out[i] = s.text(fmt.Sprintf("%s.%d.name", key, i))
	}
	return out
}

// Micros turns the settings' milliseconds into the module's whole microseconds.
func MillisToMicros(ms float64) policy.Micros { return policy.Micros(math.Round(ms * 1000)) }

// Rules are the settings as the module takes them.
type Rules struct {
	Topology   policy.Topology
	Categories []policy.Category
	PushLimits policy.PushLimits
	ColdStart  policy.ColdStartRule
	Registry   policy.RegistryRule
	DrainGrace policy.Micros // of drains; 0: not told
}

// NewNode starts the module with these rules.
func (r *Rules) NewNode(seed uint64) *policy.Node {
	return policy.New(int64(seed), r.Topology, r.Categories, r.PushLimits, r.ColdStart, r.Registry)
}

// ParseRules reads the rules from path=value lines.
func ParseRules(text []byte) (*Rules, error) {
	s := fromText(text)
	rules := s.rules()
	return rules, s.err
}

func (s *settings) rules() *Rules {
	r := &Rules{
		Topology: policy.Topology{Tier: s.whole("tier"), TierCount: len(strings.Split(s.text("tiers"), ",")),
			NodeCount: s.whole("fleet_size"), NodeNumber: s.whole("slot_no"),
			Zone: policy.ZoneID(s.whole("az")), CrossZoneCost: s.numberOr("prices.cross_zone", 0),
			PeerMessaging: s.flagOr("limits.peers", false), ClockTick: s.span("tick")},
		PushLimits: policy.PushLimits{MaxPushes: s.whole("limits.max_pushes"), MayDuplicate: s.flag("limits.may_duplicate"),
			MayCancel: s.flag("limits.may_cancel"), DialTimeout: s.span("limits.dial_timeout")},
		ColdStart: policy.ColdStartRule{InitialShare: s.number("safety.cold_from"), WarmUpTime: s.span("safety.cold"),
			OverloadFactor: s.number("safety.overload_factor"), OverloadWindow: s.span("safety.tip_after")},
		Registry: policy.RegistryRule{
			MustSubscribe:   choice(s, "registry_mode", map[string]bool{"ask": true, "push": false}),
			SubscribeWithin: MillisToMicros(s.numberOr("safety.must_ask_in", 0))},
		DrainGrace: MillisToMicros(s.numberOr("safety.drain_grace", 0)),
		Categories: s.categories(),
	}
	if s.flag("limits.retry_after") {
		r.PushLimits.MaxRetryAfter = s.span("limits.max_retry_after")
	}
	return r
}
