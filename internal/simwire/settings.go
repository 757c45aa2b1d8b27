package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"canvasrouter/policy"
)

// settings are the path=value pairs of a CREATE. The first bad or missing one is kept in err.
type settings struct {
	pairs map[string]string
	err   error
}

func parseSettings(text []byte) *settings {
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

func (s *settings) span(key string) policy.Micros { return micros(s.number(key)) }

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
			Benefit: s.number(at + "benefit"),
			Late:    s.numberOr(at+"tardy_benefit", 0),
			Target:  s.span(at + "target_latency"),
			TTL:     s.span(at + "ttl"),
			Repeat: choice(s, at+"effect", map[string]policy.Repeat{"idempotent": policy.Redeliverable,
				"deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}),
			Window: micros(s.numberOr(at+"repeat_window", 0)),
		}
		if out[i].Repeat == policy.Deduplicated {
			out[i].Scope = choice(s, at+"key_scope", map[string]policy.Scope{"all": policy.ScopeAll,
				"zone": policy.ScopeZone, "cell": policy.ScopeCell})
		}
	}
	return out
}

func (s *settings) shares() policy.ShareRule {
	rule := policy.ShareRule{Quota: make([]float64, s.count("tenants")),
		Beyond: s.numberOr("beyond_share_benefit", 1)}
	for i := range rule.Quota {
		rule.Quota[i] = s.number(fmt.Sprintf("tenants.%d.quota_rps", i))
	}
	return rule
}

// newNode starts a node with the settings of its CREATE.
func newNode(seed uint64, text []byte) (*policy.Node, error) {
	s := parseSettings(text)
	place := policy.Place{Tier: s.whole("tier"), Tiers: len(strings.Split(s.text("tiers"), ",")),
		Nodes: s.whole("fleet_size"), Number: s.whole("slot_no"),
		Zone: policy.ZoneID(s.whole("az")), Tick: s.span("tick")}
	push := policy.PushRule{Max: s.whole("limits.max_pushes"), Duplicate: s.flag("limits.may_duplicate"),
		Cancel: s.flag("limits.may_cancel"), Dial: s.span("limits.dial_timeout")}
	if s.flag("limits.retry_after") {
		push.RetryAfter = s.span("limits.max_retry_after")
	}
	cold := policy.ColdRule{From: s.number("safety.cold_from"), Warm: s.span("safety.cold"),
		Factor: s.number("safety.overload_factor"), Window: s.span("safety.tip_after")}
	registry := policy.RegistryRule{Ask: choice(s, "registry_mode", map[string]bool{"ask": true, "push": false}),
		Within: micros(s.numberOr("safety.must_ask_in", 0))}
	categories, shares := s.categories(), s.shares()
	if s.err != nil {
		return nil, s.err
	}
	return policy.New(int64(seed), place, categories, shares, push, cold, registry), nil
}
