package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// FormatVersion is the newest format of configuration that this program knows. A change may require a newer one.
const FormatVersion = 1

// Store configures where changes of configuration come from.
type Store struct {
	Replicas []string   // addresses of the store's replicas
	Service  string     // the node takes the changes for this service, besides those for all nodes and for itself
	LocalIP  netip.Addr // local address of connections to the replicas; invalid: any
}

const maxReplicas = 7

// parseStore reads the key store. If it is left out, the result is nil.
func parseStore(raw json.RawMessage) (*Store, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	document := struct {
		Replicas []string `json:"replicas"`
		Service  string   `json:"service"`
		Bind     string   `json:"bind"`
	}{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("key store.%s: a %s can't be used here", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("key store: %w", err)
	}
	store := &Store{Service: document.Service}
	if len(document.Replicas) == 0 || len(document.Replicas) > maxReplicas {
		return nil, fmt.Errorf("key store.replicas: %d addresses are not from 1 to %d", len(document.Replicas), maxReplicas)
	}
	for _, text := range document.Replicas {
		addr, err := netip.ParseAddrPort(text)
		if err != nil || addr.Port() == 0 {
			return nil, fmt.Errorf("key store.replicas: %q is no IP address with a port", text)
		}
		store.Replicas = append(store.Replicas, addr.String())
	}
	if strings.ContainsAny(store.Service, "/:, ") {
		return nil, fmt.Errorf("key store.service: %q is no name", store.Service)
	}
	if document.Bind != "" {
		var err error
		if store.LocalIP, err = netip.ParseAddr(document.Bind); err != nil {
			return nil, fmt.Errorf("key store.bind: %q is no IP address", document.Bind)
		}
	}
	return store, nil
}

// explainStore describes the key store.
func (c *Config) explainStore(writeLine func(format string, args ...any)) {
	store := c.Store
	if store == nil {
		return
	}
	service := "no service's"
	if store.Service != "" {
		service = fmt.Sprintf("service %q's", store.Service)
	}
	writeLine("Changes of configuration come from the store at %v: those for all nodes, %s, and the node's own, applied on top of this file in that order.",
		store.Replicas, service)
	writeLine("While no replica can be reached the node keeps its running configuration; at its start that is the file.")
}

var (
	// changeableKeys are the keys of the configuration that a change may contain.
	changeableKeys = []string{"settings", "log_level", "discovery"}
	// nodeOnlySettings are the settings that only a change for a single node may contain.
	nodeOnlySettings = []string{"slot_no", "az", "fleet_size"}
)

// CheckPatch returns an error that names a key which a change must not contain. singleNode tells whether the change is for
// one node only.
func CheckPatch(patch json.RawMessage, singleNode bool) error {
	var patched map[string]json.RawMessage
	if err := json.Unmarshal(patch, &patched); err != nil {
		return fmt.Errorf("the patch is no object: %w", err)
	}
	if len(patched) == 0 {
		return errors.New("the patch is empty")
	}
	for key := range patched {
		if !contains(changeableKeys, key) {
			return fmt.Errorf("key %s can't be changed through the store, only %s can", key, strings.Join(changeableKeys, ", "))
		}
	}
	if raw, found := patched["settings"]; found {
		var settings map[string]json.RawMessage
		if err := json.Unmarshal(raw, &settings); err != nil {
			return errors.New("key settings: no object")
		}
		for _, key := range nodeOnlySettings {
			if _, found := settings[key]; found && !singleNode {
				return fmt.Errorf("key settings.%s is a node's own: only a change for one node may contain it", key)
			}
		}
	}
	return nil
}

// contains reports whether wanted is one of values.
func contains(values []string, wanted string) bool {
	for _, value := range values {
		if value == wanted {
			return true
		}
	}
	return false
}
