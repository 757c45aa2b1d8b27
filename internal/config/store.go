package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Form counts the forms of configuration that this program knows: a change may need a later one.
const FormatVersion = 1

// Store says where changes of configuration come from.
type Store struct {
	Replicas []string   // addresses of the machines that hold them
	Service  string     // whose changes the node takes, beside those for all and for itself
	LocalIP  netip.Addr // that calls come from; invalid: any
}

const mostReplicas = 7

// parseStore reads the key store; left out, the configuration is the file alone.
func parseStore(raw json.RawMessage) (*Store, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	d := struct {
		Replicas []string `json:"replicas"`
		Service  string   `json:"service"`
		Bind     string   `json:"bind"`
	}{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fmt.Errorf("key store.%s: a %s can't be used here", kind.Field, kind.Value)
		}
		return nil, fmt.Errorf("key store: %w", err)
	}
	s := &Store{Service: d.Service}
	if len(d.Replicas) == 0 || len(d.Replicas) > mostReplicas {
		return nil, fmt.Errorf("key store.replicas: %d addresses are not from 1 to %d", len(d.Replicas), mostReplicas)
	}
	for _, text := range d.Replicas {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return nil, fmt.Errorf("key store.replicas: %q is no IP address with a port", text)
		}
		s.Replicas = append(s.Replicas, a.String())
	}
	if strings.ContainsAny(s.Service, "/:, ") {
		return nil, fmt.Errorf("key store.service: %q is no name", s.Service)
	}
	if d.Bind != "" {
		var err error
		if s.LocalIP, err = netip.ParseAddr(d.Bind); err != nil {
			return nil, fmt.Errorf("key store.bind: %q is no IP address", d.Bind)
		}
	}
	return s, nil
}

// explainStore says in words what the key comes to.
func (c *Config) explainStore(line func(format string, args ...any)) {
	s := c.Store
	if s == nil {
		return
	}
	service := "no service's"
	if s.Service != "" {
		service = fmt.Sprintf("service %q's", s.Service)
	}
	line("Changes of configuration come from the store at %v: those for all nodes, %s, and the node's own, laid over this file in that order.",
		s.Replicas, service)
	line("Where none of them can be reached the node runs what it runs; at its start that is the file.")
}

// Changeable are the keys that a change may hold, and those of settings that only a change for one node may.
var (
	changeable = []string{"settings", "log_level", "discovery"}
	ownAlone   = []string{"slot_no", "az", "fleet_size"}
)

// CheckPatch says what a change may not hold, by its key. One is whether it is for a single node.
func CheckPatch(patch json.RawMessage, one bool) error {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(patch, &top); err != nil {
		return fmt.Errorf("the patch is no object: %w", err)
	}
	if len(top) == 0 {
		return errors.New("the patch is empty")
	}
	for key := range top {
		if !contains(changeable, key) {
			return fmt.Errorf("key %s can't be changed by a change: %s can", key, strings.Join(changeable, ", "))
		}
	}
	if raw, has := top["settings"]; has {
		var settings map[string]json.RawMessage
		if err := json.Unmarshal(raw, &settings); err != nil {
			return errors.New("key settings: no object")
		}
		for _, key := range ownAlone {
			if _, has := settings[key]; has && !one {
				return fmt.Errorf("key settings.%s is a node's own: a change for one node may hold it", key)
			}
		}
	}
	return nil
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
