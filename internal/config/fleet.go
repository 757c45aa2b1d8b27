package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
)

// Fleet says how a node hears the others.
type Fleet struct {
	Name              string           // nodes of one fleet have one name
	Listen            netip.AddrPort   // UDP and TCP, for nodes alone
	Advertise         netip.AddrPort   // as the others reach it
	Join              []netip.AddrPort // some of the others; not all need to be there
	ControlSocket     string           // Unix socket for the node's own user; "": none
	PeerMessages      bool             // modules tell each other what they push, where settings.limits.peers allows
	OutlierReports    bool             // what others find of servers weighs
	MaxBytesPerSecond int              // bytes a second that the node sends to nodes, in datagrams
}

const (
	defaultFleet = "canvasrouter"
	defaultPace  = 64 << 10
	leastPace    = 4 << 10
	mostJoin     = 64
	mostControl  = 100 // bytes of a Unix socket's path
)

// parseFleet reads the key fleet; left out, the node hears nobody.
func parseFleet(raw json.RawMessage) (*Fleet, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	d := struct {
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
	decoder.DisallowUnknownFields() // a switch that is misspelt would stay on
	if err := decoder.Decode(&d); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fmt.Errorf("key fleet.%s: a %s can't be used here", kind.Field, kind.Value)
		}
		return nil, fmt.Errorf("key fleet: %w", err)
	}
	f := &Fleet{Name: d.Name, ControlSocket: d.Control, PeerMessages: orDefault(d.Words, true), OutlierReports: orDefault(d.Judged, true),
		MaxBytesPerSecond: orDefault(d.Pace, defaultPace)}
	if f.Name == "" {
		f.Name = defaultFleet
	}
	var err error
	address := func(key, text string) (a netip.AddrPort) {
		if err != nil {
			return a
		}
		if a, err = netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			err = fmt.Errorf("key fleet.%s: %q is no IP address with a port", key, text)
		}
		return a
	}
	f.Listen = address("listen", d.Listen)
	f.Advertise = f.Listen
	if d.Advertise != "" {
		f.Advertise = address("advertise", d.Advertise)
	}
	for _, text := range d.Join {
		f.Join = append(f.Join, address("join", text))
	}
	switch {
	case err != nil:
		return nil, err
	case f.Advertise.Addr().IsUnspecified():
		return nil, fmt.Errorf("key fleet.advertise: nobody can reach %s; name this machine's own address", f.Advertise)
	case f.Listen.Addr().Unmap().Is4() != f.Advertise.Addr().Unmap().Is4():
		return nil, errors.New("key fleet.advertise: not of the same kind (IPv4, IPv6) as fleet.listen")
	case len(f.Join) > mostJoin:
		return nil, fmt.Errorf("key fleet.join: %d addresses are over %d", len(f.Join), mostJoin)
	case f.ControlSocket != "" && (!filepath.IsAbs(f.ControlSocket) || len(f.ControlSocket) > mostControl):
		return nil, fmt.Errorf("key fleet.control: %q is no absolute path of at most %d bytes", f.ControlSocket, mostControl)
	case f.MaxBytesPerSecond < leastPace:
		return nil, fmt.Errorf("key fleet.bytes_per_second: %d is under %d", f.MaxBytesPerSecond, leastPace)
	}
	return f, nil
}
