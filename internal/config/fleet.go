package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
)

// Fleet configures the exchange with the other nodes of the fleet.
type Fleet struct {
	Name              string           // the same at all nodes of a fleet
	Listen            netip.AddrPort   // UDP and TCP, for other nodes only
	Advertise         netip.AddrPort   // address at which other nodes reach this one
	Join              []netip.AddrPort // nodes to join through; not all of them need to be up
	ControlSocket     string           // path of a Unix socket for the node's own user; "": none
	PeerMessages      bool             // policies exchange messages about their pushes, if settings.limits.peers allows it
	OutlierReports    bool             // nodes exchange and use reports about unhealthy servers
	MaxBytesPerSecond int              // limit of the datagrams sent to other nodes
}

const (
	defaultFleetName         = "canvasrouter"
	defaultMaxBytesPerSecond = 64 << 10
	minBytesPerSecond        = 4 << 10
	maxJoinAddrs             = 64
	maxSocketPathBytes       = 100 // path of a Unix socket
)

// parseFleet reads the key fleet. If it is left out, the result is nil.
func parseFleet(raw json.RawMessage) (*Fleet, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	document := struct {
		Name      string   `json:"name"`
		Listen    string   `json:"listen"`
		Advertise string   `json:"advertise"`
		Join      []string `json:"join"`
		Control   string   `json:"control"`
		Words     *bool    `json:"words"`
		Judged    *bool    `json:"judged"`
		Pace      *int     `json:"bytes_per_second"`
	}{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields() // otherwise a misspelt switch would silently stay on
	if err := decoder.Decode(&document); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("key fleet.%s: a %s can't be used here", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("key fleet: %w", err)
	}
	fleet := &Fleet{
		Name:              document.Name,
		ControlSocket:     document.Control,
		PeerMessages:      valueOr(document.Words, true),
		OutlierReports:    valueOr(document.Judged, true),
		MaxBytesPerSecond: valueOr(document.Pace, defaultMaxBytesPerSecond),
	}
	if fleet.Name == "" {
		fleet.Name = defaultFleetName
	}
	var err error
	parseAddr := func(key, text string) (addr netip.AddrPort) {
		if err != nil {
			return addr
		}
		if addr, err = netip.ParseAddrPort(text); err != nil || addr.Port() == 0 {
			err = fmt.Errorf("key fleet.%s: %q is no IP address with a port", key, text)
		}
		return addr
	}
	fleet.Listen = parseAddr("listen", document.Listen)
	fleet.Advertise = fleet.Listen
	if document.Advertise != "" {
		fleet.Advertise = parseAddr("advertise", document.Advertise)
	}
	for _, text := range document.Join {
		fleet.Join = append(fleet.Join, parseAddr("join", text))
	}
	switch {
	case err != nil:
		return nil, err
	case fleet.Advertise.Addr().IsUnspecified():
		return nil, fmt.Errorf("key fleet.advertise: nobody can reach %s; name this machine's own address", fleet.Advertise)
	case fleet.Listen.Addr().Unmap().Is4() != fleet.Advertise.Addr().Unmap().Is4():
		return nil, errors.New("key fleet.advertise: not of the same kind (IPv4, IPv6) as fleet.listen")
	case len(fleet.Join) > maxJoinAddrs:
		return nil, fmt.Errorf("key fleet.join: %d addresses are over %d", len(fleet.Join), maxJoinAddrs)
	case fleet.ControlSocket != "" && (!filepath.IsAbs(fleet.ControlSocket) || len(fleet.ControlSocket) > maxSocketPathBytes):
		return nil, fmt.Errorf("key fleet.control: %q is no absolute path of at most %d bytes", fleet.ControlSocket, maxSocketPathBytes)
	case fleet.MaxBytesPerSecond < minBytesPerSecond:
		return nil, fmt.Errorf("key fleet.bytes_per_second: %d is under %d", fleet.MaxBytesPerSecond, minBytesPerSecond)
	}
	return fleet, nil
}
